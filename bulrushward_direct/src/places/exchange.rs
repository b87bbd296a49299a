//! Exchange of messages about lent places with other routers.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    place_borrower::BorrowStep,
    place_lender::{Answer, AskId, PlaceUse, notice_receivers},
};
use rand::seq::IteratorRandom;
use tokio::{net::UdpSocket, time::sleep_until};
use tracing::{debug, info};

use super::{
    Places, State,
    message::{Message, PoolKey, ServiceKey, UnitMessage, WireAsk, service_key},
};
use crate::{shared::Shared, stream_origins::RegistryView, unit_loans};

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Longest time between two polls while there is anything to do.
const MAX_SLEEP: Duration = Duration::from_millis(100);

impl Places {
    /// Sends a message that does not concern lent places.
    pub(crate) fn send(&self, to: SocketAddr, message: impl Into<Message>) {
        let now = Instant::now();
        self.lock().outbox.push(to, message.into(), now);
        self.changed.notify_one();
    }
}

/// Exchanges messages about lent places until the process ends.
pub(crate) async fn run(shared: &Shared, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let Some(own) = shared.settings().places_address() else {
        return;
    };
    loop {
        let next = shared.places.lock().next_due();
        let wake_at = next.map(|at| at.min(Instant::now() + MAX_SLEEP));
        tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((len, from)) => receive(shared, &buf[..len], from),
                // The system also reports here if nothing listens on a peer's port.
                Err(error) => debug!(event = "places-datagram-failed", %error),
            },
            () = shared.places.changed.notified() => {}
            () = sleep_until(wake_at.unwrap_or_else(Instant::now).into()), if wake_at.is_some() => {}
        }
        run_due(shared);
        send_due(shared, socket, own);
    }
}

fn receive(shared: &Shared, datagram: &[u8], from: SocketAddr) {
    match postcard::from_bytes::<Vec<Message>>(datagram) {
        Ok(messages) => handle(shared, messages, from),
        Err(error) => {
            info!(event = "places-datagram-unreadable", %from, bytes = datagram.len(), %error);
        }
    }
}

fn handle(shared: &Shared, messages: Vec<Message>, from: SocketAddr) {
    let now = Instant::now();
    let mut state = shared.places.lock();
    for message in messages {
        state.handle(shared, message, from, now);
    }
    state.lend(shared, now);
}

fn run_due(shared: &Shared) {
    let now = Instant::now();
    let mut state = shared.places.lock();
    for step in state.borrower.poll(now) {
        match step {
            BorrowStep::Send { to, id } => {
                if let Some(waiting) = state.waiting.get(&id) {
                    let message = Message::Ask(WireAsk::new(&waiting.ask, waiting.pool, now));
                    state.outbox.push(to, message, now);
                }
            }
            BorrowStep::End { id, end } => {
                if let Some(waiting) = state.remove_waiting(id, &shared.metrics) {
                    // The request may have been dropped just now.
                    let _dropped = waiting.end.send(end);
                }
            }
        }
    }
    state.lend(shared, now);
}

fn send_due(shared: &Shared, socket: &UdpSocket, own: SocketAddr) {
    // Messages to this router itself may cause further ones.
    loop {
        let datagrams = shared.places.lock().outbox.take(Instant::now());
        if datagrams.is_empty() {
            return;
        }
        for (to, messages) in datagrams {
            if to == own {
                handle(shared, messages, own);
                continue;
            }
            let sent = postcard::to_stdvec(&messages)
                .map_err(io::Error::other)
                .and_then(|bytes| socket.try_send_to(&bytes, to));
            if let Err(error) = sent {
                debug!(event = "places-datagram-failed", %to, %error);
            }
        }
    }
}

impl State {
    fn handle(&mut self, shared: &Shared, message: Message, from: SocketAddr, now: Instant) {
        match message {
            Message::Ask(ask) => {
                let pool = ask.pool;
                let ask = ask.into_ask(from, now);
                if let Some(reply) = self.lending.ask(shared, pool, ask, now) {
                    self.outbox.push(from, reply, now);
                }
            }
            Message::Unit(UnitMessage::Ask { server, ask }) => {
                if let Some(answer) = unit_loans::lend(shared, server, ask) {
                    let answer = UnitMessage::Answer { id: ask.id, answer };
                    self.outbox.push(from, Message::Unit(answer), now);
                }
            }
            Message::Unit(UnitMessage::Answer { id, answer }) => {
                shared.unit_loans.receive(id, answer);
            }
            Message::Origin(message) => {
                let registry = RegistryView {
                    servers: &shared.servers.load(),
                    is_confirmed: shared.store_state.is_available(),
                };
                if let Some(reply) = shared.stream_origins.receive(from, message, registry) {
                    self.outbox.push(from, reply.into(), now);
                }
            }
            Message::Done { id, pool, used } => self.lending.finish(pool, id, used, now),
            Message::Withdraw { id, pool } => self.lending.withdraw(pool, id, now),
            Message::Scarce { service, load } => {
                self.borrower.record_heard(from, now);
                self.record_load(service, load, now);
            }
            Message::Answer {
                id,
                pool,
                answer,
                load,
            } => {
                self.record_load(pool.0, load, now);
                self.handle_answer(shared, id, pool, answer, from, now);
            }
        }
    }

    fn handle_answer(
        &mut self,
        shared: &Shared,
        id: AskId,
        pool: PoolKey,
        answer: Answer,
        from: SocketAddr,
        now: Instant,
    ) {
        let is_grant = matches!(answer, Answer::Granted { .. });
        if let Some(end) = self.borrower.receive(from, id, answer, now)
            && let Some(waiting) = self.remove_waiting(id, &shared.metrics)
        {
            if is_grant {
                self.held.insert(id, (from, pool));
            }
            // A request that is dropped gives its place back itself.
            let _dropped = waiting.end.send(end);
        } else if is_grant && !self.held.contains_key(&id) {
            let used = PlaceUse::NotUsed;
            self.outbox
                .push(from, Message::Done { id, pool, used }, now);
        }
    }

    fn record_load(&mut self, service: ServiceKey, load: f32, now: Instant) {
        let mut demand = self.demand.iter_mut();
        if let Some((_, demand)) = demand.find(|(name, _)| service_key(name) == service) {
            demand.scarcity.record_load(load.into(), now);
        }
    }

    /// Lends free places, and sends notices of scarce ones.
    fn lend(&mut self, shared: &Shared, now: Instant) {
        for (to, message) in self.lending.poll(shared, now) {
            self.outbox.push(to, message, now);
        }
        let Some(port) = shared.settings().places_port else {
            return;
        };
        for (service, load) in self.lending.take_notices(now) {
            let count = notice_receivers(self.routers.len());
            let receivers = self.routers.iter().sample(&mut rand::rng(), count);
            for (_, address) in receivers {
                let to = SocketAddr::new(address.ip(), port);
                let load = load as f32;
                self.outbox.push(to, Message::Scarce { service, load }, now);
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let due = [
            self.borrower.next_poll(),
            self.lending.next_poll(),
            self.outbox.next(),
        ];
        due.into_iter().flatten().min()
    }
}
