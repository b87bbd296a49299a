//! Registered backend servers, robust against outages of the store that holds their entries.
//!
//! An entry lapses if its lease expired around a store outage; its server is probably still alive.
//!
//! Handles: entries that lapse during an outage and are registered again soon after it; servers
//! that leave during a gap in the store's change history; snapshots from a peer while the store
//! rejects this router, although the peer may have been cut off from the store itself until
//! recently and then keeps entries that this router has seen leaving; a store that returns from a
//! copy, which lists servers as they were some time ago.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

pub use crate::store_revision::StoreRevision;
use crate::store_revision::{SETTLING_TIME, era};

/// Time after a store outage in which lapsed entries are kept; servers register again within it.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_100);
/// Shortest time from a failed call to the next response that counts as an outage; leases outlast
/// shorter gaps.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Time for which a removed entry is remembered; a peer may have been cut off for as long.
const REMOVED_TTL: Duration = Duration::from_mins(10);

#[derive(Clone, Debug)]
struct Entry<R> {
    record: R,
    /// Whether the entry disappeared around an outage and may be registered again.
    has_lapsed: bool,
}

/// A registry entry as it is sent to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySnapshot<R> {
    /// Id of the server.
    pub id: String,
    /// Content of the entry.
    pub record: R,
    /// Whether the entry has lapsed around an outage that the sender observed.
    pub has_lapsed: bool,
}

/// Registered servers by id; lapsed entries are kept until the grace period after an outage ends.
#[derive(Clone, Debug)]
pub struct ServerRegistry<R> {
    entries: BTreeMap<String, Entry<R>>,
    /// Servers whose entries were removed, and when.
    removed: BTreeMap<String, Instant>,
    revision: StoreRevision,
    /// Time of the first failed call since the store last responded, or the time at which a newer
    /// revision from a peer showed since then that the store was available.
    failing_since: Option<Instant>,
    /// End of the latest outage.
    recovered_at: Option<Instant>,
    /// When the era of the store began for this router.
    restored_at: Option<Instant>,
    /// Listed entries of servers that were removed before the era began, and are used if they stay.
    returning: BTreeMap<String, R>,
    /// Whether the first record of a server is from before the second one.
    is_outdated: fn(&R, &R) -> bool,
}

impl<R> Default for ServerRegistry<R> {
    fn default() -> Self {
        Self::new(|_, _| false)
    }
}

impl<R> ServerRegistry<R> {
    /// Creates an empty registry; `is_outdated` returns whether the first record of a server is from before the second.
    #[must_use]
    pub fn new(is_outdated: fn(&R, &R) -> bool) -> Self {
        Self {
            entries: BTreeMap::new(),
            removed: BTreeMap::new(),
            revision: 0,
            failing_since: None,
            recovered_at: None,
            restored_at: None,
            returning: BTreeMap::new(),
            is_outdated,
        }
    }
}

impl<R: Clone + PartialEq> ServerRegistry<R> {
    /// Returns the store revision up to which changes are applied.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the store responded; must be called before the response is applied.
    pub fn store_responded(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.saturating_duration_since(since) >= MIN_OUTAGE {
            self.recovered_at = Some(now);
        }
    }

    /// Replaces all entries with a complete list from the store or a peer, unless its revision is
    /// older.
    pub fn replace(&mut self, records: Vec<(String, R)>, revision: StoreRevision, now: Instant) {
        if revision < self.revision {
            return;
        }
        if let Some(since) = self
            .failing_since
            .as_mut()
            .filter(|_| revision > self.revision)
        {
            // Only this router is cut off: the peer reaches the store, so leases did not expire.
            *since = now;
        }
        if era(revision) > era(self.revision) {
            self.restored_at = Some(now);
            // Entries that the copy lacks are written again, as after an outage.
            self.recovered_at = Some(now)
                .filter(|_| self.revision > 0)
                .or(self.recovered_at);
        }
        self.revision = revision;
        let mut current: BTreeMap<_, _> = records.into_iter().collect();
        self.returning.clear();
        if self.is_settling(now) {
            self.keep_known(&mut current);
        }
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !current.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for (id, record) in current {
            self.insert(id, record);
        }
    }

    /// Replaces all entries with the snapshot of a peer.
    ///
    /// Entries that have lapsed for the peer are kept only if this router observed an outage as
    /// well. Otherwise the store was available all the time, so the missing entries were removed
    /// from it. They bring back no entry that this router saw removed, and replace none that it
    /// has, unless `is_leaving` holds for their records: the peer may have seen them long ago.
    pub fn replace_from_snapshot(
        &mut self,
        mut snapshot: Vec<EntrySnapshot<R>>,
        revision: StoreRevision,
        is_leaving: impl Fn(&R) -> bool,
        now: Instant,
    ) {
        if revision < self.revision {
            return;
        }
        let had_outage = self.failing_since.is_some() || self.is_in_grace(now);
        let is_gone = |id: &str| self.removed.contains_key(id);
        snapshot.retain(|entry| !entry.has_lapsed || (had_outage && !is_gone(&entry.id)));
        for lapsed in snapshot.iter_mut().filter(|entry| entry.has_lapsed) {
            if let Some(known) = self.entries.get(&lapsed.id)
                && !is_leaving(&lapsed.record)
            {
                lapsed.record = known.record.clone();
            }
        }
        let lapsed_ids: Vec<_> = snapshot
            .iter()
            .filter(|entry| entry.has_lapsed)
            .map(|entry| entry.id.clone())
            .collect();
        let records = snapshot.into_iter().map(|entry| (entry.id, entry.record));
        self.replace(records.collect(), revision, now);
        for id in lapsed_ids {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.has_lapsed = true;
            }
        }
    }

    /// Returns a snapshot of all entries for a peer.
    #[must_use]
    pub fn snapshot(&self) -> Vec<EntrySnapshot<R>> {
        let to_snapshot = |(id, entry): (&String, &Entry<R>)| EntrySnapshot {
            id: id.clone(),
            record: entry.record.clone(),
            has_lapsed: entry.has_lapsed,
        };
        // Those that were set aside are listed as well, as the peer may not have seen them removed.
        let returning = self.returning.iter().map(|(id, record)| EntrySnapshot {
            id: id.clone(),
            record: record.clone(),
            has_lapsed: false,
        });
        self.entries
            .iter()
            .map(to_snapshot)
            .chain(returning)
            .collect()
    }

    /// Applies the changes from `base` to `revision`; `None` means that an entry was removed.
    ///
    /// Returns whether they were applied. Changes that are based on another revision than the
    /// current one are ignored, since they would undo newer changes from a peer's snapshot.
    pub fn apply_changes(
        &mut self,
        base: StoreRevision,
        changes: &[(String, Option<R>)],
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        if base != self.revision {
            return false;
        }
        for (id, record) in changes {
            match record {
                Some(record) => self.insert(id.clone(), record.clone()),
                None => self.remove(id, now),
            }
        }
        self.revision = self.revision.max(revision);
        true
    }

    /// Uses the entries that an outdated list may have brought back, once the store shows that they stay; returns whether
    /// there were any.
    ///
    /// Called after all changes up to now have been applied.
    pub fn use_returned(&mut self, now: Instant) -> bool {
        if self.returning.is_empty() || self.is_settling(now) {
            return false;
        }
        for (id, record) in std::mem::take(&mut self.returning) {
            self.insert(id, record);
        }
        true
    }

    /// Removes lapsed entries after the grace period; returns whether there were any.
    pub fn remove_lapsed(&mut self, now: Instant) -> bool {
        if self.failing_since.is_some() || self.is_in_grace(now) {
            return false;
        }
        let before = self.entries.len();
        let lapsed = self.entries.extract_if(.., |_, entry| entry.has_lapsed);
        self.removed.extend(lapsed.map(|(id, _)| (id, now)));
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REMOVED_TTL;
        self.removed.retain(|_, at| is_recent(at));
        self.entries.len() != before
    }

    /// Returns all entries, including lapsed ones.
    pub fn records(&self) -> impl Iterator<Item = (&str, &R)> {
        self.entries
            .iter()
            .map(|(id, entry)| (id.as_str(), &entry.record))
    }

    fn insert(&mut self, id: String, record: R) {
        let entry = Entry {
            record,
            has_lapsed: false,
        };
        self.removed.remove(&id);
        self.returning.remove(&id);
        self.entries.insert(id, entry);
    }

    /// Removes an entry, or marks it as lapsed during the grace period after an outage.
    fn remove(&mut self, id: &str, now: Instant) {
        self.returning.remove(id);
        if !self.is_in_grace(now) {
            let removed = self.entries.remove_entry(id);
            self.removed.extend(removed.map(|(id, _)| (id, now)));
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.has_lapsed = true;
        }
    }

    /// Replaces what is older in a list from a copy than what is known, and sets aside servers that were removed.
    fn keep_known(&mut self, listed: &mut BTreeMap<String, R>) {
        let removed = &self.removed;
        let gone = listed.extract_if(.., |id, _| removed.contains_key(id));
        self.returning.extend(gone);
        for (id, record) in listed {
            if let Some(known) = self.entries.get(id)
                && (self.is_outdated)(record, &known.record)
            {
                *record = known.record.clone();
            }
        }
    }

    /// Returns whether servers may not have written their entries again since the store returned from a copy.
    fn is_settling(&self, now: Instant) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < SETTLING_TIME)
    }

    /// Returns whether missing entries may still be registered again after an outage.
    fn is_in_grace(&self, now: Instant) -> bool {
        self.recovered_at
            .is_some_and(|at| now.saturating_duration_since(at) < REREGISTRATION_GRACE)
    }
}
