//! Starts logging: each event becomes one line of key=value pairs on standard output.

use std::{io, panic::PanicHookInfo};

use snafu::Snafu;
use tracing::error;
use tracing_subscriber::{
    filter::{LevelFilter, ParseError, Targets},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::queue::{FlushIntervals, LogQueue};

/// Library of which only errors are logged, because its other events say nothing about the fleet.
const ERRORS_ONLY_TARGET: &str = "salvo_core";

/// Error for a log filter that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("value {text:?}, expected info, debug or MODULE=LEVEL,…"))]
pub struct FilterError {
    text: String,
}

/// Writes the queued lines when it is dropped.
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

/// Checks a log filter such as `info` or `bulrushward=debug`.
///
/// # Errors
///
/// Returns [`FilterError`] if the filter is empty or cannot be parsed.
pub fn check_filter(text: &str) -> Result<(), FilterError> {
    if text.is_empty() || parse_targets(text).is_err() {
        return FilterSnafu { text }.fail();
    }
    Ok(())
}

fn parse_targets(filter: &str) -> Result<Targets, ParseError> {
    let targets: Targets = filter.parse()?;
    let has_own_level = targets.iter().any(|(name, _)| name == ERRORS_ONLY_TARGET);
    if has_own_level {
        return Ok(targets);
    }
    Ok(targets.with_target(ERRORS_ONLY_TARGET, LevelFilter::ERROR))
}

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
/// Panics are logged as events too. Logging never blocks on the reader of standard output.
///
/// # Errors
///
/// Returns the system's error if the writer thread cannot be started.
pub fn start_logging(filter: &str) -> io::Result<LogGuard> {
    let filter =
        parse_targets(filter).unwrap_or_else(|_| Targets::new().with_default(LevelFilter::INFO));
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
