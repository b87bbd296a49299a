//! Decides whether another server may take over a request or stream.

use std::time::Instant;

use bulrushward_policy::server_attempt::{AttemptFailure, NextAttempt};
use strum::IntoStaticStr;

use crate::{
    routed_request::RoutedRequest,
    server_selection::{self, ServerChoice},
    shared::Shared,
};

/// Why no other server takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HandoverRefusal {
    /// The route allows no further server.
    Route,
    /// The time of the request is over.
    TimeOver,
    /// No event has been sent after which the stream could be resumed.
    NoEvent,
    /// No other server can be used.
    NoServer,
    /// The fleet may send no more retries.
    RetryBudget,
}

/// Selects the server of the next attempt after `failure`, and withdraws a retry if the attempt is one.
///
/// # Errors
///
/// Returns a [`HandoverRefusal`] if there may be no next attempt; no retry is withdrawn then.
pub(crate) fn select_next(
    shared: &Shared,
    request: &RoutedRequest,
    next: NextAttempt,
    failure: AttemptFailure,
    tried: &[String],
) -> Result<ServerChoice, HandoverRefusal> {
    let NextAttempt::Send { retry } = next else {
        return Err(HandoverRefusal::Route);
    };
    if Instant::now() >= request.deadline {
        return Err(HandoverRefusal::TimeOver);
    }
    if !server_selection::has_candidate(shared, request, tried) {
        return Err(HandoverRefusal::NoServer);
    }
    if retry && !shared.withdraw_retry(&request.service.name, failure.retry_cause()) {
        return Err(HandoverRefusal::RetryBudget);
    }
    server_selection::select(shared, request, tried).ok_or(HandoverRefusal::NoServer)
}
