//! Randomized fault injection against real router processes.
//!
//! Faults are injected from outside the routers, and invariants are checked from outside, from
//! what callers and servers observe.

mod callers;
mod faults;
mod harness;
mod invariants;
mod router;
mod run;

pub use run::{SoakReport, SoakSettings, run};
