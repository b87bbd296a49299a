//! Failure detection between routers, with signs of life gossiped by their peers.
//!
//! Handles: fleets of any size in which each router sends to only a few others at a time. In a
//! fleet of 25, a router receives a datagram from a given peer every 1.5 s on average, sometimes
//! only after 3 s; in a fleet of 400, hardly ever.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IndexedRandom};

/// Time without a direct or gossiped sign of life after which a router counts as dead.
///
/// A sign of life takes up to a few seconds to reach all of 400 routers if one datagram in ten is
/// lost.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest number of routers reported in one datagram, which bounds its size.
const MAX_SAMPLE: usize = 96;
/// Largest number of routers that are remembered, several times the size of the largest fleets.
///
/// Datagrams that name routers which do not exist would otherwise fill the memory.
const MAX_ROUTERS: usize = 4_096;

/// When each other router was last known to be alive.
#[derive(Clone, Debug)]
pub struct FleetLiveness<K> {
    last_seen: HashMap<K, Instant>,
}

impl<K> Default for FleetLiveness<K> {
    fn default() -> Self {
        Self {
            last_seen: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> FleetLiveness<K> {
    /// Records a sign of life of this age; returns whether the router newly counts as alive.
    pub fn record(&mut self, router: K, age: Duration, now: Instant) -> bool {
        let Some(seen) = now.checked_sub(age).filter(|_| age < LIVENESS_TIMEOUT) else {
            return false;
        };
        let known = self.last_seen.get(&router).copied();
        if known.is_none() && self.last_seen.len() >= MAX_ROUTERS {
            return false;
        }
        if known.is_none_or(|known| seen > known) {
            self.last_seen.insert(router, seen);
        }
        known.is_none()
    }

    /// Removes and returns the routers without a recent sign of life.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<K> {
        let is_expired =
            |_: &K, seen: &mut Instant| now.saturating_duration_since(*seen) >= LIVENESS_TIMEOUT;
        self.last_seen
            .extract_if(is_expired)
            .map(|(router, _)| router)
            .collect()
    }

    /// Returns the routers that count as alive.
    pub fn alive(&self) -> impl Iterator<Item = &K> {
        self.last_seen.keys()
    }

    /// Returns the number of routers that count as alive.
    #[must_use]
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }

    /// Returns a random sample of live routers, each with the age of its latest sign of life.
    pub fn sample(&self, now: Instant, rng: &mut impl Rng) -> Vec<(K, Duration)> {
        let all: Vec<_> = self.last_seen.iter().collect();
        all.sample(rng, MAX_SAMPLE)
            .map(|(router, seen)| ((*router).clone(), now.saturating_duration_since(**seen)))
            .collect()
    }
}
