//! Refusal reasons, and whether a request without a complete response was executed.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a failed request was executed, as far as is known.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and no copy of it will run later.
    NotRun,
    /// The request ran; its response is not available.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The backend server is being drained or its agent is shutting down.
    Draining,
    /// Admission would raise the load of the backend server above its bound.
    LoadBound,
    /// The agent's queue for this kind of work is full.
    QueueFull,
    /// The request did not finish before its deadline, or cannot.
    Deadline,
    /// The key-value service cannot be reached, so no claim can be made.
    ClaimsUnavailable,
    /// The claims record has reached its size limit.
    ClaimsFull,
    /// Another attempt of the same action is running or has run.
    Duplicate,
    /// A tombstone prevents the action from starting, because the router abandoned an attempt.
    Barred,
    /// The request crashed backend servers and is not retried.
    Quarantined,
    /// The backend server was unreachable, so the request was not sent to it.
    BackendDown,
    /// The backend server failed while it ran the request.
    BackendFailed,
    /// The backend server crashed while it ran the request, which may have caused the crash.
    BackendCrashed,
    /// The caller or the router cancelled the request.
    Cancelled,
    /// The attempt was addressed to an earlier incarnation of this agent.
    Restarted,
    /// The idempotency key was used before for a request with different content.
    KeyReused,
    /// No live backend server serves the request.
    NoBackend,
    /// A service that this one depends on has no live backend server.
    DependencyDown,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The organisation exceeds its rate limit.
    OrganisationLimit,
    /// The agent cannot decode the request.
    BadRequest,
}
