//! Choice of the records for the next gossip exchange.

use std::time::{Duration, Instant};

use bulrushward_protocol::{MemberRecord, MemberState};
use rand::{Rng, RngExt};

use super::MemberTable;

/// Exchanges in which an urgent record is sent first, per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 2;

/// Send priority of a record; the lowest value is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SendPriority {
    /// Whether the record is not urgent, or was already sent often enough.
    is_settled: bool,
    times_sent: u32,
    age_seconds: u64,
}

/// Progress of spreading the current version of a record.
#[derive(Debug)]
pub(super) struct Dissemination {
    /// Encoded size of the record in bytes.
    bytes: usize,
    /// Number of exchanges that included the record since it last changed.
    times_sent: u32,
    /// Whether the record is sent as urgently as that of a leaving member, to refute a suspicion.
    is_expedited: bool,
}

impl Dissemination {
    /// Creates the state of a record that was not sent yet and has this encoded size.
    pub(super) fn new(bytes: usize) -> Self {
        Self {
            bytes,
            times_sent: 0,
            is_expedited: false,
        }
    }

    /// Makes the record as urgent as that of a leaving member, at most once per version.
    pub(super) fn expedite(&mut self) {
        if !self.is_expedited {
            self.is_expedited = true;
            self.times_sent = 0;
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn record_sent(&mut self) {
        self.times_sent = self.times_sent.saturating_add(1);
    }

    /// Returns the send priority: leaving members and refutations come first until they were sent
    /// `limit` times.
    pub(super) fn priority(&self, state: MemberState, limit: u32, age: Duration) -> SendPriority {
        SendPriority {
            is_settled: (state == MemberState::Live && !self.is_expedited)
                || self.times_sent >= limit,
            times_sent: self.times_sent,
            age_seconds: age.as_secs(),
        }
    }
}

/// Returns how often each process sends a change so that nearly every process receives it.
pub(super) fn dissemination_limit(members: usize) -> u32 {
    (members.max(2).ilog2() + 1) * SENDS_PER_DOUBLING
}

impl MemberTable {
    /// Returns the records for one exchange, most urgent first, within a byte budget.
    ///
    /// Leaving members and those that refute a suspicion come first, then the least often sent
    /// records, newest first. Unresponsive members are left out, so that all tables remove them.
    pub fn outgoing_records(
        &mut self,
        now: Instant,
        byte_budget: usize,
        rng: &mut dyn Rng,
    ) -> Vec<MemberRecord> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let limit = dissemination_limit(self.len());
        let mut order: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| now.saturating_duration_since(entry.received) < heartbeat_timeout)
            .map(|entry| {
                let age = now.saturating_duration_since(entry.received);
                let priority = entry.dissemination.priority(entry.record.state, limit, age);
                (priority, entry)
            })
            .collect();
        order.sort_unstable_by(|(a_priority, a), (b_priority, b)| {
            a_priority
                .cmp(b_priority)
                .then_with(|| a.record.node.cmp(&b.record.node))
        });
        rotate_ties(&mut order, rng);
        let mut remaining = byte_budget;
        let mut records = Vec::new();
        for (_, entry) in order {
            let Some(rest) = remaining.checked_sub(entry.dissemination.bytes()) else {
                break;
            };
            remaining = rest;
            entry.dissemination.record_sent();
            records.push(entry.record.clone());
        }
        records
    }
}

/// Rotates each run of entries with equal priority randomly, so that no entry is always last.
fn rotate_ties<K: PartialEq, V>(order: &mut [(K, V)], rng: &mut dyn Rng) {
    for run in order.chunk_by_mut(|a, b| a.0 == b.0) {
        run.rotate_left(rng.random_range(0..run.len()));
    }
}
