//! Gathers what is known of a service's servers and chooses one for a request.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::server_choice::{self, ServerView, SessionRequest};

use crate::{
    job::Job,
    servers::{Server, ServerHash},
    shared::Shared,
};

/// Prompt tokens from which on a copy is asked for; setting one up takes as long as reading some hundred.
const MIN_COPY_TOKENS: u64 = 300;

/// A server for a request, with what decided.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) server: Arc<Server>,
    pub(crate) beliefs: Beliefs,
}

/// What a router believed when it chose a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Beliefs {
    /// Requests in progress at the server, with what its failures stand for.
    pub(crate) load: f64,
    /// Least load among the servers that could have been chosen.
    pub(crate) least_load: f64,
    /// Age of the server's report; nothing if it never reported.
    pub(crate) report_age: Option<Duration>,
    /// Servers that could have been chosen.
    pub(crate) usable: usize,
    /// Whether the server is believed to have the session's prompt cached.
    pub(crate) has_prompt: bool,
    /// Prompt tokens that the server is believed to have to read.
    pub(crate) unread_tokens: u64,
    /// Server from which it copies the session's prompt.
    pub(crate) copy_from: Option<SocketAddr>,
}

/// Chooses a server that was not tried yet.
pub(crate) fn server(shared: &Shared, job: &Job, tried: &[String]) -> Option<Choice> {
    let set = shared.servers.load();
    let servers = set.of(&job.service.name);
    let now = Instant::now();
    let session = job.session.filter(|_| job.service.is_engine);
    let homes = session.map_or_else(Vec::new, |session| shared.homes(session));
    let mut views: Vec<_> = servers
        .iter()
        .map(|server| view(server, tried, &homes, now))
        .collect();
    if !views.iter().any(|view| view.usable) {
        // All are resting: one of them is tried rather than refusing without an attempt.
        for (view, server) in views.iter_mut().zip(servers) {
            view.usable = is_candidate(server, tried);
        }
    }
    let usable_loads = views.iter().filter(|view| view.usable);
    let usable_loads = usable_loads.map(|view| view.load);
    let (usable, least_load) = usable_loads.fold((0, f64::MAX), |(count, least), load| {
        (count + 1, load.min(least))
    });
    let source = copy_source(servers, job, &homes, now);
    let index = match session {
        Some(session) => {
            let req = SessionRequest {
                session,
                shared_tokens: job.shared_tokens(),
                can_copy: source.is_some(),
            };
            server_choice::for_session(&req, &views)
        }
        None => server_choice::for_any(&views, &mut rand::rng()),
    }?;
    let chosen = Arc::clone(&servers[index]);
    let has_prompt = views[index].has_prompt;
    let copy_from = source.filter(|_| !has_prompt);
    let again = if has_prompt || copy_from.is_some() {
        0
    } else {
        job.shared_tokens()
    };
    if let Some(session) = session {
        shared.note_home(session, chosen.hash);
    }
    let report_age = chosen.state().load.report_age(now);
    let beliefs = Beliefs {
        load: views[index].load,
        least_load,
        report_age,
        usable,
        has_prompt,
        unread_tokens: job.own_tokens() + again,
        copy_from,
    };
    Some(Choice {
        server: chosen,
        beliefs,
    })
}

/// Returns a server that has the session's prompt and can hand it out; one that is leaving can as well.
fn copy_source(
    servers: &[Arc<Server>],
    job: &Job,
    homes: &[ServerHash],
    now: Instant,
) -> Option<SocketAddr> {
    if !job.service.can_copy_prompts || job.shared_tokens() < MIN_COPY_TOKENS {
        return None;
    }
    homes.iter().find_map(|home| {
        let server = servers.iter().find(|server| server.hash == *home)?;
        let is_reachable = !server.state().health.is_backing_off(now);
        is_reachable.then_some(server.record.address)
    })
}

fn view<'a>(
    server: &'a Server,
    tried: &[String],
    homes: &[ServerHash],
    now: Instant,
) -> ServerView<'a> {
    let state = server.state();
    ServerView {
        name: &server.id,
        load: f64::from(state.load.total_requests(now)) + state.health.load_penalty(now),
        unread_tokens: state.load.total_unread_tokens(now),
        slots: server.record.slots,
        usable: is_candidate(server, tried) && !state.health.is_backing_off(now),
        has_prompt: homes.contains(&server.hash),
    }
}

fn is_candidate(server: &Server, tried: &[String]) -> bool {
    !server.record.is_leaving && !tried.contains(&server.id)
}
