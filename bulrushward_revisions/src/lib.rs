//! Accepted revisions of the configuration text in the key-value service.
//!
//! The newest revision is a small head record that refers to immutable chunks of the text and to
//! an audit entry. The chunks and the audit entry are written first; a single compare-and-swap of
//! the head record then makes them visible together.

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
