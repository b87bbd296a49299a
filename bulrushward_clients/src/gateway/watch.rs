//! Messages of the watch API.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::{Base64, GatewayError, Header, StoredKey};

/// Start of a watch: `POST /v3/watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Key and first revision to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// Key to watch, and the first revision.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchCreateRequest {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// First revision whose changes are sent.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(alias = "start_revision")]
    pub start_revision: i64,
}

/// One line of a watch's response stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchLine {
    /// Confirmation, end or changes.
    Result(WatchResult),
    /// The watch failed.
    Error(GatewayError),
}

/// Confirmation, end or changes of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Header of the message.
    pub header: Header,
    /// Whether this message confirms the start of the watch.
    pub created: bool,
    /// Whether the service has ended the watch.
    pub canceled: bool,
    /// Oldest revision that the service keeps if the watch requested an older one, otherwise 0.
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: i64,
    /// Changes, oldest first.
    pub events: Vec<WatchEvent>,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Kind of change.
    #[serde(rename = "type")]
    pub kind: WatchEventKind,
    /// The key after the change.
    pub kv: StoredKey,
}

/// Kind of a [`WatchEvent`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchEventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}
