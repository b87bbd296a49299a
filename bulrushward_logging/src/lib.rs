//! The log of the daemons: lines of key=value pairs on standard output, bounded and never waited for.

mod queue;
mod start;

pub use queue::{FlushIntervals, LineWriter, LogQueue};
pub use start::{FilterError, LogGuard, check_filter, start_logging};
