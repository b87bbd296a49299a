//! Settings of the processes, checked.

use std::{net::SocketAddr, time::Duration};

use bulrushward_protocol::{BackendId, FailureDomain, NodeId, ServiceId};

/// Settings that router and agent share.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Unique name of the process.
    pub node: NodeId,
    /// Where the process stands.
    pub failure_domain: FailureDomain,
    /// Where control exchanges are answered.
    pub control_address: SocketAddr,
    /// Where metrics, health and, at a router, the operators' tool are answered.
    pub admin_address: SocketAddr,
    /// URLs of the key-value service, tried in turn.
    pub key_value: Vec<String>,
    /// URL of the VM list.
    pub vm_list: String,
    /// Control addresses to start from when the VM list is down.
    pub peers: Vec<SocketAddr>,
    /// Time between two control exchanges.
    pub exchange_interval: Duration,
    /// Time after which a call to the platform is given up.
    pub platform_timeout: Duration,
    /// Time between hearing of a planned stop and the end of listening.
    pub drain_grace: Duration,
}

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Settings of every process.
    pub common: CommonSettings,
    /// Where callers are answered.
    pub listen: SocketAddr,
    /// Largest body of a caller in bytes.
    pub body_limit: usize,
    /// Time that a caller may take to send its headers, and again to send its body.
    pub caller_timeout: Duration,
    /// Time without a frame after which a connection to an agent counts as silent.
    pub heartbeat_timeout: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings of every process.
    pub common: CommonSettings,
    /// Where routers are answered.
    pub inner_address: SocketAddr,
    /// Where routers reach the inner listener, if that is not the same address.
    pub advertised_address: SocketAddr,
    /// Name of the backend server in the operators' text.
    pub backend: BackendId,
    /// Base URL of the backend server.
    pub backend_url: String,
    /// Service of the backend server in the operators' text.
    pub service: ServiceId,
    /// Path that the backend server answers with 2xx while it is well.
    pub health_path: String,
    /// Time between two health probes.
    pub health_interval: Duration,
    /// Time without a byte of an answer after which a backend server counts as stuck.
    pub backend_read_timeout: Duration,
    /// Time for which a finished answer is kept for repeats and for resuming.
    pub response_retention: Duration,
}
