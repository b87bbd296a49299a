//! How long a router has been behind its peers in one part of the fleet state.
//!
//! Handles: a store that still delivers changes of one part while the call for the other part is
//! lost; the parts therefore have separate lags.

use std::time::{Duration, Instant};

/// Lag of one part of the fleet state, whose version is `V`.
#[derive(Clone, Copy, Debug)]
pub struct ViewLag<V> {
    behind: Option<(Instant, V)>,
}

impl<V> Default for ViewLag<V> {
    fn default() -> Self {
        Self { behind: None }
    }
}

impl<V: Copy + PartialEq> ViewLag<V> {
    /// Records the own version and whether a peer has a newer one.
    ///
    /// Returns the time for which a peer has been ahead while the own version stayed the same, or
    /// `None` if no peer is ahead. A version that advances shows that the store is delivering.
    pub fn observe(&mut self, own: V, is_peer_ahead: bool, now: Instant) -> Option<Duration> {
        if !is_peer_ahead {
            self.behind = None;
            return None;
        }
        let since = match self.behind {
            Some((since, previous)) if previous == own => since,
            _ => now,
        };
        self.behind = Some((since, own));
        Some(now.saturating_duration_since(since))
    }
}
