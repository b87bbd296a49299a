//! The latest that a router knows about a server's limit, from responses and from peers.

use std::time::{Duration, Instant};

use super::ReportNews;
use crate::server_limit::{LimitShare, MAX_RATE, MIN_RATE};

/// Time after which a limit has lapsed that neither a response nor a peer has named again.
///
/// A router of a large fleet may have to wait that long for a request that it may send to the server.
const LIMIT_TTL: Duration = Duration::from_mins(2);
/// Time after a response in which its limit, or the lack of one, is reported to peers.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// What is known of a server's limit.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// This router's share of it; `None` if the server names no limit any more.
    share: Option<LimitShare>,
    /// When a response was received that named it, or a request was sent whose response did not.
    known: Instant,
    /// Whether a response named it, or else a peer.
    is_own: bool,
}

impl Limit {
    /// Creates the state before any limit is known.
    pub(super) fn new(known: Instant) -> Self {
        Self {
            share: None,
            known,
            is_own: false,
        }
    }

    /// Records the limit that a response names.
    pub(super) fn record_named(&mut self, named: f64, now: Instant) -> Option<ReportNews> {
        let Some(rate) = LimitShare::usable_rate(named) else {
            return Some(ReportNews::Ignored { value: named });
        };
        let is_news = self.set(Some(rate));
        self.known = now;
        self.is_own = true;
        let is_cut = !(MIN_RATE..=MAX_RATE).contains(&named);
        is_news.then_some(ReportNews::Limit { rate, is_cut })
    }

    /// Records that the response to a request that was sent at `sent` names no limit.
    ///
    /// Only a request that was sent after the limit was known proves that it has ended.
    pub(super) fn record_unnamed(&mut self, sent: Instant) -> Option<ReportNews> {
        if sent <= self.known || !self.set(None) {
            return None;
        }
        self.known = sent;
        self.is_own = true;
        Some(ReportNews::LimitEnded)
    }

    /// Records what a peer knew `age` ago, unless it is outdated; returns whether the limit changes.
    pub(super) fn hear(&mut self, named: Option<f64>, age: Duration, now: Instant) -> bool {
        let rate = named.and_then(LimitShare::usable_rate);
        let Some(known) = now.checked_sub(age).filter(|known| *known >= self.known) else {
            return false;
        };
        if age >= NOTICE_TIME || rate.is_some() != named.is_some() {
            return false;
        }
        self.known = known;
        self.is_own = false;
        self.set(rate)
    }

    /// Returns the rate and its age if it should be sent to peers.
    pub(super) fn notice(&self, now: Instant) -> Option<(Option<f64>, Duration)> {
        let age = now.saturating_duration_since(self.known);
        let is_told = self.is_own && age < NOTICE_TIME;
        is_told.then(|| (self.rate(), age))
    }

    /// Returns the share of a limit that the server still names, as far as is known.
    pub(super) fn share(&self, now: Instant) -> Option<&LimitShare> {
        let is_known = now.saturating_duration_since(self.known) < LIMIT_TTL;
        self.share.as_ref().filter(|_| is_known)
    }

    /// As [`Self::share`], to use units of it.
    pub(super) fn share_mut(&mut self, now: Instant) -> Option<&mut LimitShare> {
        let is_known = now.saturating_duration_since(self.known) < LIMIT_TTL;
        self.share.as_mut().filter(|_| is_known)
    }

    fn rate(&self) -> Option<f64> {
        self.share.as_ref().map(LimitShare::rate)
    }

    /// Sets the rate and keeps the units that are in use; returns whether it has changed.
    fn set(&mut self, rate: Option<f64>) -> bool {
        let is_news = self.rate() != rate;
        match (&mut self.share, rate) {
            (Some(share), Some(rate)) => share.set_rate(rate),
            (share, rate) => *share = rate.map(LimitShare::new),
        }
        is_news
    }
}
