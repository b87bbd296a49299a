//! The operators' text: model, parsing and checks.

mod model;
mod parse;

pub use model::{Config, Fleet, Kind, Organisation, Protocol, Service};
pub use parse::{TextError, TextErrors, parse};
