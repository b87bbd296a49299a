//! What backend servers report about themselves in their responses.

use std::time::Instant;

use bulrushward_policy::{
    server_attempt::AttemptFailure,
    server_reports::{LeavingNotice, LimitNotice, ReportNews, ServerReport, Withheld},
};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::{
    attempt::AttemptError,
    ports::{ResponseMetadata, StatedNumber},
    routed_request::RoutedRequest,
    server_selection::ServerChoice,
    servers::{Server, ServerSet},
    shared::Shared,
};

/// Part of a datagram, which routers of earlier versions neither send nor read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ReportMessage {
    leaving: Vec<LeavingNotice>,
    limits: Vec<LimitNotice>,
}

/// Head of a response, which is not misdirected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseHead<'a> {
    pub(crate) status: StatusCode,
    pub(crate) metadata: &'a ResponseMetadata,
    /// Time at which the connection was opened.
    pub(crate) opened: Instant,
    /// Time at which the request was sent.
    pub(crate) sent: Instant,
}

/// Records what a response states about its server.
pub(crate) fn record_response(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    response: ResponseHead<'_>,
) {
    let metadata = response.metadata;
    // Other responses with a pause mean the request and not the server.
    let is_refusal = response.status == StatusCode::SERVICE_UNAVAILABLE;
    let pause = metadata.pause.as_ref().filter(|_| is_refusal);
    let report = ServerReport {
        is_leaving: metadata.is_leaving,
        pause_s: pause.map(number),
        limit: metadata.rate_limit.as_ref().map(number),
    };
    let (mut reports, now) = (shared.server_reports(), Instant::now());
    // A late copy of an earlier response may have been made before the server began to report something.
    let is_of_request = metadata.request_id.as_ref() == Some(&request.request_id);
    let sent = is_of_request.then_some(response.sent);
    let news = reports.record(server.hash, &report, sent, now);
    reports.record_successor(server.hash, &report, response.opened, now);
    drop(reports);
    for news in news {
        log(request, server, metadata, news);
    }
}

/// Records that no process listened at the address of a server.
pub(crate) fn record_refused(shared: &Shared, server: &Server) {
    let now = Instant::now();
    shared.server_reports().record_refused(server.hash, now);
}

/// Returns whether a server takes no more requests: it is leaving or gone, or its failure domain is emptied.
pub(crate) fn is_withheld(shared: &Shared, server: &Server) -> bool {
    let withheld = shared
        .server_reports()
        .withheld(server.hash, Instant::now());
    let domain = &server.record.failure_domain;
    withheld == Some(Withheld::Leaving)
        || !is_registered(shared, server)
        || shared.emptied_domains().contains(domain)
}

/// Returns whether the entry of a server is there and does not say that it is leaving.
fn is_registered(shared: &Shared, server: &Server) -> bool {
    let servers = shared.servers.load();
    let mut current = servers.of_service(&server.record.service).iter();
    current.any(|current| {
        current.hash == server.hash
            && current.version == server.version
            && !current.record.is_leaving
    })
}

/// Checks that a server still takes requests, since one may have waited for a connection or a place.
///
/// # Errors
///
/// Returns [`AttemptFailure::Withheld`] if the server reported otherwise, or if its entry is gone or says that it is
/// leaving.
pub(crate) fn check(shared: &Shared, choice: &ServerChoice) -> Result<(), AttemptError> {
    let server = &choice.server;
    let withheld = shared
        .server_reports()
        .withheld(server.hash, Instant::now());
    let detail = match withheld {
        Some(Withheld::Leaving) => "the server is leaving",
        Some(Withheld::Paused { .. }) => "the server asked for a pause",
        _ if !is_registered(shared, server) => "the server is not registered any more",
        // It may have named a limit after it was selected.
        Some(Withheld::SaidToLeave) | None
            if !choice.has_unit && take_unit(shared, server) == Some(false) =>
        {
            "the server takes no more requests now"
        }
        Some(Withheld::SaidToLeave) | None => return Ok(()),
    };
    Err(AttemptError::new(AttemptFailure::Withheld, &detail))
}

/// Uses a unit of a server's limit; returns whether there was one, or `None` if the server names no limit.
pub(crate) fn take_unit(shared: &Shared, server: &Server) -> Option<bool> {
    let mut reports = shared.server_reports();
    let position = || shared.position(server, &mut server.state());
    reports.take_unit(server.hash, position, Instant::now())
}

/// Returns what peers should know.
pub(crate) fn message(shared: &Shared) -> ReportMessage {
    let (mut rng, now) = (rand::rng(), Instant::now());
    let reports = shared.server_reports();
    ReportMessage {
        leaving: reports.notices(&mut rng, now),
        limits: reports.limit_notices(&mut rng, now),
    }
}

/// Merges the reports of a peer, `node`, on registered servers.
pub(crate) fn merge(shared: &Shared, message: &ReportMessage, node: &str) {
    let (servers, now) = (shared.servers.load(), Instant::now());
    let find = |key| servers.all().find(|server| server.hash == key);
    for notice in &message.leaving {
        let Some(server) = find(notice.server) else {
            continue;
        };
        if shared.server_reports().hear(*notice, now) {
            let (server, age_ms) = (&server.id, notice.age_ms);
            info!(event = "leaving-heard", server, age_ms, from = node);
        }
    }
    for notice in &message.limits {
        let Some(server) = find(notice.server) else {
            continue;
        };
        if shared.server_reports().hear_limit(*notice, now) {
            let (server, rate, age_ms) = (&server.id, notice.rate, notice.age_ms);
            info!(event = "limit-heard", server, rate, age_ms, from = node);
        }
    }
}

/// Records which servers are registered from now on.
pub(crate) fn record_entries(shared: &Shared, servers: &ServerSet, now: Instant) {
    let mut reports = shared.server_reports();
    for server in servers.all() {
        reports.observe_entry(server.entry_key(), now);
    }
}

/// Forgets the reports of servers that have not been registered for long.
pub(crate) fn remove_outdated(shared: &Shared, now: Instant) {
    let servers = shared.servers.load();
    let registered = servers.all().map(|server| server.entry_key());
    shared.server_reports().retain_registered(registered, now);
}

/// Returns a number that a server stated; a text that is none makes no more sense than NaN.
fn number(stated: &StatedNumber) -> f64 {
    *stated.as_ref().unwrap_or(&f64::NAN)
}

fn log(request: &RoutedRequest, server: &Server, metadata: &ResponseMetadata, news: ReportNews) {
    let started_ms = server.record.started_ms;
    let (server, request) = (&server.id, &request.request_id);
    match news {
        ReportNews::Leaving => info!(event = "leaving-announced", server, started_ms, request),
        ReportNews::Stays => info!(event = "leaving-refuted", server, request),
        ReportNews::Pause { length, is_cut } => info!(
            event = "pause-asked",
            server,
            request,
            pause_ms = length.as_millis() as u64,
            is_cut,
        ),
        ReportNews::Limit { rate, is_cut } => {
            info!(event = "limit-named", server, request, rate, is_cut);
        }
        ReportNews::LimitEnded => info!(event = "limit-ended", server, request),
        ReportNews::Ignored { value } => info!(
            event = "report-ignored",
            server,
            request,
            value,
            pause = ?metadata.pause,
            limit = ?metadata.rate_limit,
        ),
    }
}
