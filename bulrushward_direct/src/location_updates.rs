//! Placements of sessions that peers are still to be told, each a few times.

use std::collections::VecDeque;

use bulrushward_policy::prompt_homes::SessionKey;
use serde::{Deserialize, Serialize};

use crate::servers::ServerHash;

/// Rounds in which a placement is told; datagrams may be lost, and in a large fleet a round reaches a few.
const SEND_ROUNDS: u8 = 3;
/// Placements in one datagram; 12 bytes each at most.
const MAX_PER_DATAGRAM: usize = 96;
/// Placements that wait; the oldest are dropped, as a missing one only costs a prompt that is read again.
const MAX_PENDING: usize = 1_024;

/// A session and the server that reads its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SessionLocation {
    pub(crate) session: SessionKey,
    pub(crate) server: ServerHash,
}

/// Placements with the rounds in which they are still told.
#[derive(Debug, Default)]
pub(crate) struct LocationUpdates {
    pending: VecDeque<(SessionLocation, u8)>,
}

impl LocationUpdates {
    /// Adds a placement.
    pub(crate) fn add(&mut self, location: SessionLocation) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((location, SEND_ROUNDS));
    }

    /// Returns the placements for one round, the least told first.
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
