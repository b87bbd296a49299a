//! Membership table of a process, maintained by gossip.

mod dissemination;
mod peers;
mod suspicion;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{
    Incarnation, MemberRecord, MemberState, NodeId, ServiceId, WorkUnits, encode,
};

use self::{dissemination::Dissemination, suspicion::SuspicionState};

/// Largest number of other members in a table.
const MAX_MEMBERS: usize = 8_192;
/// Assumed size of an encoded record in bytes, from which the heartbeat interval is computed.
const TYPICAL_RECORD_BYTES: f64 = 80.0;
/// Budget of received records in bytes per second.
const RECORD_BYTES_PER_SECOND: f64 = 1_000.0;
/// Copies of each record that a process receives on average.
const COPIES_PER_RECORD: f64 = 2.0;
/// Shortest time between two heartbeats.
const MIN_HEARTBEAT: Duration = Duration::from_secs(1);
/// Heartbeat intervals without a new version after which a member counts as unresponsive.
///
/// With 5 intervals, 1 in 100,000 live members counted as unresponsive.
const TIMEOUT_HEARTBEATS: u32 = 8;
/// Heartbeat timeouts after which a member is removed; its record is not sent after the first.
const REMOVAL_TIMEOUTS: u32 = 4;

/// Longest heartbeat interval at which the loads in relayed records are used.
const MAX_INTERVAL_FOR_RELAYED_LOADS: Duration = Duration::from_secs(5);

/// The last known load of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Remaining work of running and waiting attempts.
    pub load: WorkUnits,
    /// Time since the report was received.
    pub age: Duration,
}

/// Another member and its state in the table.
#[derive(Clone, Copy, Debug)]
pub struct KnownMember<'a> {
    /// Newest record of the member.
    pub record: &'a MemberRecord,
    /// When the newest version was received.
    pub received: Instant,
    /// Whether a new version was received recently and neither this process nor two peers suspect
    /// the member.
    pub is_reachable: bool,
}

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    /// When the newest version was received.
    received: Instant,
    /// When the member itself last sent its record.
    received_directly: Option<Instant>,
    /// Suspicions against the member since its newest version.
    suspicion: SuspicionState,
    dissemination: Dissemination,
}

/// The records of all known processes, including this one.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    last_heartbeat: Instant,
    /// Whether another process has the same name and started later.
    is_superseded: bool,
    entries: HashMap<NodeId, Entry>,
}

impl MemberTable {
    /// Creates a table with only the record of this process.
    #[must_use]
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        Self {
            own,
            last_heartbeat: now,
            is_superseded: false,
            entries: HashMap::new(),
        }
    }

    /// Returns the record of this process.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Changes the record of this process and increments its version; the state only moves forward.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut MemberRecord)) {
        let previous = self.own.clone();
        change(&mut self.own);
        self.own.node = previous.node;
        self.own.incarnation = previous.incarnation;
        self.own.state = self.own.state.max(previous.state);
        self.own.version = previous.version + 1;
        self.last_heartbeat = now;
    }

    /// Increments the version of this process if a heartbeat is due; returns whether it was.
    pub fn heartbeat(&mut self, now: Instant) -> bool {
        let is_due =
            now.saturating_duration_since(self.last_heartbeat) >= self.heartbeat_interval();
        if is_due {
            self.update_own(now, |_| {});
        }
        is_due
    }

    /// Returns the time between heartbeats; it grows with the fleet to stay within the byte budget.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        let bytes = (self.entries.len() + 1) as f64 * TYPICAL_RECORD_BYTES * COPIES_PER_RECORD;
        Duration::from_secs_f64(bytes / RECORD_BYTES_PER_SECOND).max(MIN_HEARTBEAT)
    }

    /// Returns the time without a new version after which a member counts as unresponsive.
    ///
    /// Its last version may take as long to spread, so all processes agree after at most twice this
    /// time.
    #[must_use]
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval() * TIMEOUT_HEARTBEATS
    }

    /// Returns whether another process has the same name and started later.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Merges records from peers and returns the nodes whose state or incarnation changed.
    pub fn merge(&mut self, records: &[MemberRecord], now: Instant) -> Vec<NodeId> {
        let changed = records
            .iter()
            .filter(|record| self.merge_one(record, now))
            .map(|record| record.node.clone())
            .collect();
        self.remove_dead(now);
        changed
    }

    /// Merges the record that a member sent about itself; returns whether its state or incarnation
    /// changed.
    pub fn merge_direct(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let changed = self.merge_one(record, now);
        if let Some(entry) = self.entries.get_mut(&record.node)
            && entry.record.incarnation == record.incarnation
        {
            entry.received_directly = Some(now);
            entry.suspicion.record_direct_contact(now);
        }
        changed
    }

    /// Records that this process could not reach a member; the member's next version clears this.
    pub fn mark_unreachable(&mut self, node: &str) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.suspicion.mark_unreachable(entry.record.version);
        }
    }

    /// Returns whether a member is unknown or had no new version within the heartbeat timeout.
    #[must_use]
    pub fn is_unresponsive(&self, node: &str, now: Instant) -> bool {
        node != self.own.node
            && self
                .entries
                .get(node)
                .is_none_or(|entry| self.has_timed_out(entry, now))
    }

    /// Returns the record of a member.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.entries.get(node).map(|entry| &entry.record)
    }

    /// Returns the records of all members that may get new work, sorted by name.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !entry.suspicion.is_suspect(now) && !self.has_timed_out(entry, now))
            .map(|entry| &entry.record)
            .chain((self.own.state == MemberState::Live).then_some(&self.own))
            .collect();
        live.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        live
    }

    /// Returns all other members in no particular order.
    pub fn known(&self, now: Instant) -> impl Iterator<Item = KnownMember<'_>> {
        self.entries.values().map(move |entry| KnownMember {
            record: &entry.record,
            received: entry.received,
            is_reachable: !entry.suspicion.is_suspect(now) && !self.has_timed_out(entry, now),
        })
    }

    /// Returns the loads of the other members of a service that accept new work.
    ///
    /// In a fleet that is too large to relay records quickly, only directly received records count.
    #[must_use]
    pub fn loads(&self, service: &ServiceId, now: Instant) -> Vec<LoadReport> {
        let accepts_relayed = self.heartbeat_interval() <= MAX_INTERVAL_FOR_RELAYED_LOADS;
        self.entries
            .values()
            .filter(|entry| entry.record.service.as_ref() == Some(service))
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !self.has_timed_out(entry, now))
            .filter_map(|entry| {
                let received = if accepts_relayed {
                    entry.received
                } else {
                    entry.received_directly?
                };
                Some(LoadReport {
                    load: entry.record.load,
                    age: now.saturating_duration_since(received),
                })
            })
            .collect()
    }

    /// Returns the number of other members of a service that accept new work.
    #[must_use]
    pub fn live_count(&self, service: &ServiceId, now: Instant) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.record.service.as_ref() == Some(service))
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !self.has_timed_out(entry, now))
            .count()
    }

    /// Returns the number of known processes, including this one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() + 1
    }

    /// Returns whether no other process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn has_timed_out(&self, entry: &Entry, now: Instant) -> bool {
        now.saturating_duration_since(entry.received) >= self.heartbeat_timeout()
    }

    /// Merges one record; returns whether the state or incarnation of the member changed.
    fn merge_one(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.node == self.own.node {
            self.merge_own(record.incarnation, record.version);
            return false;
        }
        let Some(entry) = self.entries.get_mut(&record.node) else {
            return self.insert(record, now);
        };
        let stored = &mut entry.record;
        let previous = (stored.incarnation, stored.state);
        let is_newer = (record.incarnation, record.version) > (stored.incarnation, stored.version);
        if is_newer {
            let is_same_incarnation = record.incarnation == stored.incarnation;
            let state = if is_same_incarnation {
                stored.state
            } else {
                record.state
            };
            *stored = record.clone();
            stored.state = stored.state.max(state);
            entry.received = now;
        } else if record.incarnation == stored.incarnation {
            stored.state = stored.state.max(record.state);
        }
        let changed = previous != (stored.incarnation, stored.state);
        if is_newer || changed {
            entry.dissemination = Dissemination::new(encoded_bytes(stored));
        }
        if is_newer && previous.0 != stored.incarnation {
            entry.suspicion = SuspicionState::default();
        } else if is_newer && entry.suspicion.refute(stored.version) {
            entry.dissemination.expedite();
        }
        changed
    }

    /// Keeps the version of this process ahead of what peers have and detects a later incarnation.
    fn merge_own(&mut self, incarnation: Incarnation, version: u64) {
        if incarnation > self.own.incarnation {
            self.is_superseded = true;
        }
        if incarnation == self.own.incarnation && version > self.own.version {
            self.own.version = version + 1;
        }
    }

    fn insert(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if self.entries.len() >= MAX_MEMBERS {
            self.evict();
        }
        let entry = Entry {
            record: record.clone(),
            received: now,
            received_directly: None,
            suspicion: SuspicionState::default(),
            dissemination: Dissemination::new(encoded_bytes(record)),
        };
        self.entries.insert(record.node.clone(), entry);
        true
    }

    fn remove_dead(&mut self, now: Instant) {
        let removal_age = self.heartbeat_timeout() * REMOVAL_TIMEOUTS;
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.received) < removal_age);
    }

    /// Removes the member whose newest record is the oldest, preferring members that left.
    fn evict(&mut self) {
        let victim = self
            .entries
            .values()
            .min_by_key(|entry| {
                let is_member = entry.record.state != MemberState::Left;
                (is_member, entry.received, entry.record.node.clone())
            })
            .map(|entry| entry.record.node.clone());
        if let Some(victim) = victim {
            self.entries.remove(&victim);
        }
    }
}

fn encoded_bytes(record: &MemberRecord) -> usize {
    encode(record).map_or(usize::MAX, |bytes| bytes.len())
}
