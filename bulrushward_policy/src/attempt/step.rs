//! Inputs and decisions of the attempt state machine.

use std::time::{Duration, Instant};

use bulrushward_protocol::{Outcome, RefusalReason};

/// The properties of a request that its attempts depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestProperties {
    /// Number of backend servers that the request may be sent to; they are ranked, best first.
    pub candidates: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the content of the request has crashed a backend server before.
    pub suspect: bool,
    /// Time after which the response is of no use any more.
    pub deadline: Instant,
}

/// The next step of the router for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends a new attempt.
    Send {
        /// Index of the candidate.
        candidate: usize,
        /// Number of the attempt, from 0.
        attempt: usize,
        /// Whether the attempt runs concurrently with another one.
        hedge: bool,
        /// Whether the request was running on a backend server that crashed.
        suspect: bool,
    },
    /// Opens a new connection to the agent of the current attempt and resumes the response at the
    /// offset that was sent to the caller.
    Resume {
        /// Index of the candidate.
        candidate: usize,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Waits for an event of the current attempt.
    Wait,
    /// Ends the request with a refusal, or with an error if the response has begun.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Whether the request ran.
        outcome: Outcome,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Does nothing more, as the response is complete.
    Done,
}
