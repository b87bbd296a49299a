//! Whether the places of a service are scarce.
//!
//! Handles: a crowd at a plain service of few places. The first evidence are late responses and full servers; once the
//! places are lent, responses are in time again although the crowd lasts, so that the lender's own view counts.

use std::time::{Duration, Instant};

/// Ratio of response time to target latency from which a service is scarce.
const SCARCE_PRESSURE: f64 = 0.45;
/// Ratio of response time to target latency below which a service may have free places again.
const CALM_PRESSURE: f64 = 0.35;
/// Requests that full servers have rejected within [`REJECTION_MEMORY`] from which a service is scarce.
const SCARCE_REJECTIONS: u32 = 3;
/// Time for which the rejections by full servers are remembered.
const REJECTION_MEMORY: Duration = Duration::from_secs(1);
/// Ratio of lent and wanted places to slots below which a service has free places.
const CALM_LOAD: f64 = 0.65;
/// Time for which a service must have free places until they are no longer lent.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Age from which the load that the lender reported is ignored.
const LOAD_MAX_AGE: Duration = Duration::from_secs(1);

/// Evidence of one router about one service.
#[derive(Clone, Debug, Default)]
pub struct Scarcity {
    is_scarce: bool,
    /// Last time at which the service had no free places.
    last_scarce: Option<Instant>,
    /// Ratio of lent and wanted places to slots, as last reported.
    load: Option<(f64, Instant)>,
    rejections: u32,
    first_rejection: Option<Instant>,
}

impl Scarcity {
    /// Records that a full server rejected a request.
    pub fn record_rejection(&mut self, now: Instant) {
        let is_recent = |first: Instant| now.saturating_duration_since(first) < REJECTION_MEMORY;
        if self.first_rejection.is_some_and(is_recent) {
            self.rejections += 1;
        } else {
            self.first_rejection = Some(now);
            self.rejections = 1;
        }
        if self.rejections >= SCARCE_REJECTIONS {
            self.last_scarce = Some(now);
        }
    }

    /// Records a lender's ratio of lent and wanted places to slots.
    pub fn record_load(&mut self, load: f64, now: Instant) {
        self.load = Some((load, now));
        if load >= CALM_LOAD {
            self.last_scarce = Some(now);
        }
    }

    /// Returns whether the service is scarce; `pressure` is the ratio of its response time to the target latency.
    pub fn update(&mut self, pressure: f64, now: Instant) -> bool {
        let is_told = self
            .load
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < LOAD_MAX_AGE);
        // Lent places keep the servers busy, so the lender's view outweighs response times.
        let limit = if self.is_scarce {
            CALM_PRESSURE
        } else {
            SCARCE_PRESSURE
        };
        if !is_told && pressure >= limit {
            self.last_scarce = Some(now);
        }
        self.is_scarce = self
            .last_scarce
            .is_some_and(|at| now.saturating_duration_since(at) < CALM_TIME);
        self.is_scarce
    }
}
