//! Load of an engine, reported late.

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
    /// Requests that produce tokens.
    pub running: usize,
    /// Requests that wait for a place in the batch.
    pub waiting: usize,
}

/// Load of the recent past.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    /// Loads and when they began, oldest first; the first is the one to report.
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

    /// Returns the newest load.
    pub(crate) fn now(&self) -> EngineLoad {
        self.loads()
            .back()
            .map_or_else(EngineLoad::default, |(_, load)| *load)
    }

    /// Returns the load as it was a lag ago.
    pub(crate) fn reported(&self) -> EngineLoad {
        let mut loads = self.loads();
        self.prune(&mut loads);
        match loads.front() {
            Some((since, load)) if since.elapsed() >= self.lag => *load,
            _ => EngineLoad::default(),
        }
    }

    /// Drops the loads that another has followed for longer than the lag.
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
