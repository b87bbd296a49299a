//! What a router believes about the load of one backend server.
//!
//! Pattern answered: several routers share the servers and each sees only its own requests and reports
//! that are old when they arrive. Without the others' share, routers pile up on the same idle server.

use std::time::{Duration, Instant};

/// Age up to which a server's own report goes before what peers say; reports lag by some 200 ms.
const REPORT_MAX_FRESH_AGE: Duration = Duration::from_millis(300);
/// Age after which a server's report says nothing any more; a typical generation is over by then.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Age after which a peer's count says nothing; several datagrams in a row were lost.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Requests in progress at a server, as the server told.
#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    /// Own requests in progress when the report arrived.
    own_requests: u32,
    received: Instant,
}

/// Peers' share of a server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub unread_tokens: u64,
}

impl PeerLoad {
    /// Returns the share of all peers, of which this one comes from a sample.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            requests: (f64::from(self.requests) * factor).round() as u32,
            unread_tokens: (self.unread_tokens as f64 * factor).round() as u64,
        }
    }
}

/// The load of one backend server as one router sees it.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    own_requests: u32,
    unread_tokens: u64,
    report: Option<Report>,
    peer_load: Option<(PeerLoad, Instant)>,
}

impl ServerLoad {
    /// Counts a request that is sent, with the prompt tokens that the server has to read for it.
    pub fn start_request(&mut self, unread_tokens: u64) {
        self.own_requests += 1;
        self.unread_tokens += unread_tokens;
    }

    /// Takes in that the server has read the prompt of a request.
    pub fn finish_prefill(&mut self, unread_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Counts a request that is over.
    pub fn finish_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Takes in the requests in progress that the server names on an answer.
    pub fn record_report(&mut self, requests: u32, now: Instant) {
        self.report = Some(Report {
            requests,
            own_requests: self.own_requests,
            received: now,
        });
    }

    /// Takes in the sum of what all peers have in progress.
    pub fn record_peer_load(&mut self, peer_load: PeerLoad, now: Instant) {
        self.peer_load = Some((peer_load, now));
    }

    /// Returns the own requests in progress.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the own prompt tokens that are still to be read.
    #[must_use]
    pub fn own_unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Estimates the requests in progress at the server, own and others'.
    #[must_use]
    pub fn total_requests(&self, now: Instant) -> u32 {
        self.own_requests + self.other_requests(now)
    }

    /// Estimates the prompt tokens that the server has still to read.
    #[must_use]
    pub fn total_unread_tokens(&self, now: Instant) -> u64 {
        let peer_load = self
            .fresh_peer_load(now)
            .map_or(0, |peer_load| peer_load.unread_tokens);
        self.unread_tokens + peer_load
    }

    /// Returns the age of the newest report of the server.
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
            (Some((other_requests, age)), _) if age <= REPORT_MAX_FRESH_AGE => other_requests,
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
