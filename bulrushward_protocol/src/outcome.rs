//! What became of a request that was not answered in whole.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What the fleet knows about the execution of a request that failed.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and no copy of it will run later.
    NotRun,
    /// The request ran; its answer is not available.
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
    /// The backend server is leaving or its agent is shutting down.
    Draining,
    /// Admission would put the backend server above its load bound.
    LoadBound,
    /// The queue of the agent is full for this kind of work.
    QueueFull,
    /// The request cannot finish before its deadline.
    Deadline,
    /// The key-value service cannot be reached, so no claim can be made.
    ClaimsUnavailable,
    /// The record of claims is at its size limit.
    ClaimsFull,
    /// Another attempt of the same action is running or ran.
    Duplicate,
    /// The action was barred because an earlier attempt was given up.
    Barred,
    /// The request crashed backend servers and is not tried again.
    Quarantined,
    /// The backend server could not be reached before the request was sent to it.
    BackendDown,
    /// The backend server failed while it ran the request.
    BackendFailed,
    /// The backend server crashed while it ran the request, which is now suspect.
    BackendCrashed,
    /// The caller or the router gave the request up.
    Cancelled,
    /// The attempt was meant for an earlier start of this agent.
    Restarted,
    /// The key of the action was used for a request with other content.
    KeyReused,
    /// No live backend server serves the request.
    NoBackend,
    /// A service that this one depends on has no live backend server.
    DependencyDown,
    /// The fleet's budget for retries is spent.
    RetryBudget,
    /// The organisation is above its limit.
    OrganisationLimit,
    /// The agent cannot read the request.
    BadRequest,
}
