//! Decisions of the fleet, without I/O, clocks or threads.
//!
//! Time and randomness are arguments everywhere, so every decision can be replayed.

pub mod admission;
pub mod attempt;
pub mod chat_key;
pub mod claim;
mod fair_queue;
pub mod fleet_liveness;
pub mod hop;
pub mod load_bound;
pub mod mean_load;
pub mod membership;
pub mod organisation_limit;
pub mod placement;
pub mod prompt_homes;
pub mod quarantine;
pub mod retry_budget;
pub mod revisions;
pub mod save_turns;
pub mod server_choice;
pub mod server_health;
pub mod server_load;
pub mod server_registry;
mod service_rate;
