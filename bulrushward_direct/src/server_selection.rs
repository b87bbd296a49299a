//! Collects the load estimates of a service's servers and selects one for a request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    emptied_domains::EmptiedDomains,
    server_choice::{self, ServerView, SessionRequest},
};

use crate::{
    local_response::Reason,
    routed_request::RoutedRequest,
    servers::{Server, ServerHash},
    shared::Shared,
};

/// Smallest shared prompt, in tokens, for which a copy from another server is requested.
///
/// Setting up a copy takes as long as the prefill of a few hundred tokens.
const MIN_COPY_TOKENS: u64 = 300;

/// The server selected for a request, with the inputs of the choice.
#[derive(Debug)]
pub(crate) struct ServerChoice {
    pub(crate) server: Arc<Server>,
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

/// Returns whether there is a server that was not tried yet.
pub(crate) fn has_candidate(shared: &Shared, request: &RoutedRequest, tried: &[String]) -> bool {
    let set = shared.servers.load();
    let emptied = shared.emptied_domains();
    let mut servers = set.of_service(&request.service.name).iter();
    servers.any(|server| is_candidate(shared, request, tried, server, &emptied))
}

/// Returns the reason of the refusal if no server can be selected.
pub(crate) fn lack_reason(shared: &Shared, request: &RoutedRequest) -> Reason {
    let set = shared.servers.load();
    let emptied = shared.emptied_domains();
    let mut servers = set.of_service(&request.service.name).iter();
    let is_emptied = |server: &Arc<Server>| emptied.contains(&server.record.failure_domain);
    if servers.len() > 0 && servers.all(is_emptied) {
        Reason::FailureDomainsEmptied
    } else {
        Reason::NoServer
    }
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

/// Returns whether a server may be selected if it is healthy.
fn is_candidate(
    shared: &Shared,
    request: &RoutedRequest,
    tried: &[String],
    server: &Server,
    emptied: &EmptiedDomains,
) -> bool {
    let limit = request.service.connection_limit;
    // Only a fleet that is larger than the limit divides it into shares of which some are zero.
    let may_connect =
        || limit > shared.routers() || shared.connection_share(limit, server.hash) > 0;
    let is_emptied = emptied.contains(&server.record.failure_domain);
    !is_emptied && !server.is_leaving() && !tried.contains(&server.id) && may_connect()
}

/// Selects a server that was not tried yet.
pub(crate) fn select(
    shared: &Shared,
    request: &RoutedRequest,
    tried: &[String],
) -> Option<ServerChoice> {
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name);
    let now = Instant::now();
    let session = request.session.filter(|_| request.service.is_engine);
    let locations = session.map_or_else(Vec::new, |session| shared.session_locations(session));
    let emptied = shared.emptied_domains();
    let is_candidate = |server: &Server| is_candidate(shared, request, tried, server, &emptied);
    let replaced = shared.replaced_servers();
    let is_usable = |server: &Server| is_candidate(server) && !replaced.contains(server.hash, now);
    let mut views: Vec<_> = servers
        .iter()
        .map(|server| server_view(server, is_usable(server), &locations, now))
        .collect();
    drop(replaced);
    if !views.iter().any(|view| view.usable) {
        // All servers are in backoff or replaced: one of them is tried rather than refusing the request outright.
        for (view, server) in views.iter_mut().zip(servers) {
            view.usable = is_candidate(server);
        }
    }
    let usable_loads = views.iter().filter(|view| view.usable);
    let usable_loads = usable_loads.map(|view| view.load);
    let (usable, least_load) = usable_loads.fold((0, f64::MAX), |(count, least), load| {
        (count + 1, load.min(least))
    });
    let source = copy_source(servers, request, &locations, &emptied, now);
    drop(emptied);
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
    }?;
    let chosen = Arc::clone(&servers[index]);
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
    Some(ServerChoice {
        server: chosen,
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
        let is_reachable = !is_emptied && !server.state().health.is_backing_off(now);
        is_reachable.then_some(server.record.address)
    })
}

fn server_view<'a>(
    server: &'a Server,
    is_candidate: bool,
    locations: &[ServerHash],
    now: Instant,
) -> ServerView<'a> {
    let state = server.state();
    ServerView {
        name: &server.id,
        load: f64::from(state.load.total_requests(now)) + state.health.load_penalty(now),
        unread_tokens: state.load.total_unread_tokens(now),
        slots: server.record.slots,
        usable: is_candidate && !state.health.is_backing_off(now),
        has_prompt: locations.contains(&server.hash),
    }
}
