//! Parts of a claims record: entries, changes and decisions.

use bulrushward_protocol::{ActionKey, AttemptId};

/// Nonce of one claiming call, so that two copies of one attempt cannot both win the claim.
pub type ClaimNonce = u64;
/// Time of a record's own clock in seconds.
pub type RecordSecond = u32;

/// Size of an encoded record without entries in bytes: format, clock and number of entries.
pub const RECORD_HEADER_SIZE: usize = 1 + size_of::<u64>() + size_of::<u32>();
/// Size of an encoded entry in bytes: action, attempt, state and time of the last change.
pub const ENTRY_SIZE: usize = 16 + 16 + 1 + size_of::<RecordSecond>();
/// Additional bytes of an encoded entry in the claimed state.
pub const NONCE_SIZE: usize = size_of::<ClaimNonce>();

/// The state of one attempt of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The attempt may start, may be running, or may have ended without this being recorded.
    Claimed {
        /// Nonce of the call that claimed the action.
        nonce: ClaimNonce,
    },
    /// The attempt ran the action.
    Finished,
    /// A tombstone: the attempt did not start and never will.
    Barred,
}

/// The entry of one attempt in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// The action.
    pub action: ActionKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// State of the attempt.
    pub state: ClaimState,
    /// Time of the record's clock at which the state was set.
    pub changed: RecordSecond,
}

/// A requested change of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the action for the attempt.
    Claim {
        /// Nonce of the claiming call.
        nonce: ClaimNonce,
    },
    /// Records that the attempt ran the action.
    Finish,
    /// Releases a claim whose attempt did not start and never will.
    Release {
        /// Nonce of the call that claimed the action; claims of other calls are not released.
        nonce: ClaimNonce,
    },
    /// Writes a tombstone so that the attempt can never start, unless it already holds a claim.
    Bar,
}

/// The result of a change, valid once the record is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Only the claiming call may start the action.
    Won,
    /// An attempt holds the claim and is not known to have ended.
    Held {
        /// The attempt that holds the claim, which may be the one that requested the change.
        holder: AttemptId,
    },
    /// The action ran.
    Ran {
        /// The attempt that ran it.
        holder: AttemptId,
    },
    /// The attempt did not start and never will.
    Barred,
    /// The record has reached its size limit; nothing changed.
    Full,
    /// The change was applied.
    Recorded,
}

impl ClaimEntry {
    /// Returns the sort key.
    pub(crate) fn key(&self) -> (ActionKey, AttemptId) {
        (self.action, self.attempt)
    }

    /// Returns the decision that the entry causes for other claims of its action, if any.
    pub(crate) fn blocking_decision(&self) -> Option<ClaimDecision> {
        let holder = self.attempt;
        match self.state {
            ClaimState::Claimed { .. } => Some(ClaimDecision::Held { holder }),
            ClaimState::Finished => Some(ClaimDecision::Ran { holder }),
            ClaimState::Barred => None,
        }
    }
}

impl ClaimState {
    /// Returns the size of an encoded entry in this state in bytes.
    pub(crate) fn entry_size(self) -> usize {
        match self {
            Self::Claimed { .. } => ENTRY_SIZE + NONCE_SIZE,
            Self::Finished | Self::Barred => ENTRY_SIZE,
        }
    }
}
