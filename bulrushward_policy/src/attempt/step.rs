//! What the router does next for a request.

use std::time::{Duration, Instant};

use bulrushward_protocol::{Outcome, RefusalReason};

/// A request as far as its attempts depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestProperties {
    /// Number of candidates, best first, that the request may be sent to.
    pub candidates: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request's content has crashed a backend server before.
    pub suspect: bool,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
}

/// What the router does next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends a new attempt.
    Send {
        /// Index of the candidate.
        candidate: usize,
        /// Number of the attempt, from 0.
        attempt: usize,
        /// Whether the attempt runs beside another one.
        hedge: bool,
        /// Whether the request was running on a backend server when that crashed.
        suspect: bool,
    },
    /// Opens a new connection to the agent of the current attempt and resumes at the offset that
    /// the caller has.
    Resume {
        /// Index of the candidate.
        candidate: usize,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Waits for the current attempt.
    Wait,
    /// Gives the caller its final answer: a refusal, or an error if its answer has begun.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Whether the request ran.
        outcome: Outcome,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Does nothing more: the answer is whole.
    Done,
}
