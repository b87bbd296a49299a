//! Which records go into the next exchange.

use std::time::Duration;

use bulrushward_protocol::MemberState;

/// Exchanges that carry a leaving member first, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 2;

/// How urgent a record is; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    settled: bool,
    sent: u32,
    age_seconds: u64,
}

/// How often a record was sent since it last changed.
#[derive(Debug)]
pub(crate) struct Spread {
    bytes: usize,
    sent: u32,
}

impl Spread {
    /// Starts with a record that was not sent yet and has this encoded size.
    pub(crate) fn new(bytes: usize) -> Self {
        Self { bytes, sent: 0 }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Returns the urgency: leaving members until they were sent `limit` times, then the rest.
    pub(crate) fn key(&self, state: MemberState, limit: u32, age: Duration) -> Urgency {
        Urgency {
            settled: state == MemberState::Live || self.sent >= limit,
            sent: self.sent,
            age_seconds: age.as_secs(),
        }
    }
}

/// Returns the exchanges after which nearly every process of a fleet has heard of a change.
pub(crate) fn spread_limit(members: usize) -> u32 {
    (members.max(2).ilog2() + 1) * SENDS_PER_DOUBLING
}
