//! Listening sockets and error messages, shared by all programs of the workspace.

mod error_text;
mod listen;

pub use error_text::with_causes;
pub use listen::listen;
