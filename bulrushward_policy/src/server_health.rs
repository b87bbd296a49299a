//! Evidence of one backend server's health from the requests that it was sent.
//!
//! Patterns answered: servers that fail part of their requests while their health check is good, servers
//! that went silent, and servers that crashed and come back. No probes are sent.

use std::time::{Duration, Instant};

/// Time for which a server is left alone after its first failed connection.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest such time; a crashed server is back after some seconds.
const LONGEST_REST: Duration = Duration::from_secs(3);
/// Weight of the newest answer in the share of failures; about the last ten answers count.
const NEWEST_WEIGHT: f64 = 0.12;
/// Time in which the memory of failures halves, so that a server that is avoided is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Added to the load of a server that failed all its recent requests, in requests in progress.
const FAILURE_LOAD: f64 = 24.0;
/// Share of failures that is ordinary: servers answer some requests with errors of their own.
const ORDINARY_FAILURES: f64 = 0.2;

/// What a router has seen of one server's health.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    failures: f64,
    at: Option<Instant>,
    unreachable: u32,
    rests_until: Option<Instant>,
}

impl ServerHealth {
    /// Takes in an answer that served its request.
    pub fn served(&mut self, now: Instant) {
        self.add(0.0, now);
        self.unreachable = 0;
        self.rests_until = None;
    }

    /// Takes in a request that the server failed, cut or refused though it had room.
    pub fn failed(&mut self, now: Instant) {
        self.add(1.0, now);
    }

    /// Takes in that no connection could be made, or that the server went silent.
    pub fn unreachable(&mut self, now: Instant) {
        self.add(1.0, now);
        let rest = FIRST_REST * 2_u32.saturating_pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.rests_until = Some(now + rest.min(LONGEST_REST));
    }

    /// Returns whether the server is left alone for now.
    #[must_use]
    pub fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Returns the time until the server may be tried again.
    #[must_use]
    pub fn rest_left(&self, now: Instant) -> Duration {
        self.rests_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the share of recent requests that failed, fading with time.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Returns the load that its failures stand for, in requests in progress.
    #[must_use]
    pub fn extra_load(&self, now: Instant) -> f64 {
        let beyond = (self.failure_share(now) - ORDINARY_FAILURES).max(0.0);
        FAILURE_LOAD * beyond / (1.0 - ORDINARY_FAILURES)
    }

    fn add(&mut self, failure: f64, now: Instant) {
        let share = self.failure_share(now);
        self.failures = share + NEWEST_WEIGHT * (failure - share);
        self.at = Some(now);
    }
}
