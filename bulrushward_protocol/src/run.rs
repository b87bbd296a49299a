//! A request on its way from a router to an agent, and its refusal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ActionKey, AttemptId, ChatKey, Fingerprint, Incarnation, KindId, OrganisationId, Outcome,
    RefusalReason, RequestId, Revision, ServiceId, WorkUnits,
};

/// One HTTP header as sent.
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
    /// Start of the agent that the attempt is meant for; a restarted agent refuses it, because it
    /// no longer knows which attempts it barred.
    pub agent: Incarnation,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The kind of work, which sets priority and queue.
    pub kind: KindId,
    /// The chat, for logs and cache affinity.
    pub chat: ChatKey,
    /// Estimated work.
    pub work: WorkUnits,
    /// Milliseconds from receipt until the answer is of no use.
    pub deadline_ms: u64,
    /// Key of the action if the request is not idempotent.
    pub action: Option<ActionKey>,
    /// Content of the request, for quarantine.
    pub fingerprint: Fingerprint,
    /// Whether the request was running on a backend server when that crashed.
    pub suspect: bool,
    /// Configuration revision of the router.
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

/// A final answer of an agent that does not run or finish an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Milliseconds after which the caller may try again.
    pub retry_after_ms: u64,
    /// One sentence for the caller.
    pub message: String,
}

/// Asks an agent to make sure that an attempt, meant for it or for another agent, never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BarRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The action of the attempt if it is not idempotent.
    pub action: Option<ActionKey>,
}
