//! Logging of the daemons: lines of key=value pairs on standard output, through a bounded queue that never
//! blocks the caller.

mod queue;
mod start;

pub use queue::{FlushIntervals, LineWriter, LogQueue};
pub use start::{FilterError, LogGuard, check_filter, start_logging};
