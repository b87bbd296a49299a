//! What a direct router may still send to servers while it stops, and when it answers what is left.
//!
//! Handles: planned stops under load, with servers that reject, break or stay silent late in the grace.

use std::time::{Duration, Instant};

/// Time after the stop signal in which requests are taken as before it.
///
/// The platform probes readiness once a second and removes a router after two failed probes.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Time between answering the remaining requests and the platform killing the process.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Longest time for writing the last answers; the rest of [`STOP_MARGIN`] is for ending the process.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Longest time beyond that for responses whose end is being confirmed.
const CONFIRM_TIME: Duration = Duration::from_millis(90);

/// Phase of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Requests are taken as before the stop.
    Accepting,
    /// New requests are refused; those in progress go on.
    Refusing,
    /// What is in progress is answered or aborted.
    Ending,
}

/// A request that would be sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct StopSend {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Time that a server is expected to need.
    pub time_needed: Duration,
}

/// Times of one stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    refusing: Instant,
    ending: Instant,
    exit: Instant,
}

impl PlannedStop {
    /// Creates the plan of a stop that was asked for at `begun`; the process is killed after `grace`.
    #[must_use]
    pub fn new(begun: Instant, grace: Duration) -> Self {
        let ending = begun + grace.saturating_sub(STOP_MARGIN);
        Self {
            refusing: ending.min(begun + ACCEPT_TIME),
            ending,
            exit: ending + ANSWER_TIME,
        }
    }

    /// Returns the phase at a time.
    #[must_use]
    pub fn phase(&self, now: Instant) -> StopPhase {
        if now >= self.ending {
            StopPhase::Ending
        } else if now >= self.refusing {
            StopPhase::Refusing
        } else {
            StopPhase::Accepting
        }
    }

    /// Returns the time from which new requests are refused.
    #[must_use]
    pub fn refusing(&self) -> Instant {
        self.refusing
    }

    /// Returns the time at which the requests in progress are answered.
    #[must_use]
    pub fn ending(&self) -> Instant {
        self.ending
    }

    /// Returns the time at which the process ends whether or not all answers are written.
    #[must_use]
    pub fn exit(&self) -> Instant {
        self.exit
    }

    /// Returns the time at which the process ends though responses are about to be complete.
    #[must_use]
    pub fn last_exit(&self) -> Instant {
        self.exit + CONFIRM_TIME
    }

    /// Returns the time from which a request may not be sent to any server, be it for the first time or again.
    ///
    /// A request that must run once is only sent while requests are taken. One that may be repeated is sent later too if
    /// it can be expected to end before the stop does.
    #[must_use]
    pub fn send_end(&self, send: StopSend) -> Instant {
        if !send.is_repeatable {
            return self.refusing;
        }
        self.ending
            .checked_sub(send.time_needed)
            .map_or(self.refusing, |latest| latest.max(self.refusing))
    }
}
