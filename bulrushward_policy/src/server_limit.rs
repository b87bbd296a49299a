//! This router's part of the requests that a limited backend server takes from all routers together.
//!
//! Handles: limits below one request a second for each router; callers that all come to one router,
//! whose part is too small for them; routers that start, die or cannot reach each other; messages that
//! are late or lost; limits that change or end.
//!
//! Each window of a limit has whole units, which the routers divide by rank without messages. A router
//! that needs more asks one that has units for a loan. The lender counts a unit as used from the loan
//! on, so that a lost message wastes a unit but never doubles it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::fleet_share::FleetPosition;

/// Lowest enforced rate, in requests per second; only a request shows that the limit has ended.
pub const MIN_RATE: f64 = 1.0 / 60.0;
/// Highest enforced rate, in requests per second.
pub const MAX_RATE: f64 = 1e6;
/// Windows in which units are counted; a longer one leaves a unit to each router of a larger fleet.
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// Number of units up to which the window is shortened to use the whole rate.
const FEW_UNITS: u32 = 10;
/// Largest number of units of one router in a window.
const MAX_SHARE: u32 = 4_096;
/// Time after an ask for which a lent unit may be used.
pub const LOAN_TIME: Duration = Duration::from_millis(150);
/// Time for which asks that were refused hold back the lender's own requests.
const UNMET_TIME: Duration = Duration::from_secs(1);
/// Largest number of such asks that are remembered.
const MAX_UNMET: usize = 64;

/// Units of a limit for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units in each window.
    pub units: u32,
    /// Time after which a unit may be used again.
    pub window: Duration,
}

impl Quota {
    /// Returns the units of a limit in requests per second that `members` routers divide.
    #[must_use]
    pub fn new(rate: f64, members: u32) -> Self {
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        let units = |window: Duration| (rate * window.as_secs_f64()) as u32;
        let [_, _, longest] = WINDOWS;
        let window = WINDOWS.into_iter().find(|window| units(*window) >= members);
        let window = window.unwrap_or(longest);
        let units = units(window).max(1);
        // Rounding down would lose a large part of few units.
        let window = if units <= FEW_UNITS {
            Duration::from_secs_f64(f64::from(units) / rate)
        } else {
            window
        };
        Self { units, window }
    }

    /// Returns the number of routers, the first by rank, that have units.
    #[must_use]
    pub fn owners(self, members: u32) -> u32 {
        self.units.min(members)
    }
}

/// Whether a router may send a request to a server that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitRoom {
    /// It has a unit.
    Free,
    /// It has none.
    UsedUp {
        /// Time until it may have one.
        next: Duration,
    },
}

/// An ask of another router for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// Id, unique among all routers; an ask that is repeated keeps it.
    pub id: u64,
    /// Whether the router has units of its own, which it has used up.
    pub has_share: bool,
}

/// Answer to an ask for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanAnswer {
    /// A unit, which may be used until [`LOAN_TIME`] after the ask.
    Lent,
    /// Nothing.
    Refused {
        /// Time until the lender may have a unit.
        next: Duration,
    },
}

/// The units of one server's limit that a router has used, lent and been asked for.
#[derive(Clone, Debug)]
pub struct LimitShare {
    rate: f64,
    /// Times at which units that are in use may be used again, the earliest first.
    in_use: VecDeque<Instant>,
    /// Ids of recent asks that were met, with their times, the earliest first.
    lent: VecDeque<(u64, Instant)>,
    /// Times of refused asks of routers without units of their own, the earliest first.
    unmet: VecDeque<Instant>,
}

impl LimitShare {
    /// Creates the share of a limit in requests per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            rate,
            in_use: VecDeque::new(),
            lent: VecDeque::new(),
            unmet: VecDeque::new(),
        }
    }

    /// Returns the rate that is enforced for a named one, or `None` if that is invalid.
    #[must_use]
    pub fn usable_rate(named: f64) -> Option<f64> {
        let is_rate = named.is_finite() && named >= 0.0;
        is_rate.then(|| named.clamp(MIN_RATE, MAX_RATE))
    }

    /// Returns the limit in requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the limit; units that are in use stay so.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Returns whether the router may use a unit; a `position` of `None` means that the fleet is not known yet.
    ///
    /// While asks of routers without units of their own are refused, this one leaves units to them in proportion.
    pub fn room(
        &self,
        position: Option<FleetPosition>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> UnitRoom {
        let next = self.next(position, now);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < UNMET_TIME;
        let unmet = self.unmet.iter().rev().take_while(is_recent).count();
        let mut is_own_turn = || unmet == 0 || rng.random_range(0..=unmet) == 0;
        if next.is_zero() && is_own_turn() {
            return UnitRoom::Free;
        }
        let next = self.wait(next);
        UnitRoom::UsedUp { next }
    }

    /// Uses a unit; returns whether there was one.
    pub fn take(&mut self, position: Option<FleetPosition>, now: Instant) -> bool {
        self.occupy(position, Duration::ZERO, now)
    }

    /// Answers another router that asks for a unit.
    pub fn lend(
        &mut self,
        ask: LoanAsk,
        position: Option<FleetPosition>,
        now: Instant,
    ) -> LoanAnswer {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= LOAN_TIME;
        while self.lent.front().is_some_and(|(_, at)| is_over(*at)) {
            self.lent.pop_front();
        }
        if self.lent.iter().any(|(id, _)| *id == ask.id) {
            return LoanAnswer::Lent;
        }
        if self.occupy(position, LOAN_TIME, now) {
            self.lent.push_back((ask.id, now));
            return LoanAnswer::Lent;
        }
        if !ask.has_share {
            if self.unmet.len() >= MAX_UNMET {
                self.unmet.pop_front();
            }
            self.unmet.push_back(now);
        }
        let next = self.wait(self.next(position, now));
        LoanAnswer::Refused { next }
    }

    /// Counts a unit as in use for `held` and its window; returns whether there was one.
    fn occupy(&mut self, position: Option<FleetPosition>, held: Duration, now: Instant) -> bool {
        while self.in_use.front().is_some_and(|free| *free <= now) {
            self.in_use.pop_front();
        }
        let Some(position) = position else {
            return false;
        };
        let quota = Quota::new(self.rate, position.members);
        if self.in_use.len() >= share(quota, position) as usize {
            return false;
        }
        let free = now + held + quota.window;
        let index = self.in_use.partition_point(|other| *other <= free);
        self.in_use.insert(index, free);
        true
    }

    /// Returns the time until the router has a unit; zero if it has one.
    fn next(&self, position: Option<FleetPosition>, now: Instant) -> Duration {
        let Some(position) = position else {
            return self.interval();
        };
        let share = share(Quota::new(self.rate, position.members), position) as usize;
        if share == 0 {
            return self.interval();
        }
        let free = self.in_use.partition_point(|free| *free <= now);
        let used = self.in_use.len() - free;
        if used < share {
            return Duration::ZERO;
        }
        let next = self.in_use[self.in_use.len() - share];
        next.saturating_duration_since(now)
    }

    /// Returns the time until a request may be sent, if the router has a unit after `next` but leaves free ones to others.
    fn wait(&self, next: Duration) -> Duration {
        if next.is_zero() {
            self.interval()
        } else {
            next
        }
    }

    /// Returns the time between two requests of all routers.
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate.clamp(MIN_RATE, MAX_RATE))
    }
}

fn share(quota: Quota, position: FleetPosition) -> u32 {
    position.share(quota.units).min(MAX_SHARE)
}
