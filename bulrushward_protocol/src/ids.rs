//! Ids that all packages share.

/// Name of a router or agent process, unique among live processes.
pub type NodeId = String;
/// Name of a backend server in the configuration text.
pub type BackendId = String;
/// Name of an organisation in the configuration text.
pub type OrganisationId = String;
/// Name of a service in the configuration text.
pub type ServiceId = String;
/// Name of a kind of work in the configuration text.
pub type KindId = String;
/// Name of a failure domain of the platform.
pub type FailureDomain = String;

/// Identifies one request of a caller across all its attempts.
pub type RequestId = u128;
/// Identifies one attempt to run a request at one agent.
pub type AttemptId = u128;
/// Identifies a chat for routing; requests with equal keys prefer the same backend servers.
pub type ChatKey = u64;
/// Identifies a non-idempotent action across retries by the caller.
pub type ActionKey = u128;
/// Hash of the content of a request, for quarantine and for callers without an idempotency key.
pub type Fingerprint = u128;
/// Number of an accepted version of the configuration text, from 1.
pub type Revision = u64;
/// First 128 bits of the SHA-256 hash of a chunk of the configuration text.
pub type ChunkDigest = [u8; 16];
/// Start time of a node in milliseconds since the Unix epoch, which identifies its restarts.
pub type Incarnation = u64;
/// Amount of estimated work; one unit is about one generated token.
pub type WorkUnits = u64;

/// Formats a 128-bit id as 32 hex digits, as in logs and headers.
#[must_use]
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}
