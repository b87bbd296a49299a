//! Logs: one line of key=value pairs for each event, on standard output.

use std::panic::PanicHookInfo;

use tracing::error;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_logfmt::{EventsFormatter, FieldsFormatter};
use tracing_subscriber::{EnvFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Directive that silences the HTTP library, whose lines are no events of the fleet.
const QUIET_LIBRARY: &str = "salvo_core=error";
/// Lines that wait for a slow reader; further ones are dropped and counted. A few seconds of a busy router.
const WAITING_LINES: usize = 4_096;

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the lines that were dropped because the reader was too slow.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
/// From the first call on, a panic is an event like any other. Logging never waits for the reader
/// of standard output.
#[must_use]
pub fn start_logging(filter: &str) -> LogGuard {
    let filter = format!("{QUIET_LIBRARY},{filter}");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = fmt::layer()
        .event_format(EventsFormatter::default())
        .fmt_fields(FieldsFormatter::default())
        .with_writer(writer);
    let _already_started = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    std::panic::set_hook(Box::new(log_panic));
    LogGuard {
        _worker: worker,
        dropped,
    }
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    error!(event = "panic", message = %panic.to_string().replace('\n', " "));
}
