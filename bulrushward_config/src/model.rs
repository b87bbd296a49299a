//! Model of the configuration.

use std::time::Duration;

use bulrushward_protocol::{BackendId, KindId, OrganisationId, ServiceId, WorkUnits};
use strum::{Display, EnumString, VariantNames};

use crate::KeyIndex;

/// A validated configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Fleet-wide settings.
    pub fleet: Fleet,
    /// Kinds of work, most specific first.
    pub kinds: Vec<Kind>,
    /// Services and their backend servers.
    pub services: Vec<Service>,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Index of the organisations by the hashes of their keys, built by [`crate::parse`].
    pub(crate) keys: KeyIndex,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Load bound of a backend server as a multiple of the mean load of its service; above 1.
    pub load_multiple: f64,
    /// Maximum ratio of retries to requests, from 0 to 1.
    pub retry_fraction: f64,
    /// Number of crashes after which a request content is quarantined.
    pub quarantine_crashes: u8,
    /// How long a request content stays quarantined.
    pub quarantine: Duration,
    /// How long the claim of a non-idempotent action is retained.
    pub claim_retention: Duration,
    /// How long requests with equal content and no idempotency key count as the same action.
    pub fingerprint_window: Duration,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            retry_fraction: 0.1,
            quarantine_crashes: 2,
            quarantine: Duration::from_hours(1),
            claim_retention: Duration::from_hours(24),
            fingerprint_window: Duration::from_mins(2),
        }
    }
}

/// Protocol between callers and the backend servers of a service.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// Chat completions, streamed or not.
    Chat,
    /// Arbitrary HTTP requests below `/svc/<service>/`.
    Plain,
}

/// A service and its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique among services.
    pub name: ServiceId,
    /// Protocol of the service.
    pub protocol: Protocol,
    /// Models that the service serves; chat services only.
    pub models: Vec<String>,
    /// Names of the backend servers; empty means every agent that announces the service.
    pub servers: Vec<BackendId>,
    /// Services that must have a live backend server for this one to accept requests.
    pub depends_on: Vec<ServiceId>,
    /// Lower limit of a backend server's load bound, in work units.
    pub load_floor: WorkUnits,
    /// Maximum number of requests that a backend server runs concurrently.
    pub concurrency: u32,
    /// Maximum number of requests in an agent's queue.
    pub queue: u32,
    /// `METHOD /path` patterns of idempotent calls; a trailing `*` matches any suffix.
    /// GET, HEAD and OPTIONS are idempotent unless listed in `not_idempotent`.
    pub idempotent: Vec<String>,
    /// `METHOD /path` patterns of non-idempotent calls; they take precedence over `idempotent`.
    pub not_idempotent: Vec<String>,
    /// Whether the backend servers refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Kinds of work that the service accepts; empty means all.
    pub kinds: Vec<KindId>,
    /// Backend servers that operators are draining.
    pub draining: Vec<BackendId>,
}

/// A kind of work with its own priority and time limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name, unique among kinds.
    pub name: KindId,
    /// Priority; requests with a higher one go first.
    pub priority: u8,
    /// Target time to the first byte.
    pub first_token: Duration,
    /// Time after which the response is of no use to the caller.
    pub deadline: Duration,
    /// Largest `max_tokens` of a request that gets this kind without naming one.
    pub max_tokens: Option<u64>,
    /// Share of an agent's slots reserved for this kind, from 0 to 1.
    pub reserved_share: f64,
}

/// An organisation that may send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique among organisations.
    pub name: OrganisationId,
    /// SHA-256 hashes of the API keys, in lower-case hex.
    pub key_sha256: Vec<String>,
    /// Weight for sharing a contended agent with other organisations.
    pub weight: f64,
    /// Requests per second that each router admits; `None` means no limit.
    pub requests_per_second: Option<f64>,
}
