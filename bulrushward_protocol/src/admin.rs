//! JSON types of the admin API that a router offers to operators.
//!
//! | request | answers |
//! |---|---|
//! | `GET /admin/config?revision=N` | 200 [`ConfigResponse`], 404 [`ErrorResponse`] |
//! | `POST /admin/config` with [`SubmitRequest`] | 200 [`SubmitResponse`], 400 [`ErrorResponse`], 409 [`ConflictResponse`], 422 [`TextErrorsResponse`] |
//! | `GET /admin/history?limit=N` | 200 [`HistoryResponse`] |
//! | `GET /admin/status` | 200 [`StatusResponse`] |
//!
//! Every request may be answered by 503 with [`ErrorResponse`] and a `Retry-After` header in seconds.

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

/// Path of the operators' text.
pub const CONFIG_PATH: &str = "/admin/config";
/// Path of the audit trail.
pub const HISTORY_PATH: &str = "/admin/history";
/// Path of the state of the fleet.
pub const STATUS_PATH: &str = "/admin/status";

/// An accepted revision without its text.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Number of the revision.
    pub revision: Revision,
    /// Who submitted it.
    pub author: String,
    /// Why it was submitted.
    pub why: String,
    /// When it was submitted, in milliseconds since the Unix epoch.
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
    /// The whole text.
    pub text: String,
}

/// A text that an operator wants in force.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Revision that the text was edited from, 0 for the first text.
    pub base: Revision,
    /// The whole text.
    pub text: String,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub why: String,
    /// Id chosen by the client, in hex; a repeat carries the same id and is accepted once.
    #[serde_as(as = "HexId")]
    pub submission: u128,
}

/// A submission that is in force or about to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// The revision that holds the text.
    #[serde(flatten)]
    pub info: RevisionInfo,
    /// Whether the text was in force already, so that no revision was added.
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

/// One error in a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextErrorInfo {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub message: String,
}

/// A text that is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextErrorsResponse {
    /// All errors, in the order of their places.
    pub errors: Vec<TextErrorInfo>,
}

/// A request that failed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// One sentence for the operator.
    pub message: String,
    /// Whether a submission took effect: [`Outcome::Unknown`] asks to send it again with its id.
    #[serde_as(as = "DisplayFromStr")]
    pub outcome: Outcome,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    #[serde(flatten)]
    pub info: RevisionInfo,
    /// Unified diff from the revision before.
    pub diff: String,
}

/// The newest changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The changes, the newest first.
    pub entries: Vec<HistoryEntry>,
}

/// The fleet as one router knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The router that answers.
    pub node: NodeId,
    /// Newest revision that it has heard of.
    pub newest_revision: Revision,
    /// Every known process, the answering one included.
    pub members: Vec<MemberStatus>,
}

/// One process as a router knows it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The process.
    pub node: NodeId,
    /// What it does.
    #[serde_as(as = "DisplayFromStr")]
    pub role: Role,
    /// Whether it takes new work.
    #[serde_as(as = "DisplayFromStr")]
    pub state: MemberState,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The service of its backend server; agents only.
    pub service: Option<ServiceId>,
    /// Its backend server; agents only.
    pub backend: Option<BackendId>,
    /// The configuration that it has in force.
    pub revision: Revision,
    /// Outstanding work.
    pub load: WorkUnits,
    /// Requests that wait.
    pub queued: u32,
    /// Requests refused since its start, if known.
    pub refusals: Option<u64>,
    /// Time since the last word of it, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// Writes 128-bit ids as 32 hex digits.
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
