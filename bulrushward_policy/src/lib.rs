//! Decisions of the fleet, without I/O, clocks or threads.
//!
//! Time and randomness are arguments everywhere, so every decision can be replayed.

pub mod admission;
pub mod attempt;
pub mod chat_key;
mod fair_queue;
pub mod load_bound;
pub mod mean_load;
mod member_spread;
pub mod membership;
pub mod organisation_limit;
pub mod placement;
pub mod quarantine;
pub mod retry_budget;
pub mod revisions;
mod service_rate;
