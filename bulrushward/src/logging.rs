//! Logs: one line of key=value pairs for each event, on standard error.

use std::panic::PanicHookInfo;

use tracing::error;
use tracing_logfmt::{EventsFormatter, FieldsFormatter};
use tracing_subscriber::{EnvFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Directive that silences the HTTP library, whose lines are no events of the fleet.
const QUIET_LIBRARY: &str = "salvo_core=error";

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
/// From the first call on, a panic is an event like any other.
pub fn start_logging(filter: &str) {
    let filter = format!("{QUIET_LIBRARY},{filter}");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = fmt::layer()
        .event_format(EventsFormatter::default())
        .fmt_fields(FieldsFormatter::default())
        .with_writer(std::io::stderr);
    let _already_started = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    std::panic::set_hook(Box::new(log_panic));
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    error!(event = "panic", message = %panic.to_string().replace('\n', " "));
}
