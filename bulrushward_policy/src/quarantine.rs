//! Quarantine of request content that crashes backend servers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Fingerprint, QuarantineRecord};

/// Shortest remaining time to live of a peer's record that is accepted.
///
/// It exceeds the time that a record needs to propagate, so that expired content is not learned
/// again from a peer where it expires slightly later.
const MIN_TTL: Duration = Duration::from_secs(5);

/// What is known about the content of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The content is not known to crash backend servers.
    Clear,
    /// The content ran on a backend server that crashed; it is retried away from other work.
    Suspect,
    /// The content crashed too many backend servers and is not run any more.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u8,
    expires: Instant,
    /// Number of exchanges that included the entry since it last changed.
    times_sent: u32,
}

/// Counts crashes of backend servers by the fingerprint of the request content that caused them.
#[derive(Debug)]
pub struct Quarantine {
    threshold: u8,
    ttl: Duration,
    capacity: usize,
    entries: HashMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    ///
    /// Content is quarantined after `threshold` crashes and expires `ttl` after its last crash. At
    /// most `capacity` entries are kept.
    #[must_use]
    pub fn new(threshold: u8, ttl: Duration, capacity: usize) -> Self {
        Self {
            threshold: threshold.max(1),
            ttl,
            capacity: capacity.max(1),
            entries: HashMap::new(),
        }
    }

    /// Replaces the threshold, and the time to live for crashes that are recorded from now on.
    pub fn reconfigure(&mut self, threshold: u8, ttl: Duration) {
        self.threshold = threshold.max(1);
        self.ttl = ttl;
    }

    /// Records a crash of a backend server that ran the content; returns the crashes so far.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Instant) -> u8 {
        let known = self.crashes(fingerprint, now);
        self.record_crash_after(fingerprint, known, now)
    }

    /// Records a crash by content that had crashed `known` backend servers when it was sent.
    ///
    /// An agent that receives a request marked as suspect thus counts correctly even if it has not
    /// received the record of the first crash. Returns the number of crashes so far.
    pub fn record_crash_after(&mut self, fingerprint: Fingerprint, known: u8, now: Instant) -> u8 {
        let crashes = self.crashes(fingerprint, now).max(known).saturating_add(1);
        let expires = now + self.ttl;
        self.insert(fingerprint, crashes, expires, now);
        crashes
    }

    /// Returns what is known about the content.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        match self.crashes(fingerprint, now) {
            0 => Verdict::Clear,
            crashes if crashes < self.threshold => Verdict::Suspect,
            _ => Verdict::Quarantined,
        }
    }

    /// Returns the time until the content expires; zero if it is not known.
    #[must_use]
    pub fn remaining(&self, fingerprint: Fingerprint, now: Instant) -> Duration {
        self.entries
            .get(&fingerprint)
            .map_or(Duration::ZERO, |entry| {
                entry.expires.saturating_duration_since(now)
            })
    }

    /// Merges the records of a peer; the higher number of crashes wins.
    ///
    /// A record with an equal number does not change the expiry, so that peers cannot prolong a
    /// record by passing it back and forth.
    pub fn merge(&mut self, records: &[QuarantineRecord], now: Instant) {
        for record in records {
            let ttl = Duration::from_secs(record.ttl_seconds.into()).min(self.ttl);
            let newer = record.crashes > self.crashes(record.fingerprint, now);
            if newer && ttl >= MIN_TTL {
                self.insert(record.fingerprint, record.crashes, now + ttl, now);
            }
        }
    }

    /// Returns up to `limit` records for a peer, those that were sent least often first.
    pub fn records(&mut self, now: Instant, limit: usize) -> Vec<QuarantineRecord> {
        self.remove_expired(now);
        let mut order: Vec<_> = self
            .entries
            .iter()
            .map(|(fingerprint, entry)| (entry.times_sent, u8::MAX - entry.crashes, *fingerprint))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .take(limit)
            .filter_map(|(_, _, fingerprint)| self.record(fingerprint, now))
            .collect()
    }

    /// Returns the number of entries that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn crashes(&self, fingerprint: Fingerprint, now: Instant) -> u8 {
        self.entries
            .get(&fingerprint)
            .filter(|entry| entry.expires > now)
            .map_or(0, |entry| entry.crashes)
    }

    fn record(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<QuarantineRecord> {
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.times_sent += 1;
        let ttl = entry.expires.saturating_duration_since(now);
        Some(QuarantineRecord {
            fingerprint,
            crashes: entry.crashes,
            ttl_seconds: ttl.as_secs().try_into().unwrap_or(u32::MAX),
        })
    }

    fn insert(&mut self, fingerprint: Fingerprint, crashes: u8, expires: Instant, now: Instant) {
        let entry = Entry {
            crashes,
            expires,
            times_sent: 0,
        };
        self.entries.insert(fingerprint, entry);
        if self.entries.len() > self.capacity {
            self.remove_expired(now);
        }
        if self.entries.len() > self.capacity {
            self.evict(fingerprint);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    /// Removes the entry with the fewest crashes, other than `newest`; of several, the first to
    /// expire.
    fn evict(&mut self, newest: Fingerprint) {
        let victim = self
            .entries
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != newest)
            .min_by_key(|(fingerprint, entry)| (entry.crashes, entry.expires, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(victim) = victim {
            self.entries.remove(&victim);
        }
    }
}
