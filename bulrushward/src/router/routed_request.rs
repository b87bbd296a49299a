//! A caller's request that was read completely and matched to a service.

use std::time::Instant;

use bulrushward_config::Service;
use bulrushward_protocol::{
    ActionKey, AttemptId, ChatKey, Fingerprint, Header, Incarnation, KindId, OrganisationId,
    RequestId, Revision, RunRequest, WorkUnits,
};
use bytes::Bytes;

/// A caller's request with all the data that placement and attempts need.
#[derive(Clone, Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) request: RequestId,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    pub(crate) service: Service,
    pub(crate) organisation: OrganisationId,
    pub(crate) kind: KindId,
    pub(crate) chat: ChatKey,
    pub(crate) work: WorkUnits,
    pub(crate) action: Option<ActionKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) revision: Revision,
    /// Whether the response is streamed to the caller.
    pub(crate) streamed: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
}

impl RoutedRequest {
    /// Returns whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.action.is_none()
    }

    /// Builds the message for one attempt at an agent.
    pub(crate) fn attempt(
        &self,
        attempt: AttemptId,
        agent: Incarnation,
        suspect: bool,
    ) -> RunRequest {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        RunRequest {
            request: self.request,
            attempt,
            agent,
            service: self.service.name.clone(),
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            chat: self.chat,
            work: self.work,
            deadline_ms: remaining.as_millis() as u64,
            action: self.action,
            fingerprint: self.fingerprint,
            suspect,
            revision: self.revision,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }
}
