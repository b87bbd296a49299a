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

/// Multiple of the mean load up to which a server takes more sessions of its own; stays clear of twice the
/// mean, which the operators allow at most, because views of the load differ between routers.
const LOAD_MULTIPLE: f64 = 1.4;
/// Requests in progress that a server may always have.
const LOAD_FLOOR: u64 = 3;
/// Places in the order of a session that are tried before the least loaded server is taken.
const SESSION_SERVERS: usize = 3;

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
}

/// Chooses a server for a session whose prompt one server is believed to have cached.
///
/// Returns the index into `servers`, or nothing if none is usable.
#[must_use]
pub fn for_session(session: u64, servers: &[ServerView<'_>], unread_limit: u64) -> Option<usize> {
    let bound = bound(servers);
    let candidates: Vec<_> = servers
        .iter()
        .map(|server| Candidate {
            name: server.name,
            weight: f64::from(u8::from(server.usable)),
        })
        .collect();
    let order = placement::rank_top(session, &candidates, SESSION_SERVERS);
    let fits = |index: &&usize| {
        let server = &servers[**index];
        server.load + 1.0 <= bound && server.unread_tokens <= unread_limit
    };
    order
        .iter()
        .find(fits)
        .copied()
        .or_else(|| least_loaded(servers, |server| server.load))
}

/// Chooses a server for a request that any server may run equally well.
///
/// Returns the index into `servers`, or nothing if none is usable.
pub fn for_any(servers: &[ServerView<'_>], rng: &mut impl Rng) -> Option<usize> {
    let noise: Vec<f64> = servers.iter().map(|_| rng.random::<f64>()).collect();
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| {
        let key = |index: &usize| relative_load(&servers[*index]) + noise[*index] * TIE_NOISE;
        key(a).total_cmp(&key(b))
    })
}

/// Largest random addition to a relative load, so that routers do not break ties alike.
const TIE_NOISE: f64 = 0.05;

fn relative_load(server: &ServerView<'_>) -> f64 {
    server.load / f64::from(server.slots.max(1))
}

fn least_loaded(servers: &[ServerView<'_>], load: impl Fn(&ServerView<'_>) -> f64) -> Option<usize> {
    let usable = (0..servers.len()).filter(|index| servers[*index].usable);
    usable.min_by(|a, b| load(&servers[*a]).total_cmp(&load(&servers[*b])))
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
