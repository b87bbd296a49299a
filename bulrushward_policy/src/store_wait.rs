//! Whether a call that waits at the store for changes has lost its response.
//!
//! Such a call returns only once something changes, so that the call itself does not show whether its response is lost.
//! It is lost if a call that was sent later has returned changes, or if a peer knows newer ones, unless its response is
//! arriving.
//!
//! Handles: single responses that are lost while all other calls are answered, at one router or at all of them at once;
//! responses that are late or take long to arrive; calls that the store has forgotten.

use std::time::{Duration, Instant};

use crate::server_registry::StoreRevision;

/// Time after a check was answered in which the response to the waiting call may still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Time for which a peer must have known a change that the waiting call has not shown.
const PEER_GRACE: Duration = Duration::from_millis(300);

/// A call that waits for changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingWait {
    /// Revision.
    pub after: StoreRevision,
    /// When it was sent.
    pub sent: Instant,
}

/// The waiting calls of one view of the store, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitLog {
    pending: Option<PendingWait>,
    /// Time since which a peer has been ahead, and the call was pending.
    behind_since: Option<Instant>,
}

impl WaitLog {
    /// Records that a call is sent.
    pub fn begin(&mut self, after: StoreRevision, now: Instant) {
        self.pending = Some(PendingWait { after, sent: now });
        self.behind_since = None;
    }

    /// Records that the response begins to arrive, so that it is not lost however long the rest takes.
    pub fn record_response(&mut self) {
        self.end();
    }

    /// Records that the call has ended.
    pub fn end(&mut self) {
        self.pending = None;
    }

    /// Returns the call that waits for its response, which a check may be compared with that is sent now.
    #[must_use]
    pub fn pending(&self) -> Option<PendingWait> {
        self.pending
    }

    /// Returns when a call has lost its response if it is still waiting then, given that a check showed changes now.
    ///
    /// The response may be queued behind that of the check for `queued`.
    #[must_use]
    pub fn lost_at(now: Instant, queued: Duration) -> Instant {
        now + RESPONSE_GRACE + queued
    }

    /// Returns whether a call that was `checked` is still waiting.
    #[must_use]
    pub fn is_waiting(&self, checked: PendingWait) -> bool {
        self.pending == Some(checked)
    }

    /// Records whether a peer knows a change that this router does not; returns whether the call has lost its response.
    pub fn observe_peers(&mut self, is_peer_ahead: bool, now: Instant) -> bool {
        if !is_peer_ahead || self.pending.is_none() {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.saturating_duration_since(since) >= PEER_GRACE
    }
}
