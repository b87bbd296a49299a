//! Which backend server gets a request.
//!
//! Patterns answered: returning sessions (the same server has their prompt cached), one session or
//! organisation that gets much of the traffic (spread before it chokes one server), and many routers that
//! must agree without talking.

use rand::{Rng, RngExt};

use crate::{
    load_bound::LoadBound,
    placement::{self, Candidate},
};

/// Multiple of the mean load up to which a server takes requests for the sake of its cache; stays clear of
/// twice the mean, which the operators allow at most, because views of the load differ between routers.
const LOAD_MULTIPLE: f64 = 1.7;
/// Requests in progress that a server may always have.
const LOAD_FLOOR: u64 = 5;
/// Places in the order of a session that are preferred where no server has its prompt.
const PREFERRED: usize = 3;
/// Prompt tokens that a place in that order is worth; 30 ms of reading at 66 tokens a millisecond.
const PLACE_TOKENS: f64 = 2_000.0;
/// Weight of a prompt token that would be read again: it delays its own request and those beside it.
const READ_AGAIN_WEIGHT: f64 = 2.0;
/// Weight of a prompt token that is copied from another server instead, which takes a quarter of the time
/// of reading it and holds up no other request.
const COPY_WEIGHT: f64 = 0.5;
/// Largest random addition to a load, in requests in progress.
const TIE_NOISE: f64 = 0.5;
/// Prompt tokens that a request in progress is worth; each slows the steps of all others a little.
const REQUEST_TOKENS: f64 = 100.0;

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// Stable name of the server.
    pub name: &'a str,
    /// Estimated requests in progress, with what its failures stand for.
    pub load: f64,
    /// Estimated prompt tokens that it has still to read.
    pub unread_tokens: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be sent to at all.
    pub usable: bool,
    /// Whether it is believed to have the session's part of the prompt cached.
    pub has_prompt: bool,
}

/// A session's request, as far as placement needs it.
#[derive(Clone, Copy, Debug)]
pub struct SessionRequest {
    /// Key of the session.
    pub session: u64,
    /// Prompt tokens that the session's requests share.
    pub shared_tokens: u64,
    /// Whether a server without them can copy them from one that has them.
    pub can_copy: bool,
}

/// Chooses a server for a session's request: the one that can begin it first, with a preference for those
/// that need not read the session's prompt again, within the bound on the load.
///
/// Returns the index into `servers`, or nothing if none is usable.
#[must_use]
pub fn for_session(req: &SessionRequest, servers: &[ServerView<'_>]) -> Option<usize> {
    let bound = bound(servers);
    let places = places(req.session, servers);
    let within = |index: &usize| servers[*index].usable && servers[*index].load + 1.0 <= bound;
    let cost = |index: &usize| cost(req, &servers[*index], places[*index]);
    (0..servers.len())
        .filter(within)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .or_else(|| least_loaded(servers))
}

/// Returns the place of each server in the order of a session, which all routers agree on.
fn places(session: u64, servers: &[ServerView<'_>]) -> Vec<usize> {
    let candidates: Vec<_> = servers
        .iter()
        .map(|server| Candidate {
            name: server.name,
            weight: f64::from(u8::from(server.usable)),
        })
        .collect();
    let mut places = vec![PREFERRED; servers.len()];
    for (place, index) in placement::rank_top(session, &candidates, PREFERRED)
        .into_iter()
        .enumerate()
    {
        places[index] = place;
    }
    places
}

/// Returns what a request costs at a server, in prompt tokens to be read before it.
fn cost(req: &SessionRequest, server: &ServerView<'_>, place: usize) -> f64 {
    let weight = if req.can_copy {
        COPY_WEIGHT
    } else {
        READ_AGAIN_WEIGHT
    };
    let again = if server.has_prompt {
        0.0
    } else {
        weight * req.shared_tokens as f64 + PLACE_TOKENS * place as f64
    };
    server.unread_tokens as f64 + again + REQUEST_TOKENS * server.load
}

/// Chooses a server for a request that any server may run equally well.
///
/// Returns the index into `servers`, or nothing if none is usable.
pub fn for_any(servers: &[ServerView<'_>], rng: &mut impl Rng) -> Option<usize> {
    let noise: Vec<f64> = servers.iter().map(|_| rng.random::<f64>()).collect();
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| {
        let key = |index: &usize| relative_load(&servers[*index], noise[*index]);
        key(a).total_cmp(&key(b))
    })
}

/// Returns the share of a server's slots that is taken, with noise so that routers do not break ties alike.
fn relative_load(server: &ServerView<'_>, noise: f64) -> f64 {
    (server.load + noise * TIE_NOISE) / f64::from(server.slots.max(1))
}

fn least_loaded(servers: &[ServerView<'_>]) -> Option<usize> {
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| servers[*a].load.total_cmp(&servers[*b].load))
}

/// Returns the requests that a server may have in progress.
fn bound(servers: &[ServerView<'_>]) -> f64 {
    let usable = servers.iter().filter(|server| server.usable);
    let (count, sum) = usable.fold((0_u32, 0.0), |(count, sum), server| {
        (count + 1, sum + server.load)
    });
    let bound = LoadBound {
        multiple: LOAD_MULTIPLE,
        floor: LOAD_FLOOR,
    };
    bound.limit(sum / f64::from(count.max(1))) as f64
}
