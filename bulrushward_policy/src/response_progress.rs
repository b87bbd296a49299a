//! How long a call waits for its response, by what has arrived of it.
//!
//! A time limit for the whole response would limit its size, and a limit between two bytes would admit a sender that
//! trickles.
//!
//! Handles: large responses on slow links, peers that stop or trickle in the middle of a response, and lost responses.

use std::time::{Duration, Instant};

/// Rate of the thinnest links of routers, 10 Mbit/s, in bytes per second.
const THIN_LINK_RATE: f64 = 1_250_000.0;
/// Smallest rate at which a response may arrive, in bytes per second: a tenth of a thin link, which other traffic shares.
pub const MIN_RATE: f64 = THIN_LINK_RATE / 10.0;

/// Returns the time for which so many bytes may hold up others on a thin link.
#[must_use]
pub fn thin_link_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / THIN_LINK_RATE)
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Time until the first content arrives, connecting included.
    pub first: Duration,
    /// Time in which each further part arrives, or the end; a part is as long as [`MIN_RATE`] demands.
    pub part: Duration,
}

impl From<Duration> for ResponseLimits {
    fn from(limit: Duration) -> Self {
        Self {
            first: limit,
            part: limit,
        }
    }
}

/// Progress of the response to one call.
#[derive(Clone, Debug)]
pub struct ResponseProgress {
    limits: ResponseLimits,
    /// Bytes of the part that is arriving; `None` before the first ones.
    arrived: Option<u64>,
    deadline: Instant,
}

impl ResponseProgress {
    /// Begins a call.
    #[must_use]
    pub fn new(limits: ResponseLimits, now: Instant) -> Self {
        Self {
            limits,
            arrived: None,
            deadline: now + limits.first,
        }
    }

    /// Records content that has arrived; returns whether it is the first.
    pub fn record(&mut self, bytes: usize, now: Instant) -> bool {
        let is_first = self.arrived.is_none();
        let arrived = self.arrived.unwrap_or(0) + bytes as u64;
        let part_bytes = self.limits.part.as_secs_f64() * MIN_RATE;
        let is_part_complete = arrived as f64 >= part_bytes;
        if is_first || is_part_complete {
            self.deadline = now + self.limits.part;
        }
        self.arrived = Some(if is_part_complete { 0 } else { arrived });
        is_first
    }

    /// Returns when the call is given up unless more arrives.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
