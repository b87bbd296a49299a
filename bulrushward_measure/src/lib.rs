//! Measures the decision code of the fleet against in-memory models.
//!
//! A run simulates a generated workload in virtual time. Networks and engines are models; routers
//! and agents decide with the code of the product.

mod backend;
mod control;
mod engine;
mod figure;
mod fleet;
mod load_history;
mod measures;
mod plots;
mod policies;
mod prefix_cache;
mod results;
mod scenario;
mod slopes;
mod workload;

pub use backend::{Backend, Limits};
pub use control::{ControlFleet, measure_control};
pub use figure::{Figure, FigureError, write_csv, write_json};
pub use fleet::run;
pub use measures::measure_runs;
pub use plots::draw_plots;
pub use policies::{KnownBackend, MAX_CANDIDATES, Policy, PolicyName, View};
pub use prefix_cache::{PrefixCache, PrefixId};
pub use results::Results;
pub use scenario::{Case, Size};
pub use slopes::measure_slopes;
pub use workload::{Arrival, Kind, generate};
