//! Logs: one line of key=value pairs for each event, on standard output.

use std::{io, panic::PanicHookInfo};

use tracing::error;
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

use crate::log_queue::{Gathering, LogQueue};

/// Directive that silences the HTTP library, whose lines are no events of the fleet.
const QUIET_LIBRARY: &str = "salvo_core=error";

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    queue: LogQueue,
}

impl LogGuard {
    /// Returns the queue of the log.
    #[must_use]
    pub fn queue(&self) -> &LogQueue {
        &self.queue
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.queue.close();
    }
}

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
/// From the first call on, a panic is an event like any other. Logging never waits for the reader
/// of standard output.
///
/// # Errors
///
/// Returns the error of the system if the thread that writes cannot be started.
pub fn start_logging(filter: &str) -> io::Result<LogGuard> {
    let filter = format!("{QUIET_LIBRARY},{filter}");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let queue = LogQueue::start(io::stdout(), Gathering::default())?;
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(queue.clone());
    let _already_started = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    std::panic::set_hook(Box::new(log_panic));
    Ok(LogGuard { queue })
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    error!(event = "panic", message = %panic.to_string().replace('\n', " "));
}
