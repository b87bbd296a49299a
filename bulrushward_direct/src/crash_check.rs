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

/// Pauses after a connection broke until the server is called, and called again if it can be reached.
///
/// A process that ends beside others may close its listener long after its connections.
const CHECK_PAUSES: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(140)];
/// Time after these calls in which the server is not called.
const REST: Duration = Duration::from_millis(350);

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
        for pause in CHECK_PAUSES {
            sleep(pause).await;
            let share = shared.connection_share(service.connection_limit, server.hash);
            let reachability = connection::probe(&server, share).await;
            if reachability == Some(Reachability::Reached) {
                continue;
            }
            if reachability.is_some() {
                cold_servers::record_unreachable(&service, &server);
                let now = Instant::now();
                server.state().health.record_unreachable(now);
            }
            if reachability == Some(Reachability::Refused) {
                record_crash(&shared, &server);
            }
            break;
        }
        sleep(REST).await;
        server.state().is_crash_checked = false;
    });
}

fn record_crash(shared: &Shared, server: &Server) {
    let suspects = server.state().take_crash_suspects(Instant::now());
    shared
        .crash_records
        .record_crash(&server.id, server.hash, &suspects);
}
