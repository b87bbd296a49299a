//! Rate limiter for the writes of a store.

use std::{
    num::NonZeroU32,
    sync::{Mutex, PoisonError},
};

use tokio::time::{Duration, Instant};

/// Time for which an idle store accumulates unused writes, which it may then make at once.
const BURST: Duration = Duration::from_millis(200);

/// Assigns each write a time, evenly spaced at the configured rate.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    interval: Duration,
    next: Instant,
}

impl RateLimiter {
    pub(crate) fn new(writes_per_second: NonZeroU32) -> Self {
        Self {
            state: Mutex::new(State {
                interval: interval(writes_per_second),
                next: Instant::now(),
            }),
        }
    }

    /// Changes the rate of all writes after the next one.
    pub(crate) fn set_rate(&self, writes_per_second: NonZeroU32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.interval = interval(writes_per_second);
    }

    /// Returns the time of the next write, which may be in the past.
    pub(crate) fn reserve(&self) -> Instant {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = earliest.max(state.next);
        state.next = slot + state.interval;
        slot
    }
}

fn interval(writes_per_second: NonZeroU32) -> Duration {
    Duration::from_secs(1) / writes_per_second.get()
}
