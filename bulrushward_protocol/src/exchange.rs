//! Messages of the gossip exchange between two processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    BackendId, ChunkDigest, CrashReport, FailureDomain, Incarnation, NodeId, Revision, ServiceId,
    WorkUnits,
};

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts requests of callers and forwards them to agents.
    Router,
    /// Admits requests to one backend server and forwards them.
    Agent,
}

/// Whether a process accepts new work; within one incarnation the state only moves down this list.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Accepts new work.
    Live,
    /// Finishes its work and accepts no new work.
    Leaving,
    /// Has left the fleet.
    Left,
}

/// Gossiped state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the process.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Version of the record, which grows with every change and heartbeat within the incarnation.
    pub version: u64,
    /// Role of the process.
    pub role: Role,
    /// Whether the process accepts new work.
    pub state: MemberState,
    /// Address for gossip exchanges.
    pub control_address: SocketAddr,
    /// Address for requests: an agent's inner listener, a router's admin listener.
    pub data_address: SocketAddr,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Service of the backend server; agents only.
    pub service: Option<ServiceId>,
    /// Name of the backend server; agents only.
    pub backend: Option<BackendId>,
    /// Outstanding work; agents only.
    pub load: WorkUnits,
    /// Number of queued requests; agents only.
    pub queued: u32,
    /// Active configuration revision.
    pub revision: Revision,
}

/// A member that a process could not reach; a record with a newer version refutes the suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Name of the member.
    pub node: NodeId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Newest record version known to the processes that could not reach the member.
    pub version: u64,
}

/// A message by which a process fetches the newest revision from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Requests the manifest of the newest revision.
    ManifestRequest,
    /// The encoded manifest.
    Manifest(Vec<u8>),
    /// Requests chunks of the newest revision by their digests.
    ChunkRequest(Vec<ChunkDigest>),
    /// The requested chunks that the sender has, as many as fit into one message.
    Chunks(Vec<Chunk>),
}

/// A chunk of the configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Digest of the content.
    pub digest: ChunkDigest,
    /// Content of the chunk.
    pub text: String,
}

/// Message of a gossip exchange; request and response have the same type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's own record, always its newest version.
    pub own: MemberRecord,
    /// Records of other processes that the sender received recently.
    pub members: Vec<MemberRecord>,
    /// Members that the sender considers unreachable.
    pub suspects: Vec<Suspicion>,
    /// Crashes of backend servers by the content of requests.
    pub quarantine: Vec<CrashReport>,
    /// Newest revision that the sender can transfer; `own` holds the active one.
    pub revision: Revision,
    /// Message of a revision transfer; an exchange that has one carries no records of others.
    pub configuration: Option<ConfigurationMessage>,
}
