//! Placements of sessions that peers are still to be told, each a few times.

use std::collections::VecDeque;

use bulrushward_policy::session_locations::SessionKey;
use serde::{Deserialize, Serialize};

use crate::servers::ServerHash;

/// Rounds in which a placement is told; datagrams may be lost, and in a large fleet a round reaches a few.
const ROUNDS: u8 = 3;
/// Placements in one datagram; 12 bytes each at most.
const MAX_TOLD: usize = 96;
/// Placements that wait; the oldest are dropped, as a missing one only costs a prompt that is read again.
const MAX_WAITING: usize = 1_024;

/// A session and the server that reads its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Placement {
    pub(crate) session: SessionKey,
    pub(crate) server: ServerHash,
}

/// Placements with the rounds in which they are still told.
#[derive(Debug, Default)]
pub(crate) struct News {
    waiting: VecDeque<(Placement, u8)>,
}

impl News {
    /// Adds a placement.
    pub(crate) fn add(&mut self, placement: Placement) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back((placement, ROUNDS));
    }

    /// Returns the placements for one round, the least told first.
    pub(crate) fn take(&mut self) -> Vec<Placement> {
        let count = self.waiting.len().min(MAX_TOLD);
        let taken: Vec<_> = self.waiting.drain(..count).collect();
        for (placement, rounds) in &taken {
            if *rounds > 1 {
                self.waiting.push_back((*placement, rounds - 1));
            }
        }
        taken.into_iter().map(|(placement, _)| placement).collect()
    }
}
