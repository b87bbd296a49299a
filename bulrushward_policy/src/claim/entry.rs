//! Parts of a record of claims: entries, changes and what a change came to.

use bulrushward_protocol::{ActionKey, AttemptId};

/// Identifies one call that claims, so that two copies of one attempt cannot both win.
pub type ClaimNonce = u64;
/// Counts seconds of a record's own clock.
pub type RecordSecond = u32;

/// Bytes of an encoded record without entries: format, clock and number of entries.
pub const RECORD_HEADER_SIZE: usize = 1 + size_of::<u64>() + size_of::<u32>();
/// Bytes of an encoded entry: action, attempt, state and second.
pub const ENTRY_SIZE: usize = 16 + 16 + 1 + size_of::<RecordSecond>();
/// Bytes that an entry needs besides while it is claimed.
pub const NONCE_SIZE: usize = size_of::<ClaimNonce>();

/// What is known about one attempt of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The attempt may start, may be running, or may have ended unseen.
    Claimed {
        /// The call that claimed.
        nonce: ClaimNonce,
    },
    /// The attempt ran the action.
    Finished,
    /// The attempt did not start and never will.
    Barred,
}

/// One attempt of an action in a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// The action.
    pub action: ActionKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// What is known about the attempt.
    pub state: ClaimState,
    /// Second of the record's clock in which the state was entered.
    pub changed: RecordSecond,
}

/// A wish to change a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the action for the attempt.
    Claim {
        /// The call that claims.
        nonce: ClaimNonce,
    },
    /// Records that the attempt ran the action.
    Finish,
    /// Gives up a claim that was not started and never will be.
    Release {
        /// The call that claimed; a claim by another call is left alone.
        nonce: ClaimNonce,
    },
    /// Bars the attempt unless it holds a claim.
    Bar,
}

/// What a change came to, valid once the record is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claiming call alone may start the action.
    Won,
    /// An attempt holds the claim and is not known to have ended.
    Held {
        /// The holder, which may be the attempt itself.
        holder: AttemptId,
    },
    /// The action ran.
    Ran {
        /// The attempt that ran it.
        holder: AttemptId,
    },
    /// The attempt did not start and never will.
    Barred,
    /// The record has no room; nothing changed.
    Full,
    /// The change is recorded.
    Recorded,
}

impl ClaimEntry {
    /// Returns what entries are sorted by.
    pub(crate) fn key(&self) -> (ActionKey, AttemptId) {
        (self.action, self.attempt)
    }

    /// Returns the hold that the entry has on its action, if any.
    pub(crate) fn hold(&self) -> Option<ClaimDecision> {
        let holder = self.attempt;
        match self.state {
            ClaimState::Claimed { .. } => Some(ClaimDecision::Held { holder }),
            ClaimState::Finished => Some(ClaimDecision::Ran { holder }),
            ClaimState::Barred => None,
        }
    }
}

impl ClaimState {
    /// Returns the bytes of an encoded entry in this state.
    pub(crate) fn entry_size(self) -> usize {
        match self {
            Self::Claimed { .. } => ENTRY_SIZE + NONCE_SIZE,
            Self::Finished | Self::Barred => ENTRY_SIZE,
        }
    }
}
