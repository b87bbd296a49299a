//! Sends a limited load to routers or backend servers on the loopback interface.

mod arrivals;
mod bounds;
mod chat;
mod client;
mod comparison;
mod figure;
mod hold;
mod results;
mod run;
mod target;

pub use arrivals::{Arrival, ArrivalSettings, generate_arrivals};
pub use bounds::{BoundError, Bounds, check_rate};
pub use client::{Client, ClientError, ClientSettings, Outcome, Sample, Work};
pub use comparison::{Comparison, compare};
pub use figure::{Figure, FigureError, write_json};
pub use hold::{HeldStreams, hold};
pub use results::Results;
pub use run::{Pace, run};
pub use target::{Target, TargetError};
