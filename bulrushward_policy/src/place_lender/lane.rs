//! Waiting asks of one kind and priority.

use std::time::{Duration, Instant};

use super::{AskId, KindKey, OrganisationKey, REQUEST_WORK};
use crate::{fair_queue::FairQueue, rate_meter::RateMeter};

/// Time over which the asks and grants of a lane are counted.
const MEMORY: Duration = Duration::from_secs(2);
/// Asks per second below which all asks count as granted.
const MIN_ASKED: f64 = 0.5;

/// Whether the response to an ask can be in time; each lane has a line for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timing {
    /// Asks whose responses can still be in time; the nearest target first.
    InTime,
    /// Asks whose responses will be late; the nearest deadline first.
    Late,
}

/// Order of lanes; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// Whether the asks are beyond what their organisations may ask for in a crowd.
    pub(super) is_surplus: bool,
    pub(super) priority: u8,
}

#[derive(Debug)]
pub(super) struct Lane {
    pub(super) precedence: Precedence,
    pub(super) kind: KindKey,
    in_time: FairQueue<OrganisationKey, AskId, Instant>,
    late: FairQueue<OrganisationKey, AskId, Instant>,
    pub(super) asked: RateMeter,
    pub(super) granted: RateMeter,
    granted_late: RateMeter,
}

impl Lane {
    pub(super) fn new(precedence: Precedence, kind: KindKey, now: Instant) -> Self {
        let meter = RateMeter::new(MEMORY, now);
        Self {
            precedence,
            kind,
            in_time: FairQueue::default(),
            late: FairQueue::default(),
            asked: meter,
            granted: meter,
            granted_late: meter,
        }
    }

    pub(super) fn queue(
        &mut self,
        timing: Timing,
    ) -> &mut FairQueue<OrganisationKey, AskId, Instant> {
        match timing {
            Timing::InTime => &mut self.in_time,
            Timing::Late => &mut self.late,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    /// Returns whether the ask that is granted next can be answered in time.
    pub(super) fn has_in_time(&self) -> bool {
        !self.in_time.is_empty()
    }

    /// Returns the number of waiting asks.
    pub(super) fn waiting(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Estimates the asks of this lane that are granted before a new one.
    pub(super) fn ahead(
        &self,
        timing: Timing,
        organisation: OrganisationKey,
        weight: f64,
        rank: &Instant,
    ) -> f64 {
        let (queue, before) = match timing {
            Timing::InTime => (&self.in_time, 0),
            Timing::Late => (&self.late, self.in_time.work()),
        };
        let ahead = queue.work_ahead(&organisation, weight, REQUEST_WORK, rank);
        (ahead + before as f64) / REQUEST_WORK as f64
    }

    /// Returns the number of waiting asks of an organisation in a line.
    pub(super) fn backlog(&self, timing: Timing, organisation: OrganisationKey) -> usize {
        let (in_time, _) = self.in_time.organisation_backlog(&organisation);
        match timing {
            Timing::InTime => in_time,
            Timing::Late => in_time + self.late.organisation_backlog(&organisation).0,
        }
    }

    /// Removes and returns the ask that is granted next.
    pub(super) fn pop(&mut self) -> Option<AskId> {
        self.in_time.pop().or_else(|| self.late.pop())
    }

    pub(super) fn record_grant(&mut self, timing: Timing, now: Instant) {
        self.granted.record(now);
        if timing == Timing::Late {
            self.granted_late.record(now);
        }
    }

    /// Returns the grants per second to late asks.
    pub(super) fn late_rate(&self, now: Instant) -> f64 {
        self.granted_late.per_second(now)
    }

    /// Returns the granted fraction of the asks.
    pub(super) fn granted_fraction(&self, now: Instant) -> f64 {
        let asked = self.asked.per_second(now);
        if asked < MIN_ASKED {
            return 1.0;
        }
        (self.granted.per_second(now) / asked).min(1.0)
    }
}
