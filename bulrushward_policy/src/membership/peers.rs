//! Choice of the peer for the next gossip exchange.

use std::time::Instant;

use bulrushward_protocol::{MemberRecord, MemberState};
use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{Entry, MemberTable};

/// Fraction of exchanges with members of other failure domains.
const OTHER_DOMAIN_SHARE: f64 = 0.25;
/// Fraction of exchanges with unreachable members, to detect that a partition has healed.
const UNREACHABLE_SHARE: f64 = 0.1;
/// Fraction of exchanges with members that one peer suspects, to confirm or refute the suspicion.
const SUSPECTED_SHARE: f64 = 0.25;
/// Fraction of an agent's exchanges with members of its own service, as it needs their loads.
const SAME_SERVICE_SHARE: f64 = 0.5;

impl MemberTable {
    /// Picks a random member for the next exchange.
    ///
    /// A member that one peer suspects may take precedence. Otherwise, half of an agent's peers are
    /// from its own service. The others are mostly from its failure domain, sometimes from
    /// other domains, and occasionally unreachable.
    pub fn pick_peer(&self, now: Instant, rng: &mut dyn Rng) -> Option<&MemberRecord> {
        let unreachable = rng.random_bool(UNREACHABLE_SHARE);
        let suspected = rng.random_bool(SUSPECTED_SHARE);
        let other_domain = rng.random_bool(OTHER_DOMAIN_SHARE);
        let from_service = self.own.service.is_some() && rng.random_bool(SAME_SERVICE_SHARE);
        let choose = |rng: &mut dyn Rng, matches: &dyn Fn(&Entry) -> bool| {
            let members = self.entries.values();
            let active = members.filter(|entry| entry.record.state != MemberState::Left);
            let mut matching: Vec<_> = active.filter(|entry| matches(entry)).collect();
            // The iteration order of the hash map differs between runs.
            matching.sort_unstable_by(|a, b| a.record.node.cmp(&b.record.node));
            matching.into_iter().choose(rng)
        };
        let is_unreachable =
            |entry: &Entry| entry.suspicion.is_suspect(now) || self.has_timed_out(entry, now);
        let is_other_domain =
            |entry: &Entry| entry.record.failure_domain != self.own.failure_domain;
        let is_service_peer = |entry: &Entry| entry.record.service == self.own.service;
        let service_peers = |entry: &Entry| {
            from_service && !unreachable && is_service_peer(entry) && !is_unreachable(entry)
        };
        choose(rng, &|entry| suspected && entry.suspicion.is_unconfirmed())
            .or_else(|| choose(rng, &service_peers))
            .or_else(|| {
                choose(rng, &|entry| {
                    is_unreachable(entry) == unreachable
                        && (unreachable || is_other_domain(entry) == other_domain)
                })
            })
            .or_else(|| choose(rng, &|entry| !is_unreachable(entry)))
            .or_else(|| choose(rng, &|_| true))
            .map(|entry| &entry.record)
    }
}
