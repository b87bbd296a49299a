//! What backend servers report about themselves in their responses.

use std::time::Instant;

use bulrushward_policy::{
    server_attempt::AttemptFailure,
    server_reports::{ReportNews, ServerReport, Withheld},
};
use tracing::info;

use crate::{
    attempt::AttemptError, ports::ResponseMetadata, routed_request::RoutedRequest, servers::Server,
    shared::Shared,
};

/// Records what a response, which is not misdirected, states about its server.
pub(crate) fn record_response(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    metadata: &ResponseMetadata,
) {
    let report = ServerReport {
        is_leaving: metadata.is_leaving,
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
    let detail = match shared.server_reports().withheld(server.hash) {
        Some(Withheld::Leaving) => "the server is leaving",
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

fn log(request: &RoutedRequest, server: &Server, news: ReportNews) {
    let (server, request) = (&server.id, &request.request_id);
    match news {
        ReportNews::Leaving => info!(event = "leaving-announced", server, request),
    }
}
