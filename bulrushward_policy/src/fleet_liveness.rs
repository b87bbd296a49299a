//! Which routers of a fleet are alive, told onwards by those that heard them.
//!
//! Pattern answered: fleets of any size in which each router writes to a few others at a time. In a fleet of 25
//! a router hears a given other one every 1.5 s on average and at times not for 3 s; in one of 400, hardly ever.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IndexedRandom};

/// Time without a sign of life, own or told, after which a router counts as gone; a sign takes up to some
/// seconds through 400 routers that lose one datagram in ten.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(8);
/// Routers that one datagram tells of; bounds its size.
const MAX_SAMPLE: usize = 96;

/// The latest signs of life of other routers.
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
    /// Takes in a sign of life that is `age` old; returns whether the router was not known as alive.
    pub fn record(&mut self, router: K, age: Duration, now: Instant) -> bool {
        let Some(at) = now.checked_sub(age).filter(|_| age < LIVENESS_TIMEOUT) else {
            return false;
        };
        let known = self.last_seen.get(&router).copied();
        if known.is_none_or(|known| at > known) {
            self.last_seen.insert(router, at);
        }
        known.is_none()
    }

    /// Forgets the routers that are gone and returns them.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<K> {
        let is_expired =
            |_: &K, at: &mut Instant| now.saturating_duration_since(*at) >= LIVENESS_TIMEOUT;
        self.last_seen
            .extract_if(is_expired)
            .map(|(router, _)| router)
            .collect()
    }

    /// Returns the routers that are believed alive.
    pub fn alive(&self) -> impl Iterator<Item = &K> {
        self.last_seen.keys()
    }

    /// Returns the number of routers that are believed alive.
    #[must_use]
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }

    /// Draws routers to tell another one of, each with the age of its latest sign of life.
    pub fn sample(&self, now: Instant, rng: &mut impl Rng) -> Vec<(K, Duration)> {
        let all: Vec<_> = self.last_seen.iter().collect();
        all.sample(rng, MAX_SAMPLE)
            .map(|(router, at)| ((*router).clone(), now.saturating_duration_since(**at)))
            .collect()
    }
}
