//! The router that calls registered backend servers itself.
//!
//! A platform gives it a [`Dialect`] for headers and a [`FleetStore`] to follow; everything else is decided
//! here and in the policy package.

mod answer;
pub mod call;
mod choose;
mod connection;
mod events;
mod follow;
mod hop;
mod intake;
mod job;
mod knowledge;
mod listener;
mod metrics;
mod model;
mod news;
mod peers;
mod ports;
mod relay;
mod request;
mod retry_after;
mod routes;
mod run;
mod saved_sessions;
mod server_stream;
mod servers;
mod settings;
mod shared;
mod trail;

pub use events::{EventSplitter, EventTooLarge};
pub use model::{
    CallerLimits, ConfigVersion, FleetConfig, Organisation, OrganisationName, Route, RouteKind,
    ServerId, ServerRecord, Service, ServiceName, Target,
};
pub use ports::{
    ConfigUpdate, FleetStore, ForwardingMetadata, HttpConventions, LogStats, PromptPart,
    ReportedLoad, RequestMetadata, ResponseMetadata, RouterDependencies, ServerChanges,
    ServerListing, StoreError,
};
pub use routes::RouteTable;
pub use run::{DirectError, run, run_until};
pub use settings::{DirectSettings, SettingsError};
