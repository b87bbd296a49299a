//! Load estimate of one backend server.
//!
//! Handles: several routers that share the servers, each of which sees only its own requests and
//! load reports that are outdated on arrival. Routers that ignored the load from their peers would
//! all choose the same idle server.

use std::time::{Duration, Instant};

/// Age up to which a server's report takes precedence over the peers' load.
///
/// Reports are about 200 ms old when they arrive.
const REPORT_FRESH_AGE: Duration = Duration::from_millis(300);
/// Age from which a server's report is ignored, as a typical generation has ended by then.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Age from which the peers' load is ignored, as several datagrams in a row must have been lost.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);

/// A server's report of its requests in progress.
#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    /// Requests of this router in progress when the report arrived.
    own_requests: u32,
    received: Instant,
}

/// The load that other routers put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are not prefilled yet.
    pub unread_tokens: u64,
}

impl PeerLoad {
    /// Extrapolates the load of a sample of peers to all of them; `factor` is the number
    /// of all peers divided by that of the sample.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            requests: (f64::from(self.requests) * factor).round() as u32,
            unread_tokens: (self.unread_tokens as f64 * factor).round() as u64,
        }
    }
}

/// The load of one backend server as one router estimates it.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    own_requests: u32,
    /// Prompt tokens of this router's requests that are not prefilled yet.
    unread_tokens: u64,
    report: Option<Report>,
    /// The newest load of all peers and when it was received.
    peer_load: Option<(PeerLoad, Instant)>,
}

impl ServerLoad {
    /// Adds a request and the prompt tokens that the server has to prefill for it.
    pub fn start_request(&mut self, unread_tokens: u64) {
        self.own_requests += 1;
        self.unread_tokens += unread_tokens;
    }

    /// Removes the prompt tokens of a request that the server has prefilled.
    pub fn finish_prefill(&mut self, unread_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Removes a request that has ended.
    pub fn finish_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records the requests in progress that the server reports in a response.
    pub fn record_report(&mut self, requests: u32, now: Instant) {
        self.report = Some(Report {
            requests,
            own_requests: self.own_requests,
            received: now,
        });
    }

    /// Records the total load of all peers.
    pub fn record_peer_load(&mut self, peer_load: PeerLoad, now: Instant) {
        self.peer_load = Some((peer_load, now));
    }

    /// Returns this router's requests in progress.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the prompt tokens of this router's requests that are not prefilled yet.
    #[must_use]
    pub fn own_unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Estimates the requests of all routers in progress at the server.
    #[must_use]
    pub fn total_requests(&self, now: Instant) -> u32 {
        self.own_requests.saturating_add(self.other_requests(now))
    }

    /// Estimates the prompt tokens of all routers that are not prefilled yet.
    #[must_use]
    pub fn total_unread_tokens(&self, now: Instant) -> u64 {
        let peer_load = self
            .fresh_peer_load(now)
            .map_or(0, |peer_load| peer_load.unread_tokens);
        self.unread_tokens.saturating_add(peer_load)
    }

    /// Returns the age of the server's newest report.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report
            .map(|report| now.saturating_duration_since(report.received))
    }

    fn other_requests(&self, now: Instant) -> u32 {
        let reported = self.report.map(|report| {
            let age = now.saturating_duration_since(report.received);
            (report.requests.saturating_sub(report.own_requests), age)
        });
        match (reported, self.fresh_peer_load(now)) {
            (Some((other_requests, age)), _) if age <= REPORT_FRESH_AGE => other_requests,
            (_, Some(peer_load)) => peer_load.requests,
            (Some((other_requests, age)), None) if age < REPORT_MAX_AGE => {
                let remaining_weight = 1.0 - age.as_secs_f64() / REPORT_MAX_AGE.as_secs_f64();
                (f64::from(other_requests) * remaining_weight).round() as u32
            }
            _ => 0,
        }
    }

    fn fresh_peer_load(&self, now: Instant) -> Option<PeerLoad> {
        let (peer_load, received) = self.peer_load?;
        (now.saturating_duration_since(received) < PEER_LOAD_MAX_AGE).then_some(peer_load)
    }
}
