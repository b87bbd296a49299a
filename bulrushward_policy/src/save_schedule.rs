//! Which router of a fleet saves what all of them know.
//!
//! Pattern answered: a fleet of any size that writes to a store at the pace of one process, without an election:
//! routers come and go, and a turn that is missed or taken twice costs one call.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Part of a turn by which routers come earlier or later, so that they do not fall into step.
const JITTER: f64 = 0.5;

/// The turns of one router.
#[derive(Clone, Debug)]
pub struct SaveSchedule {
    interval: Duration,
    /// Share of a turn that has passed.
    elapsed: f64,
    /// Share from which on it is this router's turn.
    due: f64,
}

impl SaveSchedule {
    /// Creates the turns of a router in a fleet of which one router saves in each `interval` on average.
    #[must_use]
    pub fn new(interval: Duration, rng: &mut impl Rng) -> Self {
        Self {
            interval,
            elapsed: 0.0,
            due: rng.random(),
        }
    }

    /// Takes in that time has passed with `routers` alive; returns whether it is this router's turn.
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
