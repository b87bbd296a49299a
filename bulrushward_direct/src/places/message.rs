//! Messages about lent places; one datagram carries several.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    place_lender::{Answer, Ask, AskId, KindKey, OrganisationKey, PlaceUse},
    place_pools::Pool,
    server_limit::{LoanAnswer, LoanAsk},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{servers::ServerHash, stream_origins::OriginMessage};

/// Hash of the name of a service.
pub(super) type ServiceKey = u64;
/// Servers of a service for which one router lends.
pub(super) type PoolKey = (ServiceKey, Pool);

/// Largest number of messages in a datagram, so that it fits a network packet.
const MAX_PER_DATAGRAM: usize = 12;
/// Time after which a message that is not repeated otherwise is sent once more, as it may be lost.
const RESEND_DELAY: Duration = Duration::from_millis(20);
/// Largest rate that an ask may name.
const MAX_USUAL_RATE: f64 = 1e6;

/// A message between two routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A request asks for a place.
    Ask(WireAsk),
    /// Result of an ask.
    Answer {
        id: AskId,
        pool: PoolKey,
        answer: Answer,
        load: f32,
    },
    /// A place is not used any more.
    Done {
        id: AskId,
        pool: PoolKey,
        used: PlaceUse,
    },
    /// The caller has left.
    Withdraw { id: AskId, pool: PoolKey },
    /// Places of the service are scarce.
    Scarce { service: ServiceKey, load: f32 },
    /// About units of servers' limits; routers of earlier versions do not read datagrams with it.
    Unit(UnitMessage),
    /// About origins of streams; routers of earlier versions do not read datagrams with it.
    Origin(OriginMessage),
}

impl From<UnitMessage> for Message {
    fn from(message: UnitMessage) -> Self {
        Self::Unit(message)
    }
}

impl From<OriginMessage> for Message {
    fn from(message: OriginMessage) -> Self {
        Self::Origin(message)
    }
}

/// A message about units of servers' limits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum UnitMessage {
    /// A request asks for a unit.
    Ask { server: ServerHash, ask: LoanAsk },
    /// Result of an ask.
    Answer { id: u64, answer: LoanAnswer },
}

impl Message {
    /// Returns whether the message is sent twice, because nothing else makes up for its loss in time.
    fn is_sent_twice(&self) -> bool {
        match self {
            Self::Answer { answer, .. } => matches!(answer, Answer::Granted { .. }),
            Self::Done { .. } => true,
            Self::Ask(_)
            | Self::Withdraw { .. }
            | Self::Scarce { .. }
            | Self::Unit(_)
            | Self::Origin(_) => false,
        }
    }
}

/// A request that asks for a place; times count from the moment at which it is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireAsk {
    pub(super) id: AskId,
    pub(super) pool: PoolKey,
    kind: KindKey,
    priority: u8,
    organisation: OrganisationKey,
    usual_rate: f32,
    /// Milliseconds until the response should arrive; 0 if it is late already.
    target_ms: u32,
    /// Milliseconds until the response must arrive.
    left_ms: u32,
    excluded: Vec<ServerHash>,
}

impl WireAsk {
    pub(super) fn new(ask: &Ask<SocketAddr>, pool: PoolKey, now: Instant) -> Self {
        let ms = |until: Instant| until.saturating_duration_since(now).as_millis() as u32;
        Self {
            id: ask.id,
            pool,
            kind: ask.kind,
            priority: ask.priority,
            organisation: ask.organisation,
            usual_rate: ask.usual_rate as f32,
            target_ms: ms(ask.target),
            left_ms: ms(ask.deadline),
            excluded: ask.excluded.clone(),
        }
    }

    pub(super) fn into_ask(self, borrower: SocketAddr, now: Instant) -> Ask<SocketAddr> {
        let at = |ms: u32| now + Duration::from_millis(ms.into());
        Ask {
            id: self.id,
            borrower,
            kind: self.kind,
            priority: self.priority,
            organisation: self.organisation,
            usual_rate: f64::from(self.usual_rate).min(MAX_USUAL_RATE),
            target: at(self.target_ms),
            deadline: at(self.left_ms),
            excluded: self.excluded,
        }
    }
}

/// Returns the key of a service.
pub(super) fn service_key(name: &str) -> ServiceKey {
    xxh3_64(name.as_bytes())
}

/// Messages to be sent, gathered by receiver.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    due: BTreeMap<SocketAddr, Vec<Message>>,
    /// Messages to be sent once more, the earliest first.
    again: Vec<(Instant, SocketAddr, Message)>,
}

impl Outbox {
    pub(super) fn push(&mut self, to: SocketAddr, message: Message, now: Instant) {
        if message.is_sent_twice() {
            self.again.push((now + RESEND_DELAY, to, message.clone()));
        }
        self.due.entry(to).or_default().push(message);
    }

    /// Returns the datagrams that are due.
    pub(super) fn take(&mut self, now: Instant) -> Vec<(SocketAddr, Vec<Message>)> {
        let repeated = self.again.partition_point(|(at, ..)| *at <= now);
        for (_, to, message) in self.again.drain(..repeated) {
            self.due.entry(to).or_default().push(message);
        }
        let due = std::mem::take(&mut self.due).into_iter();
        let datagrams = due.flat_map(|(to, messages)| {
            let chunks = messages.chunks(MAX_PER_DATAGRAM);
            chunks.map(|chunk| (to, chunk.to_vec())).collect::<Vec<_>>()
        });
        datagrams.collect()
    }

    /// Returns the time of the next message that is sent once more.
    pub(super) fn next(&self) -> Option<Instant> {
        self.again.first().map(|(at, ..)| *at)
    }
}
