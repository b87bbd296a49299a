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
    routed_request::RoutedRequest,
    servers::Server,
    shared::Shared,
};

/// Time after a connection broke until the server is called; one that crashes may close its listener last.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Time in which a server is called once at most.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

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
            if !std::mem::replace(&mut state.is_crash_checked, true) {
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
        sleep(CHECK_DELAY).await;
        let share = shared.connection_share(service.connection_limit, server.hash);
        let reachability = connection::probe(&server, share).await;
        if reachability.is_some_and(|probed| probed != Reachability::Reached) {
            cold_servers::record_unreachable(&service, &server);
            let now = Instant::now();
            server.state().health.record_unreachable(now);
        }
        if reachability == Some(Reachability::Refused) {
            record_crash(&shared, &server);
        }
        sleep(CHECK_INTERVAL).await;
        server.state().is_crash_checked = false;
    });
}

fn record_crash(shared: &Shared, server: &Server) {
    let suspects = server.state().take_crash_suspects(Instant::now());
    shared
        .crash_records
        .record_crash(&server.id, server.hash, &suspects);
}
