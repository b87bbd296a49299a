//! Listening sockets and the texts of network errors, the same in all processes.

mod error_text;
mod listen;

pub use error_text::with_causes;
pub use listen::listen;
