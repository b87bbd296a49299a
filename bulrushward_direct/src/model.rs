//! The fleet as a router knows it: routes, services, organisations, backend servers.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Version of the operators' configuration; a higher one replaces a lower one.
pub type ConfigVersion = u64;
/// Id of one incarnation of a backend server.
pub type ServerId = String;
/// Name of a service.
pub type ServiceName = String;
/// Name of an organisation.
pub type OrganisationName = String;

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Routes in the operators' order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Organisations and their keys; without any, no key is asked for.
    pub organisations: Vec<Organisation>,
}

/// A kind of request, told by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Beginning of their path.
    pub prefix: String,
    /// Services that serve it, with their shares.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Time after which a request has a final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Longest pause between events of a stream that is on time.
    pub target_pause: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Servers that one request may be sent to.
    pub max_servers: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Whether a broken stream may go on at another server.
    pub is_resumable: bool,
}

/// A service that takes a share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Service.
    pub service: ServiceName,
    /// Share relative to the other targets.
    pub weight: f64,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
    /// The answer is a stream of events.
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

/// A service of several backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one server accepts from all callers together.
    pub connection_limit: u32,
    /// Whether its servers are model engines, which cache prompts.
    pub is_engine: bool,
    /// Whether its servers can copy cached prompts from each other.
    pub can_copy_prompts: bool,
    /// Requests that one server runs at once, where the configuration says so.
    pub slots: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
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
    /// Keys that name it.
    pub keys: Vec<String>,
    /// Rank of its requests; goes before the rank of the route.
    pub priority: Option<u8>,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
    /// Start of this incarnation in milliseconds since the epoch, where it is told.
    pub started_ms: u64,
}
