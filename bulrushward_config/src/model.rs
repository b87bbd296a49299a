//! What the operators' text declares.

use std::time::Duration;

use bulrushward_protocol::{BackendId, KindId, OrganisationId, ServiceId, WorkUnits};
use strum::{Display, EnumString, VariantNames};

use crate::KeyIndex;

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Kinds of work, the most specific first.
    pub kinds: Vec<Kind>,
    /// Services and where they run.
    pub services: Vec<Service>,
    /// Organisations that may call.
    pub organisations: Vec<Organisation>,
    /// Finds organisations by the hashes of their keys; built by [`crate::parse`].
    pub(crate) keys: KeyIndex,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Allowed load of a backend server as a multiple of the mean of its service; above 1.
    pub load_multiple: f64,
    /// Retries allowed as a fraction of requests, from 0 to 1.
    pub retry_fraction: f64,
    /// Crashes after which a request content is quarantined.
    pub quarantine_crashes: u8,
    /// How long a quarantined content stays so.
    pub quarantine: Duration,
    /// How long a claim of a non-idempotent action is kept.
    pub claim_retention: Duration,
    /// How long equal content without an idempotency key counts as one action.
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

/// How callers and backend servers of a service speak.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// Chat completions, whole or streamed.
    Chat,
    /// Any HTTP request below `/svc/<service>/`.
    Plain,
}

/// A service and where it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the text.
    pub name: ServiceId,
    /// How it is spoken to.
    pub protocol: Protocol,
    /// Models that it serves; chat services only.
    pub models: Vec<String>,
    /// Backend servers by name; empty means every agent that announces the service.
    pub servers: Vec<BackendId>,
    /// Services that must have a live backend server for this one to work.
    pub depends_on: Vec<ServiceId>,
    /// Load that a backend server may always carry, in work units.
    pub load_floor: WorkUnits,
    /// Requests that a backend server runs at the same time.
    pub concurrency: u32,
    /// Requests that may wait at an agent.
    pub queue: u32,
    /// `METHOD /path` patterns that may be repeated; a `*` at the end matches any rest.
    /// GET, HEAD and OPTIONS are idempotent unless listed in `not_idempotent`.
    pub idempotent: Vec<String>,
    /// `METHOD /path` patterns that may not be repeated, before `idempotent`.
    pub not_idempotent: Vec<String>,
    /// Whether its backend servers refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Kinds of work that it takes; empty means all.
    pub kinds: Vec<KindId>,
    /// Backend servers that operators are taking out of use.
    pub draining: Vec<BackendId>,
}

/// A kind of work with its own priority and times.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name, unique in the text.
    pub name: KindId,
    /// Priority: the higher goes first.
    pub priority: u8,
    /// Time until the first byte that users expect.
    pub first_token: Duration,
    /// Time after which the answer is of no use.
    pub deadline: Duration,
    /// Largest `max_tokens` of a request that is taken for this kind without being named.
    pub max_tokens: Option<u64>,
    /// Share of an agent's places kept for this kind, from 0 to 1.
    pub reserved_share: f64,
}

/// An organisation that may call.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the text.
    pub name: OrganisationId,
    /// SHA-256 hashes of its API keys, in lower-case hex.
    pub key_sha256: Vec<String>,
    /// Share of a contended agent relative to other organisations.
    pub weight: f64,
    /// Requests a second that each router lets through; none means no limit.
    pub requests_per_second: Option<f64>,
}
