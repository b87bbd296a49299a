//! Raw arguments of the daemon with their help texts.

use bpaf::Bpaf;

/// Settings of every process
#[derive(Clone, Debug, Bpaf)]
pub(super) struct CommonArguments {
    /// Unique name of this process; required
    #[bpaf(
        long,
        env("BULRUSHWARD_NODE"),
        argument("NAME"),
        fallback(String::new())
    )]
    pub(super) node: String,
    /// Failure domain in which this process runs; required
    #[bpaf(
        long,
        env("BULRUSHWARD_FAILURE_DOMAIN"),
        argument("NAME"),
        fallback(String::new())
    )]
    pub(super) failure_domain: String,
    /// Address for gossip exchanges with other processes; required
    #[bpaf(
        long,
        env("BULRUSHWARD_CONTROL_ADDRESS"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    pub(super) control_address: String,
    /// Address for metrics, health and, on a router, bulrushctl; required
    #[bpaf(
        long,
        env("BULRUSHWARD_ADMIN_ADDRESS"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    pub(super) admin_address: String,
    /// URLs of the key-value service (etcd v3 JSON gateway), separated by commas; required
    #[bpaf(
        long,
        env("BULRUSHWARD_KEY_VALUE"),
        argument("URLS"),
        fallback(String::new())
    )]
    pub(super) key_value: String,
    /// URL of the VM list (HTTP service discovery); required
    #[bpaf(
        long,
        env("BULRUSHWARD_VM_LIST"),
        argument("URL"),
        fallback(String::new())
    )]
    pub(super) vm_list: String,
    /// Control addresses of processes to contact when the VM list is unavailable, separated by commas; default none
    #[bpaf(
        long,
        env("BULRUSHWARD_PEERS"),
        argument("IP:PORT,…"),
        fallback(String::new())
    )]
    pub(super) peers: String,
    /// Mean time between two gossip exchanges in milliseconds; default 1000
    #[bpaf(
        long,
        env("BULRUSHWARD_EXCHANGE_INTERVAL_MS"),
        argument("MS"),
        fallback("1000".to_owned())
    )]
    pub(super) exchange_interval_ms: String,
    /// Timeout of a call to the platform in milliseconds; default 1000
    #[bpaf(
        long,
        env("BULRUSHWARD_PLATFORM_TIMEOUT_MS"),
        argument("MS"),
        fallback("1000".to_owned())
    )]
    pub(super) platform_timeout_ms: String,
    /// Milliseconds for which a stopping process keeps its listener open; default 3000
    #[bpaf(
        long,
        env("BULRUSHWARD_DRAIN_GRACE_MS"),
        argument("MS"),
        fallback("3000".to_owned())
    )]
    pub(super) drain_grace_ms: String,
    /// Log filter such as info, debug or bulrushward=debug; default info
    #[bpaf(long, env("BULRUSHWARD_LOG"), argument("FILTER"), fallback("info".to_owned()))]
    pub(super) log: String,
}

/// Settings of a router
#[derive(Clone, Debug, Bpaf)]
pub(super) struct RouterArguments {
    #[bpaf(external)]
    pub(super) common_arguments: CommonArguments,
    /// Address for callers; required
    #[bpaf(
        long,
        env("BULRUSHWARD_LISTEN"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    pub(super) listen: String,
    /// Largest request body of a caller in bytes; default 4194304
    #[bpaf(
        long,
        env("BULRUSHWARD_BODY_LIMIT_BYTES"),
        argument("BYTES"),
        fallback("4194304".to_owned())
    )]
    pub(super) body_limit_bytes: String,
    /// Milliseconds that a caller may take to send its headers, and again to send its body; default 30000
    #[bpaf(
        long,
        env("BULRUSHWARD_CALLER_TIMEOUT_MS"),
        argument("MS"),
        fallback("30000".to_owned())
    )]
    pub(super) caller_timeout_ms: String,
    /// Milliseconds without a frame until a connection to an agent counts as unresponsive; default 1500
    #[bpaf(
        long,
        env("BULRUSHWARD_SILENCE_MS"),
        argument("MS"),
        fallback("1500".to_owned())
    )]
    pub(super) silence_ms: String,
}

/// Settings of an agent
#[derive(Clone, Debug, Bpaf)]
pub(super) struct AgentArguments {
    #[bpaf(external)]
    pub(super) common_arguments: CommonArguments,
    /// Address for routers; required
    #[bpaf(
        long,
        env("BULRUSHWARD_INNER_ADDRESS"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    pub(super) inner_address: String,
    /// Address at which routers reach this agent; default the inner address
    #[bpaf(
        long,
        env("BULRUSHWARD_ADVERTISED_ADDRESS"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    pub(super) advertised_address: String,
    /// Name of the backend server in the configuration; required
    #[bpaf(
        long,
        env("BULRUSHWARD_BACKEND"),
        argument("NAME"),
        fallback(String::new())
    )]
    pub(super) backend: String,
    /// Base URL of the backend server; required
    #[bpaf(
        long,
        env("BULRUSHWARD_BACKEND_URL"),
        argument("URL"),
        fallback(String::new())
    )]
    pub(super) backend_url: String,
    /// Service of the backend server in the configuration; required
    #[bpaf(
        long,
        env("BULRUSHWARD_SERVICE"),
        argument("NAME"),
        fallback(String::new())
    )]
    pub(super) service: String,
    /// Path that the backend server answers with a 2xx status while it is healthy; default /health
    #[bpaf(
        long,
        env("BULRUSHWARD_HEALTH_PATH"),
        argument("PATH"),
        fallback("/health".to_owned())
    )]
    pub(super) health_path: String,
    /// Milliseconds between two health probes; default 500
    #[bpaf(
        long,
        env("BULRUSHWARD_HEALTH_INTERVAL_MS"),
        argument("MS"),
        fallback("500".to_owned())
    )]
    pub(super) health_interval_ms: String,
    /// Milliseconds without a byte until a backend server counts as stuck; default 30000
    #[bpaf(
        long,
        env("BULRUSHWARD_BACKEND_SILENCE_MS"),
        argument("MS"),
        fallback("30000".to_owned())
    )]
    pub(super) backend_silence_ms: String,
    /// Seconds for which a finished response is kept, so that it can be resumed or sent again; default 120
    #[bpaf(
        long,
        env("BULRUSHWARD_ANSWER_RETENTION_SECONDS"),
        argument("SECONDS"),
        fallback("120".to_owned())
    )]
    pub(super) answer_retention_seconds: String,
}

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Routes chats and plain requests to a fleet of backend servers
pub(super) enum Arguments {
    /// Receives requests from callers and routes them to agents
    #[bpaf(command)]
    Router(#[bpaf(external(router_arguments))] RouterArguments),
    /// Admits and runs requests on one backend server
    #[bpaf(command)]
    Agent(#[bpaf(external(agent_arguments))] AgentArguments),
}
