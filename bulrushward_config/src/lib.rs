//! The operators' text: model, parsing and checks.

mod model;
mod parse;
mod text_diff;

pub use model::{Config, Fleet, Kind, Organisation, Protocol, Service};
pub use parse::{TextError, TextErrors, parse};
pub use text_diff::text_diff;
