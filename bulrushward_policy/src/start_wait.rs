//! How long requests wait for a router that has just started to learn the configuration and the servers.
//!
//! Handles: all routers that start at once, as after a loss of power, while the store is unavailable or slow.
//! Many callers have just lost a response and retry at once, but only once: a refusal would be final,
//! although the router often knows what it needs a second later.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Fraction of a caller's patience for which its request may wait; the rest is for serving it.
const PATIENCE_FRACTION: f64 = 0.2;
/// Longest wait; callers of streams give up after two seconds without a byte, [`MAX_RELEASE_DELAY`] included.
const MAX_WAIT: Duration = Duration::from_millis(1_300);
/// Longest wait of a request that does not state its caller's patience.
const DEFAULT_WAIT: Duration = Duration::from_millis(250);
/// Largest number of requests that wait; each holds a connection and up to 64 KiB of its bytes.
const MAX_WAITING: usize = 256;
/// Fraction of their wait over which waiting requests are spread when they continue.
const RELEASE_FRACTION: f64 = 0.5;
/// Longest time over which they are spread.
const MAX_RELEASE_DELAY: Duration = Duration::from_millis(600);

/// Requests that wait at a router that has just started.
#[derive(Clone, Debug, Default)]
pub struct StartWait {
    waiting: usize,
}

impl StartWait {
    /// Admits a request and returns how long it may wait; `None` if too many wait already.
    ///
    /// An admitted request must be released.
    pub fn admit(&mut self, patience: Option<Duration>) -> Option<Duration> {
        if self.waiting >= MAX_WAITING {
            return None;
        }
        self.waiting += 1;
        let wait = patience.map_or(DEFAULT_WAIT, |patience| patience.mul_f64(PATIENCE_FRACTION));
        Some(wait.min(MAX_WAIT))
    }

    /// Removes a request that waits no longer.
    pub fn release(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}

/// Returns the further delay of a request that has waited, so that not all reach the servers at once.
pub fn release_delay(waited: Duration, rng: &mut impl Rng) -> Duration {
    let longest = waited.mul_f64(RELEASE_FRACTION).min(MAX_RELEASE_DELAY);
    longest.mul_f64(rng.random())
}
