//! Sockets and messages of network errors, shared by all programs of the workspace.

mod error_text;
mod listen;
mod send_queue;

pub use error_text::with_causes;
pub use listen::listen;
pub use send_queue::{has_segments_in_flight, quiet_time, unacknowledged_bytes};
