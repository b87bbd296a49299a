//! The direct router: a proxy that sends callers' requests straight to registered backend servers.
//!
//! A platform supplies its [`HttpConventions`] and a [`FleetStore`] that holds the configuration and the
//! registered servers. All routing decisions are made in this crate and in `bulrushward_policy`.

mod attempt;
mod body_memory;
mod bounded_stream;
mod buffered_body;
pub mod call;
mod check_turns;
mod cold_servers;
mod connection;
mod crash_check;
mod crash_records;
mod crash_reports;
mod delivery;
mod events;
mod exchange;
mod fleet_state;
mod fleet_view;
mod forwarded_request;
mod gossip;
mod handover;
mod hedged_call;
mod lingering_stream;
mod listener;
mod local_response;
mod location_updates;
mod metrics;
mod model;
mod overload;
mod pending_ends;
mod places;
mod ports;
mod read_timeout;
mod received_head;
mod refusals;
mod relay;
mod request_handler;
mod request_log;
mod request_reader;
mod response_end;
mod retry_after;
mod routed_request;
mod routes;
mod run;
mod run_mark;
mod saved_sessions;
mod send_checks;
mod server_identity;
mod server_reports;
mod server_selection;
mod server_stream;
mod servers;
mod settings;
mod shared;
mod stall_watch;
mod start_gate;
mod stop;
mod stop_answers;
mod stop_sends;
mod store_backoff;
mod store_news;
mod store_poll;
mod store_probe;
mod store_state;
mod store_transfers;
mod store_waits;
mod store_watch;
mod stream_ids;
mod stream_origins;
mod stream_record;
mod supervision;
mod unframed_body;
mod unit_loans;
mod version_check;

pub use events::{EventSplitter, EventTooLarge};
pub use model::{
    CallerLimits, ColdStart, ConfigVersion, FleetConfig, Organisation, OrganisationName, Route,
    RouteKind, ServerId, ServerRecord, ServerVersion, Service, ServiceName, Target,
};
pub use ports::{
    ConfigUpdate, DomainOrder, FleetStore, ForwardingMetadata, HttpConventions, LogStats,
    OrderChange, OrderListing, PromptPart, ReportedLoad, RequestMetadata, ResponseMetadata,
    RouterDependencies, ServerChanges, ServerListing, StatedNumber, StoreError,
};
pub use routes::RouteTable;
pub use run::{DirectError, run, run_until};
pub use settings::{DirectSettings, SettingsError};
