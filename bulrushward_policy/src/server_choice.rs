//! The choice of a backend server for a request.
//!
//! Handles: returning sessions, which go to a server that has their prompt cached; a session or
//! organisation with much of the traffic, which is spread before it overloads one server; a failure
//! domain that gets no requests for a while, whose load the other servers share evenly; servers that
//! limit their requests, which go to the sessions already there; and many routers, which have to agree
//! on the server of a new session without communicating.

use rand::{Rng, RngExt};

use crate::{
    load_bound::LoadBound,
    placement::{self, Candidate},
};

/// Multiple of the mean load up to which a server takes requests for the sake of its cache.
///
/// Operators allow at most twice the mean; the multiple is lower because load estimates differ
/// between routers.
const LOAD_MULTIPLE: f64 = 1.7;
/// The multiple while servers that count in the mean get no requests.
///
/// The others are closer to the bound then, so that estimates that differ exceed it more often.
const PARTIAL_LOAD_MULTIPLE: f64 = 1.3;
/// Requests in progress that a server may always have.
const LOAD_FLOOR: u64 = 5;
/// Servers that are ranked for each session; all others share the next rank.
///
/// The ranks decide among servers that do not have the session's prompt cached.
const PREFERRED_RANKS: usize = 3;
/// Cost of each rank in prompt tokens; equals 30 ms of prefill at 66 tokens per millisecond.
const RANK_TOKENS: f64 = 2_000.0;
/// Cost of a prompt token that is prefilled again; this delays concurrent requests as well.
const PREFILL_WEIGHT: f64 = 2.0;
/// Cost of a prompt token that is copied from another server.
///
/// Copying takes a quarter of the time of prefilling and delays no other request.
const COPY_WEIGHT: f64 = 0.5;
/// Largest random addition to a load to break ties, in requests in progress.
const TIE_BREAK_NOISE: f64 = 0.5;
/// The [`ServerView::miss_tokens`] of a server that names a limit; exceeds the cost of all ranks.
///
/// The server's limit is left to the sessions already there, and others do not move back and forth.
pub const LIMITED_MISS_TOKENS: f64 = 8_000.0;
/// Cost of a request in progress in prompt tokens, as each slows down the decoding of the others.
const REQUEST_TOKENS: f64 = 100.0;

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// Stable name of the server.
    pub name: &'a str,
    /// Estimated requests in progress plus the penalty for failures.
    pub load: f64,
    /// Estimated prompt tokens that are not prefilled yet.
    pub unread_tokens: u64,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server may get the request.
    pub usable: bool,
    /// Whether its load counts in the mean of the service, even if it may not get the request.
    pub counts_in_mean: bool,
    /// Additional cost of a session whose prompt the server does not have, in prompt tokens.
    pub miss_tokens: f64,
    /// Whether the server is expected to have the session's part of the prompt cached.
    pub has_prompt: bool,
}

/// The properties of a session's request that the choice of a server depends on.
#[derive(Clone, Copy, Debug)]
pub struct SessionRequest {
    /// Key of the session.
    pub session: u64,
    /// Prompt tokens that the session's requests share.
    pub shared_tokens: u64,
    /// Whether a server can copy the shared tokens from one that has them cached.
    pub can_copy: bool,
}

/// Chooses the server with the lowest cost for a session's request, within the load bound.
///
/// The cost approximates how soon a server can begin the request and includes prefilling or copying
/// the session's prompt if the server does not have it cached. If no usable server is within the
/// bound, those with at most their mean load count as within it.
///
/// Returns an index into `servers`, or `None` if no server is usable.
#[must_use]
pub fn for_session(req: &SessionRequest, servers: &[ServerView<'_>]) -> Option<usize> {
    let limit = load_limit(servers);
    let ranks = ranks(req.session, servers);
    let fits = |index: &usize| servers[*index].usable && servers[*index].load + 1.0 <= limit;
    let cost = |index: &usize| cost(req, &servers[*index], ranks[*index]);
    (0..servers.len())
        .filter(fits)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
        .or_else(|| {
            let mean = mean_load(servers.iter().filter(|server| server.usable));
            let is_below = |index: &usize| servers[*index].usable && servers[*index].load <= mean;
            let below = (0..servers.len()).filter(is_below);
            below.min_by(|a, b| cost(a).total_cmp(&cost(b)))
        })
        .or_else(|| least_loaded(servers))
}

/// Returns the rank of each server for a session, which is the same on all routers.
fn ranks(session: u64, servers: &[ServerView<'_>]) -> Vec<usize> {
    let candidates: Vec<_> = servers
        .iter()
        .map(|server| Candidate {
            name: server.name,
            weight: f64::from(u8::from(server.usable)),
        })
        .collect();
    let mut ranks = vec![PREFERRED_RANKS; servers.len()];
    for (rank, index) in placement::rank_top(session, &candidates, PREFERRED_RANKS)
        .into_iter()
        .enumerate()
    {
        ranks[index] = rank;
    }
    ranks
}

/// Returns the cost of a request at a server, in prompt tokens to be prefilled before it starts.
fn cost(req: &SessionRequest, server: &ServerView<'_>, rank: usize) -> f64 {
    let weight = if req.can_copy {
        COPY_WEIGHT
    } else {
        PREFILL_WEIGHT
    };
    let cache_miss_cost = if server.has_prompt {
        0.0
    } else {
        weight * req.shared_tokens as f64 + RANK_TOKENS * rank as f64 + server.miss_tokens
    };
    server.unread_tokens as f64 + cache_miss_cost + REQUEST_TOKENS * server.load
}

/// Chooses the server with the lowest relative load, for a request that does not depend on caches.
///
/// Returns an index into `servers`, or `None` if no server is usable.
pub fn for_any(servers: &[ServerView<'_>], rng: &mut impl Rng) -> Option<usize> {
    let noise: Vec<f64> = servers.iter().map(|_| rng.random::<f64>()).collect();
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| {
        let key = |index: &usize| relative_load(&servers[*index], noise[*index]);
        key(a).total_cmp(&key(b))
    })
}

/// Returns the load per slot, with noise so that routers do not all break ties the same way.
fn relative_load(server: &ServerView<'_>, noise: f64) -> f64 {
    (server.load + noise * TIE_BREAK_NOISE) / f64::from(server.slots.max(1))
}

fn least_loaded(servers: &[ServerView<'_>]) -> Option<usize> {
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| servers[*a].load.total_cmp(&servers[*b].load))
}

/// Returns the requests that a server may have in progress to be chosen for a session.
///
/// Operators compare the busiest server with the mean of all servers of the service, idle ones included.
fn load_limit(servers: &[ServerView<'_>]) -> f64 {
    let counted = || servers.iter().filter(|server| server.counts_in_mean);
    let multiple = if counted().all(|server| server.usable) {
        LOAD_MULTIPLE
    } else {
        PARTIAL_LOAD_MULTIPLE
    };
    let bound = LoadBound {
        multiple,
        floor: LOAD_FLOOR,
    };
    bound.limit(mean_load(counted())) as f64
}

fn mean_load<'a>(servers: impl Iterator<Item = &'a ServerView<'a>>) -> f64 {
    let (count, sum) = servers.fold((0_u32, 0.0), |(count, sum), server| {
        (count + 1, sum + server.load)
    });
    sum / f64::from(count.max(1))
}
