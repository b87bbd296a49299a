//! Interfaces that a platform implements: its HTTP conventions, the store and the log.

use std::{fmt::Debug, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bulrushward_policy::{emptied_domains::FailureDomain, server_registry::StoreRevision};
use bytes::Bytes;
use hyper::HeaderMap;
use snafu::Snafu;
use strum::IntoStaticStr;

use crate::{
    call::OnResponse,
    model::{FleetConfig, ServerId, ServerRecord},
};

/// Metadata of a caller's request, parsed from its headers.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of the request; a retry by the caller has a new one.
    pub request_id: String,
    /// Time for which the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Parts of the prompt in order; empty for requests without a prompt.
    pub prompt: Vec<PromptPart>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Id of the caller's earlier request that brought the first event of the stream, if the caller resumes one.
    pub resumes: Option<String>,
}

/// A part of a prompt that servers cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of its tokens.
    pub tokens: u32,
}

/// Information about a request that the router sends to a server.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// Id of the intended server; another server at its address must not run the request.
    pub server_id: &'a str,
    /// Time left until the final response is due.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Priority at the server; 0 is the highest.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Address of the server from which to copy the cached part of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// Metadata of a server's response, parsed from its headers.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the response is signed, so that it is known to come from a backend server.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the server announces that it is leaving and takes no new requests.
    pub is_leaving: bool,
    /// Seconds for which a server that rejects the request wants no further ones from this router.
    pub pause: Option<StatedNumber>,
    /// Requests per second that the server takes from all routers together; `None` if it names no limit.
    pub rate_limit: Option<StatedNumber>,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// Time for which the server remains cold; zero if it states that it is warm.
    pub cold_for: Option<Duration>,
    /// Time for which the server keeps an idle connection.
    pub keep_alive_timeout: Option<Duration>,
}

/// A number that a server states, or the text if it is none.
pub type StatedNumber = Result<f64, String>;

/// Load that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that may run at once.
    pub slots: u32,
}

/// HTTP conventions of a platform.
pub trait HttpConventions: Debug + Send + Sync {
    /// Parses the headers of a caller's request.
    fn parse_request_headers(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Removes the headers that callers may not send to a server.
    fn strip_request_headers(&self, headers: &mut HeaderMap);
    /// Writes the headers of a request to a server.
    fn write_forwarding_headers(&self, headers: &mut HeaderMap, metadata: &ForwardingMetadata<'_>);
    /// Parses the headers of a server's response.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseMetadata;
    /// Returns the path at which the platform probes the readiness of the router.
    fn readiness_path(&self) -> &str;
}

/// All registered servers.
#[derive(Clone, Debug)]
pub struct ServerListing {
    /// Servers with readable entries.
    pub servers: Vec<(ServerId, ServerRecord)>,
    /// Revision up to which changes are included.
    pub revision: StoreRevision,
}

/// Changes to the registered servers.
#[derive(Clone, Debug)]
pub struct ServerChanges {
    /// Changed entries in order; removed or unreadable ones are `None`.
    pub changes: Vec<(ServerId, Option<ServerRecord>)>,
    /// Revision up to which changes are included.
    pub revision: StoreRevision,
}

impl ServerChanges {
    /// Returns the entries that were written.
    pub(crate) fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.changes
            .iter()
            .filter_map(|(_, record)| record.as_ref())
    }
}

/// Result of reading the configuration or of waiting for a change to it.
#[derive(Clone, Debug)]
pub struct ConfigUpdate {
    /// Configuration; `None` if there is none or it did not change.
    pub config: Option<FleetConfig>,
    /// Why the configuration in the store cannot be read, if so; there is none then.
    pub config_error: Option<StoreError>,
    /// Changed orders to empty failure domains, in order; empty if they were not waited for.
    pub orders: Vec<OrderChange>,
    /// Whether other keys changed, which hold neither a configuration nor an order.
    pub has_other_changes: bool,
    /// Revision up to which changes are included.
    pub revision: StoreRevision,
}

/// An order of the operators that nothing be sent to the servers of a failure domain, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainOrder {
    /// Key in the store, for the log.
    pub key: String,
    /// Failure domain that the key names; empty if it names none.
    pub domain: FailureDomain,
    /// Whether the value is as expected. The order holds whatever the value is.
    pub is_readable: bool,
}

/// An order that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderChange {
    /// Order; if it was removed, only the names count.
    pub order: DomainOrder,
    /// Whether the order is in force, or else withdrawn.
    pub is_in_force: bool,
}

/// All orders to empty failure domains.
#[derive(Clone, Debug)]
pub struct OrderListing {
    /// Orders in force.
    pub orders: Vec<DomainOrder>,
    /// Revision up to which changes are included.
    pub revision: StoreRevision,
}

/// Reason why a call to the store failed.
#[derive(Clone, Debug, IntoStaticStr, Snafu)]
#[snafu(visibility(pub))]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// No usable response arrived.
    #[snafu(display("no usable response from the store: {detail}"))]
    Unavailable {
        /// Cause.
        detail: String,
    },
    /// The store refused the call.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// Status of the response.
        status: u16,
    },
    /// The store has discarded the requested changes.
    #[snafu(display("the store no longer has the changes since revision {after}"))]
    HistoryGone {
        /// Revision since which changes were requested.
        after: StoreRevision,
    },
}

/// Interfaces that a router needs from its platform and process.
#[derive(Clone, Debug)]
pub struct RouterDependencies {
    /// HTTP conventions of the platform.
    pub conventions: Arc<dyn HttpConventions>,
    /// Store with the configuration and the registered servers.
    pub store: Arc<dyn FleetStore>,
    /// Statistics of the log of the process.
    pub log: Arc<dyn LogStats>,
}

/// Statistics of the log that are exported as metrics.
pub trait LogStats: Debug + Send + Sync {
    /// Returns the number of log lines dropped since the start because their reader was too slow.
    fn dropped_lines(&self) -> u64;
}

/// The store that holds the configuration and the registered servers.
#[async_trait]
pub trait FleetStore: Debug + Send + Sync {
    /// Reads the configuration, whatever its size; `on_response` is called when its first bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response.
    async fn config(&self, on_response: OnResponse<'_>) -> Result<ConfigUpdate, StoreError>;

    /// Reads all orders to empty failure domains.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response.
    async fn orders(&self) -> Result<OrderListing, StoreError>;

    /// Waits up to `wait` for a configuration that was written after a revision.
    ///
    /// The call waits for changed orders to empty failure domains as well if `with_orders` is set. `on_response` is called
    /// when the first bytes of the response arrive.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] if the store has discarded changes after that revision, or another
    /// [`StoreError`] if there is no usable response.
    async fn next_config(
        &self,
        after: StoreRevision,
        wait: Duration,
        with_orders: bool,
        on_response: OnResponse<'_>,
    ) -> Result<ConfigUpdate, StoreError>;

    /// Returns the size in bytes of what a call that waits for a configuration has to return, without reading it; `None` if
    /// there is nothing.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] as [`Self::next_config`] does.
    async fn next_config_size(
        &self,
        after: StoreRevision,
        with_orders: bool,
    ) -> Result<Option<usize>, StoreError>;

    /// Reads all registered servers; `on_response` is called when the first bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response.
    async fn servers(&self, on_response: OnResponse<'_>) -> Result<ServerListing, StoreError>;

    /// Waits up to `wait` for changes to the registered servers after a revision; `on_response` is called when the first
    /// bytes of the response arrive.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] if the store has discarded changes after that revision, or another
    /// [`StoreError`] if there is no usable response.
    async fn next_servers(
        &self,
        after: StoreRevision,
        wait: Duration,
        on_response: OnResponse<'_>,
    ) -> Result<ServerChanges, StoreError>;

    /// Returns the size in bytes of what a call that waits for changes to the registered servers has to return, without
    /// reading it; `None` if there is nothing.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] as [`Self::next_servers`] does.
    async fn next_servers_size(&self, after: StoreRevision) -> Result<Option<usize>, StoreError>;

    /// Checks at the least cost whether the store responds.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response.
    async fn probe(&self) -> Result<(), StoreError>;

    /// Reads the bytes that a router of the fleet saved last; they may be a few seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response.
    async fn read_saved(&self) -> Result<Option<Bytes>, StoreError>;

    /// Saves bytes for routers that start while no other router is running.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable response; the bytes may be saved nevertheless.
    async fn save(&self, bytes: &[u8]) -> Result<(), StoreError>;
}
