//! The backend servers that registered themselves in a store with outages.
//!
//! Patterns answered: entries lapse while the store is down and come back soon after it; servers leave in
//! a gap of the store's history; a peer's newer view stands in while the store turns this router away, and
//! the peer itself may have been cut off until just now.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Time after the store's return in which a lapsed entry may come back; servers renew theirs within it.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_100);
/// Time without an answer from which on the store counts as having been away; shorter gaps let no entry
/// lapse.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Revision of the store.
pub type StoreRevision = u64;

#[derive(Clone, Debug)]
struct Entry<R> {
    record: R,
    /// Whether the entry went missing around an outage and may come back.
    has_lapsed: bool,
}

/// An entry as one router tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySnapshot<R> {
    /// Id.
    pub id: String,
    /// Content.
    pub record: R,
    /// Whether it went missing around an outage that the teller saw, and may come back.
    pub has_lapsed: bool,
}

/// Registered servers by id, with what outages of the store mean for them.
#[derive(Clone, Debug)]
pub struct ServerRegistry<R> {
    entries: BTreeMap<String, Entry<R>>,
    revision: StoreRevision,
    failing_since: Option<Instant>,
    recovered: Option<Instant>,
}

impl<R> Default for ServerRegistry<R> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            revision: 0,
            failing_since: None,
            recovered: None,
        }
    }
}

impl<R: Clone + PartialEq> ServerRegistry<R> {
    /// Returns the revision of the store up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Takes in that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Takes in that the store answered; must come before what it answered.
    pub fn store_responded(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.saturating_duration_since(since) >= MIN_OUTAGE {
            self.recovered = Some(now);
        }
    }

    /// Replaces all entries by a full read, of the store or of a peer.
    pub fn replace(&mut self, records: Vec<(String, R)>, revision: StoreRevision, now: Instant) {
        if revision < self.revision {
            return;
        }
        if let Some(since) = self
            .failing_since
            .as_mut()
            .filter(|_| revision > self.revision)
        {
            // Only this router was cut off: the store went on for the peer, and so did the servers' entries.
            *since = now;
        }
        self.revision = revision;
        let current: BTreeMap<_, _> = records.into_iter().collect();
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

    /// Replaces all entries by what a peer knows.
    ///
    /// Entries that have lapsed for the peer are kept only by a router that saw an outage itself; for any other
    /// one the store went on, and they are gone.
    pub fn replace_from_snapshot(
        &mut self,
        mut snapshot: Vec<EntrySnapshot<R>>,
        revision: StoreRevision,
        now: Instant,
    ) {
        if revision < self.revision {
            return;
        }
        let saw_outage = self.failing_since.is_some() || self.is_in_grace(now);
        snapshot.retain(|entry| saw_outage || !entry.has_lapsed);
        let lapsed: Vec<_> = snapshot
            .iter()
            .filter(|entry| entry.has_lapsed)
            .map(|entry| entry.id.clone())
            .collect();
        let records = snapshot.into_iter().map(|entry| (entry.id, entry.record));
        self.replace(records.collect(), revision, now);
        for id in lapsed {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.has_lapsed = true;
            }
        }
    }

    /// Returns all entries for a peer.
    #[must_use]
    pub fn snapshot(&self) -> Vec<EntrySnapshot<R>> {
        let snapshot = |(id, entry): (&String, &Entry<R>)| EntrySnapshot {
            id: id.clone(),
            record: entry.record.clone(),
            has_lapsed: entry.has_lapsed,
        };
        self.entries.iter().map(snapshot).collect()
    }

    /// Takes in the changes from one revision up to another; `None` means that an entry was removed.
    ///
    /// Returns whether they were taken in: a copy of a peer may have overtaken them, and applying them to it
    /// would undo newer ones.
    pub fn apply_changes(
        &mut self,
        after: StoreRevision,
        changes: &[(String, Option<R>)],
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        if after != self.revision {
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

    /// Drops the entries that did not come back in time; returns whether there were any.
    pub fn remove_lapsed(&mut self, now: Instant) -> bool {
        if self.failing_since.is_some() || self.is_in_grace(now) {
            return false;
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.has_lapsed);
        self.entries.len() != before
    }

    /// Returns all entries that hold.
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
        self.entries.insert(id, entry);
    }

    fn remove(&mut self, id: &str, now: Instant) {
        if !self.is_in_grace(now) {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.has_lapsed = true;
        }
    }

    /// Returns whether missing entries may still come back after an outage.
    fn is_in_grace(&self, now: Instant) -> bool {
        self.recovered.is_some_and(|recovered| {
            now.saturating_duration_since(recovered) < REREGISTRATION_GRACE
        })
    }
}
