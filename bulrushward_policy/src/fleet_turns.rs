//! When a router takes its turn at a task that some router of the fleet does at bounded intervals.
//!
//! Turns are dealt without a leader: the routers rank in one order, and each has one slot in a cycle of the time of day.
//!
//! Handles: clocks that differ, which moves a slot by as much; routers that have just gone, whose slots stay empty; routers
//! that know different fleets for a while.

use std::time::Duration;

use crate::fleet_share::FleetPosition;

/// Item by whose order the routers rank; neighbours in a failure domain do not follow one another.
const ORDER: u64 = 0;

/// Turns of all routers of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetTurns {
    interval: Duration,
}

impl FleetTurns {
    /// Creates turns of which one follows another after `interval`, whatever the size of the fleet.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self { interval }
    }

    /// Returns the time until the next turn of the router `own` among `routers`, which are given by hashes.
    #[must_use]
    pub fn until_next(&self, own: u64, routers: &[u64], time_of_day: Duration) -> Duration {
        let position = FleetPosition::ranked(own, routers, ORDER);
        let interval = self.interval.as_millis().max(1);
        let cycle = interval * u128::from(position.members.max(1));
        let slot = interval * u128::from(position.rank);
        let wait = (slot + cycle - time_of_day.as_millis() % cycle) % cycle;
        let wait = if wait == 0 { cycle } else { wait };
        Duration::from_millis(wait as u64)
    }
}
