//! Loans of units of servers' limits: a request whose router has none left gets one from another.
//!
//! The messages go with those about lent places; decisions are those of `bulrushward_policy::server_limit`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_limit::{LoanAnswer, LoanAsk, Quota},
    server_scope::ServerScope,
};
use rand::{RngExt, seq::IndexedRandom};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    places::UnitMessage,
    routed_request::RoutedRequest,
    server_selection::{self, ServerChoice},
    servers::{Server, ServerHash},
    shared::Shared,
};

/// Time without an answer after which an ask is repeated; it is given up after as many times.
const REPEAT_INTERVAL: Duration = Duration::from_millis(15);
/// Number of times that an ask is sent.
const MAX_SENDS: u32 = 3;
/// Largest number of requests that wait for answers.
const MAX_WAITING: usize = 256;

/// Requests that wait for the answers to their asks.
#[derive(Debug, Default)]
pub(crate) struct UnitLoans {
    waiting: Mutex<HashMap<u64, oneshot::Sender<LoanAnswer>>>,
}

impl UnitLoans {
    fn begin(&self, id: u64) -> Option<oneshot::Receiver<LoanAnswer>> {
        let mut waiting = self.lock();
        if waiting.len() >= MAX_WAITING {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        waiting.insert(id, sender);
        Some(receiver)
    }

    /// Passes on an answer; a late or duplicate one is dropped.
    pub(crate) fn receive(&self, id: u64, answer: LoanAnswer) {
        if let Some(sender) = self.lock().remove(&id) {
            // The request may have been dropped just now.
            let _dropped = sender.send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<LoanAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a waiting request when it ends.
struct WaitGuard<'a> {
    loans: &'a UnitLoans,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.loans.lock().remove(&self.id);
    }
}

/// Answers a router that asks for a unit; there is no answer if the server is not known to name a limit.
pub(crate) fn lend(shared: &Shared, server: ServerHash, ask: LoanAsk) -> Option<LoanAnswer> {
    let servers = shared.servers.load();
    let server = servers.all().find(|known| known.hash == server)?;
    let mut reports = shared.server_reports();
    let position = || shared.position(server, &mut server.state());
    let answer = reports.lend_unit(server.hash, ask, position, Instant::now())?;
    if answer == LoanAnswer::Lent {
        shared.metrics.units_lent.inc();
    }
    Some(answer)
}

/// Asks another router for a unit of one of the servers whose limits block a request.
///
/// Returns the server, or `None` if there is no unit soon.
pub(crate) async fn borrow(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    scope: &ServerScope,
) -> Option<ServerChoice> {
    let limited = server_selection::limited_servers(shared, request, scope);
    let (server, usable) = (limited.choose(&mut rand::rng())?, limited.len());
    let (ask, owner) = ask_for(shared, server)?;
    let answer = send_ask(shared, server, ask, owner).await;
    let is_lent = answer == Some(LoanAnswer::Lent);
    shared.metrics.record_unit_ask(is_lent);
    is_lent.then(|| server_selection::lent(&request.service, server, usable))
}

/// Returns an ask for a unit of a server and a router that has some.
fn ask_for(shared: &Shared, server: &Server) -> Option<(LoanAsk, SocketAddr)> {
    let rate = shared.server_reports().limit(server.hash, Instant::now())?;
    let position = shared.position(server, &mut server.state())?;
    let owners = Quota::new(rate, position.members).owners(position.members);
    let own = shared.settings().places_address()?;
    let view = shared.fleet_view.load();
    let mut candidates = view.first(server.hash, owners);
    shared.places.retain_alive(&mut candidates);
    candidates.retain(|candidate| candidate.ip() != own.ip());
    let mut rng = rand::rng();
    let owner = candidates.choose(&mut rng)?;
    let ask = LoanAsk {
        id: rng.random(),
        has_share: position.rank < owners,
    };
    Some((ask, SocketAddr::new(owner.ip(), own.port())))
}

async fn send_ask(
    shared: &Shared,
    server: &Server,
    ask: LoanAsk,
    owner: SocketAddr,
) -> Option<LoanAnswer> {
    let loans = &shared.unit_loans;
    let mut answer = loans.begin(ask.id)?;
    let _guard = WaitGuard { loans, id: ask.id };
    for _ in 0..MAX_SENDS {
        let server = server.hash;
        shared.places.send(owner, UnitMessage::Ask { server, ask });
        if let Ok(answer) = timeout(REPEAT_INTERVAL, &mut answer).await {
            return answer.ok();
        }
    }
    None
}
