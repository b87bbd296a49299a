//! When the calls that wait for changes at the store are sent again after an outage.
//!
//! Handles: a store that forgets the waiting calls in an outage while their connections stay alive,
//! so that only a missing response shows it; a fleet of which all calls are waiting at that
//! time, so that only the router that probes the store notices; routers that notice the return of
//! the store one after the other.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Random id of a return of the store, given by the router that noticed it.
pub type RecoveryId = u64;

/// Time within which the returns that peers report belong to the same outage.
///
/// Routers notice a return one after the other, and reports arrive with a delay.
const SAME_OUTAGE: Duration = Duration::from_secs(2);
/// Age from which a peer's report is ignored; gossip reaches all routers earlier.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Returns of which the ids are remembered, so that none counts twice with different times.
const MAX_KNOWN: usize = 64;

/// A return of the store as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryReport {
    /// Id of the return.
    pub id: RecoveryId,
    /// Milliseconds since the return.
    pub age_ms: u32,
}

/// The latest return of the store that any router of the fleet noticed.
#[derive(Clone, Debug, Default)]
pub struct RecoveryLog {
    latest: Option<(RecoveryId, Instant)>,
    /// Ids of the latest returns, the oldest first.
    known: VecDeque<RecoveryId>,
}

impl RecoveryLog {
    /// Records that this router reached the store again after calls without a response.
    pub fn record(&mut self, id: RecoveryId, now: Instant) {
        self.remember(id);
        self.latest = Some((id, now));
    }

    /// Merges the report of a peer; returns whether it shows the end of a further outage.
    pub fn merge(&mut self, report: RecoveryReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        if age > REPORT_MAX_AGE || self.known.contains(&report.id) {
            return false;
        }
        self.remember(report.id);
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let latest = self.latest();
        let is_further = latest.is_none_or(|latest| at >= latest + SAME_OUTAGE);
        if is_further {
            self.latest = Some((report.id, at));
        }
        is_further
    }

    /// Returns the time of the latest return of the store.
    ///
    /// Calls that were sent before it may never be responded to.
    #[must_use]
    pub fn latest(&self) -> Option<Instant> {
        self.latest.map(|(_, at)| at)
    }

    /// Returns the report of the latest return for peers, unless it is too old to matter.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<RecoveryReport> {
        let (id, at) = self.latest?;
        let age = now.saturating_duration_since(at);
        (age <= REPORT_MAX_AGE).then_some(RecoveryReport {
            id,
            age_ms: age.as_millis() as u32,
        })
    }

    fn remember(&mut self, id: RecoveryId) {
        if self.known.len() == MAX_KNOWN {
            self.known.pop_front();
        }
        self.known.push_back(id);
    }
}
