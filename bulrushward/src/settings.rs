//! Validated settings of routers and agents.

use std::{net::SocketAddr, time::Duration};

use bulrushward_protocol::{BackendId, FailureDomain, NodeId, ServiceId};

/// Settings that router and agent share.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Unique name of the process.
    pub node: NodeId,
    /// Failure domain in which the process runs.
    pub failure_domain: FailureDomain,
    /// Address of the listener for gossip exchanges.
    pub control_address: SocketAddr,
    /// Address of the listener for metrics, health and, on a router, `bulrushctl`.
    pub admin_address: SocketAddr,
    /// URLs of the key-value service, tried in turn.
    pub key_value: Vec<String>,
    /// URL of the VM list.
    pub vm_list: String,
    /// Control addresses of processes to contact when the VM list is unavailable.
    pub peers: Vec<SocketAddr>,
    /// Mean time between two gossip exchanges.
    pub exchange_interval: Duration,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// Time for which a stopping process keeps its listener open.
    pub drain_grace: Duration,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Settings that router and agent share.
    pub common: CommonSettings,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Largest request body of a caller in bytes.
    pub body_limit: usize,
    /// Longest time that a caller may take to send its headers, and again to send its body.
    pub caller_timeout: Duration,
    /// Time without a frame after which a connection to an agent counts as unresponsive
    /// (`--silence-ms`).
    pub heartbeat_timeout: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that router and agent share.
    pub common: CommonSettings,
    /// Address of the listener for routers.
    pub inner_address: SocketAddr,
    /// Address at which routers reach the inner listener.
    pub advertised_address: SocketAddr,
    /// Name of the backend server in the configuration.
    pub backend: BackendId,
    /// Base URL of the backend server.
    pub backend_url: String,
    /// Service of the backend server in the configuration.
    pub service: ServiceId,
    /// Path that the backend server answers with a 2xx status while it is healthy.
    pub health_path: String,
    /// Time between two health probes.
    pub health_interval: Duration,
    /// Time without a byte of a response after which a backend server counts as stuck
    /// (`--backend-silence-ms`).
    pub backend_read_timeout: Duration,
    /// Time for which a finished response is kept, so that it can be resumed or sent again
    /// (`--answer-retention-seconds`).
    pub response_retention: Duration,
}
