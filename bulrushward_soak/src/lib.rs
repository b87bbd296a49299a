//! A randomized soak: real routers as processes, faults from outside, promises checked from outside.

mod callers;
mod faults;
mod promises;
mod router;
mod run;
mod world;

pub use run::{SoakReport, SoakSettings, run};
