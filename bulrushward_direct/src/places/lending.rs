//! Pools of servers whose places this router lends.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    place_lender::{Answer, Ask, AskId, PlaceLender, PlaceUse},
    place_pools::{pool_count, pool_of},
};
use tracing::info;

use super::message::{Message, PoolKey, ServiceKey, service_key};
use crate::{
    model::ServiceName,
    server_selection,
    servers::{ServerHash, ServerSet},
    shared::Shared,
};

/// Time without an ask after which this router lends no longer.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which the servers that may be used are looked up.
const SERVERS_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of pools that one router lends for.
const MAX_POOLS: usize = 256;

#[derive(Debug)]
struct LentPool {
    service: ServiceName,
    lender: PlaceLender<SocketAddr>,
    asked: Instant,
    servers_known: Instant,
    expired: u64,
}

/// The pools that this router lends for.
#[derive(Debug, Default)]
pub(super) struct Lending {
    pools: HashMap<PoolKey, LentPool>,
}

impl Lending {
    /// Handles an ask and returns the answer, or `None` while this router does not lend.
    pub(super) fn ask(
        &mut self,
        shared: &Shared,
        key: PoolKey,
        ask: Ask<SocketAddr>,
        now: Instant,
    ) -> Option<Message> {
        // The asking routers try the next lender.
        if shared.stop.is_begun() {
            return None;
        }
        if !self.pools.contains_key(&key) {
            self.begin(shared, key, now)?;
        }
        let pool = self.pools.get_mut(&key)?;
        pool.asked = now;
        let id = ask.id;
        let answer = pool.lender.ask(ask, &mut rand::rng(), now);
        shared.metrics.record_place_answer(answer);
        Some(pool.answer(key, id, answer))
    }

    pub(super) fn finish(&mut self, key: PoolKey, id: AskId, used: PlaceUse, now: Instant) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.lender.finish(id, used, now);
        }
    }

    pub(super) fn withdraw(&mut self, key: PoolKey, id: AskId, now: Instant) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.lender.withdraw(id, now);
        }
    }

    /// Lends free places and returns the answers that are due.
    pub(super) fn poll(&mut self, shared: &Shared, now: Instant) -> Vec<(SocketAddr, Message)> {
        let mut answers = Vec::new();
        let mut lent = 0;
        for (key, pool) in &mut self.pools {
            if now.saturating_duration_since(pool.servers_known) >= SERVERS_INTERVAL {
                pool.servers_known = now;
                let servers = usable_servers(shared, &pool.service, *key, now);
                pool.lender.set_servers(&servers, now);
            }
            for reply in pool.lender.poll(&mut rand::rng(), now) {
                shared.metrics.record_place_answer(reply.answer);
                let answer = pool.answer(*key, reply.id, reply.answer);
                answers.push((reply.borrower, answer));
            }
            let expired = pool.lender.expired() - pool.expired;
            pool.expired += expired;
            shared.metrics.places_expired.inc_by(expired);
            lent += pool.lender.lent();
        }
        shared.metrics.places_lent.set(lent.cast_signed() as i64);
        self.pools.retain(|(_, number), pool| {
            let is_idle = now.saturating_duration_since(pool.asked) >= IDLE_TIME;
            let ends = is_idle && pool.lender.lent() == 0;
            if ends {
                let expired = pool.expired;
                info!(
                    event = "lending-ended",
                    service = pool.service,
                    pool = number,
                    expired
                );
            }
            !ends
        });
        answers
    }

    /// Returns the services whose places are scarce, with their loads, if a notice is due.
    pub(super) fn take_notices(&mut self, now: Instant) -> Vec<(ServiceKey, f64)> {
        let pools = self.pools.iter_mut();
        pools
            .filter_map(|((service, _), pool)| Some((*service, pool.lender.take_notice(now)?)))
            .collect()
    }

    /// Returns the time of the next call of [`Self::poll`] if there is anything to do.
    pub(super) fn next_poll(&self) -> Option<Instant> {
        let next = self.pools.values().flat_map(|pool| {
            // A pool with lent places is kept.
            let end = (pool.lender.lent() == 0).then(|| pool.asked + IDLE_TIME);
            pool.lender.next_poll().into_iter().chain(end)
        });
        next.min()
    }

    fn begin(&mut self, shared: &Shared, key: PoolKey, now: Instant) -> Option<()> {
        if self.pools.len() >= MAX_POOLS {
            return None;
        }
        let set = shared.servers.load();
        let service = service_name(&set, key.0)?;
        let mut lender = PlaceLender::new(now);
        let servers = usable_servers(shared, &service, key, now);
        lender.set_servers(&servers, now);
        info!(
            event = "lending",
            service,
            pool = key.1,
            servers = servers.len()
        );
        let pool = LentPool {
            service,
            lender,
            asked: now,
            servers_known: now,
            expired: 0,
        };
        self.pools.insert(key, pool);
        Some(())
    }
}

impl LentPool {
    fn answer(&self, pool: PoolKey, id: AskId, answer: Answer) -> Message {
        let load = self.lender.load() as f32;
        Message::Answer {
            id,
            pool,
            answer,
            load,
        }
    }
}

fn service_name(set: &ServerSet, key: ServiceKey) -> Option<ServiceName> {
    let names = set.all().map(|server| &server.record.service);
    names
        .into_iter()
        .find(|name| service_key(name) == key)
        .cloned()
}

/// Returns the servers of a pool that may be used, with their slots.
fn usable_servers(
    shared: &Shared,
    service: &str,
    (_, number): PoolKey,
    now: Instant,
) -> Vec<(ServerHash, u32)> {
    let set = shared.servers.load();
    let servers = set.of_service(service);
    let pools = pool_count(servers.len());
    servers
        .iter()
        .filter(|server| pool_of(server.hash, pools) == number)
        .filter(|server| server_selection::is_lendable(shared, server, now))
        .map(|server| (server.hash, server.record.slots))
        .collect()
}
