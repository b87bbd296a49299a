//! What the router asks of a platform: headers to read and write, and a store to follow.

use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bulrushward_policy::server_registry::StoreRevision;
use bytes::Bytes;
use hyper::HeaderMap;
use snafu::Snafu;
use strum::IntoStaticStr;

use crate::model::{FleetConfig, ServerId, ServerRecord};

/// What a caller's headers say.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller.
    pub request_id: String,
    /// Time for which the caller waits.
    pub caller_timeout: Option<Duration>,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Parts of the prompt in order, with their tokens; empty for plain requests.
    pub prompt: Vec<PromptPart>,
    /// Last event that the caller has, where it resumes a stream.
    pub last_event_id: Option<String>,
}

/// A part of a prompt that servers cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What the router says to a server about a request.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// Server that is meant; another one at its address must not run the request.
    pub server_id: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Rank among the requests at the server; 0 goes first.
    pub priority: Option<u8>,
    /// Last event that the caller has, where a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Server from which to copy the cached part of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// What a server's headers say.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the answer is signed as a server's own.
    pub is_signed: bool,
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Requests running and waiting at the server.
    pub load: Option<ReportedLoad>,
    /// Time for which the server keeps an idle connection.
    pub keep_alive_timeout: Option<Duration>,
}

/// Load as a server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Headers of a platform.
pub trait HttpConventions: Debug + Send + Sync {
    /// Reads what a caller says.
    fn parse_request_headers(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Drops the headers that callers may not pass on to a server.
    fn strip_request_headers(&self, headers: &mut HeaderMap);
    /// Writes what a server has to know.
    fn write_forwarding_headers(&self, headers: &mut HeaderMap, metadata: &ForwardingMetadata<'_>);
    /// Reads what a server says.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseMetadata;
    /// Returns the path by which the platform asks whether the router takes requests.
    fn readiness_path(&self) -> &str;
}

/// All registered servers.
#[derive(Clone, Debug)]
pub struct ServerListing {
    /// Readable entries.
    pub servers: Vec<(ServerId, ServerRecord)>,
    /// Revision up to which changes are contained.
    pub revision: StoreRevision,
}

/// Changes of the registered servers.
#[derive(Clone, Debug)]
pub struct ServerChanges {
    /// Changed entries in order; removed or unreadable ones are `None`.
    pub changes: Vec<(ServerId, Option<ServerRecord>)>,
    /// Revision up to which changes are contained.
    pub revision: StoreRevision,
}

/// The configuration as it was read.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// Configuration; `None` if there is none or it did not change.
    pub config: Option<FleetConfig>,
    /// Revision up to which changes are contained.
    pub revision: StoreRevision,
}

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, IntoStaticStr, Snafu)]
#[snafu(visibility(pub))]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// No usable answer came.
    #[snafu(display("no usable answer of the store: {detail}"))]
    Unavailable {
        /// What came instead.
        detail: String,
    },
    /// The store turned the call away.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The changes that were asked for are not kept any more.
    #[snafu(display("the store has dropped the history from revision {after} on"))]
    HistoryGone {
        /// Revision from which changes were asked for.
        after: StoreRevision,
    },
}

/// What a router needs of its surroundings.
#[derive(Clone, Debug)]
pub struct RouterDependencies {
    /// Headers.
    pub conventions: Arc<dyn HttpConventions>,
    /// Store to follow.
    pub store: Arc<dyn FleetStore>,
    /// Log of the process.
    pub log: Arc<dyn LogStats>,
}

/// The log, as far as its own metrics need it.
pub trait LogStats: Debug + Send + Sync {
    /// Returns the lines that were dropped since the start because their reader was too slow.
    fn dropped_lines(&self) -> u64;
}

/// The store that holds the configuration and the registered servers.
#[async_trait]
pub trait FleetStore: Debug + Send + Sync {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    async fn config(&self) -> Result<ConfigUpdate, StoreError>;

    /// Waits up to `wait` for a configuration written after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    async fn next_config(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ConfigUpdate, StoreError>;

    /// Reads all registered servers.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    async fn servers(&self) -> Result<ServerListing, StoreError>;

    /// Waits up to `wait` for changes of the registered servers after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    async fn next_servers(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ServerChanges, StoreError>;

    /// Reads what a router of the fleet saved last; it may be some seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    async fn read_saved(&self) -> Result<Option<Bytes>, StoreError>;

    /// Saves bytes for routers that start when no other one is left.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer; the bytes may be saved nevertheless.
    async fn save(&self, bytes: &[u8]) -> Result<(), StoreError>;
}
