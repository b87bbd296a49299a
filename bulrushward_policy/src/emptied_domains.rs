//! Failure domains to whose servers nothing may be sent, as an operator ordered in the store.
//!
//! Handles: routers whose calls the store rejects while their peers know an order; messages that arrive
//! late or out of order, so that an order or its withdrawal would be undone; listings and changes
//! that overlap; servers that are cold after their domain had no requests; a store that returns from a copy without the
//! latest orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::store_revision::{SETTLING_TIME, StoreRevision, era};

/// Name of a failure domain.
pub type FailureDomain = String;

/// Time for which a withdrawn order is remembered; servers are warm again earlier.
const WITHDRAWN_TTL: Duration = Duration::from_mins(1);
/// Time between two withdrawals of orders for a domain, below which they count as one reported twice.
const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(1);
/// Largest sum of the lengths of the names in a report that is a part of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1 << 10;

/// A failure domain with the age of its order, or of the withdrawal, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Milliseconds since the sender learnt of it.
    pub age_ms: u32,
}

/// The orders at a revision of the store as routers report them to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptiedReport {
    /// Store revision up to which changes are included.
    pub revision: StoreRevision,
    /// Domains that are emptied.
    pub emptied: Vec<DomainAge>,
    /// Domains whose orders were withdrawn recently.
    pub withdrawn: Vec<DomainAge>,
}

impl EmptiedReport {
    /// Returns whether the report is small enough for a datagram.
    ///
    /// Receivers of a part would drop the other orders.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        let entries = self.emptied.iter().chain(&self.withdrawn);
        let bytes: usize = entries.map(|entry| entry.domain.len()).sum();
        bytes <= MAX_DATAGRAM_BYTES
    }
}

/// An order that came into force or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainChange {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Whether the order came into force.
    pub is_emptied: bool,
    /// Time since the order became known to the reporting router.
    pub age: Duration,
}

/// The orders that one router knows, confirmed up to a revision of the store.
///
/// A view of a higher revision replaces one of a lower revision, never the other way round.
#[derive(Clone, Debug, Default)]
pub struct EmptiedDomains {
    /// Store revision up to which changes are included; `None` until the orders are known.
    revision: Option<StoreRevision>,
    /// Emptied domains, each with the start of its order.
    emptied: BTreeMap<FailureDomain, Instant>,
    /// Domains that are no longer emptied, with the times of the withdrawals.
    withdrawn: BTreeMap<FailureDomain, Instant>,
    /// Emptied domains whose orders the store lacks since it returned from a copy.
    unconfirmed: BTreeSet<FailureDomain>,
    /// End of the time in which these orders are written again.
    settled_at: Option<Instant>,
}

impl EmptiedDomains {
    /// Returns the store revision up to which the orders are known, or `None` if they are not known.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Returns whether nothing may be sent to the servers of a domain.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.emptied.contains_key(domain)
    }

    /// Returns the emptied domains.
    pub fn domains(&self) -> impl Iterator<Item = &str> {
        self.emptied.keys().map(String::as_str)
    }

    /// Returns the time at which the order for a domain was withdrawn, if that was in the last minute.
    #[must_use]
    pub fn recently_emptied_at(&self, domain: &str, now: Instant) -> Option<Instant> {
        let at = self.withdrawn.get(domain)?;
        is_recent(*at, now).then_some(*at)
    }

    /// Returns the domains whose orders were withdrawn in the last minute, with the times of the withdrawals.
    pub fn recently_emptied(&self, now: Instant) -> impl Iterator<Item = (&str, Instant)> {
        let recent = self
            .withdrawn
            .iter()
            .filter(move |(_, at)| is_recent(**at, now));
        recent.map(|(domain, at)| (domain.as_str(), *at))
    }

    /// Replaces the orders by a complete list from the store unless a newer view is known; returns
    /// what changed.
    pub fn replace(
        &mut self,
        domains: impl IntoIterator<Item = FailureDomain>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<DomainChange> {
        if self.revision > Some(revision) {
            return Vec::new();
        }
        let domains = domains.into_iter().map(|domain| (domain, now));
        let domains: BTreeMap<_, _> = domains.collect();
        let is_same_era = era(revision) == era(self.revision.unwrap_or_default());
        let mut changes =
            self.end_unconfirmed(now, |domain| is_same_era && !domains.contains_key(domain));
        if self.revision < Some(revision) {
            changes.extend(self.advance(domains, &BTreeMap::new(), revision, now));
        }
        changes
    }

    /// Applies all changes after the revision `after` up to `revision`; returns what changed.
    ///
    /// A change is a domain and whether it is emptied. Known changes have no effect.
    /// Returns `None` if changes before `after` are missing, so that the orders have to be listed.
    pub fn apply_changes(
        &mut self,
        after: StoreRevision,
        changes: &[(FailureDomain, bool)],
        revision: StoreRevision,
        now: Instant,
    ) -> Option<Vec<DomainChange>> {
        if self.revision? < after {
            return None;
        }
        if self.revision > Some(revision) {
            return Some(Vec::new());
        }
        let is_known = self.revision == Some(revision);
        let is_changed = |domain: &str| changes.iter().any(|(changed, _)| changed == domain);
        let mut ended = self.end_unconfirmed(now, |domain| is_known || !is_changed(domain));
        if is_known {
            return Some(ended);
        }
        self.unconfirmed.retain(|domain| !is_changed(domain));
        let mut emptied = self.emptied.clone();
        // No change confirms the others.
        emptied.retain(|domain, _since| !self.unconfirmed.contains(domain));
        let mut withdrawn = BTreeMap::new();
        for (domain, is_emptied) in changes {
            if *is_emptied {
                emptied.entry(domain.clone()).or_insert(now);
            } else {
                emptied.remove(domain);
                withdrawn.insert(domain.clone(), now);
            }
        }
        ended.extend(self.advance(emptied, &withdrawn, revision, now));
        Some(ended)
    }

    /// Merges the report of a peer unless it is older; returns what changed.
    pub fn merge(&mut self, report: &EmptiedReport, now: Instant) -> Vec<DomainChange> {
        let withdrawn = times(&report.withdrawn, now);
        if self.revision >= Some(report.revision) {
            // A listing does not contain orders that were withdrawn before it.
            self.remember_withdrawn(&withdrawn);
            return Vec::new();
        }
        let emptied = times(&report.emptied, now);
        self.advance(emptied, &withdrawn, report.revision, now)
    }

    /// Returns the orders for peers, or `None` if they are not known.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<EmptiedReport> {
        let confirmed = |(domain, _since): &(&FailureDomain, &Instant)| {
            // A peer that knows these orders keeps them as well.
            !self.unconfirmed.contains(*domain)
        };
        Some(EmptiedReport {
            revision: self.revision?,
            emptied: ages(self.emptied.iter().filter(confirmed), now),
            withdrawn: ages(
                self.withdrawn.iter().filter(|(_, at)| is_recent(**at, now)),
                now,
            ),
        })
    }

    /// Adopts a newer set of emptied domains and the withdrawals that its source knows.
    ///
    /// Known times are kept, as those of a peer include the delay of the message.
    fn advance(
        &mut self,
        mut emptied: BTreeMap<FailureDomain, Instant>,
        withdrawn: &BTreeMap<FailureDomain, Instant>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<DomainChange> {
        if era(revision) > era(self.revision.unwrap_or_default()) {
            self.unconfirmed = self.emptied.keys().cloned().collect();
            self.settled_at = Some(now + SETTLING_TIME);
        }
        self.keep_unconfirmed(&mut emptied, withdrawn);
        self.revision = Some(revision);
        let previous = std::mem::take(&mut self.emptied);
        let mut changes = Vec::new();
        for (domain, since) in &previous {
            if !emptied.contains_key(domain) {
                let at = withdrawn.get(domain).copied().unwrap_or(now);
                self.withdrawn.insert(domain.clone(), at);
                changes.push(change(domain, false, *since, now));
            }
        }
        self.remember_withdrawn(withdrawn);
        for (domain, since) in emptied {
            let known = previous.get(&domain).copied();
            if known.is_none() {
                changes.push(change(&domain, true, since, now));
            }
            self.withdrawn.remove(&domain);
            self.emptied.insert(domain, known.unwrap_or(since));
        }
        self.withdrawn.retain(|_, at| is_recent(*at, now));
        changes
    }
}

impl EmptiedDomains {
    /// Adds the orders that may be written again to a newer set, unless their withdrawals are known to its source.
    fn keep_unconfirmed(
        &mut self,
        emptied: &mut BTreeMap<FailureDomain, Instant>,
        withdrawn: &BTreeMap<FailureDomain, Instant>,
    ) {
        let known = &self.emptied;
        self.unconfirmed.retain(|domain| {
            let Some(since) = known.get(domain) else {
                return false;
            };
            let is_withdrawn = withdrawn.get(domain).is_some_and(|at| at > since);
            !is_withdrawn && !emptied.contains_key(domain)
        });
        for domain in &self.unconfirmed {
            emptied.insert(domain.clone(), known[domain]);
        }
    }

    /// Ends the orders that have not been written again in time and for which `is_lacking` holds; returns what changed.
    fn end_unconfirmed(
        &mut self,
        now: Instant,
        is_lacking: impl Fn(&str) -> bool,
    ) -> Vec<DomainChange> {
        if self.settled_at.is_none_or(|settled| now < settled) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for domain in self.unconfirmed.extract_if(.., |domain| is_lacking(domain)) {
            if let Some(since) = self.emptied.remove(&domain) {
                changes.push(change(&domain, false, since, now));
                self.withdrawn.insert(domain, now);
            }
        }
        changes
    }

    /// Remembers withdrawals of domains that are not emptied, unless they are known.
    ///
    /// The times in reports are slightly late; only a much later one is another withdrawal.
    fn remember_withdrawn(&mut self, withdrawn: &BTreeMap<FailureDomain, Instant>) {
        for (domain, at) in withdrawn {
            let known = self.withdrawn.get(domain);
            let is_known = known.is_some_and(|known| *at < *known + MIN_ORDER_INTERVAL);
            if !is_known && !self.emptied.contains_key(domain) {
                self.withdrawn.insert(domain.clone(), *at);
            }
        }
    }
}

fn change(domain: &str, is_emptied: bool, since: Instant, now: Instant) -> DomainChange {
    DomainChange {
        domain: domain.to_owned(),
        is_emptied,
        age: now.saturating_duration_since(since),
    }
}

fn is_recent(withdrawn: Instant, now: Instant) -> bool {
    now.saturating_duration_since(withdrawn) < WITHDRAWN_TTL
}

fn ages<'a>(
    times: impl Iterator<Item = (&'a FailureDomain, &'a Instant)>,
    now: Instant,
) -> Vec<DomainAge> {
    let age_ms = |at: &Instant| now.saturating_duration_since(*at).as_millis();
    times
        .map(|(domain, at)| DomainAge {
            domain: domain.clone(),
            age_ms: age_ms(at).try_into().unwrap_or(u32::MAX),
        })
        .collect()
}

fn times(ages: &[DomainAge], now: Instant) -> BTreeMap<FailureDomain, Instant> {
    let time = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    ages.iter()
        .map(|entry| (entry.domain.clone(), time(entry.age_ms).unwrap_or(now)))
        .collect()
}
