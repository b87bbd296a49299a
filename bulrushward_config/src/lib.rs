//! The configuration text that operators submit: model, parsing and validation.

mod changes;
mod cycles;
mod idempotency;
mod key_index;
mod model;
mod parse;
mod parts;
mod queries;
mod report;
mod rule;
mod sections;
mod symbol_table;
mod table_reader;
mod text_diff;

use key_index::KeyIndex;

pub use changes::{Change, ChangeKind, Section};
pub use model::{Config, Fleet, Kind, Organisation, Protocol, Service};
pub use parse::{MAX_TEXT_BYTES, parse};
pub use report::{TextError, TextErrors};
pub use text_diff::text_diff;
