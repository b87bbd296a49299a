//! Claims that let at most one attempt run a non-idempotent action.
//!
//! Claims are stored in sharded records of the key-value service, with group commits.

mod availability;
mod cached_record;
mod counters;
mod kv_client;
mod layout;
mod pending;
mod queue;
mod rate_limiter;
mod record_codec;
mod settings;
mod shard;
mod shared_retention;
mod store;

use std::fmt::Debug;

use async_trait::async_trait;
use bulrushward_protocol::{ActionKey, AttemptId};

pub use counters::{ClaimCounters, KvCallReason};
pub use record_codec::{RecordError, decode_record, encode_record};
pub use settings::ClaimSettings;
pub use store::ClaimStore;

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// Only this attempt may start the action.
    Won,
    /// The claim is already held by an attempt that is not known to have ended.
    Held {
        /// The holder, which is the same attempt if another copy of it claimed earlier.
        holder: AttemptId,
    },
    /// The action has already run.
    Ran {
        /// The attempt that ran it.
        holder: AttemptId,
    },
    /// The attempt was barred or released its claim, and can never start the action.
    Barred,
    /// The claims record is at its size limit; nothing was claimed.
    Full,
    /// The claim could not be decided, usually because the key-value service is unavailable.
    ///
    /// The attempt must not start, even if a write of the claim takes effect later.
    Unavailable,
}

/// Store of the claims of non-idempotent actions.
#[async_trait]
pub trait Claims: Debug + Send + Sync {
    /// Claims an action for an attempt.
    ///
    /// If the future is dropped before it completes, a claim that was won is released.
    async fn claim(&self, action: ActionKey, attempt: AttemptId) -> ClaimOutcome;

    /// Records that the attempt ran the action.
    ///
    /// Returns immediately; the change is committed in the background.
    fn finish(&self, action: ActionKey, attempt: AttemptId);

    /// Records that the attempt did not start the action that it claimed, so that another may.
    ///
    /// Only the process that won the claim may release it. A released attempt can never win again.
    fn release(&self, action: ActionKey, attempt: AttemptId);

    /// Writes a tombstone so that the attempt can never win a claim of the action.
    ///
    /// Returns `true` if it is certain that the attempt did not start and never will.
    async fn bar(&self, action: ActionKey, attempt: AttemptId) -> bool;
}
