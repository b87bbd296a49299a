//! What backend servers report about themselves in their responses.

use std::time::Instant;

use bulrushward_policy::server_reports::{ReportNews, ServerReport};
use tracing::info;

use crate::{
    ports::ResponseMetadata, routed_request::RoutedRequest, servers::Server, shared::Shared,
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
