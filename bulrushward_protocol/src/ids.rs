//! Ids that every package of the fleet shares.

/// Names one process of the fleet; unique among live processes.
pub type NodeId = String;
/// Names a backend server in the operators' text.
pub type BackendId = String;
/// Names an organisation in the operators' text.
pub type OrganisationId = String;
/// Names a service in the operators' text.
pub type ServiceId = String;
/// Names a kind of work in the operators' text.
pub type KindId = String;
/// Names a failure domain of the platform.
pub type FailureDomain = String;

/// Identifies one request of a caller across all its attempts.
pub type RequestId = u128;
/// Identifies one attempt to run a request at one agent.
pub type AttemptId = u128;
/// Identifies a chat for placement; equal keys prefer equal backend servers.
pub type ChatKey = u64;
/// Identifies a non-idempotent action across repeats by the caller.
pub type ActionKey = u128;
/// Identifies the content of a request, for quarantine and for scripts without a key.
pub type Fingerprint = u128;
/// Numbers the accepted versions of the operators' text, from 1.
pub type Revision = u64;
/// First 128 bits of the SHA-256 hash of a part of the operators' text.
pub type ChunkDigest = [u8; 16];
/// Distinguishes restarts of one node: milliseconds since the Unix epoch at the start.
pub type Incarnation = u64;
/// Measures estimated work; one unit is about one generated token.
pub type WorkUnits = u64;

/// Formats a 128-bit id the way that logs and headers show it.
#[must_use]
pub fn format_id(id: u128) -> String {
    format!("{id:032x}")
}
