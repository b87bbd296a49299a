//! Log events of one request, until it ends or its caller disconnects.
//!
//! The names of the events call a response an answer.

use std::time::Instant;

use bulrushward_protocol::{Outcome, Refusal, RequestId, format_id};
use tracing::info;

use super::{refusal::Rejection, routed_request::RoutedRequest};

/// Logs a request that is rejected as invalid.
pub(super) fn rejected(request: RequestId, received: Instant, rejection: &Rejection) {
    info!(
        event = "request-rejected",
        request = format_id(request),
        code = rejection.code,
        outcome = %Outcome::NotRun,
        message = rejection.message,
        milliseconds = received.elapsed().as_millis() as u64,
    );
}

/// Logs the progress of one request.
///
/// Dropping it before the request has ended logs that the caller disconnected.
pub(super) struct RequestLog {
    request: RequestId,
    organisation: String,
    service: String,
    kind: String,
    chat: String,
    received: Instant,
    backend: String,
    bytes: u64,
    ended: bool,
}

impl RequestLog {
    pub(super) fn new(req: &RoutedRequest) -> Self {
        Self {
            request: req.request,
            organisation: req.organisation.clone(),
            service: req.service.name.clone(),
            kind: req.kind.clone(),
            chat: format!("{:016x}", req.chat),
            received: req.received,
            backend: String::new(),
            bytes: 0,
            ended: false,
        }
    }

    /// Logs that the response starts.
    pub(super) fn response_started(&mut self, backend: &str, status: u16) {
        backend.clone_into(&mut self.backend);
        info!(
            event = "request-answered",
            request = format_id(self.request),
            organisation = self.organisation,
            service = self.service,
            kind = self.kind,
            chat = self.chat,
            backend = self.backend,
            outcome = %Outcome::Ran,
            status,
            first_byte_ms = self.milliseconds(),
        );
    }

    /// Counts bytes of the response body.
    pub(super) fn add_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Logs that the response is complete.
    pub(super) fn response_completed(&mut self) {
        self.ended = true;
        info!(
            event = "answer-ended",
            request = format_id(self.request),
            organisation = self.organisation,
            service = self.service,
            kind = self.kind,
            chat = self.chat,
            backend = self.backend,
            outcome = %Outcome::Ran,
            bytes = self.bytes,
            milliseconds = self.milliseconds(),
        );
    }

    /// Logs that the response was truncated.
    pub(super) fn response_truncated(&mut self, message: &str) {
        self.ended = true;
        info!(
            event = "answer-cut",
            request = format_id(self.request),
            organisation = self.organisation,
            service = self.service,
            kind = self.kind,
            chat = self.chat,
            backend = self.backend,
            outcome = %Outcome::Unknown,
            message,
            bytes = self.bytes,
            milliseconds = self.milliseconds(),
        );
    }

    /// Logs that the request is finally refused.
    pub(super) fn refused(&mut self, refused: &Refusal) {
        self.ended = true;
        info!(
            event = "request-refused",
            request = format_id(self.request),
            organisation = self.organisation,
            service = self.service,
            kind = self.kind,
            chat = self.chat,
            reason = %refused.reason,
            outcome = %refused.outcome,
            message = refused.message,
            retry_after_ms = refused.retry_after_ms,
            milliseconds = self.milliseconds(),
        );
    }

    fn milliseconds(&self) -> u64 {
        self.received.elapsed().as_millis() as u64
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        info!(
            event = "caller-gone",
            request = format_id(self.request),
            organisation = self.organisation,
            service = self.service,
            kind = self.kind,
            chat = self.chat,
            backend = self.backend,
            outcome = %Outcome::Unknown,
            bytes = self.bytes,
            milliseconds = self.milliseconds(),
        );
    }
}
