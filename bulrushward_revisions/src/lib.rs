//! Accepted revisions of the operators' text in the key-value service.
//!
//! A revision is one small head record that names immutable chunks of the text and an audit
//! entry. Chunks and audit entry are written first, and one compare-and-swap of the head makes
//! all of them visible together.

mod accepted_revision;
mod audit;
mod blobs;
mod chunks;
mod error;
mod head;
mod store;
mod submit;

pub use accepted_revision::{AcceptedRevision, AssembleError, Manifest};
pub use audit::AuditEntry;
pub use chunks::{ChunkRef, Digest, MAX_TEXT_BYTES};
pub use error::RevisionsError;
pub use store::RevisionStore;
pub use submit::{Submission, SubmitOutcome};
