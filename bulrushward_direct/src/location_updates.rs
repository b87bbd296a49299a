//! Session locations still to be sent to peers, each of them several times.

use std::collections::VecDeque;

use bulrushward_policy::session_locations::SessionKey;
use serde::{Deserialize, Serialize};

use crate::servers::ServerHash;

/// Rounds in which a location is sent.
///
/// Datagrams may be lost, and in a large fleet a round reaches only a few peers.
const SEND_ROUNDS: u8 = 3;
/// Largest number of locations in one datagram, at up to 12 bytes each.
const MAX_PER_DATAGRAM: usize = 96;
/// Largest number of pending locations.
///
/// The oldest are dropped beyond it, as a missing location costs only one repeated prefill.
const MAX_PENDING: usize = 1_024;

/// A session and a server that has prefilled its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SessionLocation {
    pub(crate) session: SessionKey,
    pub(crate) server: ServerHash,
}

/// Pending locations with the number of rounds in which each is still sent.
#[derive(Debug, Default)]
pub(crate) struct LocationUpdates {
    pending: VecDeque<(SessionLocation, u8)>,
}

impl LocationUpdates {
    /// Adds a location.
    pub(crate) fn add(&mut self, location: SessionLocation) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((location, SEND_ROUNDS));
    }

    /// Returns the locations for one round, those sent least often first.
    pub(crate) fn take(&mut self) -> Vec<SessionLocation> {
        let count = self.pending.len().min(MAX_PER_DATAGRAM);
        let taken: Vec<_> = self.pending.drain(..count).collect();
        for (location, rounds_left) in &taken {
            if *rounds_left > 1 {
                self.pending.push_back((*location, rounds_left - 1));
            }
        }
        taken.into_iter().map(|(location, _)| location).collect()
    }
}
