//! What one process knows about the others.

mod peers;
mod spread;
mod suspicion;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{
    Incarnation, MemberRecord, MemberState, NodeId, ServiceId, WorkUnits, encode,
};

use self::{spread::Spread, suspicion::Doubt};

/// Members that a table keeps besides its own process.
const MAX_MEMBERS: usize = 8_192;
/// Bytes of an encoded record that the times below count with.
const RECORD_BYTES: f64 = 80.0;
/// Bytes of records that a process takes in each second.
const RECORD_BYTES_PER_SECOND: f64 = 1_000.0;
/// Copies of one record that reach a process on average.
const COPIES: f64 = 2.0;
/// Shortest time between two heartbeats.
const MIN_HEARTBEAT: Duration = Duration::from_secs(1);
/// Heartbeats without news after which a member counts as silent.
const SILENT_HEARTBEATS: u32 = 8; // 5 called 1 of 100,000 live members silent
/// Silent times after which a member is forgotten; other tables stop naming it after one.
const FORGET_SILENCES: u32 = 4;

/// Longest time that a record is passed on for its load to count.
const MAX_RELAY: Duration = Duration::from_secs(5);

/// The load of a member, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Outstanding work.
    pub load: WorkUnits,
    /// Time since the report was heard.
    pub age: Duration,
}

/// A known member as its table sees it.
#[derive(Clone, Copy, Debug)]
pub struct KnownMember<'a> {
    /// Its newest record.
    pub record: &'a MemberRecord,
    /// When the newest version was heard.
    pub received: Instant,
    /// Whether there was news of it lately and neither this process nor two peers suspect it.
    pub is_reachable: bool,
}

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    /// When the newest version was heard.
    heard: Instant,
    /// When the member last sent its record itself.
    direct: Option<Instant>,
    /// What speaks against the member since its newest version.
    doubt: Doubt,
    spread: Spread,
}

/// The records of all known processes, its own among them.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    beat: Instant,
    superseded: bool,
    entries: HashMap<NodeId, Entry>,
}

impl MemberTable {
    /// Creates a table that knows only its own process.
    #[must_use]
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        Self {
            own,
            beat: now,
            superseded: false,
            entries: HashMap::new(),
        }
    }

    /// Returns the record of its own process.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Changes the own record and raises its version; the state only moves forward.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut MemberRecord)) {
        let before = self.own.clone();
        change(&mut self.own);
        self.own.node = before.node;
        self.own.incarnation = before.incarnation;
        self.own.state = self.own.state.max(before.state);
        self.own.version = before.version + 1;
        self.beat = now;
    }

    /// Raises the version of the own record if a heartbeat is due; returns whether it was.
    pub fn heartbeat(&mut self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.beat) >= self.heartbeat_interval();
        if due {
            self.update_own(now, |_| {});
        }
        due
    }

    /// Returns the time between heartbeats; it grows with the fleet to keep to the byte budget.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        let bytes = (self.entries.len() + 1) as f64 * RECORD_BYTES * COPIES;
        Duration::from_secs_f64(bytes / RECORD_BYTES_PER_SECOND).max(MIN_HEARTBEAT)
    }

    /// Returns the time without news after which a member counts as silent.
    ///
    /// Its last news may have taken as long to spread, so all agree after at most twice this time.
    #[must_use]
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval() * SILENT_HEARTBEATS
    }

    /// Returns whether another process runs under the own name and started later.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Takes in records of peers and returns the nodes whose state or start changed.
    pub fn merge(&mut self, records: &[MemberRecord], now: Instant) -> Vec<NodeId> {
        let changed = records
            .iter()
            .filter(|record| self.merge_one(record, now))
            .map(|record| record.node.clone())
            .collect();
        self.forget(now);
        changed
    }

    /// Takes in the record that a member sent about itself; returns whether its state or start
    /// changed.
    pub fn merge_direct(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let changed = self.merge_one(record, now);
        if let Some(entry) = self.entries.get_mut(&record.node)
            && entry.record.incarnation == record.incarnation
        {
            entry.direct = Some(now);
            entry.doubt.answered(now);
        }
        changed
    }

    /// Takes in that this process could not reach a member; its next version clears that.
    pub fn mark_unreachable(&mut self, node: &str) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.doubt.unreachable(entry.record.version);
        }
    }

    /// Returns whether nothing new was heard of a member for too long, or it is not known.
    #[must_use]
    pub fn is_unresponsive(&self, node: &str, now: Instant) -> bool {
        node != self.own.node
            && self
                .entries
                .get(node)
                .is_none_or(|entry| self.is_silent(entry, now))
    }

    /// Returns the record of a member.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.entries.get(node).map(|entry| &entry.record)
    }

    /// Returns the records of all members that may get new work, in the order of their names.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        let mut live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !entry.doubt.is_suspect(now) && !self.is_silent(entry, now))
            .map(|entry| &entry.record)
            .chain((self.own.state == MemberState::Live).then_some(&self.own))
            .collect();
        live.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        live
    }

    /// Returns all known members but the own process, in no particular order.
    pub fn known(&self, now: Instant) -> impl Iterator<Item = KnownMember<'_>> {
        self.entries.values().map(move |entry| KnownMember {
            record: &entry.record,
            received: entry.heard,
            is_reachable: !entry.doubt.is_suspect(now) && !self.is_silent(entry, now),
        })
    }

    /// Returns the loads of the other members of a service that take new work.
    ///
    /// In a fleet too large to pass records on quickly, only what members said themselves counts.
    #[must_use]
    pub fn loads(&self, service: &ServiceId, now: Instant) -> Vec<LoadReport> {
        let relayed = self.heartbeat_interval() <= MAX_RELAY;
        self.entries
            .values()
            .filter(|entry| entry.record.service.as_ref() == Some(service))
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !self.is_silent(entry, now))
            .filter_map(|entry| {
                let heard = if relayed { entry.heard } else { entry.direct? };
                Some(LoadReport {
                    load: entry.record.load,
                    age: now.saturating_duration_since(heard),
                })
            })
            .collect()
    }

    /// Returns the number of other members of a service that take new work.
    #[must_use]
    pub fn live_count(&self, service: &ServiceId, now: Instant) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.record.service.as_ref() == Some(service))
            .filter(|entry| entry.record.state == MemberState::Live)
            .filter(|entry| !self.is_silent(entry, now))
            .count()
    }

    /// Returns the number of known processes, its own among them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() + 1
    }

    /// Returns whether no other process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_silent(&self, entry: &Entry, now: Instant) -> bool {
        now.saturating_duration_since(entry.heard) >= self.heartbeat_timeout()
    }

    /// Takes in one record; returns whether the state or the start of the member changed.
    fn merge_one(&mut self, record: &MemberRecord, now: Instant) -> bool {
        if record.node == self.own.node {
            self.merge_own(record.incarnation, record.version);
            return false;
        }
        let Some(entry) = self.entries.get_mut(&record.node) else {
            return self.insert(record, now);
        };
        let known = &mut entry.record;
        let before = (known.incarnation, known.state);
        let newer = (record.incarnation, record.version) > (known.incarnation, known.version);
        if newer {
            let same_start = record.incarnation == known.incarnation;
            let state = if same_start {
                known.state
            } else {
                record.state
            };
            *known = record.clone();
            known.state = known.state.max(state);
            entry.heard = now;
        } else if record.incarnation == known.incarnation {
            known.state = known.state.max(record.state);
        }
        let changed = before != (known.incarnation, known.state);
        if newer || changed {
            entry.spread = Spread::new(encoded_bytes(known));
        }
        if newer && before.0 != known.incarnation {
            entry.doubt = Doubt::default();
        } else if newer && entry.doubt.refute(known.version) {
            entry.spread.hurry();
        }
        changed
    }

    /// Stays ahead of what others know about this process.
    fn merge_own(&mut self, incarnation: Incarnation, version: u64) {
        if incarnation > self.own.incarnation {
            self.superseded = true;
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
            heard: now,
            direct: None,
            doubt: Doubt::default(),
            spread: Spread::new(encoded_bytes(record)),
        };
        self.entries.insert(record.node.clone(), entry);
        true
    }

    fn forget(&mut self, now: Instant) {
        let forget_after = self.heartbeat_timeout() * FORGET_SILENCES;
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.heard) < forget_after);
    }

    /// Drops the member that was heard of least lately, one that left before all others.
    fn evict(&mut self) {
        let victim = self
            .entries
            .values()
            .min_by_key(|entry| {
                let stays = entry.record.state != MemberState::Left;
                (stays, entry.heard, entry.record.node.clone())
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
