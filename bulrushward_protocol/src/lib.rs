//! The protocol between routers and agents: ids, messages and codec.
//!
//! Routers and agents communicate over two channels. Requests and responses travel over HTTP as a
//! [`RunRequest`] and a stream of [`Frame`]s, because token streams need flow control and
//! cancellation. Membership, load, revisions and quarantine travel over nng as an [`Exchange`].

pub mod admin;
pub mod codec;
mod content;
mod exchange;
mod frame;
pub mod headers;
mod ids;
mod outcome;
mod run;

pub use codec::{CodecError, decode, encode};
pub use content::{Content, ContentHash, ContentKind, CrashReport, OrganisationHash, ServerKey};
pub use exchange::{
    Chunk, ConfigurationMessage, Exchange, MemberRecord, MemberState, Role, Suspicion,
};
pub use frame::{Frame, FrameDecoder, encode_frame};
pub use ids::{
    ActionKey, AttemptId, BackendId, ChatKey, ChunkDigest, FailureDomain, Fingerprint, Incarnation,
    KindId, NodeId, OrganisationId, RequestId, Revision, ServiceId, WorkUnits, format_id,
};
pub use outcome::{Outcome, RefusalReason};
pub use run::{BarRequest, Header, Refusal, RunRequest};
