//! Refusals as callers see them: status, headers and an error body in the usual shape.

use bulrushward_protocol::{Outcome, Refusal, RefusalReason, RequestId, format_id, headers};
use salvo::{Response, http::StatusCode};
use serde_json::json;

/// Milliseconds in a second.
const MILLISECONDS: u64 = 1_000;
/// Characters of a caller's own text that a message repeats.
const QUOTED_CHARACTERS: usize = 100;

/// An answer that the router gives by itself to a request that it does not place.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    /// The methods that a path takes, if the method was the fault.
    allowed: Option<&'static str>,
}

impl Rejection {
    /// Rejects a method; `allowed` names the one that is taken.
    pub(crate) fn method(path: &str, allowed: &'static str) -> Self {
        let message = format!("the path {path:?} takes {allowed} only");
        Self {
            allowed: Some(allowed),
            ..Self::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method-not-allowed",
                message,
            )
        }
    }

    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            allowed: None,
        }
    }

    /// Writes the rejection; such a request never ran.
    pub(crate) fn render(&self, request: RequestId, res: &mut Response) {
        let kind = "invalid_request_error";
        render(
            res,
            request,
            self.status,
            kind,
            self.code,
            Outcome::NotRun,
            &self.message,
        );
        if let Some(allowed) = self.allowed {
            set(res, "allow", allowed);
        }
        if self.status == StatusCode::REQUEST_TIMEOUT {
            set(res, "connection", "close");
        }
    }
}

/// Returns the beginning of a caller's text for a message.
pub(crate) fn shortened(text: &str) -> String {
    text.chars().take(QUOTED_CHARACTERS).collect()
}

/// Writes a final refusal with its outcome and the time to come back.
pub(crate) fn render_refusal(refusal: &Refusal, request: RequestId, res: &mut Response) {
    let status = status_of(refusal);
    let code: &'static str = refusal.reason.into();
    render(
        res,
        request,
        status,
        "refused",
        code,
        refusal.outcome,
        &refusal.message,
    );
    let seconds = refusal.retry_after_ms.div_ceil(MILLISECONDS).max(1);
    set(res, "retry-after", &seconds.to_string());
    set(res, "retry-after-ms", &refusal.retry_after_ms.to_string());
}

/// Builds the error body, which also ends a streamed answer that was cut.
pub(crate) fn error_body(
    request: RequestId,
    kind: &str,
    code: &str,
    outcome: Outcome,
    message: &str,
) -> serde_json::Value {
    json!({
        "error": {
            "message": message,
            "type": kind,
            "code": code,
            "param": null,
            "outcome": outcome.to_string(),
            "request": format_id(request),
        }
    })
}

/// Sets a header; values are built from ids and numbers, which are always valid.
pub(crate) fn set(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

fn render(
    res: &mut Response,
    request: RequestId,
    status: StatusCode,
    kind: &str,
    code: &str,
    outcome: Outcome,
    message: &str,
) {
    res.status_code(status);
    set(res, "content-type", "application/json");
    set(res, headers::REQUEST_ID, &format_id(request));
    set(res, headers::OUTCOME, outcome.into());
    res.body(error_body(request, kind, code, outcome, message).to_string());
}

fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::KeyReused | RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::Duplicate => StatusCode::CONFLICT,
        RefusalReason::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::BackendCrashed | RefusalReason::BackendFailed => StatusCode::BAD_GATEWAY,
        RefusalReason::Deadline if refusal.outcome != Outcome::NotRun => {
            StatusCode::GATEWAY_TIMEOUT
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
