//! Evidence of one backend server's health from the requests that it was sent.
//!
//! Patterns answered: servers that fail part of their requests while their health check is good, servers
//! that went silent, and servers that crashed and come back. No probes are sent.

use std::time::{Duration, Instant};

/// Time for which a server is left alone after its first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest such time; a crashed server is back after some seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Weight of the newest answer in the share of failures; about the last ten answers count.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Time in which the memory of failures halves, so that a server that is avoided is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Added to the load of a server that failed all its recent requests, in requests in progress.
const MAX_LOAD_PENALTY: f64 = 24.0;
/// Share of failures that is ordinary: servers answer some requests with errors of their own.
const TOLERATED_FAILURE_RATE: f64 = 0.2;

/// What a router has seen of one server's health.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    failure_rate: f64,
    updated: Option<Instant>,
    consecutive_unreachable: u32,
    backoff_until: Option<Instant>,
}

impl ServerHealth {
    /// Takes in an answer that served its request.
    pub fn record_success(&mut self, now: Instant) {
        self.add(0.0, now);
        self.consecutive_unreachable = 0;
        self.backoff_until = None;
    }

    /// Takes in a request that the server failed, cut or refused though it had room.
    pub fn record_failure(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    /// Takes in that no connection could be made, or that the server went silent.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.add(1.0, now);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Returns whether the server is left alone for now.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns the time until the server may be tried again.
    #[must_use]
    pub fn backoff_remaining(&self, now: Instant) -> Duration {
        self.backoff_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the share of recent requests that failed, fading with time.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the load that its failures stand for, in requests in progress.
    #[must_use]
    pub fn load_penalty(&self, now: Instant) -> f64 {
        let excess = (self.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0);
        MAX_LOAD_PENALTY * excess / (1.0 - TOLERATED_FAILURE_RATE)
    }

    fn add(&mut self, failure: f64, now: Instant) {
        let share = self.failure_rate(now);
        self.failure_rate = share + SAMPLE_WEIGHT * (failure - share);
        self.updated = Some(now);
    }
}
