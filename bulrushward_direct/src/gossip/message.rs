//! Datagrams of the gossip between routers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::{emptied_domains::EmptiedReport, store_recovery::RecoveryReport};
use serde::{Deserialize, Serialize};

use crate::{
    fleet_state::StateVersion, location_updates::SessionLocation, overload::ServerTimes,
    servers::ServerHash,
};

/// Age up to which the requests in progress and the state version in a message are used.
const MESSAGE_MAX_AGE: Duration = Duration::from_secs(3);

/// A peer with its latest message.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) message: GossipMessage,
    pub(super) received_at: Instant,
}

impl Peer {
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < MESSAGE_MAX_AGE
    }
}

/// Message that a router sends to its peers in each round.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct GossipMessage {
    pub(super) node: String,
    /// Start of the process in milliseconds since the epoch.
    pub(super) started_ms: u64,
    /// Address at which the sender serves its fleet state.
    pub(super) fleet_state_address: SocketAddr,
    /// Version of the sender's fleet state.
    pub(super) state_version: StateVersion,
    pub(super) in_progress: Vec<ServerInProgress>,
    /// Session locations that the sender has recently learnt.
    pub(super) session_locations: Vec<SessionLocation>,
    /// Always empty; routers of earlier versions send and expect it.
    pub(super) crashes: Vec<EarlierCrashRecord>,
    /// Sample of the other routers that are alive.
    pub(super) others: Vec<PeerSighting>,
}

/// Second part of a datagram, which routers of earlier versions neither send nor read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct GossipTail {
    /// Latest return of the store from an outage.
    pub(super) recovery: Option<RecoveryReport>,
    /// Servers of which another server has the address.
    pub(super) replaced_servers: Vec<ServerHash>,
    /// Response times of the servers of plain services.
    pub(super) response_times: Vec<ServerTimes>,
}

/// Third part of a datagram, which routers without it neither send nor read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct GossipOrders {
    /// Emptied failure domains; `None` if the sender does not know the orders.
    pub(super) emptied: Option<EmptiedReport>,
}

/// Age of the last sign of life of a router.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct PeerSighting {
    /// Address at which the router serves its fleet state.
    pub(super) fleet_state_address: SocketAddr,
    pub(super) age_ms: u32,
}

/// Requests of one router in progress at one server.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ServerInProgress {
    pub(super) server: ServerHash,
    pub(super) requests: u32,
    /// Prompt tokens of these requests that the server has not prefilled yet.
    pub(super) unread_tokens: u64,
}

/// Content, crashes and seconds to live, as routers of earlier versions send them.
pub(super) type EarlierCrashRecord = (u128, u8, u32);
