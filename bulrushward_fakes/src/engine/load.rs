//! Load of an engine, reported with a delay.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that hold a slot in the batch.
    pub running: usize,
    /// Requests that wait for a slot in the batch.
    pub waiting: usize,
}

/// Recent load values, kept for the reporting delay.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    /// Loads with their start times, oldest first; the first one is reported.
    loads: Mutex<VecDeque<(Instant, EngineLoad)>>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            loads: Mutex::default(),
        }
    }

    pub(crate) fn record(&self, running: usize, waiting: usize) {
        let mut loads = self.loads();
        loads.push_back((Instant::now(), EngineLoad { running, waiting }));
        self.prune(&mut loads);
    }

    /// Returns the current load.
    pub(crate) fn current(&self) -> EngineLoad {
        self.loads()
            .back()
            .map_or_else(EngineLoad::default, |(_, load)| *load)
    }

    /// Returns the load as it was `lag` ago.
    pub(crate) fn reported(&self) -> EngineLoad {
        let mut loads = self.loads();
        self.prune(&mut loads);
        match loads.front() {
            Some((since, load)) if since.elapsed() >= self.lag => *load,
            _ => EngineLoad::default(),
        }
    }

    /// Removes the loads that were superseded at least `lag` ago.
    fn prune(&self, loads: &mut VecDeque<(Instant, EngineLoad)>) {
        while loads
            .get(1)
            .is_some_and(|(since, _)| since.elapsed() >= self.lag)
        {
            loads.pop_front();
        }
    }

    fn loads(&self) -> MutexGuard<'_, VecDeque<(Instant, EngineLoad)>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
