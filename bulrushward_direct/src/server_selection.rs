//! Collects the load estimates of a service's servers and selects one for a request.

mod candidates;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    cold_server::Room,
    emptied_domains::EmptiedDomains,
    server_choice::{self, LIMITED_MISS_TOKENS, ServerView, SessionRequest},
    server_limit::UnitRoom,
    server_scope::ServerScope,
};

pub(crate) use self::candidates::is_lendable;
use self::candidates::{Candidates, is_candidate, is_usable};
use crate::{
    cold_servers,
    model::Service,
    routed_request::RoutedRequest,
    server_reports,
    servers::{Server, ServerHash},
    shared::Shared,
};

/// Smallest shared prompt, in tokens, for which a copy from another server is requested.
///
/// Setting up a copy takes as long as the prefill of a few hundred tokens.
const MIN_COPY_TOKENS: u64 = 300;

/// Load that a cold server has in addition when servers are compared, in requests in progress, as it is slow.
const COLD_LOAD: f64 = 3.0;

/// The server selected for a request, with the inputs of the choice.
#[derive(Debug)]
pub(crate) struct ServerChoice {
    pub(crate) server: Arc<Server>,
    /// Whether a unit of the server's limit is used for the request.
    pub(crate) has_unit: bool,
    pub(crate) inputs: ChoiceInputs,
}

/// Estimates on which a router based its choice of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChoiceInputs {
    /// Requests in progress at the server, plus the penalty for its recent failures.
    pub(crate) load: f64,
    /// Lowest load among the servers that could have been chosen.
    pub(crate) least_load: f64,
    /// Age of the server's latest load report; `None` if it has never reported.
    pub(crate) report_age: Option<Duration>,
    /// Number of servers that could have been chosen.
    pub(crate) usable: usize,
    /// Whether the server is expected to have the session's prompt cached.
    pub(crate) has_prompt: bool,
    /// Prompt tokens that the server is expected to prefill.
    pub(crate) unread_tokens: u64,
    /// Address of the server from which the cached prompt is copied.
    pub(crate) copy_from: Option<SocketAddr>,
}

/// Why no server is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoServer {
    /// No server can be used.
    NoneUsable,
    /// The stream began at another version than those of the servers that can be used.
    OtherVersion,
    /// The stream began at a version that is not known.
    VersionUnknown,
    /// All servers are in emptied failure domains.
    Emptied,
    /// All servers are cold, and this router has used up what it may send to them.
    Cold {
        /// Time until it may send again.
        next: Duration,
    },
    /// All servers want no requests now.
    Withheld {
        /// Time until one of them takes requests again.
        next: Duration,
    },
}

/// Checks that there is a server that was not tried yet.
///
/// # Errors
///
/// Returns the reason if there is none.
pub(crate) fn check_candidates(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Result<(), NoServer> {
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name);
    let now = Instant::now();
    let candidates = Candidates::new(shared, request, scope, servers, now);
    candidates.check(reserved_units(shared, request, now))
}

/// Returns the time until a server takes requests like this one again, if none does now.
pub(crate) fn wait_for_server(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Option<Duration> {
    match check_candidates(shared, request, &scope.untried()) {
        Err(NoServer::Withheld { next }) => Some(next),
        _ => None,
    }
}

/// Returns the units of cold servers that a request has to leave to more urgent ones.
fn reserved_units(shared: &Shared, request: &RoutedRequest, now: Instant) -> usize {
    let demand = shared.cold_demand();
    let demand = demand.get(&request.service.name);
    demand.map_or(0, |demand| demand.reserved(priority(request), now))
}

fn priority(request: &RoutedRequest) -> u8 {
    request.priority.unwrap_or(request.route.priority)
}

/// Returns whether all servers of the request's service are in emptied failure domains.
pub(crate) fn are_all_emptied(shared: &Shared, request: &RoutedRequest) -> bool {
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name);
    !servers.is_empty() && open_servers(shared, request) == 0
}

/// Returns the number of servers of the request's service in failure domains that are not emptied.
pub(crate) fn open_servers(shared: &Shared, request: &RoutedRequest) -> usize {
    let set = shared.servers.load();
    let emptied = shared.emptied_domains();
    let servers = set.of_service(&request.service.name).iter();
    servers
        .filter(|server| !emptied.contains(&server.record.failure_domain))
        .count()
}

/// Returns the healthy servers that were not tried yet and did not report that they take no requests.
fn usable_servers(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
    now: Instant,
) -> Vec<Arc<Server>> {
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name).iter();
    servers
        .filter(|server| is_candidate(shared, request, scope, server) == Ok(true))
        .filter(|server| is_usable(shared, server, now))
        .map(Arc::clone)
        .collect()
}

/// Returns the servers that a request may be sent to.
pub(crate) fn candidates(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Vec<Arc<Server>> {
    let now = Instant::now();
    let mut servers = usable_servers(shared, request, scope, now);
    servers.retain(|server| !is_used_up(shared, request, server, now));
    servers
}

/// Returns whether a server is cold or names a limit, and this router has used up what it may send there.
fn is_used_up(shared: &Shared, request: &RoutedRequest, server: &Server, now: Instant) -> bool {
    let reports = shared.server_reports();
    let mut state = server.state();
    let position = || shared.position(server, &mut state);
    let units = reports.unit_room(server.hash, position, &mut rand::rng(), now);
    let room = cold_servers::room(shared, &request.service, server, &mut state, now);
    matches!(units, Some(UnitRoom::UsedUp { .. })) || matches!(room, Room::UsedUp { .. })
}

/// Returns the servers that a request could be sent to if this router had units of their limits.
pub(crate) fn limited_servers(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Vec<Arc<Server>> {
    let now = Instant::now();
    let mut servers = usable_servers(shared, request, scope, now);
    let reports = shared.server_reports();
    servers.retain(|server| reports.limit(server.hash, now).is_some());
    drop(reports);
    servers
}

/// Returns the choice of a server whose limit another router lent a unit of, and counts the request as sent there.
pub(crate) fn lent(service: &Service, server: &Arc<Server>, usable: usize) -> ServerChoice {
    sent_to(service, server, usable, true)
}

/// Returns the choice of a server that a lender granted, and counts the request as sent there.
pub(crate) fn granted(
    shared: &Shared,
    service: &Service,
    server: &Arc<Server>,
    usable: usize,
) -> ServerChoice {
    let has_unit = server_reports::take_unit(shared, server) == Some(true);
    sent_to(service, server, usable, has_unit)
}

fn sent_to(service: &Service, server: &Arc<Server>, usable: usize, has_unit: bool) -> ServerChoice {
    let now = Instant::now();
    cold_servers::record_sent(service, server, now);
    let state = server.state();
    let load = f64::from(state.load.total_requests(now));
    let report_age = state.load.report_age(now);
    drop(state);
    ServerChoice {
        server: Arc::clone(server),
        has_unit,
        inputs: ChoiceInputs {
            load,
            least_load: load,
            report_age,
            usable,
            ..ChoiceInputs::default()
        },
    }
}

/// Selects a server that was not tried yet, and counts the request as sent there.
///
/// # Errors
///
/// Returns the reason if there is none.
pub(crate) fn select(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Result<ServerChoice, NoServer> {
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name);
    let now = Instant::now();
    let session = request.session.filter(|_| request.service.is_engine);
    let locations = session.map_or_else(Vec::new, |session| shared.session_locations(session));
    let candidates = Candidates::new(shared, request, scope, servers, now);
    if candidates.has_used_up {
        shared.metrics.cold_skips.inc();
    }
    if candidates.has_paused {
        shared.metrics.record_withheld("paused");
    }
    if candidates.has_limited {
        shared.metrics.record_withheld("limited");
    }
    let reserved = reserved_units(shared, request, now);
    if candidates.is_scarce() {
        shared
            .cold_demand()
            .entry(request.service.name.clone())
            .or_default()
            .record(priority(request), now);
    }
    candidates.check(reserved)?;
    // If all servers are in backoff or replaced, one of them is tried rather than refusing the request outright.
    let reports = shared.server_reports();
    let views: Vec<_> = servers
        .iter()
        .zip(&candidates.access)
        .map(|(server, access)| {
            let (usable, is_limited) = (
                *access == candidates.best,
                reports.limit(server.hash, now).is_some(),
            );
            ServerView {
                usable,
                miss_tokens: if is_limited { LIMITED_MISS_TOKENS } else { 0.0 },
                // A server with a limit has what that allows, whatever the others have.
                counts_in_mean: !is_limited && (usable || access.counts_in_mean()),
                ..server_view(server, &locations, now)
            }
        })
        .collect();
    drop(reports);
    let usable_loads = views.iter().filter(|view| view.usable);
    let usable_loads = usable_loads.map(|view| view.load);
    let (usable, least_load) = usable_loads.fold((0, f64::MAX), |(count, least), load| {
        (count + 1, load.min(least))
    });
    let source = copy_source(servers, request, &locations, &shared.emptied_domains(), now);
    let index = match session {
        Some(session) => {
            let req = SessionRequest {
                session,
                shared_tokens: request.shared_tokens(),
                can_copy: source.is_some(),
            };
            server_choice::for_session(&req, &views)
        }
        None => server_choice::for_any(&views, &mut rand::rng()),
    };
    let index = index.ok_or(NoServer::NoneUsable)?;
    let chosen = Arc::clone(&servers[index]);
    cold_servers::record_sent(&request.service, &chosen, now);
    let has_unit = server_reports::take_unit(shared, &chosen) == Some(true);
    let has_prompt = views[index].has_prompt;
    let copy_from = source.filter(|_| !has_prompt);
    let shared_unread_tokens = if has_prompt || copy_from.is_some() {
        0
    } else {
        request.shared_tokens()
    };
    if let Some(session) = session {
        shared.record_session_location(session, chosen.hash);
    }
    let report_age = chosen.state().load.report_age(now);
    let inputs = ChoiceInputs {
        load: views[index].load,
        least_load,
        report_age,
        usable,
        has_prompt,
        unread_tokens: request.unshared_tokens() + shared_unread_tokens,
        copy_from,
    };
    Ok(ServerChoice {
        server: chosen,
        has_unit,
        inputs,
    })
}

/// Returns a server from which the session's prompt can be copied; a leaving server still qualifies.
fn copy_source(
    servers: &[Arc<Server>],
    request: &RoutedRequest,
    locations: &[ServerHash],
    emptied: &EmptiedDomains,
    now: Instant,
) -> Option<SocketAddr> {
    if !request.service.can_copy_prompts || request.shared_tokens() < MIN_COPY_TOKENS {
        return None;
    }
    locations.iter().find_map(|location| {
        let server = servers.iter().find(|server| server.hash == *location)?;
        let is_emptied = emptied.contains(&server.record.failure_domain);
        let state = server.state();
        let is_ready = !state.health.is_backing_off(now) && !state.cold.is_stated(now);
        (is_ready && !is_emptied).then_some(server.record.address)
    })
}

/// Returns the view of a server that may not get the request.
fn server_view<'a>(server: &'a Server, locations: &[ServerHash], now: Instant) -> ServerView<'a> {
    let state = server.state();
    let penalty = if state.cold.cold(now).is_some() {
        COLD_LOAD
    } else {
        0.0
    };
    ServerView {
        name: &server.id,
        load: f64::from(state.load.total_requests(now)) + state.health.load_penalty(now) + penalty,
        unread_tokens: state.load.total_unread_tokens(now),
        slots: server.record.slots,
        usable: false,
        miss_tokens: 0.0,
        counts_in_mean: false,
        has_prompt: locations.contains(&server.hash),
    }
}
