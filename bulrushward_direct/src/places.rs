//! Lent places: this router borrows places of scarce services for its requests and lends those it answers for.
//!
//! All of it runs on the traffic thread; decisions are those of `bulrushward_policy::place_lender`.

mod exchange;
mod lending;
mod message;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    place_borrower::{BorrowEnd, PlaceBorrower},
    place_lender::{Answer, Ask, AskId, PlaceUse, RefusalReason},
    place_pools::{lenders, pool_count, pool_of},
    placement::Candidate,
    scarcity::Scarcity,
    server_attempt::AttemptFailure,
    server_scope::ServerScope,
    usual_demand::UsualDemand,
};
use rand::{RngExt, seq::IndexedRandom};
use tokio::{
    sync::{Notify, oneshot},
    time::timeout_at,
};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::{exchange::run, message::UnitMessage};
use self::{
    lending::Lending,
    message::{Message, Outbox, PoolKey, WireAsk, service_key},
};
use crate::{
    metrics::DirectMetrics,
    model::{Service, ServiceName},
    retry_after,
    routed_request::RoutedRequest,
    server_selection::{self, ServerChoice},
    servers::Server,
    shared::Shared,
    stop_sends,
};

/// Largest number of requests that wait for a place at this router.
const MAX_WAITING: usize = 1_024;
/// Largest sum of the bodies of these requests, in bytes.
const MAX_WAITING_BYTES: usize = 8 << 20;
/// Largest number of servers that an ask excludes.
const MAX_EXCLUDED: usize = 32;

/// What a request got.
#[derive(Debug)]
pub(crate) enum Borrowed {
    /// A place at a server.
    Place(Place),
    /// Nothing; the caller may come back after this time.
    Refused(Duration),
    /// No lender answers, so that the router decides by itself.
    NoLender,
}

/// A place at a server, which is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    id: AskId,
    server: Arc<Server>,
    usable: usize,
    used: PlaceUse,
}

impl Place {
    /// Returns the choice of the server of this place.
    pub(crate) fn choice(&self, service: &Service) -> ServerChoice {
        server_selection::granted(&self.shared, service, &self.server, self.usable)
    }

    /// Records how the attempt at the server ended after `time`.
    pub(crate) fn record_attempt(&mut self, time: Duration, failure: Option<AttemptFailure>) {
        self.used = match failure {
            None | Some(AttemptFailure::ServerError) => PlaceUse::Ended { response: time },
            Some(AttemptFailure::Rejected) => PlaceUse::Rejected,
            Some(
                AttemptFailure::Crowded
                | AttemptFailure::DomainEmptied
                | AttemptFailure::Withheld
                | AttemptFailure::ContentBarred
                | AttemptFailure::Stopping,
            ) => PlaceUse::NotUsed,
            Some(
                AttemptFailure::NotSent
                | AttemptFailure::Unreachable
                | AttemptFailure::Misdirected
                | AttemptFailure::Broken
                | AttemptFailure::Unconfirmed
                | AttemptFailure::ServerGone
                | AttemptFailure::CutOff
                | AttemptFailure::Silent,
            ) => PlaceUse::Failed,
        };
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.places.give_back(self.id, self.used);
    }
}

/// What this router knows about a service whose places may be scarce.
#[derive(Debug, Default)]
struct ServiceDemand {
    scarcity: Scarcity,
    usual: UsualDemand,
    is_scarce: bool,
}

/// A request that waits for a place.
#[derive(Debug)]
struct WaitingRequest {
    ask: Ask<SocketAddr>,
    pool: PoolKey,
    body_bytes: usize,
    end: oneshot::Sender<BorrowEnd>,
}

#[derive(Debug, Default)]
struct State {
    /// Addresses of all live routers with the names by which they are ranked.
    routers: Vec<(String, SocketAddr)>,
    /// Routers that lend for a pool, the preferred one first.
    lenders: HashMap<PoolKey, Vec<SocketAddr>>,
    demand: HashMap<ServiceName, ServiceDemand>,
    borrower: PlaceBorrower<SocketAddr>,
    waiting: HashMap<AskId, WaitingRequest>,
    waiting_bytes: usize,
    /// Lenders of the places that requests of this router have.
    held: HashMap<AskId, (SocketAddr, PoolKey)>,
    lending: Lending,
    outbox: Outbox,
}

/// Lent places as one router sees them.
#[derive(Debug, Default)]
pub(crate) struct Places {
    state: Mutex<State>,
    changed: Notify,
}

impl Places {
    /// Sets the live routers, identified by the addresses of their fleet states.
    pub(crate) fn set_routers(&self, mut routers: Vec<SocketAddr>) {
        routers.sort_unstable();
        let mut state = self.lock();
        let known = state.routers.iter().map(|(_, address)| address);
        if known.eq(&routers) {
            return;
        }
        let named = routers
            .into_iter()
            .map(|address| (address.to_string(), address));
        state.routers = named.collect();
        state.lenders.clear();
    }

    /// Removes the routers that are not live.
    pub(crate) fn retain_alive(&self, routers: &mut Vec<SocketAddr>) {
        let state = self.lock();
        let is_alive =
            |router: &SocketAddr| state.routers.iter().any(|(_, address)| address == router);
        routers.retain(is_alive);
    }

    /// Records a new request to a service.
    pub(crate) fn record_request(&self, shared: &Shared, request: &RoutedRequest) {
        if !may_borrow(shared, request) {
            return;
        }
        let mut state = self.lock();
        let demand = state.demand_of(&request.service.name);
        let organisation = request.organisation.as_deref().unwrap_or_default();
        let is_scarce = demand.is_scarce;
        demand.usual.record(organisation, is_scarce, Instant::now());
    }

    /// Records that a full server of a service rejected a request.
    pub(crate) fn record_rejection(&self, shared: &Shared, request: &RoutedRequest) {
        if may_borrow(shared, request) {
            let mut state = self.lock();
            let demand = state.demand_of(&request.service.name);
            demand.scarcity.record_rejection(Instant::now());
        }
    }

    /// Returns whether a request needs a lent place.
    pub(crate) fn is_needed(&self, shared: &Shared, request: &RoutedRequest) -> bool {
        if !may_borrow(shared, request) {
            return false;
        }
        let service = &request.service.name;
        let servers = shared.servers.load().of_service(service).len();
        let pressure = shared.overload.pressure(request, servers);
        let mut state = self.lock();
        let demand = state.demand_of(service);
        let is_scarce = demand.scarcity.update(pressure, Instant::now());
        if is_scarce != std::mem::replace(&mut demand.is_scarce, is_scarce) {
            if is_scarce {
                warn!(event = "places-scarce", service, pressure);
            } else {
                info!(event = "places-scarce-ended", service, pressure);
            }
        }
        is_scarce
    }

    /// Queues the message that a place is not used any more.
    fn give_back(&self, id: AskId, used: PlaceUse) {
        let mut state = self.lock();
        if let Some((lender, pool)) = state.held.remove(&id) {
            let message = Message::Done { id, pool, used };
            state.outbox.push(lender, message, Instant::now());
            drop(state);
            self.changed.notify_one();
        }
    }

    fn withdraw(&self, id: AskId, metrics: &DirectMetrics) {
        let mut state = self.lock();
        let lender = state.borrower.withdraw(id);
        if let (Some(waiting), Some(lender)) = (state.remove_waiting(id, metrics), lender) {
            let pool = waiting.pool;
            let message = Message::Withdraw { id, pool };
            state.outbox.push(lender, message, Instant::now());
            drop(state);
            self.changed.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether requests like this one use lent places while these are scarce.
fn may_borrow(shared: &Shared, request: &RoutedRequest) -> bool {
    // Streams hold a server for a time that has nothing to do with its other requests.
    !request.service.is_engine && !request.is_stream() && shared.settings().places_port.is_some()
}

/// Withdraws an ask whose request is dropped while it waits.
struct AskGuard<'a> {
    shared: &'a Shared,
    id: AskId,
    begun: Instant,
    is_ended: bool,
}

impl AskGuard<'_> {
    fn end(&mut self, outcome: &'static str) {
        self.is_ended = true;
        let wait = self.begun.elapsed();
        self.shared.metrics.record_place_ask(outcome, wait);
    }
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end("left");
            self.shared.places.withdraw(self.id, &self.shared.metrics);
            // A grant may have arrived just before.
            self.shared.places.give_back(self.id, PlaceUse::NotUsed);
        }
    }
}

/// Asks for a place for a request and waits until it is granted or refused.
pub(crate) async fn borrow(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Borrowed {
    let candidates = server_selection::candidates(shared, request, scope);
    let Some((id, receiver)) = begin(shared, request, &candidates) else {
        return Borrowed::NoLender;
    };
    let Some(receiver) = receiver else {
        return Borrowed::Refused(retry_after::for_overload());
    };
    shared.places.changed.notify_one();
    let mut guard = AskGuard {
        shared,
        id,
        begun: Instant::now(),
        is_ended: false,
    };
    let answer = tokio::select! {
        biased;
        answer = timeout_at(request.deadline.into(), receiver) => answer,
        () = stop_sends::end(shared, request) => return Borrowed::NoLender,
    };
    let Ok(Ok(end)) = answer else {
        return Borrowed::NoLender;
    };
    match end {
        BorrowEnd::Answered(Answer::Granted { server, .. }) => {
            guard.end("granted");
            let found = candidates.iter().find(|candidate| candidate.hash == server);
            let Some(found) = found else {
                shared.places.give_back(id, PlaceUse::NotUsed);
                return Borrowed::NoLender;
            };
            Borrowed::Place(Place {
                shared: Arc::clone(shared),
                id,
                server: Arc::clone(found),
                usable: candidates.len(),
                used: PlaceUse::NotUsed,
            })
        }
        BorrowEnd::Answered(Answer::Refused {
            retry_after,
            reason,
        }) => {
            guard.end(reason.into());
            match reason {
                // Servers in backoff are tried rather than refusing the request outright.
                RefusalReason::NoServer => Borrowed::NoLender,
                RefusalReason::Wait | RefusalReason::LineFull => Borrowed::Refused(retry_after),
            }
        }
        BorrowEnd::Answered(Answer::Waiting) | BorrowEnd::NoLender => {
            guard.end("no-lender");
            Borrowed::NoLender
        }
    }
}

/// Queues the first ask of a request.
///
/// Returns `None` if no router lends, and no receiver if too many requests wait already.
fn begin(
    shared: &Shared,
    request: &RoutedRequest,
    candidates: &[Arc<Server>],
) -> Option<(AskId, Option<oneshot::Receiver<BorrowEnd>>)> {
    if !shared.is_fleet_known() {
        return None;
    }
    let (now, mut rng) = (Instant::now(), rand::rng());
    let set = shared.servers.load();
    let servers = set.of_service(&request.service.name);
    let pools = pool_count(servers.len());
    let weight = |server: &&Arc<Server>| f64::from(server.record.slots.max(1));
    let chosen = candidates
        .iter()
        .collect::<Vec<_>>()
        .choose_weighted(&mut rng, weight)
        .ok()
        .map(|server| pool_of(server.hash, pools))?;
    let excluded = servers.iter().filter(|server| {
        let is_candidate = |candidate: &Arc<Server>| candidate.hash == server.hash;
        pool_of(server.hash, pools) == chosen && !candidates.iter().any(is_candidate)
    });
    let organisation = request.organisation.as_deref().unwrap_or_default();
    let id = rng.random();
    let own = shared.settings().places_address()?;
    let mut state = shared.places.lock();
    let usual = &state.demand_of(&request.service.name).usual;
    let ask = Ask {
        id,
        borrower: own,
        kind: xxh3_64(request.route.name.as_bytes()) as u32,
        priority: request.priority.unwrap_or(request.route.priority),
        organisation: xxh3_64(organisation.as_bytes()),
        usual_rate: usual.rate(organisation),
        target: request.received + request.route.target_latency,
        deadline: request.deadline,
        excluded: excluded
            .map(|server| server.hash)
            .take(MAX_EXCLUDED)
            .collect(),
    };
    let body_bytes = request.body.len();
    if state.waiting.len() >= MAX_WAITING || state.waiting_bytes + body_bytes > MAX_WAITING_BYTES {
        shared.metrics.record_place_ask("too-many", Duration::ZERO);
        return Some((id, None));
    }
    let pool = (service_key(&request.service.name), chosen);
    let lenders = state.lenders_of(&request.service.name, pool, own.port());
    let lender = state.borrower.begin(id, &lenders, now)?;
    let message = Message::Ask(WireAsk::new(&ask, pool, now));
    state.outbox.push(lender, message, now);
    let (end, receiver) = oneshot::channel();
    state.waiting_bytes += body_bytes;
    shared.metrics.places_waiting.inc();
    let waiting = WaitingRequest {
        ask,
        pool,
        body_bytes,
        end,
    };
    state.waiting.insert(id, waiting);
    Some((id, Some(receiver)))
}

impl State {
    fn demand_of(&mut self, service: &str) -> &mut ServiceDemand {
        if !self.demand.contains_key(service) {
            self.demand
                .insert(service.to_owned(), ServiceDemand::default());
        }
        self.demand.entry(service.to_owned()).or_default()
    }

    /// Returns the addresses of the routers that lend for a pool, the preferred one first.
    fn lenders_of(&mut self, service: &str, pool: PoolKey, port: u16) -> Vec<SocketAddr> {
        if let Some(known) = self.lenders.get(&pool) {
            return known.clone();
        }
        let candidates: Vec<_> = self
            .routers
            .iter()
            .map(|(name, _)| Candidate { name, weight: 1.0 })
            .collect();
        let ranked = lenders(service, pool.1, &candidates).into_iter();
        let addresses = ranked.map(|index| SocketAddr::new(self.routers[index].1.ip(), port));
        let addresses: Vec<_> = addresses.collect();
        self.lenders.insert(pool, addresses.clone());
        addresses
    }

    fn remove_waiting(&mut self, id: AskId, metrics: &DirectMetrics) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&id)?;
        self.waiting_bytes -= waiting.body_bytes;
        metrics.places_waiting.dec();
        Some(waiting)
    }
}
