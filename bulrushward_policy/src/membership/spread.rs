//! Which records go into the next exchange.

use std::time::{Duration, Instant};

use bulrushward_protocol::{MemberRecord, MemberState};
use rand::{Rng, RngExt};

use super::MemberTable;

/// Exchanges that carry a leaving member first, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 2;

/// How urgent a record is; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    settled: bool,
    sent: u32,
    age_seconds: u64,
}

/// How often a record was sent since it last changed.
#[derive(Debug)]
pub(super) struct Spread {
    bytes: usize,
    sent: u32,
    /// Whether it refutes a suspicion.
    hurried: bool,
}

impl Spread {
    /// Starts with a record that was not sent yet and has this encoded size.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            bytes,
            sent: 0,
            hurried: false,
        }
    }

    /// Sends the record as urgently as that of a leaving member, once for each version.
    pub(super) fn hurry(&mut self) {
        if !self.hurried {
            self.hurried = true;
            self.sent = 0;
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Returns the urgency: leaving members and refutations until they were sent `limit` times,
    /// then the rest.
    pub(super) fn key(&self, state: MemberState, limit: u32, age: Duration) -> Urgency {
        Urgency {
            settled: (state == MemberState::Live && !self.hurried) || self.sent >= limit,
            sent: self.sent,
            age_seconds: age.as_secs(),
        }
    }
}

/// Returns the exchanges after which nearly every process of a fleet has heard of a change.
pub(super) fn spread_limit(members: usize) -> u32 {
    (members.max(2).ilog2() + 1) * SENDS_PER_DOUBLING
}

impl MemberTable {
    /// Returns the records for one exchange, the most urgent first, within a number of bytes.
    ///
    /// Members that leave and those that refute a suspicion go first, then the least sent, of
    /// these the freshest. Silent members are left out, so that the fleet forgets them.
    pub fn outgoing_records(
        &mut self,
        now: Instant,
        byte_budget: usize,
        rng: &mut dyn Rng,
    ) -> Vec<MemberRecord> {
        let silent_after = self.heartbeat_timeout();
        let limit = spread_limit(self.len());
        let mut order: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| now.saturating_duration_since(entry.heard) < silent_after)
            .map(|entry| {
                let age = now.saturating_duration_since(entry.heard);
                let key = entry.spread.key(entry.record.state, limit, age);
                (key, entry)
            })
            .collect();
        order.sort_unstable_by(|(a, one), (b, two)| {
            a.cmp(b).then_with(|| one.record.node.cmp(&two.record.node))
        });
        rotate_ties(&mut order, rng);
        let mut left = byte_budget;
        let mut records = Vec::new();
        for (_, entry) in order {
            let Some(rest) = left.checked_sub(entry.spread.bytes()) else {
                break;
            };
            left = rest;
            entry.spread.sent();
            records.push(entry.record.clone());
        }
        records
    }
}

/// Starts each run of equally urgent entries at a random one, so that none is always last.
fn rotate_ties<K: PartialEq, V>(order: &mut [(K, V)], rng: &mut dyn Rng) {
    for run in order.chunk_by_mut(|a, b| a.0 == b.0) {
        run.rotate_left(rng.random_range(0..run.len()));
    }
}
