//! Which requests and prompt parts crash backend servers, from the crashes and responses that all processes have seen.
//!
//! Handles: content that arrives at any process and crashes each server that begins to run it; crashes
//! that different processes see; harmless content that runs beside it; lost, late and repeated messages;
//! processes that restart; content that returns after minutes; callers that send much of it; servers that crash with
//! many requests of many parts.

mod eviction;
mod merge;
mod record;

use std::{
    cmp::Reverse,
    collections::HashMap,
    num::NonZeroUsize,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Content, ContentKind, CrashReport, OrganisationHash, ServerKey};
use lru::LruCache;
use strum::IntoStaticStr;

use self::record::{Crash, Limits, MAX_CRASHES, Record};
use crate::run_survival::SURVIVAL_TIME;

/// Contents whose latest complete response is remembered, including those that most requests share.
const MAX_SERVED: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();
/// Time after which a probe without a result is given up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// New contents that one crash adds, which bounds the work for a server that ran many requests with long prompts.
const MAX_NEW: usize = 256;
/// Times that a record is sent after its latest change; barred content is always sent.
const MAX_SENDS: u32 = 10;

/// Limits of [`CrashEvidence`].
#[derive(Clone, Copy, Debug)]
pub struct BarPolicy {
    /// Crashes of different servers after which content is barred.
    pub crashes: usize,
    /// Time for which content that was served before is not barred yet, as a peer may have served it again.
    pub grace: Duration,
    /// Shortest time for which content is barred that was never served.
    pub period: Duration,
    /// Shortest time for which content is barred if other content that was never served explains the same crashes.
    ///
    /// One of them may be what all requests have in common, as after a restart of all processes.
    pub ambiguous_period: Duration,
    /// Shortest time for which content is barred that was served before.
    ///
    /// It may have been at several servers that failed together for another reason.
    pub served_period: Duration,
    /// Time for which crashes are remembered after the latest one or after the bar.
    pub memory: Duration,
    /// Largest number of contents that are remembered.
    pub capacity: usize,
}

impl BarPolicy {
    /// The limits of direct routers.
    pub const DIRECT: Self = Self {
        // Fewer may be a coincidence.
        crashes: 3,
        // A stream that begins after the crash survives within this time, and its refutation reaches the peers.
        grace: SURVIVAL_TIME.saturating_add(Duration::from_millis(1_500)),
        period: Duration::from_mins(1),
        ambiguous_period: Duration::from_millis(1_500),
        // Servers that failed together are back within a few seconds.
        served_period: Duration::from_secs(5),
        memory: Duration::from_mins(10),
        capacity: 1_024,
    };
}

/// What is known about content.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// It is not known to crash servers.
    Clear,
    /// Servers that began to run it have crashed, but too few to bar it.
    Suspect,
    /// It is not sent to any server.
    Barred {
        /// Time until it may be tried again.
        remaining: Duration,
    },
    /// Its bar is over; one request shows whether it still crashes servers.
    HalfOpen,
}

impl Verdict {
    /// Returns whether content is barred, or half-open after its bar.
    #[must_use]
    pub fn is_quarantined(self) -> bool {
        matches!(self, Self::Barred { .. } | Self::HalfOpen)
    }
}

/// Content whose refusal has begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarChange {
    /// Content.
    pub content: Content,
    /// Crashes since the content was last served.
    pub crashes: usize,
    /// Whether it is refused.
    pub is_barred: bool,
}

/// The crashes of backend servers by the content that they had begun to run.
///
/// Crashes are a set that grows by merging, so all processes that know the same ones agree. A complete response to a
/// request with the content refutes the crashes before it.
#[derive(Debug)]
pub struct CrashEvidence {
    limits: Limits,
    records: HashMap<Content, Record>,
    /// Latest complete responses that this process has seen, by content.
    served: LruCache<Content, Instant>,
}

impl CrashEvidence {
    /// Creates a collection without crashes.
    #[must_use]
    pub fn new(policy: BarPolicy) -> Self {
        Self {
            limits: Limits {
                policy,
                explained: HashMap::new(),
            },
            records: HashMap::new(),
            served: LruCache::new(MAX_SERVED),
        }
    }

    /// Replaces the limits.
    pub fn set_policy(&mut self, policy: BarPolicy) {
        self.limits.policy = policy;
        self.update_explained();
    }

    /// Records that a server crashed that had begun to run the content; returns the crashes that are known.
    pub fn record_crash(
        &mut self,
        content: Content,
        organisation: OrganisationHash,
        server: ServerKey,
        now: Instant,
    ) -> usize {
        self.record_crashes([(content, organisation)], server, now);
        self.crashes(content)
    }

    /// Records that a server crashed that had begun to run some contents; returns those that are remembered.
    ///
    /// Of the contents that are new, up to [`MAX_NEW`] are remembered: whole requests, then those that were not served
    /// before, then those that most requests had in common.
    pub fn record_crashes(
        &mut self,
        contents: impl IntoIterator<Item = (Content, OrganisationHash)>,
        server: ServerKey,
        now: Instant,
    ) -> Vec<Content> {
        let mut requests: HashMap<Content, (OrganisationHash, u32)> = HashMap::new();
        for (content, organisation) in contents {
            requests.entry(content).or_insert((organisation, 0)).1 += 1;
        }
        let is_known = |content: &Content| self.records.contains_key(content);
        let mut contents: Vec<_> = requests.keys().copied().filter(is_known).collect();
        let new = requests.iter().filter(|(content, _)| !is_known(content));
        let mut new: Vec<_> = new
            .map(|(content, (organisation, count))| {
                let is_request = content.kind == ContentKind::Request;
                let is_unserved = !self.served.contains(content);
                let order = Reverse((is_request, is_unserved, *count, *content));
                (order, *organisation)
            })
            .collect();
        if new.len() > MAX_NEW {
            new.select_nth_unstable(MAX_NEW);
            new.truncate(MAX_NEW);
        }
        if self.records.len() + new.len() > self.limits.policy.capacity {
            self.remove_expired(now);
        }
        let mut inserted = Vec::new();
        for (Reverse((.., content)), organisation) in new {
            self.insert(content, organisation);
            inserted.push(content);
        }
        self.evict(&inserted, now);
        contents.extend(inserted);
        for content in &contents {
            if let Some(record) = self.records.get_mut(content) {
                record.add_crash(Crash { server, at: now });
            }
        }
        self.update_explained();
        contents
    }

    /// Records a complete response to a request with the content; returns whether it refutes crashes.
    pub fn record_served(&mut self, content: Content, now: Instant) -> bool {
        self.record_all_served([content], now)
    }

    /// Records a complete response to a request with the contents; returns whether it refutes crashes.
    pub fn record_all_served(
        &mut self,
        contents: impl IntoIterator<Item = Content>,
        now: Instant,
    ) -> bool {
        let mut is_refuted = false;
        for content in contents {
            self.served.put(content, now);
            let record = self.records.get_mut(&content);
            is_refuted |= record.is_some_and(|record| record.record_served(now));
        }
        if is_refuted {
            self.update_explained();
        }
        is_refuted
    }

    /// Returns what is known about the content.
    #[must_use]
    pub fn verdict(&self, content: Content, now: Instant) -> Verdict {
        let record = self.records.get(&content);
        record.map_or(Verdict::Clear, |record| record.verdict(&self.limits, now))
    }

    /// Returns the time for which a request with the content is refused, if it is.
    ///
    /// The process for which `is_prober` returns true probes content whose bar is over; if it does not, the others do.
    /// It is called for barred content only.
    #[must_use]
    pub fn refusal(
        &self,
        content: Content,
        is_prober: impl FnOnce() -> bool,
        now: Instant,
    ) -> Option<Duration> {
        let record = self.records.get(&content)?;
        if !record.verdict(&self.limits, now).is_quarantined() {
            return None;
        }
        let (_, mut until) = record.bar(&self.limits)?;
        if !is_prober() {
            until += self.limits.policy.period;
        }
        let probe = record.probe.map(|begun| begun + PROBE_TIMEOUT);
        let until = probe.map_or(until, |end| end.max(until));
        (now < until).then(|| until - now)
    }

    /// Records that a request with the content is sent; it is a probe if the content was barred.
    pub fn record_sent(&mut self, content: Content, now: Instant) {
        let Some(record) = self.records.get_mut(&content) else {
            return;
        };
        if record.verdict(&self.limits, now) == Verdict::HalfOpen {
            record.probe = Some(now);
            record.times_sent = 0;
        }
    }

    /// Returns the number of crashes of servers since the content was last served.
    #[must_use]
    pub fn crashes(&self, content: Content) -> usize {
        let record = self.records.get(&content);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Returns the refusals that have begun or ended, each change once.
    pub fn take_changes(&mut self, now: Instant) -> Vec<BarChange> {
        let mut changes = Vec::new();
        for (content, record) in &mut self.records {
            let is_barred = record.verdict(&self.limits, now).is_quarantined();
            if is_barred != std::mem::replace(&mut record.is_reported, is_barred) {
                changes.push(BarChange {
                    content: *content,
                    crashes: record.crashes.len(),
                    is_barred,
                });
            }
        }
        changes
    }

    /// Returns up to `limit` reports for peers, those that were sent least often first.
    ///
    /// Among these, refutations come first: there are few, and peers refuse sound content until they receive them.
    pub fn reports(&mut self, now: Instant, limit: usize) -> Vec<CrashReport> {
        self.remove_expired(now);
        let limits = &self.limits;
        let mut due: Vec<_> = self
            .records
            .iter_mut()
            .filter(|(_, record)| {
                record.times_sent < MAX_SENDS || record.verdict(limits, now).is_quarantined()
            })
            .map(|(content, record)| {
                let order = (
                    record.times_sent,
                    !record.crashes.is_empty(),
                    MAX_CRASHES - record.crashes.len(),
                    *content,
                );
                (order, record)
            })
            .collect();
        due.sort_unstable_by_key(|(order, _)| *order);
        due.into_iter()
            .take(limit)
            .map(|((_, _, _, content), record)| {
                record.times_sent += 1;
                record.report(content, now)
            })
            .collect()
    }

    /// Returns whether a change has not been reported to any peer yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.records.values().any(|record| record.times_sent == 0)
    }

    /// Returns how long the content has been barred, if it is, half-open content included.
    #[must_use]
    pub fn barred_for(&self, content: Content, now: Instant) -> Option<Duration> {
        let (from, _) = self.records.get(&content)?.bar(&self.limits)?;
        (from <= now).then(|| now - from)
    }

    /// Returns the number of contents that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no content is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of contents that are barred or half-open.
    #[must_use]
    pub fn quarantined_count(&self, now: Instant) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.verdict(&self.limits, now).is_quarantined())
            .count()
    }

    fn insert(&mut self, content: Content, organisation: OrganisationHash) {
        let served = self.served.peek(&content).copied();
        self.records
            .insert(content, Record::new(organisation, served));
    }

    fn update_explained(&mut self) {
        let policy = &self.limits.policy;
        let explaining = self.records.values();
        let explaining = explaining.filter(|record| record.explains_crashes(policy));
        let mut explained = HashMap::new();
        for crash in explaining.flat_map(|record| &record.crashes) {
            *explained.entry(crash.server).or_default() += 1;
        }
        self.limits.explained = explained;
    }

    fn remove_expired(&mut self, now: Instant) {
        let limits = &self.limits;
        self.records
            .retain(|_, record| record.expires(limits).is_some_and(|expires| now < expires));
        self.update_explained();
    }
}
