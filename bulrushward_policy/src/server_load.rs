//! What a router believes about the load of one backend server.
//!
//! Pattern answered: several routers share the servers and each sees only its own requests and reports
//! that are old when they arrive. Without the others' share, routers pile up on the same idle server.

use std::time::{Duration, Instant};

/// Age up to which a server's own report goes before what peers say; reports lag by some 200 ms.
const REPORT_FRESH: Duration = Duration::from_millis(300);
/// Age after which a server's report says nothing any more; a typical generation is over by then.
const REPORT_STALE: Duration = Duration::from_secs(2);
/// Age after which a peer's count says nothing; several datagrams in a row were lost.
const PEER_STALE: Duration = Duration::from_millis(1_500);

/// Requests in progress at a server, as the server told.
#[derive(Clone, Copy, Debug)]
struct Report {
    requests: u32,
    /// Own requests in progress when the report arrived.
    own: u32,
    at: Instant,
}

/// Peers' share of a server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerShare {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub unread_tokens: u64,
}

impl PeerShare {
    /// Returns the share of all peers, of which this one comes from a sample.
    #[must_use]
    pub fn scaled(self, by: f64) -> Self {
        Self {
            requests: (f64::from(self.requests) * by).round() as u32,
            unread_tokens: (self.unread_tokens as f64 * by).round() as u64,
        }
    }
}

/// The load of one backend server as one router sees it.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    own: u32,
    unread_tokens: u64,
    report: Option<Report>,
    peers: Option<(PeerShare, Instant)>,
}

impl ServerLoad {
    /// Counts a request that is sent, with the prompt tokens that the server has to read for it.
    pub fn begin(&mut self, unread_tokens: u64) {
        self.own += 1;
        self.unread_tokens += unread_tokens;
    }

    /// Takes in that the server has read the prompt of a request.
    pub fn read(&mut self, unread_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Counts a request that is over.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes in the requests in progress that the server names on an answer.
    pub fn report(&mut self, requests: u32, now: Instant) {
        self.report = Some(Report {
            requests,
            own: self.own,
            at: now,
        });
    }

    /// Takes in the sum of what all peers have in progress.
    pub fn set_peers(&mut self, share: PeerShare, now: Instant) {
        self.peers = Some((share, now));
    }

    /// Returns the own requests in progress.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the own prompt tokens that are still to be read.
    #[must_use]
    pub fn own_unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Estimates the requests in progress at the server, own and others'.
    #[must_use]
    pub fn requests(&self, now: Instant) -> u32 {
        self.own + self.others(now)
    }

    /// Estimates the prompt tokens that the server has still to read.
    #[must_use]
    pub fn all_unread_tokens(&self, now: Instant) -> u64 {
        let peers = self.fresh_peers(now).map_or(0, |share| share.unread_tokens);
        self.unread_tokens + peers
    }

    /// Returns the age of the newest report of the server.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report
            .map(|report| now.saturating_duration_since(report.at))
    }

    fn others(&self, now: Instant) -> u32 {
        let reported = self.report.map(|report| {
            let age = now.saturating_duration_since(report.at);
            (report.requests.saturating_sub(report.own), age)
        });
        match (reported, self.fresh_peers(now)) {
            (Some((others, age)), _) if age <= REPORT_FRESH => others,
            (_, Some(share)) => share.requests,
            (Some((others, age)), None) if age < REPORT_STALE => {
                let left = 1.0 - age.as_secs_f64() / REPORT_STALE.as_secs_f64();
                (f64::from(others) * left).round() as u32
            }
            _ => 0,
        }
    }

    fn fresh_peers(&self, now: Instant) -> Option<PeerShare> {
        let (share, at) = self.peers?;
        (now.saturating_duration_since(at) < PEER_STALE).then_some(share)
    }
}
