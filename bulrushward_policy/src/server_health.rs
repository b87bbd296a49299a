//! Outlier detection and backoff for one backend server, from the results of its requests.
//!
//! Handles: servers that fail some of their requests while their health check passes, servers that
//! stop responding, and servers that crash and restart. No probes are sent.

use std::time::{Duration, Instant};

/// Backoff after the first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest backoff; a crashed server restarts within a few seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Weight of the newest result in the failure rate, so that about the last ten results count.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Time in which the failure rate halves without new results, so that an avoided server is retried.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Load penalty of a server that failed all recent requests, in requests in progress.
const MAX_LOAD_PENALTY: f64 = 24.0;
/// Failure rate without a load penalty, since healthy servers also respond with some errors.
const TOLERATED_FAILURE_RATE: f64 = 0.2;

/// The health of one backend server as one router observes it.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    /// Moving average of failures at the time of the last result.
    failure_rate: f64,
    /// When the last result was recorded.
    updated: Option<Instant>,
    /// Times that the server was unreachable since its last successful response.
    consecutive_unreachable: u32,
    backoff_until: Option<Instant>,
}

impl ServerHealth {
    /// Records a successful response, which ends the backoff.
    pub fn record_success(&mut self, now: Instant) {
        self.add_sample(0.0, now);
        self.consecutive_unreachable = 0;
        self.backoff_until = None;
    }

    /// Records a request that the server failed, aborted or rejected although it had free capacity.
    pub fn record_failure(&mut self, now: Instant) {
        self.add_sample(1.0, now);
    }

    /// Records that no connection could be made or that the server did not respond in time.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.add_sample(1.0, now);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_unreachable.min(8));
        self.consecutive_unreachable += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Returns whether the server should get no requests for now.
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

    /// Returns the fraction of recent requests that failed, which decays over time.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.updated else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the load to add for the server's failures, in requests in progress.
    #[must_use]
    pub fn load_penalty(&self, now: Instant) -> f64 {
        let excess = (self.failure_rate(now) - TOLERATED_FAILURE_RATE).max(0.0);
        MAX_LOAD_PENALTY * excess / (1.0 - TOLERATED_FAILURE_RATE)
    }

    fn add_sample(&mut self, failure: f64, now: Instant) {
        let previous_rate = self.failure_rate(now);
        self.failure_rate = previous_rate + SAMPLE_WEIGHT * (failure - previous_rate);
        self.updated = Some(now);
    }
}
