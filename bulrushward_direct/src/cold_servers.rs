//! Cold backend servers: what shows that one is cold, and this router's share of the requests that it takes.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    cold_server::{ColdAllowance, ColdEvidence, MAX_COLD_TIME, Room},
    emptied_domains::EmptiedDomains,
};
use tracing::info;

use crate::{
    model::{FleetConfig, Service},
    ports::ResponseMetadata,
    routed_request::RoutedRequest,
    servers::{Server, ServerSet, ServerState},
    shared::Shared,
};

/// Returns what this router may send to a server now.
pub(crate) fn room(
    shared: &Shared,
    service: &Service,
    server: &Server,
    state: &mut ServerState,
    now: Instant,
) -> Room {
    let Some(allowance) = allowance(service) else {
        return Room::Unlimited;
    };
    let position = shared.position(server, state);
    state.cold.room(allowance, position, now)
}

/// Records that a request is sent to a server.
pub(crate) fn record_sent(service: &Service, server: &Server, now: Instant) {
    if let Some(allowance) = allowance(service) {
        server.state().cold.record_sent(allowance, now);
    }
}

/// Logs the services whose rate for cold servers is unusable.
pub(crate) fn log_ignored_rates(config: &FleetConfig) {
    for service in &config.services {
        let Some(cold_start) = service.cold_start else {
            continue;
        };
        let rate = cold_start.requests_per_second;
        if rate != 0.0 && allowance(service).is_none() {
            info!(event = "cold-rate-ignored", service = service.name, rate);
        }
    }
}

/// Records what the entries of servers state that are new or have changed.
pub(crate) fn record_entries(shared: &Shared, set: &ServerSet, previous: &ServerSet, now: Instant) {
    let known: HashMap<&str, &Server> = previous
        .all()
        .map(|server| (server.id.as_str(), server.as_ref()))
        .collect();
    for server in set.all() {
        let known = known.get(server.id.as_str());
        if known.is_some_and(|known| known.record == server.record) {
            continue;
        }
        let cold_for = server.record.cold_for;
        record_statement(shared, server, cold_for, ColdEvidence::Entry, now);
    }
}

/// Records what a response of the right server shows.
pub(crate) fn record_response(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    metadata: &ResponseMetadata,
) {
    let Some(cold_start) = request.service.cold_start else {
        return;
    };
    let now = Instant::now();
    server
        .state()
        .cold
        .record_response(cold_start.duration, now);
    if let Some(cold_for) = metadata.cold_for {
        record_statement(shared, server, cold_for, ColdEvidence::Response, now);
    }
}

/// Records that a server could not be reached, so that it may be cold when it is back.
pub(crate) fn record_unreachable(service: &Service, server: &Server) {
    if let Some(cold_start) = service.cold_start {
        let mut state = server.state();
        state
            .cold
            .record_unreachable(cold_start.duration, Instant::now());
    }
}

/// Assumes that servers are cold whose failure domains get requests again after they were empty.
///
/// Called with `emptied` locked, so that no request is sent to such a server before.
pub(crate) fn assume_returned_cold(
    shared: &Shared,
    set: &ServerSet,
    emptied: &EmptiedDomains,
    now: Instant,
) {
    let routes = shared.routes.load();
    let Some(routes) = routes.as_ref() else {
        return;
    };
    for (domain, returned) in emptied.recently_emptied(now) {
        let servers = set
            .all()
            .filter(|server| server.record.failure_domain == domain);
        for server in servers {
            let service = routes.service(&server.record.service);
            let Some(cold_start) = service.and_then(|service| service.cold_start) else {
                continue;
            };
            let cold = &mut server.state().cold;
            if cold.record_domain_returned(cold_start.duration, returned, now) {
                shared.forget_session_locations(server.hash);
            }
        }
    }
}

/// Logs which servers now count as cold or warm, and updates the number of cold ones.
///
/// It runs at intervals, which bounds the lines of servers that change often.
pub(crate) fn log_changes(shared: &Shared, now: Instant) {
    let routes = shared.routes.load();
    let Some(routes) = routes.as_ref() else {
        return;
    };
    let mut count = 0;
    for server in shared.servers.load().all() {
        let Some(allowance) = routes.service(&server.record.service).and_then(allowance) else {
            continue;
        };
        let mut state = server.state();
        let cold = state.cold.cold(now);
        count += i64::from(cold.is_some());
        if cold.is_some() == state.is_cold_logged {
            continue;
        }
        state.is_cold_logged = cold.is_some();
        let position = shared.position(server, &mut state);
        drop(state);
        let Some((until, evidence)) = cold else {
            info!(event = "server-warm", server = server.id);
            continue;
        };
        info!(
            event = "server-cold",
            server = server.id,
            evidence = <&str>::from(evidence),
            cold_ms = until.saturating_duration_since(now).as_millis() as u64,
            share = position.map_or(0, |position| allowance.share(position)),
            routers = position.map_or(0, |position| position.members),
        );
    }
    shared.metrics.cold_servers.set(count);
}

fn record_statement(
    shared: &Shared,
    server: &Server,
    cold_for: Duration,
    evidence: ColdEvidence,
    now: Instant,
) {
    let is_new = server
        .state()
        .cold
        .record_statement(cold_for, evidence, now);
    if is_new && cold_for > MAX_COLD_TIME {
        info!(
            event = "cold-time-capped",
            server = server.id,
            stated_s = cold_for.as_secs(),
            cap_s = MAX_COLD_TIME.as_secs(),
        );
    }
    if is_new {
        shared.forget_session_locations(server.hash);
    }
}

fn allowance(service: &Service) -> Option<ColdAllowance> {
    ColdAllowance::new(service.cold_start?.requests_per_second)
}
