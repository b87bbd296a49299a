//! Starts the log: one line of key=value pairs for each event, on standard output.

use std::{io, panic::PanicHookInfo};

use snafu::Snafu;
use tracing::error;
use tracing_subscriber::{
    filter::{LevelFilter, ParseError, Targets},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::queue::{FlushIntervals, LogQueue};

/// Library whose lines are no events of the fleet, unless they are errors.
const QUIET_LIBRARY: &str = "salvo_core";

/// Why a filter of the log makes no sense.
#[derive(Debug, Snafu)]
#[snafu(display("value {text:?}, expected info, debug or MODULE=LEVEL,…"))]
pub struct FilterError {
    text: String,
}

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

/// Checks a filter such as `info` or `bulrushward=debug`.
///
/// # Errors
///
/// Returns [`FilterError`] if it cannot be read.
pub fn check_filter(text: &str) -> Result<(), FilterError> {
    if text.is_empty() || targets(text).is_err() {
        return FilterSnafu { text }.fail();
    }
    Ok(())
}

fn targets(filter: &str) -> Result<Targets, ParseError> {
    let targets: Targets = filter.parse()?;
    let has_library = targets.iter().any(|(name, _)| name == QUIET_LIBRARY);
    if has_library {
        return Ok(targets);
    }
    Ok(targets.with_target(QUIET_LIBRARY, LevelFilter::ERROR))
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
    let filter = targets(filter).unwrap_or_else(|_| Targets::new().with_default(LevelFilter::INFO));
    let queue = LogQueue::start(io::stdout(), FlushIntervals::default())?;
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
