//! Messages by which a router asks an agent to run or bar an attempt, and the agent's refusal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ActionKey, AttemptId, ChatKey, Fingerprint, Incarnation, KindId, OrganisationId, Outcome,
    RefusalReason, RequestId, Revision, ServiceId, WorkUnits,
};

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as text.
    pub value: String,
}

/// One attempt to run a request at an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The caller's request, the same for all attempts.
    pub request: RequestId,
    /// This attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the attempt is addressed to; a restarted agent refuses it,
    /// because it has lost its tombstones of abandoned attempts.
    pub agent: Incarnation,
    /// The requested service.
    pub service: ServiceId,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The kind of work, which determines priority and queue.
    pub kind: KindId,
    /// The chat, for logs and cache affinity.
    pub chat: ChatKey,
    /// Estimated work.
    pub work: WorkUnits,
    /// Milliseconds from receipt until the deadline.
    pub deadline_ms: u64,
    /// Key of the action if the request is not idempotent.
    pub action: Option<ActionKey>,
    /// Hash of the request content, for quarantine.
    pub fingerprint: Fingerprint,
    /// Whether a backend server crashed while it ran this request.
    pub suspect: bool,
    /// Configuration revision that is active in the router.
    pub revision: Revision,
    /// HTTP method for the backend server.
    pub method: String,
    /// Path and query for the backend server.
    pub path: String,
    /// HTTP headers for the backend server.
    pub headers: Vec<Header>,
    /// HTTP body for the backend server.
    pub body: Bytes,
}

/// Final response of an agent that did not start or did not finish an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the attempt was refused or failed.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Milliseconds after which the caller may retry.
    pub retry_after_ms: u64,
    /// One sentence for the caller.
    pub message: String,
}

/// Asks an agent to write a tombstone so that an attempt, its own or another agent's, never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BarRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The action of the attempt if it is not idempotent.
    pub action: Option<ActionKey>,
}
