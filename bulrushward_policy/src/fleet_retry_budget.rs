//! Retry budget that a fleet of routers shares without coordination.
//!
//! Handles: fleets of any size, of which each router sees a part of the requests, possibly a small one;
//! traffic that comes through a few routers; routers that restart, also all at once; routers whose
//! counts of the fleet differ; many failures at once, of which some are worth more retries than others.
//!
//! A router's retries have two sources. Each request earns a fraction of a retry, which has to be used
//! soon. Besides, the fleet divides a number of spare retries, each of which returns one window after
//! its use.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

use crate::fleet_share::{FleetSize, whole_share};

/// Fraction of the allowed ratio that requests earn.
///
/// Retries that were earned before a window are used in it, so a window has more of them than its own
/// requests earn.
const EARNED_FRACTION: f64 = 0.6;
/// Fraction of the window for which an earned retry may be used.
const EARNED_LIFETIME_FRACTION: f64 = 0.35;
/// Fraction of the extra retries that the routers divide; the rest covers restarts and counts of the
/// fleet that differ.
const SPARE_FRACTION: f64 = 0.5;
/// Fraction of the extra retries that routers divide in their first window, as the processes before
/// them may have used theirs.
const INITIAL_SPARE_FRACTION: f64 = 0.2;
/// Minimum number of assumed routers, as a router that has just started knows few others.
const MIN_ROUTERS: u32 = 4;
/// Routers initially assumed for each known one, as the fleet may soon restart again.
const ASSUMED_PER_KNOWN: f64 = 4.0 / 3.0;
/// Fraction of the first window after which routers that are assumed but were not discovered no longer count
/// in the division of the first spare retries.
const DISCOVERY_FRACTION: f64 = 0.7;
/// Weight of the newest result of a retry in its moving average.
const RESULT_WEIGHT: f64 = 0.1;
/// Ratio of success rates below which a retry leaves the last spare one to those that succeed more
/// often.
const LOW_SUCCESS_RATIO: f64 = 0.8;

/// Retries that a fleet may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of the whole fleet beyond that in any window.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Why a request is retried, as far as the retry's prospects depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The server could not be used: the connection broke, it was silent or it rejected the request.
    ServerUnusable,
    /// The server responded with an error.
    ErrorResponse,
}

/// One router's part of the fleet's retry budget.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    allowance: RetryAllowance,
    /// Size of the fleet, with routers that are assumed but not known.
    fleet_size: FleetSize,
    /// Size of the part of the fleet that is known.
    known_size: FleetSize,
    /// Fraction of the next earned retry; random at first, so that many routers with few requests earn
    /// together what their requests allow.
    next_earned: f64,
    /// Times until which earned retries may be used, the earliest first.
    earned: VecDeque<Instant>,
    /// Random number that decides whether this router holds a spare retry in a large fleet.
    spare_draw: f64,
    /// Times at which spare retries return, the earliest first.
    used_spare: VecDeque<Instant>,
    /// Time from which spare retries may be used, and end of the first window after it.
    spare_from: Instant,
    first_window_end: Instant,
    /// Moving averages of the success of retries by cause.
    success: [f64; 2],
}

impl FleetRetryBudget {
    /// Creates the budget of a router that counts the fleet from `fleet_known` on.
    pub fn new(allowance: RetryAllowance, fleet_known: Instant, rng: &mut impl Rng) -> Self {
        Self {
            allowance,
            fleet_size: FleetSize::new(MIN_ROUTERS),
            known_size: FleetSize::new(1),
            next_earned: rng.random(),
            earned: VecDeque::new(),
            spare_draw: rng.random(),
            used_spare: VecDeque::new(),
            spare_from: fleet_known,
            first_window_end: fleet_known + allowance.window,
            success: [1.0; 2],
        }
    }

    /// Replaces the allowance.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// Records a request, which earns a fraction of a retry.
    pub fn deposit(&mut self, now: Instant) {
        self.expire(now);
        self.next_earned += self.allowance.ratio * EARNED_FRACTION;
        if self.next_earned >= 1.0 {
            self.next_earned -= 1.0;
            let lifetime = self.allowance.window.mul_f64(EARNED_LIFETIME_FRACTION);
            self.earned.push_back(now + lifetime);
        }
    }

    /// Withdraws a retry; returns whether it may be sent. `routers` is the number of live routers.
    #[must_use]
    pub fn withdraw(&mut self, cause: RetryCause, routers: u32, now: Instant) -> bool {
        if self.use_earned(now) {
            return true;
        }
        let is_allowed = self.spare(routers, now) > self.reserve(cause);
        if is_allowed {
            self.used_spare.push_back(now + self.allowance.window);
        }
        is_allowed
    }

    /// Records whether a retry succeeded.
    pub fn record_result(&mut self, cause: RetryCause, is_success: bool) {
        let rate = &mut self.success[cause as usize];
        *rate += RESULT_WEIGHT * (f64::from(u8::from(is_success)) - *rate);
    }

    /// Returns the number of retries that may be sent now.
    pub fn available(&mut self, routers: u32, now: Instant) -> u32 {
        self.expire(now);
        self.earned.len() as u32 + self.spare(routers, now)
    }

    fn use_earned(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.earned.pop_front().is_some()
    }

    /// Returns the spare retries that this router holds.
    fn spare(&mut self, routers: u32, now: Instant) -> u32 {
        let routers = routers.max(1);
        let size = self.fleet_size.observe(routers, now);
        let known_size = self.known_size.observe(routers, now);
        if now < self.spare_from {
            return 0;
        }
        let mut share = self.allowance.extra * SPARE_FRACTION / f64::from(size);
        if now < self.first_window_end {
            let size = self.initial_size(known_size, now);
            share = share.min(self.allowance.extra * INITIAL_SPARE_FRACTION / size);
        }
        whole_share(share, 1, self.spare_draw).saturating_sub(self.used_spare.len() as u32)
    }

    /// Returns the size of the fleet by which the first spare retries are divided.
    ///
    /// Routers that are assumed but not known count less the longer they have not been discovered.
    fn initial_size(&self, known_size: u32, now: Instant) -> f64 {
        let discovery_time = self.allowance.window.mul_f64(DISCOVERY_FRACTION);
        let elapsed = now.saturating_duration_since(self.spare_from);
        let undiscovered = 1.0 - elapsed.div_duration_f64(discovery_time).min(1.0);
        let known = f64::from(known_size);
        let assumed = f64::from(MIN_ROUTERS).max(known * ASSUMED_PER_KNOWN);
        known + (assumed - known) * undiscovered
    }

    /// Returns the spare retries that have to be left to other causes.
    fn reserve(&self, cause: RetryCause) -> u32 {
        let best = self.success.iter().copied().fold(0.0, f64::max);
        u32::from(self.success[cause as usize] < best * LOW_SUCCESS_RATIO)
    }

    fn expire(&mut self, now: Instant) {
        while self.earned.front().is_some_and(|until| *until <= now) {
            self.earned.pop_front();
        }
        while self.used_spare.front().is_some_and(|back| *back <= now) {
            self.used_spare.pop_front();
        }
    }
}
