//! Rates of events, averaged over a short time.

use std::time::{Duration, Instant};

/// Shortest time that a rate is averaged over.
const MIN_TIME: Duration = Duration::from_millis(100);

/// Rate of events with exponentially decaying memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMeter {
    /// Decayed number of events.
    count: f64,
    updated: Instant,
    started: Instant,
    memory: Duration,
}

impl RateMeter {
    /// Creates a meter that averages over about `memory`.
    pub(crate) fn new(memory: Duration, now: Instant) -> Self {
        Self {
            count: 0.0,
            updated: now,
            started: now,
            memory,
        }
    }

    /// Records one event.
    pub(crate) fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    /// Returns the events per second.
    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started).max(MIN_TIME);
        let remembered = 1.0 - (-age.div_duration_f64(self.memory)).exp();
        self.decayed(now) / (self.memory.as_secs_f64() * remembered)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.count * (-elapsed.div_duration_f64(self.memory)).exp()
    }
}
