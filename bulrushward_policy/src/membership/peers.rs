//! Whom to exchange with next.

use std::time::Instant;

use bulrushward_protocol::{MemberRecord, MemberState};
use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{Entry, MemberTable};

/// Share of peers that are taken from other failure domains.
const OTHER_DOMAIN_SHARE: f64 = 0.25;
/// Share of peers that are taken from silent members, so that a healed partition is found.
const SILENT_SHARE: f64 = 0.1;
/// Share of peers that are taken from those that one peer suspects, to find out.
const DOUBTED_SHARE: f64 = 0.25;
/// Share of peers that an agent takes from its own service, whose loads it needs.
const SAME_SERVICE_SHARE: f64 = 0.5;

impl MemberTable {
    /// Picks a member for the next exchange.
    ///
    /// Most are from the own failure domain, some from others, and now and then a silent one;
    /// half of an agent's are of its own service. A member that one peer suspects goes before.
    pub fn pick_peer(&self, now: Instant, rng: &mut dyn Rng) -> Option<&MemberRecord> {
        let silent = rng.random_bool(SILENT_SHARE);
        let doubted = rng.random_bool(DOUBTED_SHARE);
        let other = rng.random_bool(OTHER_DOMAIN_SHARE);
        let mate = self.own.service.is_some() && rng.random_bool(SAME_SERVICE_SHARE);
        let pick = |rng: &mut dyn Rng, wanted: &dyn Fn(&Entry) -> bool| {
            let known = self.entries.values();
            let open = known.filter(|entry| entry.record.state != MemberState::Left);
            let mut fitting: Vec<_> = open.filter(|entry| wanted(entry)).collect();
            // The order of a hash map differs between runs.
            fitting.sort_unstable_by(|a, b| a.record.node.cmp(&b.record.node));
            fitting.into_iter().choose(rng)
        };
        let quiet = |entry: &Entry| entry.doubt.is_suspect(now) || self.is_silent(entry, now);
        let is_other = |entry: &Entry| entry.record.failure_domain != self.own.failure_domain;
        let is_mate = |entry: &Entry| entry.record.service == self.own.service;
        let mates = |entry: &Entry| mate && !silent && is_mate(entry) && !quiet(entry);
        pick(rng, &|entry| doubted && entry.doubt.is_open())
            .or_else(|| pick(rng, &mates))
            .or_else(|| {
                pick(rng, &|entry| {
                    quiet(entry) == silent && (silent || is_other(entry) == other)
                })
            })
            .or_else(|| pick(rng, &|entry| !quiet(entry)))
            .or_else(|| pick(rng, &|_| true))
            .map(|entry| &entry.record)
    }
}
