//! Claims of non-idempotent actions, committed in groups to the key-value service.

mod availability;
mod cached_record;
mod counters;
mod gateway;
mod layout;
mod live_retention;
mod pacer;
mod pending;
mod queue;
mod record_codec;
mod settings;
mod shard;
mod store;

use std::fmt::Debug;

use async_trait::async_trait;
use bulrushward_protocol::{ActionKey, AttemptId};

pub use counters::{ClaimCounters, KvCallReason};
pub use record_codec::{RecordError, decode_record, encode_record};
pub use settings::ClaimSettings;
pub use store::ClaimStore;

/// Answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This attempt alone may start the action.
    Won,
    /// Another attempt holds the claim and is not known to have ended.
    Held {
        /// The holder, which is the attempt itself if another copy of it claimed before.
        holder: AttemptId,
    },
    /// The action ran.
    Ran {
        /// The attempt that ran it.
        holder: AttemptId,
    },
    /// The action was given up and may not start any more under this attempt.
    Barred,
    /// The record of claims is at its size limit; nothing was claimed.
    Full,
    /// The key-value service does not answer; this attempt will not start, whatever was written.
    Unavailable,
}

/// The place where non-idempotent actions are claimed.
#[async_trait]
pub trait Claims: Debug + Send + Sync {
    /// Claims an action for an attempt.
    ///
    /// If the future is dropped before it ends, a claim that was won is released.
    async fn claim(&self, action: ActionKey, attempt: AttemptId) -> ClaimOutcome;

    /// Records that the attempt ran the action; returns at once and commits in the background.
    fn finish(&self, action: ActionKey, attempt: AttemptId);

    /// Records that the winner of a claim did not start it, so that another attempt may.
    ///
    /// Only the process that won may release; the attempt itself can never win again.
    fn release(&self, action: ActionKey, attempt: AttemptId);

    /// Bars an attempt from ever winning; `true` if it is now certain that it did not and will not
    /// start.
    async fn bar(&self, action: ActionKey, attempt: AttemptId) -> bool;
}
