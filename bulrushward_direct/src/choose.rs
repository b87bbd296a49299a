//! Gathers what is known of a service's servers and chooses one for a request.

use std::{sync::Arc, time::Instant};

use bulrushward_policy::server_choice::{self, ServerView};

use crate::{job::Job, servers::Server, shared::Shared};

/// Prompt tokens that a server may still have to read and get a further session's request; about 300 ms of
/// reading at the engines' usual speed of 60 tokens a millisecond.
const UNREAD_LIMIT: u64 = 20_000;

/// A server for a request, with what decided.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) server: Arc<Server>,
    pub(crate) load: f64,
    /// Age of the server's report in milliseconds; nothing if it never reported.
    pub(crate) report_age_ms: Option<u64>,
    /// Servers that could have been chosen.
    pub(crate) usable: usize,
}

/// Chooses a server that was not tried yet.
pub(crate) fn server(shared: &Shared, job: &Job, tried: &[String]) -> Option<Choice> {
    let set = shared.servers.load();
    let servers = set.of(&job.service.name);
    let now = Instant::now();
    let mut views: Vec<_> = servers
        .iter()
        .map(|server| view(server, tried, now))
        .collect();
    if !views.iter().any(|view| view.usable) {
        // All are resting: one of them is tried rather than refusing without an attempt.
        for (view, server) in views.iter_mut().zip(servers) {
            view.usable = is_candidate(server, tried);
        }
    }
    let usable = views.iter().filter(|view| view.usable).count();
    let index = match job.session.filter(|_| job.service.is_engine) {
        Some(session) => server_choice::for_session(session, &views, UNREAD_LIMIT),
        None => server_choice::for_any(&views, &mut rand::rng()),
    }?;
    let chosen = Arc::clone(&servers[index]);
    let age = chosen.state().load.report_age(now);
    Some(Choice {
        load: views[index].load,
        report_age_ms: age.map(|age| age.as_millis() as u64),
        usable,
        server: chosen,
    })
}

fn view<'a>(server: &'a Server, tried: &[String], now: Instant) -> ServerView<'a> {
    let state = server.state();
    ServerView {
        name: &server.id,
        load: f64::from(state.load.requests(now)) + state.health.extra_load(now),
        unread_tokens: state.load.all_unread_tokens(now),
        slots: server.record.slots,
        usable: is_candidate(server, tried) && !state.health.rests(now),
    }
}

fn is_candidate(server: &Server, tried: &[String]) -> bool {
    !server.record.is_leaving && !tried.contains(&server.id)
}
