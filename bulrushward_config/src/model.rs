//! What the operators' text declares.

use std::time::Duration;

use bulrushward_protocol::{BackendId, KindId, OrganisationId, ServiceId, WorkUnits};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use strum::{Display, EnumString};

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Kinds of work, the most specific first.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Services and where they run.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// Organisations that may call.
    #[serde(rename = "organisation")]
    pub organisations: Vec<Organisation>,
}

/// Settings of the whole fleet.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Allowed load of a backend server as a multiple of the mean of its service; above 1.
    pub load_multiple: f64,
    /// Retries allowed as a fraction of requests, from 0 to 1.
    pub retry_fraction: f64,
    /// Crashes after which a request content is quarantined.
    pub quarantine_crashes: u8,
    /// How long a quarantined content stays so, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "quarantine_seconds")]
    pub quarantine: Duration,
    /// How long a claim of a non-idempotent action is kept, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "claim_retention_seconds")]
    pub claim_retention: Duration,
    /// How long equal content without an idempotency key counts as one action, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "fingerprint_window_seconds")]
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
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// Chat completions, whole or streamed.
    Chat,
    /// Any HTTP request below `/svc/<service>/`.
    Plain,
}

/// A service and where it runs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique in the text.
    pub name: ServiceId,
    /// How it is spoken to.
    pub protocol: Protocol,
    /// Models that it serves; chat services only.
    #[serde(default)]
    pub models: Vec<String>,
    /// Backend servers by name; empty means every agent that announces the service.
    #[serde(default)]
    pub servers: Vec<BackendId>,
    /// Services that must have a live backend server for this one to work.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Load that a backend server may always carry, in work units.
    #[serde(default = "default_floor")]
    pub load_floor: WorkUnits,
    /// Requests that a backend server runs at the same time.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Requests that may wait at an agent.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// `METHOD /path` patterns that may be repeated; a `*` at the end matches any rest.
    /// GET, HEAD and OPTIONS are idempotent unless listed in `not_idempotent`.
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// `METHOD /path` patterns that may not be repeated, before `idempotent`.
    #[serde(default)]
    pub not_idempotent: Vec<String>,
    /// Whether its backend servers refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Backend servers that operators are taking out of use.
    #[serde(default)]
    pub draining: Vec<BackendId>,
}

fn default_floor() -> WorkUnits {
    16_384
}

fn default_concurrency() -> u32 {
    16
}

fn default_queue() -> u32 {
    64
}

/// A kind of work with its own priority and times.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique in the text.
    pub name: KindId,
    /// Priority: the higher goes first.
    pub priority: u8,
    /// Time until the first byte that users expect, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Duration,
    /// Time after which the answer is of no use, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "deadline_seconds")]
    pub deadline: Duration,
    /// Largest `max_tokens` of a request that is taken for this kind without being named.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Share of an agent's places kept for this kind, from 0 to 1.
    #[serde(default)]
    pub reserved_share: f64,
}

/// An organisation that may call.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique in the text.
    pub name: OrganisationId,
    /// SHA-256 hashes of its API keys, in hex.
    pub key_sha256: Vec<String>,
    /// Share of a contended agent relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Requests a second that each router lets through; none means no limit.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
}

fn default_weight() -> f64 {
    1.0
}
