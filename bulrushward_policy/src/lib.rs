//! Decision logic of routers and agents, without I/O, clocks or threads.
//!
//! Callers pass in the current time and a random number generator, so every decision can be
//! reproduced.

pub mod active_revision;
pub mod admission;
pub mod attempt;
pub mod body_end;
pub mod buffer_budget;
pub mod chat_key;
pub mod claim;
pub mod cold_server;
pub mod crash_evidence;
pub mod delivery;
pub mod emptied_domains;
pub mod event_order;
mod fair_queue;
pub mod fleet_liveness;
pub mod fleet_retry_budget;
pub mod fleet_schedule;
pub mod fleet_share;
pub mod fleet_turns;
pub mod last_event;
pub mod load_bound;
pub mod mean_load;
pub mod membership;
pub mod organisation_limit;
pub mod overload_admission;
pub mod place_borrower;
pub mod place_lender;
pub mod place_pools;
pub mod placement;
pub mod planned_stop;
mod rate_meter;
pub mod receive_allowance;
pub mod replaced_servers;
pub mod response_owner;
pub mod retry_budget;
pub mod run_survival;
pub mod scarcity;
pub mod server_attempt;
pub mod server_choice;
pub mod server_health;
pub mod server_limit;
pub mod server_load;
pub mod server_registry;
pub mod server_reports;
pub mod server_scope;
mod service_time;
pub mod session_locations;
pub mod start_wait;
pub mod store_recovery;
pub mod store_wait;
pub mod stream_origin;
pub mod stream_pace;
pub mod usual_demand;
pub mod version_history;
pub mod view_lag;
