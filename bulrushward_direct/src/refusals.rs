//! Refusals of requests before each of their attempts.

use std::time::Instant;

use bulrushward_policy::server_attempt::{AttemptHistory, NextAttempt};

use crate::{
    local_response::{LocalResponse, Reason},
    request_log::RequestLog,
    routed_request::RoutedRequest,
    shared::Shared,
    stop_sends,
};

/// Returns the refusal of a request whose content crashes servers.
pub(crate) fn refuse_barred(
    shared: &Shared,
    request: &RoutedRequest,
    history: &AttemptHistory,
    request_log: &mut RequestLog,
) -> Option<LocalResponse> {
    let retry = shared.content_refusal(request)?;
    request_log.detail = shared.crash_records.describe(request);
    Some(match history.outcome() {
        NextAttempt::Unknown => LocalResponse::unknown(Reason::Quarantined),
        _ => LocalResponse::not_run(Reason::Quarantined, retry),
    })
}

/// Returns the reason why a request may not be sent any more: its time is over, or too little is left in a stop.
pub(crate) fn time_over(shared: &Shared, request: &RoutedRequest) -> Option<Reason> {
    if Instant::now() >= request.deadline {
        Some(Reason::TimeOver)
    } else if !stop_sends::are_permitted(shared, request) {
        Some(Reason::Stopping)
    } else {
        None
    }
}
