//! Data model of the fleet: routes, services, organisations and backend servers.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Version of the configuration; a higher one replaces a lower one.
pub type ConfigVersion = u64;
/// Id of one incarnation of a backend server.
pub type ServerId = String;
/// Version of a server's software; two versions are only compared for being equal.
pub type ServerVersion = String;
/// Name of a service.
pub type ServiceName = String;
/// Name of an organisation.
pub type OrganisationName = String;

/// Configuration that the operators maintain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services that routes refer to by name.
    pub services: Vec<Service>,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// Organisations and their keys; if there are none, no request needs a key.
    pub organisations: Vec<Organisation>,
}

/// Longest time that a configuration may set, which can be added to any point in time.
const MAX_TIME: Duration = Duration::from_hours(24);

impl FleetConfig {
    /// Shortens the times that are too long to be added to a point in time.
    #[must_use]
    pub(crate) fn with_bounded_times(mut self) -> Self {
        self.limits.idle = self.limits.idle.min(MAX_TIME);
        for route in &mut self.routes {
            for time in [
                &mut route.timeout,
                &mut route.target_latency,
                &mut route.target_pause,
            ] {
                *time = (*time).min(MAX_TIME);
            }
        }
        self
    }
}

/// A route, which matches requests by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host of the requests; case and port are ignored.
    pub host: String,
    /// Prefix that the path of requests must have.
    pub prefix: String,
    /// Services that the requests are distributed to, with their weights.
    pub targets: Vec<Target>,
    /// Kind of the requests, which determines whether they may be retried.
    pub kind: RouteKind,
    /// Time within which a request gets its final response.
    pub timeout: Duration,
    /// Target for the time to a response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_pause: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Largest number of servers that one request may be sent to.
    pub max_servers: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may be resumed at another server.
    pub is_resumable: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// Kind of a route's requests.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream,
}

impl Route {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }
}

/// A service that is provided by several backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one server accepts from all routers together.
    pub connection_limit: u32,
    /// Whether its servers are model engines, which cache prompts.
    pub is_engine: bool,
    /// Whether its servers can copy cached prompts from each other.
    pub can_copy_prompts: bool,
    /// Requests that one server runs at once, if the configuration specifies it.
    pub slots: Option<u32>,
    /// Limits of its servers while they are cold; `None` if they have none then.
    pub cold_start: Option<ColdStart>,
}

/// Limits of a server that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time from the start of a server for which it is cold.
    pub duration: Duration,
    /// Requests per second that it can run, from all routers together.
    pub requests_per_second: f64,
}

/// Limits on a caller's connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A customer of the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub name: OrganisationName,
    /// Keys that identify the organisation.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides the priority of the route.
    pub priority: Option<u8>,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the service that it provides.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub is_leaving: bool,
    /// Start of this incarnation in milliseconds since the epoch; 0 if the server does not report it.
    pub started_ms: u64,
    /// Time for which the server remains cold after it wrote this entry.
    pub cold_for: Duration,
    /// Version of the server's software; `None` if the entry states none.
    pub version: Option<ServerVersion>,
}

impl ServerRecord {
    /// Returns whether nothing but the time for which the server remains cold differs.
    pub(crate) fn equals_but_for_cold(&self, other: &Self) -> bool {
        let adjusted = Self {
            cold_for: self.cold_for,
            ..other.clone()
        };
        *self == adjusted
    }
}
