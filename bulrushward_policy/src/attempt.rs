//! The attempts of one request: what may be sent again, where, and what is told to the caller.

mod step;

use std::time::{Duration, Instant};

use bulrushward_protocol::{Outcome, RefusalReason};

pub use self::step::{RequestProperties, Step};
use crate::retry_budget::RetryBudget;

/// Time after which a caller may try again when no agent named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts beyond the first that refusals before the backend server may cause without a
/// withdrawal from the budget.
///
/// They are part of placement with bounded loads and cost no backend server any work.
const FREE_SPILLS: u32 = 2;
/// New connections in a row on which an attempt is resumed before it is given up.
const MAX_RESUMES: u32 = 2;
/// Crashes of backend servers after which a request is not tried again.
const MAX_CRASHES: u32 = 2;

/// Where the current attempt stands, as far as the router has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No attempt is on its way.
    Idle,
    /// The attempt was sent; it may have started already.
    Sent,
    /// The agent handed the request to its backend server.
    Started,
    /// The caller has the head of the answer.
    Head,
    /// The answer is whole.
    Done,
    /// Nothing more is tried.
    Final(RefusalReason),
}

/// Tracks one request over all its attempts.
///
/// All inputs are about the current attempt; see [`Self::is_current`].
#[derive(Debug)]
pub struct RequestProgress {
    facts: RequestProperties,
    phase: Phase,
    /// Whether the connection of the current attempt is lost.
    broken: bool,
    /// New connections for the current attempt since it last made progress.
    resumes: u32,
    /// Attempts that were sent.
    attempts: usize,
    spills: u32,
    crashes: u32,
    /// Whether the next attempt counts as a retry.
    retry: bool,
    /// What is known of the attempts that are over.
    past: Outcome,
    last_reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl RequestProgress {
    /// Starts with a request that was not sent yet.
    #[must_use]
    pub fn new(facts: RequestProperties) -> Self {
        Self {
            facts,
            phase: Phase::Idle,
            broken: false,
            resumes: 0,
            attempts: 0,
            spills: 0,
            crashes: u32::from(facts.suspect),
            retry: false,
            past: Outcome::NotRun,
            last_reason: RefusalReason::NoBackend,
            retry_after: None,
        }
    }

    /// Decides what to do next; a retry is paid for from `budget`.
    pub fn next(&mut self, now: Instant, budget: &mut RetryBudget) -> Step {
        match self.phase {
            Phase::Done => Step::Done,
            Phase::Final(reason) => self.refusal(reason),
            Phase::Head if !self.broken => Step::Wait,
            _ if now >= self.facts.deadline => self.give_up(RefusalReason::Deadline),
            Phase::Idle => self.send(budget),
            _ if self.broken && self.resumes >= MAX_RESUMES => {
                self.lost();
                self.next(now, budget)
            }
            _ if self.broken => self.resume(),
            Phase::Sent | Phase::Started | Phase::Head => Step::Wait,
        }
    }

    /// Takes in that no connection to the agent could be made, so that nothing was sent.
    pub fn unreachable(&mut self) {
        self.refused(
            RefusalReason::BackendDown,
            Outcome::NotRun,
            DEFAULT_RETRY_AFTER,
        );
    }

    /// Takes in a refusal by the agent of the current attempt.
    pub fn refused(&mut self, reason: RefusalReason, outcome: Outcome, retry_after: Duration) {
        if !self.is_active() {
            return;
        }
        self.last_reason = reason;
        if reason == RefusalReason::BackendCrashed && outcome != Outcome::NotRun {
            self.crashes += 1;
        }
        if reason == RefusalReason::Barred && outcome == Outcome::NotRun && !self.facts.idempotent {
            // The bar covers the action, so it settles the earlier attempts too.
            self.past = Outcome::NotRun;
        }
        self.past = worse(self.past, outcome);
        self.retry_after = match self.retry_after {
            Some(earlier) if is_retryable(reason) => Some(earlier.min(retry_after)),
            _ => Some(retry_after),
        };
        self.end_attempt(reason, outcome == Outcome::NotRun);
    }

    /// Takes in that the agent handed the request to its backend server.
    pub fn started(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Started;
        }
        self.progressed();
    }

    /// Takes in that the head of the answer was passed to the caller.
    pub fn head_sent(&mut self) {
        if self.is_active() {
            self.phase = Phase::Head;
        }
        self.progressed();
    }

    /// Takes in that the current attempt sent something, a heartbeat included.
    pub fn progressed(&mut self) {
        self.resumes = 0;
    }

    /// Takes in that the connection of the current attempt is silent or truncated.
    pub fn connection_lost(&mut self) {
        if self.is_active() {
            self.broken = true;
        }
    }

    /// Takes in that the agent does not know the current attempt any more.
    pub fn attempt_forgotten(&mut self) {
        self.lost();
    }

    /// Takes in that the backend server crashed while it ran the request.
    pub fn backend_crashed(&mut self) {
        self.refused(
            RefusalReason::BackendCrashed,
            Outcome::Unknown,
            DEFAULT_RETRY_AFTER,
        );
    }

    /// Takes in that the answer is whole.
    pub fn finished(&mut self) {
        if self.is_active() {
            self.phase = Phase::Done;
        }
    }

    /// Returns whether the request crashed a backend server, earlier or in one of its attempts.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns whether the caller has the head of an answer, so that an error can only cut it.
    #[must_use]
    pub fn is_head_sent(&self) -> bool {
        self.phase == Phase::Head
    }

    /// Returns whether an attempt is the one whose answer counts; others are ignored.
    #[must_use]
    pub fn is_current(&self, attempt: usize) -> bool {
        self.is_active() && attempt + 1 == self.attempts
    }

    fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Started | Phase::Head)
    }

    fn send(&mut self, budget: &mut RetryBudget) -> Step {
        if self.attempts >= self.facts.candidates {
            return self.finalise(self.last_reason);
        }
        if self.retry && !self.pay(budget) {
            return self.finalise(RefusalReason::RetryBudget);
        }
        let candidate = self.attempts;
        self.attempts += 1;
        self.phase = Phase::Sent;
        self.broken = false;
        self.resumes = 0;
        Step::Send {
            candidate,
            attempt: candidate,
            hedge: false,
            suspect: self.is_suspect(),
        }
    }

    /// Pays for a retry; the first moves away from agents that sent nothing on are free.
    fn pay(&mut self, budget: &mut RetryBudget) -> bool {
        if is_before_backend(self.last_reason) && self.spills < FREE_SPILLS {
            self.spills += 1;
            return true;
        }
        budget.withdraw()
    }

    fn resume(&mut self) -> Step {
        self.resumes += 1;
        self.broken = false;
        Step::Resume {
            candidate: self.attempts - 1,
            attempt: self.attempts - 1,
        }
    }

    /// Ends an attempt of which nothing more will be heard.
    ///
    /// It may have run even if the router never heard that it started.
    fn lost(&mut self) {
        if !self.is_active() {
            return;
        }
        self.last_reason = RefusalReason::BackendFailed;
        self.past = worse(self.past, Outcome::Unknown);
        self.end_attempt(RefusalReason::BackendFailed, false);
    }

    /// Goes on with another candidate if that is safe, or ends the request.
    fn end_attempt(&mut self, reason: RefusalReason, not_run: bool) {
        let safe = not_run || self.facts.idempotent;
        let untold = self.phase != Phase::Head;
        self.phase = if self.crashes >= MAX_CRASHES {
            Phase::Final(RefusalReason::Quarantined)
        } else if safe && untold && is_retryable(reason) {
            Phase::Idle
        } else {
            Phase::Final(reason)
        };
        self.retry = true;
    }

    fn give_up(&mut self, reason: RefusalReason) -> Step {
        if self.is_active() {
            self.past = worse(self.past, Outcome::Unknown);
        }
        self.finalise(reason)
    }

    fn finalise(&mut self, reason: RefusalReason) -> Step {
        self.phase = Phase::Final(reason);
        self.refusal(reason)
    }

    fn refusal(&self, reason: RefusalReason) -> Step {
        Step::Refuse {
            reason,
            outcome: self.past,
            retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }
}

/// Returns whether another agent may decide otherwise than one that refused for this reason.
fn is_retryable(reason: RefusalReason) -> bool {
    is_full(reason)
        || matches!(
            reason,
            RefusalReason::BackendCrashed
                | RefusalReason::BackendDown
                | RefusalReason::BackendFailed
                | RefusalReason::NoBackend
                | RefusalReason::Restarted
        )
}

/// Returns whether a refusal for this reason cost the backend server nothing.
fn is_before_backend(reason: RefusalReason) -> bool {
    is_full(reason)
        || matches!(
            reason,
            RefusalReason::BackendDown | RefusalReason::Restarted
        )
}

/// Returns whether an agent that refused for this reason works but has no room.
fn is_full(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Draining
            | RefusalReason::LoadBound
            | RefusalReason::QueueFull
            | RefusalReason::Deadline
    )
}

/// Combines what is known of two attempts: a run is certain, then possible, then excluded.
fn worse(one: Outcome, other: Outcome) -> Outcome {
    match (one, other) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
