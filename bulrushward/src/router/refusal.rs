//! Error responses to callers: status, headers and a JSON body in the format of chat completion APIs.

use bulrushward_protocol::{Outcome, Refusal, RefusalReason, RequestId, format_id, headers};
use salvo::{Response, http::StatusCode};
use serde_json::json;

const MILLISECONDS_PER_SECOND: u64 = 1_000;
/// Maximum number of characters of a caller's text that an error message quotes.
const MAX_QUOTED_CHARACTERS: usize = 100;

/// A local error response to an invalid request, which is never sent to an agent.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    /// The method that the path accepts, if the request used another one.
    allowed: Option<&'static str>,
}

impl Rejection {
    /// Rejects a method; `allowed` is the only one that the path accepts.
    pub(crate) fn method(path: &str, allowed: &'static str) -> Self {
        let message = format!("the path {path:?} accepts only {allowed}");
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

    /// Writes the rejection to the response, with the outcome that the request did not run.
    pub(crate) fn render(&self, request: RequestId, res: &mut Response) {
        let error_type = "invalid_request_error";
        render(
            res,
            request,
            self.status,
            error_type,
            self.code,
            Outcome::NotRun,
            &self.message,
        );
        if let Some(allowed) = self.allowed {
            set_header(res, "allow", allowed);
        }
        if self.status == StatusCode::REQUEST_TIMEOUT {
            set_header(res, "connection", "close");
        }
    }
}

/// Truncates a caller's text for an error message.
pub(crate) fn truncated(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARACTERS).collect()
}

/// Writes a final refusal with its outcome and the time after which the caller may retry.
pub(crate) fn render_refusal(refusal: &Refusal, request: RequestId, res: &mut Response) {
    let status = status_code_of(refusal);
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
    let seconds = refusal
        .retry_after_ms
        .div_ceil(MILLISECONDS_PER_SECOND)
        .max(1);
    set_header(res, "retry-after", &seconds.to_string());
    set_header(res, "retry-after-ms", &refusal.retry_after_ms.to_string());
}

/// Builds the JSON error body, which is also the last event of a truncated event stream.
pub(crate) fn error_body(
    request: RequestId,
    error_type: &str,
    code: &str,
    outcome: Outcome,
    message: &str,
) -> serde_json::Value {
    json!({
        "error": {
            "message": message,
            "type": error_type,
            "code": code,
            "param": null,
            "outcome": outcome.to_string(),
            "request": format_id(request),
        }
    })
}

/// Sets a header. Values are built from ids and numbers and are therefore valid.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

fn render(
    res: &mut Response,
    request: RequestId,
    status: StatusCode,
    error_type: &str,
    code: &str,
    outcome: Outcome,
    message: &str,
) {
    res.status_code(status);
    set_header(res, "content-type", "application/json");
    set_header(res, headers::REQUEST_ID, &format_id(request));
    set_header(res, headers::OUTCOME, outcome.into());
    res.body(error_body(request, error_type, code, outcome, message).to_string());
}

fn status_code_of(refusal: &Refusal) -> StatusCode {
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
