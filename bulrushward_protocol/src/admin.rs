//! JSON types of the admin API of routers.
//!
//! | request | responses |
//! |---|---|
//! | `GET /admin/config?revision=N` | 200 [`ConfigResponse`], 404 [`ErrorResponse`] |
//! | `POST /admin/config` with [`SubmitRequest`] | 200 [`SubmitResponse`], 400 [`ErrorResponse`], 409 [`ConflictResponse`], 422 [`TextErrorsResponse`] |
//! | `GET /admin/history?limit=N` | 200 [`HistoryResponse`] |
//! | `GET /admin/status` | 200 [`StatusResponse`] |
//!
//! Every request may return 503 with [`ErrorResponse`] and a `Retry-After` header in seconds.

use std::{
    fmt::{self, Formatter},
    time::{Duration, SystemTime},
};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, Visitor},
};
use serde_with::{
    DeserializeAs, DisplayFromStr, DurationMilliSeconds, SerializeAs, TimestampMilliSeconds,
    serde_as,
};

use crate::{
    BackendId, FailureDomain, MemberState, NodeId, Outcome, Revision, Role, ServiceId, WorkUnits,
    format_id,
};

/// Path of the configuration text.
pub const CONFIG_PATH: &str = "/admin/config";
/// Path of the audit trail.
pub const HISTORY_PATH: &str = "/admin/history";
/// Path of the fleet status.
pub const STATUS_PATH: &str = "/admin/status";

/// An accepted revision without its text.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Number of the revision.
    pub revision: Revision,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Time of submission, in milliseconds since the Unix epoch.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "at_ms")]
    pub at: SystemTime,
    /// Id of the submission, in hex.
    #[serde_as(as = "HexId")]
    pub submission: u128,
}

/// An accepted revision and its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// The revision.
    #[serde(flatten)]
    pub info: RevisionInfo,
    /// The complete configuration text.
    pub text: String,
}

/// A configuration text that an operator submits.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Revision that the text was edited from, 0 for the first text.
    pub base: Revision,
    /// The complete configuration text.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Id chosen by the client, in hex; retries with the same id are accepted at most once.
    #[serde_as(as = "HexId")]
    pub submission: u128,
}

/// Response to a submission that was accepted, or whose text was unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// The revision that holds the text.
    #[serde(flatten)]
    pub info: RevisionInfo,
    /// Whether the newest revision already had this text, so that no revision was added.
    pub unchanged: bool,
}

/// A submission whose base is not the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictResponse {
    /// The newest revision.
    pub current: RevisionInfo,
    /// Unified diff from the base to the newest revision.
    pub diff: String,
}

/// One error in a configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextErrorInfo {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub message: String,
}

/// The errors of a rejected configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextErrorsResponse {
    /// The errors, ordered by position.
    pub errors: Vec<TextErrorInfo>,
}

/// A request that failed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// One sentence for the operator.
    pub message: String,
    /// Whether a submission took effect; after [`Outcome::Unknown`], retry with the same id.
    #[serde_as(as = "DisplayFromStr")]
    pub outcome: Outcome,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    #[serde(flatten)]
    pub info: RevisionInfo,
    /// Unified diff from the previous revision.
    pub diff: String,
}

/// The most recent accepted changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The changes, newest first.
    pub entries: Vec<HistoryEntry>,
}

/// Status of the fleet as known to one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The responding router.
    pub node: NodeId,
    /// Newest revision known to the router.
    pub newest_revision: Revision,
    /// All known processes, including the responding one.
    pub members: Vec<MemberStatus>,
}

/// Status of one process as known to a router.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the process.
    pub node: NodeId,
    /// Role of the process.
    #[serde_as(as = "DisplayFromStr")]
    pub role: Role,
    /// Whether the process accepts new work.
    #[serde_as(as = "DisplayFromStr")]
    pub state: MemberState,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Service of the backend server; agents only.
    pub service: Option<ServiceId>,
    /// Name of the backend server; agents only.
    pub backend: Option<BackendId>,
    /// Active configuration revision.
    pub revision: Revision,
    /// Outstanding work.
    pub load: WorkUnits,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests refused since the process started, if known.
    pub refusals: Option<u64>,
    /// Time since the process was last heard from, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// Serialises 128-bit ids as 32 hex digits.
#[derive(Debug)]
pub struct HexId;

impl SerializeAs<u128> for HexId {
    fn serialize_as<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_id(*id))
    }
}

impl<'de> DeserializeAs<'de, u128> for HexId {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        deserializer.deserialize_str(HexIdVisitor)
    }
}

struct HexIdVisitor;

impl Visitor<'_> for HexIdVisitor {
    type Value = u128;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("1 to 32 hex digits")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u128, E> {
        u128::from_str_radix(text, 16)
            .map_err(|error| E::custom(format_args!("{text:?} is not 1 to 32 hex digits: {error}")))
    }
}
