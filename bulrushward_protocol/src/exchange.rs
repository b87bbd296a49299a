//! What two processes tell each other in one control exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    BackendId, ChunkDigest, FailureDomain, Fingerprint, Incarnation, NodeId, Revision, ServiceId,
    WorkUnits,
};

/// What a process does in the fleet.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests and places them.
    Router,
    /// Stands before one backend server.
    Agent,
}

/// Whether a process takes new work; it only ever moves down this list within one incarnation.
#[derive(
    Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Gone.
    Left,
}

/// What the fleet knows about one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Grows with every change and heartbeat within the incarnation.
    pub version: u64,
    /// What it does.
    pub role: Role,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Where it answers control exchanges.
    pub control_address: SocketAddr,
    /// Where it answers requests: an agent's inner listener, a router's admin listener.
    pub data_address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The service of its backend server; agents only.
    pub service: Option<ServiceId>,
    /// Its backend server; agents only.
    pub backend: Option<BackendId>,
    /// Outstanding work; agents only.
    pub load: WorkUnits,
    /// Requests that wait; agents only.
    pub queued: u32,
    /// The configuration that it has in force.
    pub revision: Revision,
}

/// A request content that is not run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Crashes of backend servers that it caused.
    pub crashes: u8,
    /// Seconds until the record may be forgotten.
    pub ttl_seconds: u32,
}

/// A member that a process could not reach; a newer version of the member refutes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The member.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its newest version that is known to those who could not reach it.
    pub version: u64,
}

/// A step by which a process fetches the newest revision of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Asks for the manifest of the newest revision.
    ManifestRequest,
    /// The encoded manifest.
    Manifest(Vec<u8>),
    /// Asks for chunks of the newest revision by their digests.
    ChunkRequest(Vec<ChunkDigest>),
    /// Those of the chunks that the sender has, as many as fit one message.
    Chunks(Vec<Chunk>),
}

/// A part of the operators' text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Digest of the text.
    pub digest: ChunkDigest,
    /// The text.
    pub text: String,
}

/// One side of a control exchange; both sides send the same shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's own record, always the newest.
    pub own: MemberRecord,
    /// Records of others that the sender heard about lately.
    pub members: Vec<MemberRecord>,
    /// Members that do not answer as far as the sender knows.
    pub suspects: Vec<Suspicion>,
    /// Quarantined contents that the sender heard about lately.
    pub quarantine: Vec<QuarantineRecord>,
    /// Newest revision that the sender can hand on; the one in force is in its own record.
    pub revision: Revision,
    /// A step of handing over the newest revision; such an exchange carries no records of others.
    pub configuration: Option<ConfigurationMessage>,
}
