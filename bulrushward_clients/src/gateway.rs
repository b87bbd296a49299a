//! The subset of the etcd v3 JSON gateway's messages that the fleet uses.
//!
//! Keys and values are encoded as base64, and 64-bit numbers as strings. The gateway omits fields
//! with default values, and accepts field names in both camel case and snake case.

mod watch;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use serde_with::{DeserializeAs, DisplayFromStr, SerializeAs, serde_as};

pub use self::watch::{
    WatchCreateRequest, WatchEvent, WatchEventKind, WatchLine, WatchRequest, WatchResult,
};

/// Serde adapter that encodes bytes as base64.
#[derive(Debug)]
pub struct Base64;

impl SerializeAs<Bytes> for Base64 {
    fn serialize_as<S: Serializer>(source: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(source))
    }
}

impl<'de> DeserializeAs<'de, Bytes> for Base64 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Bytes::from)
            .map_err(D::Error::custom)
    }
}

/// Header of every response.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store when the call was executed.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub revision: i64,
}

/// A stored key.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoredKey {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// Revision at which the key was created.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(alias = "createRevision")]
    pub create_revision: i64,
    /// Revision of the key's last write.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(alias = "modRevision")]
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    #[serde_as(as = "DisplayFromStr")]
    pub version: i64,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    /// Lease to which the key is attached, or 0.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Read of one key: `POST /v3/kv/range`.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
}

/// Response to a [`RangeRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Header of the response.
    pub header: Header,
    /// The key if it exists, otherwise empty.
    #[serde(default)]
    pub kvs: Vec<StoredKey>,
}

/// Write of one key within a [`TxnRequest`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Bytes,
    /// Lease to which to attach the key, or 0.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Condition of a [`TxnRequest`] on the revision of a key's last write, 0 for an absent key.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Compare {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// What is compared.
    pub target: CompareTarget,
    /// How it is compared.
    #[serde(default)]
    pub result: CompareResult,
    /// The expected revision.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(alias = "mod_revision")]
    pub mod_revision: i64,
}

/// Property that a [`Compare`] tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// Revision of the last write.
    Mod,
}

/// Relation that a [`Compare`] requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// The two revisions are equal.
    #[default]
    Equal,
}

/// One operation of a [`TxnRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TxnOperation {
    /// Reads a key.
    #[serde(alias = "request_range")]
    RequestRange(RangeRequest),
    /// Writes a key.
    #[serde(alias = "request_put")]
    RequestPut(PutRequest),
}

/// Conditional write: `POST /v3/kv/txn`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions that must all hold.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations to execute if all conditions hold.
    #[serde(default)]
    pub success: Vec<TxnOperation>,
    /// Operations to execute if a condition does not hold.
    #[serde(default)]
    pub failure: Vec<TxnOperation>,
}

impl TxnRequest {
    /// Creates a request that writes a key if it has the expected revision, and reads it otherwise.
    #[must_use]
    pub fn compare_and_swap(key: Bytes, expected: i64, value: Bytes) -> Self {
        let compare = Compare {
            key: key.clone(),
            target: CompareTarget::Mod,
            result: CompareResult::Equal,
            mod_revision: expected,
        };
        let put = PutRequest {
            key: key.clone(),
            value,
            lease: 0,
        };
        Self {
            compare: vec![compare],
            success: vec![TxnOperation::RequestPut(put)],
            failure: vec![TxnOperation::RequestRange(RangeRequest { key })],
        }
    }
}

/// Response to one operation of a [`TxnRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TxnOperationResponse {
    /// Result of a read.
    #[serde(alias = "responseRange")]
    ResponseRange(RangeResponse),
    /// Result of a write.
    #[serde(alias = "responsePut")]
    ResponsePut(PutResponse),
}

/// Response to a write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutResponse {
    /// Header of the response.
    #[serde(default)]
    pub header: Header,
}

/// Response to a [`TxnRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Header of the response.
    pub header: Header,
    /// Whether the conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// Responses to the operations that were executed.
    #[serde(default)]
    pub responses: Vec<TxnOperationResponse>,
}

/// Error response of the gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct GatewayError {
    /// gRPC status code.
    #[serde(alias = "grpc_code")]
    pub code: i32,
    /// Description of the error.
    pub message: String,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(number: &i64) -> bool {
    *number == 0
}
