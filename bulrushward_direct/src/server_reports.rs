//! What backend servers report about themselves in their responses.

use std::time::Instant;

use bulrushward_policy::{
    server_attempt::AttemptFailure,
    server_reports::{LeavingNotice, ReportNews, ServerReport, Withheld},
};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::{
    attempt::AttemptError,
    ports::{ResponseMetadata, StatedNumber},
    routed_request::RoutedRequest,
    servers::Server,
    shared::Shared,
};

/// Part of a datagram, which routers of earlier versions neither send nor read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ReportMessage {
    leaving: Vec<LeavingNotice>,
}

/// Head of a response, which is not misdirected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Responded<'a> {
    pub(crate) status: StatusCode,
    pub(crate) metadata: &'a ResponseMetadata,
    /// Time at which the request was sent.
    pub(crate) sent: Instant,
}

/// Records what a response states about its server.
pub(crate) fn record_response(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    response: Responded<'_>,
) {
    let metadata = response.metadata;
    // Other responses with a pause mean the request and not the server.
    let is_refusal = response.status == StatusCode::SERVICE_UNAVAILABLE;
    let pause = metadata.pause.as_ref().filter(|_| is_refusal);
    let report = ServerReport {
        is_leaving: metadata.is_leaving,
        pause_s: pause.and_then(|pause| number(server, pause)),
        limit: metadata
            .rate_limit
            .as_ref()
            .and_then(|limit| number(server, limit)),
    };
    let mut reports = shared.server_reports();
    let news = reports.record(server.hash, &report, response.sent, Instant::now());
    drop(reports);
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
        _ if !is_registered => "the server is not registered any more",
        Some(Withheld::SaidToLeave) | None => return Ok(()),
    };
    Err(AttemptError::new(AttemptFailure::Withheld, &detail))
}

/// Returns what peers should know.
pub(crate) fn message(shared: &Shared) -> ReportMessage {
    ReportMessage {
        leaving: shared
            .server_reports()
            .notices(&mut rand::rng(), Instant::now()),
    }
}

/// Records what a peer, `node`, tells of registered servers.
pub(crate) fn merge(shared: &Shared, message: &ReportMessage, node: &str) {
    if message.leaving.is_empty() {
        return;
    }
    let (servers, now) = (shared.servers.load(), Instant::now());
    for notice in &message.leaving {
        let server = servers.all().find(|server| server.hash == notice.server);
        let Some(server) = server else {
            continue;
        };
        if shared.server_reports().hear(*notice, now) {
            let (server, age_ms) = (&server.id, notice.age_ms);
            info!(event = "leaving-heard", server, age_ms, from = node);
        }
    }
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
        ReportNews::Stays => info!(event = "leaving-refuted", server, request),
        ReportNews::Pause { length, is_cut } => info!(
            event = "pause-asked",
            server,
            request,
            pause_ms = length.as_millis() as u64,
            is_cut,
        ),
        ReportNews::Limit { rate: Some(rate) } => {
            info!(event = "limit-named", server, request, rate);
        }
        ReportNews::Limit { rate: None } => info!(event = "limit-ended", server, request),
        ReportNews::Ignored { value } => {
            info!(event = "report-ignored", server, request, value);
        }
    }
}
