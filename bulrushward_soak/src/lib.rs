//! Randomized fault injection against real router processes.
//!
//! Faults are injected from outside the routers, and invariants are checked from outside, from
//! what callers and servers observe.

mod balancer;
mod busy;
mod callers;
mod fault_log;
mod faults;
mod harness;
mod invariants;
mod planned_stops;
mod process_ends;
mod report_checks;
mod router;
mod run;
mod whole_responses;

pub use callers::{Attempt, AttemptResult, Kind, ReceivedResponse};
pub use invariants::{Outage, OutagePlace, has_to_know, is_cancelled_late, is_delivered_late};
pub use planned_stops::{RouterHistory, violated_stop};
pub use run::{SoakReport, SoakSettings, run};
pub use whole_responses::{incomplete, is_lost};
