//! Finds out whether servers crashed under requests whose connections broke.
//!
//! A broken connection alone proves no crash, as a server may lose a response. A server has crashed if its machine refuses
//! connections afterwards; one that does not answer may be cut off.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::server_attempt::AttemptFailure;
use tokio::time::sleep;

use crate::{
    cold_servers,
    connection::{self, Reachability},
    crash_records::BrokenRequest,
    model::Service,
    routed_request::RoutedRequest,
    server_reports,
    servers::Server,
    shared::Shared,
};

/// Time after a connection broke until the server is called.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Time after which a server that could be reached is called again.
///
/// A process that ends beside others may close its listener long after its connections.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(140);

/// Records how an attempt failed whose request may have crashed the server, at whatever byte of the response.
pub(crate) fn record_failure(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    server: &Arc<Server>,
    failure: AttemptFailure,
) {
    match failure {
        AttemptFailure::Broken => {
            let broken = BrokenRequest::new(request);
            let mut state = server.state();
            state.record_broken_request(broken);
            if state.begin_crash_check() {
                drop(state);
                start(shared, request, server);
            }
        }
        AttemptFailure::ServerGone => {
            let broken = BrokenRequest::new(request);
            server.state().record_broken_request(broken);
            record_crash(shared, server);
        }
        AttemptFailure::NotSent => record_crash(shared, server),
        _ => {}
    }
}

/// Calls a server, so that its crash is noticed without further requests.
fn start(shared: &Arc<Shared>, request: &RoutedRequest, server: &Arc<Server>) {
    let (shared, server) = (Arc::clone(shared), Arc::clone(server));
    let service = request.service.clone();
    tokio::spawn(async move {
        loop {
            sleep(CHECK_DELAY).await;
            let mut called = Instant::now();
            if is_reached(&shared, &service, &server).await {
                sleep(SECOND_CHECK_DELAY).await;
                called = Instant::now();
                is_reached(&shared, &service, &server).await;
            }
            // Connections that broke since then need a call of their own.
            if server.state().end_crash_check(called) {
                return;
            }
        }
    });
}

/// Calls a server once and records what that shows; returns whether it accepts connections.
async fn is_reached(shared: &Shared, service: &Service, server: &Server) -> bool {
    let share = shared.connection_share(service.connection_limit, server.hash);
    let reachability = connection::probe(server, share).await;
    if matches!(
        reachability,
        Some(Reachability::Refused | Reachability::Unanswered)
    ) {
        cold_servers::record_unreachable(service, server);
        let now = Instant::now();
        server.state().health.record_unreachable(now);
    }
    if reachability == Some(Reachability::Refused) {
        server_reports::record_refused(shared, server);
        record_crash(shared, server);
    }
    reachability == Some(Reachability::Reached)
}

fn record_crash(shared: &Shared, server: &Server) {
    let suspects = server.state().take_crash_suspects(Instant::now());
    shared
        .crash_records
        .record_crash(&server.id, server.hash, &suspects);
}
