//! Which router lends the places of which servers.
//!
//! Handles: services of any size in fleets of any size, whose routers have to agree on the lenders without
//! communicating; a lender that crashes, after which the next one in the common order takes over.

use crate::{
    placement::{self, Candidate},
    session_locations::ServerKey,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Mean number of servers in a pool, which bounds the work of a lender.
const POOL_SERVERS: usize = 8;
/// Number of routers that may have to lend for a pool.
const LENDERS: usize = 2;

/// Number of a pool of servers, from 0.
pub type Pool = u32;

/// Returns the number of pools of a service.
#[must_use]
pub fn pool_count(servers: usize) -> u32 {
    servers.div_ceil(POOL_SERVERS).max(1) as u32
}

/// Returns the pool of a server, one of `pools`.
#[must_use]
pub fn pool_of(server: ServerKey, pools: u32) -> Pool {
    ((u64::from(server) * u64::from(pools)) >> ServerKey::BITS) as Pool
}

/// Returns the routers that lend for a pool as indices into `routers`, the preferred one first.
#[must_use]
pub fn lenders(service: &str, pool: Pool, routers: &[Candidate<'_>]) -> Vec<usize> {
    let key = xxh3_64_with_seed(service.as_bytes(), pool.into());
    placement::rank_top(key, routers, LENDERS)
}
