//! Decisions of the fleet, without I/O, clocks or threads.
//!
//! Time and randomness are arguments everywhere, so every decision can be replayed.

pub mod chat_key;
pub mod claim;
pub mod load_bound;
pub mod placement;
