//! Which software versions the servers of each service had, and since when that is known without a gap.
//!
//! Handles: resumed streams of which no router keeps the origin, as after the loss of all routers. If a service has had
//! one version only for longer than a stream may last, that version began it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{server_scope::VersionKey, stream_origin::Origin};

/// Hash of the name of a service.
pub type ServiceKey = u64;

/// Longest time that is covered.
pub const MAX_LOOK_BACK: Duration = Duration::from_mins(5);
/// Largest number of versions that are remembered for a service, those that were seen last.
const MAX_VERSIONS: usize = 8;

/// A version, or `None` for servers that state none, and the time since it was last seen, in milliseconds.
type SeenVersion = (Option<VersionKey>, u32);

/// What a router saves of its history for routers that start when all have died.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Time for which the history is complete, in milliseconds; `None` if it has gaps.
    complete_ms: Option<u32>,
    services: Vec<(ServiceKey, Vec<SeenVersion>)>,
}

/// Versions of the servers of all services in the last minutes.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Time at which each version of a service was last seen.
    last_seen: HashMap<ServiceKey, Vec<(Option<VersionKey>, Instant)>>,
    /// Time since which no version can have been missed; `None` while that is unknown.
    complete_since: Option<Instant>,
}

impl VersionHistory {
    /// Records that versions may have been missed until now.
    pub fn begin(&mut self, now: Instant) {
        self.complete_since = Some(now);
    }

    /// Records that no server had got a request before now, as no router of the fleet has run before.
    ///
    /// Missing data does not show that; only the operator knows it.
    pub fn begin_fleet(&mut self, now: Instant) {
        self.complete_since = now.checked_sub(MAX_LOOK_BACK);
    }

    /// Records that a server of a service has a version.
    pub fn observe(&mut self, service: ServiceKey, version: Option<VersionKey>, now: Instant) {
        let seen = self.last_seen.entry(service).or_default();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_LOOK_BACK;
        seen.retain(|(known, at)| *known != version && is_recent(at));
        seen.push((version, now));
        keep_latest(seen);
    }

    /// Returns whether a service has had one version only for at least `life`, which `current` servers have now.
    #[must_use]
    pub fn origin(
        &self,
        service: ServiceKey,
        current: impl IntoIterator<Item = Option<VersionKey>>,
        life: Duration,
        now: Instant,
    ) -> Origin {
        let is_within = |at: Instant| now.saturating_duration_since(at) <= life;
        let is_gapless = self.complete_since.is_some_and(|since| !is_within(since));
        let seen = self.last_seen.get(&service).map_or(&[][..], Vec::as_slice);
        let recent = seen.iter().filter(|(_, at)| is_within(*at));
        let mut versions = recent.map(|(version, _)| *version).chain(current);
        let first = versions.next();
        if !versions.all(|version| Some(version) == first) {
            return Origin::SeveralVersions;
        }
        match first.flatten() {
            Some(version) if is_gapless && !seen.is_empty() && life <= MAX_LOOK_BACK => {
                Origin::OnlyVersion { version }
            }
            _ => Origin::NotKnown,
        }
    }

    /// Returns what other routers need to continue this history.
    #[must_use]
    pub fn report(&self, now: Instant) -> HistoryReport {
        let age_ms = |at: Instant| {
            let age = now.saturating_duration_since(at).min(MAX_LOOK_BACK);
            age.as_millis() as u32
        };
        let services = self.last_seen.iter().map(|(service, seen)| {
            let seen = seen.iter().map(|(version, at)| (*version, age_ms(*at)));
            (*service, seen.collect())
        });
        HistoryReport {
            complete_ms: self.complete_since.map(age_ms),
            services: services.collect(),
        }
    }

    /// Returns whether the history is shorter than another one was when it was reported.
    #[must_use]
    pub fn is_shorter_than(&self, other: &HistoryReport, now: Instant) -> bool {
        self.report(now).complete_ms < other.complete_ms
    }

    /// Continues the history of another router, if nothing was missed since its report.
    ///
    /// The report may be old: versions then count as seen later than they were, and the history as shorter.
    pub fn restore(&mut self, report: &HistoryReport, now: Instant) {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let Some(complete_since) = report.complete_ms.and_then(at) else {
            self.begin(now);
            return;
        };
        self.complete_since = Some(complete_since);
        for (service, seen) in &report.services {
            let known = self.last_seen.entry(*service).or_default();
            for (version, age_ms) in seen {
                let Some(at) = at(*age_ms) else {
                    continue;
                };
                match known.iter_mut().find(|(known, _)| known == version) {
                    Some((_, last)) => *last = at.max(*last),
                    None => known.push((*version, at)),
                }
            }
            keep_latest(known);
        }
    }
}

/// Drops the versions that were seen longest ago beyond a limit.
fn keep_latest(seen: &mut Vec<(Option<VersionKey>, Instant)>) {
    seen.sort_unstable_by_key(|(_, at)| std::cmp::Reverse(*at));
    seen.truncate(MAX_VERSIONS);
}
