//! State machine for the attempts of one request: retries, failover and the outcome for the caller.
//!
//! For routers that send requests to agents; direct routers use [`crate::server_attempt`].

mod step;

use std::time::{Duration, Instant};

use bulrushward_protocol::{Outcome, RefusalReason};

pub use self::step::{RequestProperties, Step};
use crate::retry_budget::RetryBudget;

/// Retry delay for the caller if no agent gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts after the first that are not charged to the retry budget, if the agent refused the
/// previous one before its backend server got it.
///
/// Placement with bounded loads expects such refusals, and they cost the backend servers no work.
const FREE_FAILOVERS: u32 = 2;
/// Consecutive connections on which an attempt is resumed without progress before it is abandoned.
const MAX_RESUMES: u32 = 2;
/// Crashes of backend servers after which a request is not retried.
const MAX_CRASHES: u32 = 2;

/// Phase of the current attempt as known to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is active.
    Idle,
    /// The attempt was sent and may have started already.
    Sent,
    /// The agent handed the request to its backend server.
    Started,
    /// The head of the response was sent to the caller.
    HeadSent,
    /// The response is complete.
    Done,
    /// The request was refused and no further attempt is made.
    Final(RefusalReason),
}

/// Tracks one request across all its attempts.
///
/// All events are about the current attempt; see [`Self::is_current`].
#[derive(Debug)]
pub struct RequestProgress {
    properties: RequestProperties,
    phase: Phase,
    /// Whether the connection of the current attempt was lost.
    is_disconnected: bool,
    /// New connections for the current attempt since it last made progress.
    resumes: u32,
    /// Number of attempts that were sent.
    attempts: usize,
    /// Number of attempts that were sent without a charge to the retry budget.
    failovers: u32,
    /// Number of backend servers that the request crashed.
    crashes: u32,
    /// Whether the next attempt counts as a retry.
    is_retry: bool,
    /// Combined outcome of the attempts that have ended.
    past_outcome: Outcome,
    last_reason: RefusalReason,
    /// Shortest retry delay of the refusals so far, or the delay of a refusal that ended the
    /// request.
    retry_after: Option<Duration>,
}

impl RequestProgress {
    /// Creates the state of a request that was not sent yet.
    #[must_use]
    pub fn new(properties: RequestProperties) -> Self {
        Self {
            properties,
            phase: Phase::Idle,
            is_disconnected: false,
            resumes: 0,
            attempts: 0,
            failovers: 0,
            crashes: u32::from(properties.suspect),
            is_retry: false,
            past_outcome: Outcome::NotRun,
            last_reason: RefusalReason::NoBackend,
            retry_after: None,
        }
    }

    /// Decides what to do next; retries are charged to `budget`.
    pub fn next(&mut self, now: Instant, budget: &mut RetryBudget) -> Step {
        match self.phase {
            Phase::Done => Step::Done,
            Phase::Final(reason) => self.refusal(reason),
            Phase::HeadSent if !self.is_disconnected => Step::Wait,
            _ if now >= self.properties.deadline => self.fail(RefusalReason::Deadline),
            Phase::Idle => self.send(budget),
            _ if self.is_disconnected && self.resumes >= MAX_RESUMES => {
                self.attempt_lost();
                self.next(now, budget)
            }
            _ if self.is_disconnected => self.resume(),
            Phase::Sent | Phase::Started | Phase::HeadSent => Step::Wait,
        }
    }

    /// Records that the agent could not be reached, so that nothing was sent.
    pub fn unreachable(&mut self) {
        self.refused(
            RefusalReason::BackendDown,
            Outcome::NotRun,
            DEFAULT_RETRY_AFTER,
        );
    }

    /// Records a refusal by the agent of the current attempt.
    pub fn refused(&mut self, reason: RefusalReason, outcome: Outcome, retry_after: Duration) {
        if !self.is_active() {
            return;
        }
        self.last_reason = reason;
        if reason == RefusalReason::BackendCrashed && outcome != Outcome::NotRun {
            self.crashes += 1;
        }
        if reason == RefusalReason::Barred
            && outcome == Outcome::NotRun
            && !self.properties.idempotent
        {
            // The tombstone covers the action, so this refusal also sets the combined outcome of
            // all earlier attempts to not-run.
            self.past_outcome = Outcome::NotRun;
        }
        self.past_outcome = combine_outcomes(self.past_outcome, outcome);
        self.retry_after = match self.retry_after {
            Some(earlier) if is_retryable(reason) => Some(earlier.min(retry_after)),
            _ => Some(retry_after),
        };
        self.end_attempt(reason, outcome == Outcome::NotRun);
    }

    /// Records that the agent handed the request to its backend server.
    pub fn started(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Started;
        }
        self.progressed();
    }

    /// Records that the head of the response was sent to the caller.
    pub fn head_sent(&mut self) {
        if self.is_active() {
            self.phase = Phase::HeadSent;
        }
        self.progressed();
    }

    /// Records that data or a heartbeat of the current attempt was received.
    pub fn progressed(&mut self) {
        self.resumes = 0;
    }

    /// Records that the connection of the current attempt timed out or was aborted.
    pub fn connection_lost(&mut self) {
        if self.is_active() {
            self.is_disconnected = true;
        }
    }

    /// Records that the agent no longer knows the current attempt.
    pub fn attempt_forgotten(&mut self) {
        self.attempt_lost();
    }

    /// Records that the backend server crashed while it ran the request.
    pub fn backend_crashed(&mut self) {
        self.refused(
            RefusalReason::BackendCrashed,
            Outcome::Unknown,
            DEFAULT_RETRY_AFTER,
        );
    }

    /// Records that the response is complete.
    pub fn finished(&mut self) {
        if self.is_active() {
            self.phase = Phase::Done;
        }
    }

    /// Returns whether the request has crashed a backend server, before or during its attempts.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns whether the head of a response was sent to the caller, so that an error can only
    /// truncate the response.
    #[must_use]
    pub fn is_head_sent(&self) -> bool {
        self.phase == Phase::HeadSent
    }

    /// Returns whether an attempt is the current one; events of other attempts must be ignored.
    #[must_use]
    pub fn is_current(&self, attempt: usize) -> bool {
        self.is_active() && attempt + 1 == self.attempts
    }

    fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Started | Phase::HeadSent)
    }

    fn send(&mut self, budget: &mut RetryBudget) -> Step {
        if self.attempts >= self.properties.candidates {
            return self.finish_with(self.last_reason);
        }
        if self.is_retry && !self.charge_retry(budget) {
            return self.finish_with(RefusalReason::RetryBudget);
        }
        let candidate = self.attempts;
        self.attempts += 1;
        self.phase = Phase::Sent;
        self.is_disconnected = false;
        self.resumes = 0;
        Step::Send {
            candidate,
            attempt: candidate,
            hedge: false,
            suspect: self.is_suspect(),
        }
    }

    /// Charges a retry to the budget, except for the first failovers after refusals that cost the
    /// backend server no work; returns whether the retry may be sent.
    fn charge_retry(&mut self, budget: &mut RetryBudget) -> bool {
        if is_before_backend(self.last_reason) && self.failovers < FREE_FAILOVERS {
            self.failovers += 1;
            return true;
        }
        budget.withdraw()
    }

    fn resume(&mut self) -> Step {
        self.resumes += 1;
        self.is_disconnected = false;
        Step::Resume {
            candidate: self.attempts - 1,
            attempt: self.attempts - 1,
        }
    }

    /// Ends an attempt whose result will never be known.
    ///
    /// The attempt may have run even if the router was not notified of its start.
    fn attempt_lost(&mut self) {
        if !self.is_active() {
            return;
        }
        self.last_reason = RefusalReason::BackendFailed;
        self.past_outcome = combine_outcomes(self.past_outcome, Outcome::Unknown);
        self.end_attempt(RefusalReason::BackendFailed, false);
    }

    /// Allows another attempt if that is safe, or ends the request.
    fn end_attempt(&mut self, reason: RefusalReason, not_run: bool) {
        let may_run_again = not_run || self.properties.idempotent;
        let is_head_unsent = self.phase != Phase::HeadSent;
        self.phase = if self.crashes >= MAX_CRASHES {
            Phase::Final(RefusalReason::Quarantined)
        } else if may_run_again && is_head_unsent && is_retryable(reason) {
            Phase::Idle
        } else {
            Phase::Final(reason)
        };
        self.is_retry = true;
    }

    /// Ends the request; the outcome of an active attempt stays unknown.
    fn fail(&mut self, reason: RefusalReason) -> Step {
        if self.is_active() {
            self.past_outcome = combine_outcomes(self.past_outcome, Outcome::Unknown);
        }
        self.finish_with(reason)
    }

    fn finish_with(&mut self, reason: RefusalReason) -> Step {
        self.phase = Phase::Final(reason);
        self.refusal(reason)
    }

    fn refusal(&self, reason: RefusalReason) -> Step {
        Step::Refuse {
            reason,
            outcome: self.past_outcome,
            retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }
}

/// Returns whether another agent may accept a request that was refused for this reason.
fn is_retryable(reason: RefusalReason) -> bool {
    is_overloaded(reason)
        || matches!(
            reason,
            RefusalReason::BackendCrashed
                | RefusalReason::BackendDown
                | RefusalReason::BackendFailed
                | RefusalReason::NoBackend
                | RefusalReason::Restarted
        )
}

/// Returns whether a refusal for this reason happens before the backend server gets the request.
fn is_before_backend(reason: RefusalReason) -> bool {
    is_overloaded(reason)
        || matches!(
            reason,
            RefusalReason::BackendDown | RefusalReason::Restarted
        )
}

/// Returns whether an agent that refused for this reason works but has no capacity.
fn is_overloaded(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Draining
            | RefusalReason::LoadBound
            | RefusalReason::QueueFull
            | RefusalReason::Deadline
    )
}

/// Combines two outcomes: `Ran` outweighs `Unknown`, which outweighs `NotRun`.
fn combine_outcomes(one: Outcome, other: Outcome) -> Outcome {
    match (one, other) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
