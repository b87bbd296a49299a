//! What backend servers report about themselves in their responses.

use std::time::Instant;

use bulrushward_policy::{
    server_attempt::AttemptFailure,
    server_reports::{ReportNews, ServerReport, Withheld},
};
use hyper::StatusCode;
use tracing::info;

use crate::{
    attempt::AttemptError,
    ports::{ResponseMetadata, StatedNumber},
    routed_request::RoutedRequest,
    servers::Server,
    shared::Shared,
};

/// Records what a response, which is not misdirected, states about its server.
pub(crate) fn record_response(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    status: StatusCode,
    metadata: &ResponseMetadata,
) {
    // Other responses with a pause mean the request and not the server.
    let pause = metadata.pause.as_ref();
    let pause = pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let report = ServerReport {
        is_leaving: metadata.is_leaving,
        pause_s: pause.and_then(|pause| number(server, pause)),
    };
    let news = shared
        .server_reports()
        .record(server.hash, &report, Instant::now());
    for news in news {
        log(request, server, news);
    }
}

/// Checks that a server still takes requests, since one may have waited for a connection or a place.
///
/// # Errors
///
/// Returns [`AttemptFailure::Withheld`] if the server reported otherwise, or if its entry is gone or says that it is
/// leaving.
pub(crate) fn check(shared: &Shared, server: &Server) -> Result<(), AttemptError> {
    let servers = shared.servers.load();
    let mut current = servers.of_service(&server.record.service).iter();
    let is_registered =
        current.any(|current| current.hash == server.hash && !current.record.is_leaving);
    let withheld = shared
        .server_reports()
        .withheld(server.hash, Instant::now());
    let detail = match withheld {
        Some(Withheld::Leaving) => "the server is leaving",
        Some(Withheld::Paused { .. }) => "the server asked for a pause",
        None if !is_registered => "the server is not registered any more",
        None => return Ok(()),
    };
    Err(AttemptError::new(AttemptFailure::Withheld, &detail))
}

/// Forgets the reports of servers that have not been registered for long.
pub(crate) fn remove_outdated(shared: &Shared, now: Instant) {
    let servers = shared.servers.load();
    let registered = servers.all().map(|server| server.hash);
    shared.server_reports().retain_registered(registered, now);
}

/// Returns a number that a server stated, and logs a text that is none.
fn number(server: &Server, stated: &StatedNumber) -> Option<f64> {
    let text = match stated {
        Ok(number) => return Some(*number),
        Err(text) => text,
    };
    info!(event = "report-ignored", server = server.id, value = text);
    None
}

fn log(request: &RoutedRequest, server: &Server, news: ReportNews) {
    let (server, request) = (&server.id, &request.request_id);
    match news {
        ReportNews::Leaving => info!(event = "leaving-announced", server, request),
        ReportNews::Pause { length, is_cut } => info!(
            event = "pause-asked",
            server,
            request,
            pause_ms = length.as_millis() as u64,
            is_cut,
        ),
        ReportNews::Ignored { value } => {
            info!(event = "report-ignored", server, request, value);
        }
    }
}
