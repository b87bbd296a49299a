//! Gathers what is known of a service's servers and chooses one for a request.

use std::{sync::Arc, time::Instant};

use bulrushward_policy::server_choice::{self, ServerView, SessionRequest};

use crate::{
    job::Job,
    servers::{Server, ServerHash},
    shared::Shared,
};

/// A server for a request, with what decided.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) server: Arc<Server>,
    pub(crate) load: f64,
    /// Age of the server's report in milliseconds; nothing if it never reported.
    pub(crate) report_age_ms: Option<u64>,
    /// Servers that could have been chosen.
    pub(crate) usable: usize,
    /// Whether the server is believed to have the session's prompt cached.
    pub(crate) has_prompt: bool,
    /// Prompt tokens that the server is believed to have to read.
    pub(crate) unread_tokens: u64,
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
    let usable = views.iter().filter(|view| view.usable).count();
    let index = match session {
        Some(session) => {
            let req = SessionRequest {
                session,
                shared_tokens: job.shared_tokens(),
            };
            server_choice::for_session(&req, &views)
        }
        None => server_choice::for_any(&views, &mut rand::rng()),
    }?;
    let chosen = Arc::clone(&servers[index]);
    let has_prompt = views[index].has_prompt;
    let again = if has_prompt { 0 } else { job.shared_tokens() };
    if let Some(session) = session {
        shared.note_home(session, chosen.hash);
    }
    let age = chosen.state().load.report_age(now);
    Some(Choice {
        load: views[index].load,
        report_age_ms: age.map(|age| age.as_millis() as u64),
        usable,
        has_prompt,
        unread_tokens: job.own_tokens() + again,
        server: chosen,
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
        load: f64::from(state.load.requests(now)) + state.health.extra_load(now),
        unread_tokens: state.load.all_unread_tokens(now),
        slots: server.record.slots,
        usable: is_candidate(server, tried) && !state.health.rests(now),
        has_prompt: homes.contains(&server.hash),
    }
}

fn is_candidate(server: &Server, tried: &[String]) -> bool {
    !server.record.is_leaving && !tried.contains(&server.id)
}
