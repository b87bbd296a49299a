//! A randomized soak: real routers as processes, faults from outside, promises checked from outside.

mod callers;
mod faults;
mod harness;
mod invariants;
mod router;
mod run;

pub use run::{SoakReport, SoakSettings, run};
