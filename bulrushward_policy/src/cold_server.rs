//! What one router may send to a backend server that has just started and is still slow.
//!
//! Handles: servers that start, or restart under their ids, and look idle to all routers; a whole failure
//! domain that returns cold; servers that become cold without a restart; and statements that arrive late,
//! never or with extreme values.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use strum::IntoStaticStr;

use crate::fleet_share::FleetPosition;

/// Longest time for which a server counts as cold after one statement.
pub const MAX_COLD_TIME: Duration = Duration::from_mins(2);
/// Time after the stated end for which the server still counts as cold, as clocks and delays differ.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the allowance doubles after that, so that requests return gradually.
const RAMP_STEP: Duration = Duration::from_secs(1);
/// Number of times that the allowance doubles before it ends.
const RAMP_STEPS: u32 = 3;
/// Time in which a router's units of an allowance are used once; exceeds a second, as network delays vary.
pub const UNIT_WINDOW: Duration = Duration::from_millis(1_050);
/// Highest rate that is limited, in requests per second.
const MAX_RATE: f64 = 1e6;
/// Largest number of requests that are remembered for a server, and so the largest share of a router.
const MAX_SENT: usize = 256;
/// Time for which requests count towards the demand for the units of cold servers.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Part of the recent demand of more urgent requests for which less urgent ones leave units.
const URGENT_RESERVE_DIVISOR: usize = 4;
/// Largest number of requests that are remembered as demand.
const MAX_DEMAND: usize = 512;
/// Time after which a router that does not know the fleet yet may have a share.
const FLEET_UNKNOWN_WAIT: Duration = Duration::from_millis(500);

/// Requests that a cold server takes from all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Whole requests in each window.
    units: u32,
    window: Duration,
}

impl ColdAllowance {
    /// Creates an allowance; returns `None` if the rate sets no limit, as it is not positive or not a number.
    #[must_use]
    pub fn new(requests_per_second: f64) -> Option<Self> {
        let is_limit = requests_per_second > 0.0 && requests_per_second <= MAX_RATE;
        is_limit.then(|| Self {
            units: requests_per_second.max(1.0) as u32,
            // A rate below one has a longer window.
            window: UNIT_WINDOW.mul_f64((1.0 / requests_per_second).clamp(1.0, 60.0)),
        })
    }

    /// Returns the requests in each window of the router at a position.
    #[must_use]
    pub fn share(self, position: FleetPosition) -> u32 {
        position.share(self.units)
    }
}

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ColdEvidence {
    /// Its entry states it.
    Entry,
    /// A response states it.
    Response,
    /// It could not be reached, so it may have restarted.
    Unreachable,
    /// Its failure domain was empty until recently.
    DomainReturned,
}

/// Whether a router may send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The server is not cold.
    Unlimited,
    /// The server is cold, and the router has units left.
    Cold {
        /// Number of requests that the router may send now.
        free: usize,
    },
    /// The server is cold, and the router has no unit left.
    UsedUp {
        /// Time until the router may have a unit.
        next: Duration,
        /// Whether the server is only assumed to be cold.
        is_assumed: bool,
    },
}

/// What one router knows about a cold server, and what it has sent there.
#[derive(Clone, Debug, Default)]
pub struct ColdServer {
    /// Time until which the server's own statement says that it is cold, with the margin.
    stated: Option<(Instant, ColdEvidence)>,
    /// Time until which the server is assumed to be cold.
    assumed: Option<(Instant, ColdEvidence)>,
    is_unreachable: bool,
    /// When the server's failure domain last got requests again; applied once, as statements may follow.
    returned: Option<Instant>,
    /// Times at which requests were sent, the earliest first.
    sent: VecDeque<Instant>,
}

impl ColdServer {
    /// Returns what is known of the server after it has restarted at its address.
    ///
    /// The new process may have received the latest requests, as its entry became known later.
    #[must_use]
    pub fn after_restart(&self) -> Self {
        Self {
            sent: self.sent.clone(),
            ..Self::default()
        }
    }

    /// Records how long the server states to be cold; returns whether it was not known to be cold before.
    ///
    /// A statement replaces what was assumed.
    pub fn record_statement(
        &mut self,
        cold_for: Duration,
        evidence: ColdEvidence,
        now: Instant,
    ) -> bool {
        let was_cold = self.is_stated(now);
        if cold_for.is_zero() {
            for end in [&mut self.stated, &mut self.assumed].into_iter().flatten() {
                end.0 = end.0.min(now);
            }
            return false;
        }
        self.assumed = None;
        self.stated = Some((now + cold_for.min(MAX_COLD_TIME) + END_MARGIN, evidence));
        !was_cold
    }

    /// Assumes that the server is cold for a time from now on, unless it states otherwise.
    pub fn assume(&mut self, cold_for: Duration, evidence: ColdEvidence, now: Instant) {
        let end = now + cold_for.min(MAX_COLD_TIME);
        if self.assumed.is_none_or(|(known, _)| known < end) {
            self.assumed = Some((end, evidence));
        }
    }

    /// Records that the server's failure domain gets requests again since `returned`; returns whether the server was not
    /// known to be cold before.
    ///
    /// Servers may become cold while their domain is empty, and state it later.
    pub fn record_domain_returned(
        &mut self,
        cold_for: Duration,
        returned: Instant,
        now: Instant,
    ) -> bool {
        if self.returned >= Some(returned) {
            return false;
        }
        self.returned = Some(returned);
        let end = returned + cold_for.min(MAX_COLD_TIME) + END_MARGIN;
        if now >= end || self.stated.is_some_and(|(known, _)| end <= known) {
            return false;
        }
        let was_cold = self.is_stated(now);
        self.stated = Some((end, ColdEvidence::DomainReturned));
        !was_cold
    }

    /// Records that the server could not be reached; `cold_for` is the time for which a server is cold.
    pub fn record_unreachable(&mut self, cold_for: Duration, now: Instant) {
        self.is_unreachable = true;
        self.assume(cold_for, ColdEvidence::Unreachable, now);
    }

    /// Records that the server responded, maybe for the first time after a restart.
    pub fn record_response(&mut self, cold_for: Duration, now: Instant) {
        if std::mem::take(&mut self.is_unreachable) {
            self.assume(cold_for, ColdEvidence::Unreachable, now);
        }
    }

    /// Returns until when and why the server counts as cold.
    #[must_use]
    pub fn cold(&self, now: Instant) -> Option<(Instant, ColdEvidence)> {
        let ends = [self.stated, self.assumed].into_iter().flatten();
        ends.filter(|(end, _)| now < *end)
            .max_by_key(|(end, _)| *end)
    }

    /// Returns whether the server itself states that it is cold.
    #[must_use]
    pub fn is_stated(&self, now: Instant) -> bool {
        self.stated.is_some_and(|(end, _)| now < end)
    }

    /// Returns whether the router may send a request; a `position` of `None` means that the fleet is not known yet.
    #[must_use]
    pub fn room(
        &self,
        allowance: ColdAllowance,
        position: Option<FleetPosition>,
        now: Instant,
    ) -> Room {
        let Some(end) = self.last_end() else {
            return Room::Unlimited;
        };
        let Some(factor) = ramp_factor(end, now) else {
            return Room::Unlimited;
        };
        let share = |factor| {
            position.map_or(0, |position| {
                position.share(allowance.units.saturating_mul(factor))
            })
        };
        let own = (share(factor) as usize).min(MAX_SENT);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < allowance.window;
        let used = self.sent.iter().rev().take_while(is_recent).count();
        if used < own {
            return Room::Cold { free: own - used };
        }
        let next = if position.is_none() {
            FLEET_UNKNOWN_WAIT
        } else if own > 0 {
            let oldest = self.sent[self.sent.len() - own];
            (oldest + allowance.window).saturating_duration_since(now)
        } else {
            let step = (0..RAMP_STEPS).find(|step| share(2 << step) > 0);
            let from = end + RAMP_STEP * step.unwrap_or(RAMP_STEPS);
            from.saturating_duration_since(now)
        };
        Room::UsedUp {
            next,
            is_assumed: !self.is_stated(now),
        }
    }

    /// Records that a request is sent to the server.
    ///
    /// Requests to a warm server count as well, as it may become cold in the window.
    pub fn record_sent(&mut self, allowance: ColdAllowance, now: Instant) {
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= allowance.window;
        while self.sent.front().is_some_and(is_over) || self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    fn last_end(&self) -> Option<Instant> {
        let ends = [self.stated, self.assumed].into_iter().flatten();
        ends.map(|(end, _)| end).max()
    }
}

/// Returns by how much the allowance is multiplied, or `None` if there is no limit any more.
fn ramp_factor(end: Instant, now: Instant) -> Option<u32> {
    if now < end {
        return Some(1);
    }
    let step = now.duration_since(end).div_duration_f64(RAMP_STEP) as u32;
    (step < RAMP_STEPS).then(|| 2 << step)
}

/// Requests for one service while all its usable servers are cold, by priority.
#[derive(Clone, Debug, Default)]
pub struct ColdDemand {
    /// Times and priorities of the requests, the earliest first.
    requests: VecDeque<(Instant, u8)>,
}

impl ColdDemand {
    /// Records a request; priority 0 is the highest.
    pub fn record(&mut self, priority: u8, now: Instant) {
        let is_over = |(at, _): &(Instant, u8)| now.saturating_duration_since(*at) >= DEMAND_TIME;
        while self.requests.front().is_some_and(is_over) || self.requests.len() >= MAX_DEMAND {
            self.requests.pop_front();
        }
        self.requests.push_back((now, priority));
    }

    /// Returns the units that a request has to leave to more urgent ones.
    #[must_use]
    pub fn reserved(&self, priority: u8, now: Instant) -> usize {
        let is_more_urgent = |(at, other): &&(Instant, u8)| {
            *other < priority && now.saturating_duration_since(*at) < DEMAND_TIME
        };
        let urgent = self.requests.iter().filter(is_more_urgent).count();
        urgent.div_ceil(URGENT_RESERVE_DIVISOR)
    }
}
