//! Chooses routers for new connections by their readiness, as the platform's balancer does.

use std::{
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use rand::{RngExt, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep_until};

use crate::{
    callers::{Attempts, is_ready},
    harness::Harness,
};

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of failed probes in a row after which a router gets no new connections.
const MAX_MISSES: u32 = 2;

/// Readiness of all routers.
#[derive(Debug)]
pub(crate) struct Balancer {
    /// Failed probes in a row, by router.
    misses: Mutex<Vec<u32>>,
}

impl Balancer {
    pub(crate) fn new(routers: usize) -> Self {
        Self {
            misses: Mutex::new(vec![0; routers]),
        }
    }

    /// Returns a random router in rotation, or any router if none is.
    pub(crate) fn choose(&self, rng: &mut Pcg64Mcg) -> usize {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let in_rotation: Vec<usize> = (0..misses.len())
            .filter(|router| misses[*router] < MAX_MISSES)
            .collect();
        let any = rng.random_range(0..misses.len());
        in_rotation.choose(rng).copied().unwrap_or(any)
    }

    fn record(&self, router: usize, is_ready: bool) {
        let mut misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        misses[router] = if is_ready { 0 } else { misses[router] + 1 };
    }
}

/// Probes a router until `attempts.is_over` is set.
pub(crate) async fn probe_readiness(harness: Arc<Harness>, attempts: Arc<Attempts>, router: usize) {
    let address = harness.routers()[router].address(crate::router::READINESS_PORT);
    while !attempts.is_over.load(Ordering::Relaxed) {
        let next = Instant::now() + PROBE_INTERVAL;
        let is_ready = is_ready(address, PROBE_INTERVAL).await;
        harness.balancer.record(router, is_ready);
        sleep_until(next).await;
    }
}
