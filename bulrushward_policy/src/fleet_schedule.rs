//! When a router takes its turn at a task that one router of the fleet does at a time.
//!
//! Handles: a fleet of any size that calls a store at the rate of one process, without leader
//! election. Routers may join and leave; the cost of a missed or duplicate turn is one call.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Random deviation from a cycle, as a fraction of it, so that routers do not synchronise.
const JITTER: f64 = 0.5;

/// Schedule of one router's turns.
///
/// A router has one turn in a cycle on average. A cycle is `interval` times the number of live
/// routers.
#[derive(Clone, Debug)]
pub struct FleetSchedule {
    interval: Duration,
    /// Time since the last turn, in cycles.
    elapsed: f64,
    /// Time from the last turn to the next one, in cycles.
    due: f64,
}

impl FleetSchedule {
    /// Creates a schedule for a fleet in which some router has a turn once per `interval` on average.
    #[must_use]
    pub fn new(interval: Duration, rng: &mut impl Rng) -> Self {
        Self {
            interval,
            elapsed: 0.0,
            due: rng.random(),
        }
    }

    /// Advances the schedule by a period with `routers` alive; returns whether it is this router's turn.
    pub fn advance(&mut self, elapsed_time: Duration, routers: u32, rng: &mut impl Rng) -> bool {
        let cycle = self.interval.as_secs_f64() * f64::from(routers.max(1));
        self.elapsed += elapsed_time.as_secs_f64() / cycle;
        if self.elapsed < self.due {
            return false;
        }
        self.elapsed = 0.0;
        self.due = rng.random_range(1.0 - JITTER..1.0 + JITTER);
        true
    }
}
