//! Servers that are gone although they are still registered, as another server has their address.
//!
//! Handles: servers that crash and come back under another id before their entries lapse; fleets of
//! which each router would otherwise send a request to each such server to find that out.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::session_locations::ServerKey;

/// Time after which a server is tried again, in case the response that showed its end was wrong.
const REPLACED_TTL: Duration = Duration::from_secs(10);
/// Time for which a router reports a server to peers.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Largest number of servers that are reported at once.
const MAX_REPORTED: usize = 64;
/// Largest number of servers that are remembered.
const MAX_KNOWN: usize = 1_024;

/// The replaced servers that one router knows about.
#[derive(Clone, Debug, Default)]
pub struct ReplacedServers {
    /// Servers with the times at which the router learnt of them.
    learnt: HashMap<ServerKey, Instant>,
}

impl ReplacedServers {
    /// Records that another server responded at the address of a server; returns whether this is news.
    pub fn record(&mut self, server: ServerKey, now: Instant) -> bool {
        if self.contains(server, now) {
            return false;
        }
        self.learnt
            .retain(|_, at| now.saturating_duration_since(*at) < REPLACED_TTL);
        if self.learnt.len() >= MAX_KNOWN {
            return false;
        }
        self.learnt.insert(server, now);
        true
    }

    /// Returns whether a server has been replaced.
    #[must_use]
    pub fn contains(&self, server: ServerKey, now: Instant) -> bool {
        let at = self.learnt.get(&server);
        at.is_some_and(|at| now.saturating_duration_since(*at) < REPLACED_TTL)
    }

    /// Returns the servers to report to peers, which were recorded a short time ago.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<ServerKey> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REPORT_TIME;
        let recent = self.learnt.iter().filter(|(_, at)| is_recent(at));
        recent
            .map(|(server, _)| *server)
            .take(MAX_REPORTED)
            .collect()
    }
}
