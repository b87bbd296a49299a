//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_logfmt::{EventsFormatter, FieldsFormatter};
use tracing_subscriber::{EnvFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
pub fn start_logging(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = fmt::layer()
        .event_format(EventsFormatter::default())
        .fmt_fields(FieldsFormatter::default())
        .with_writer(std::io::stderr);
    let _already_started = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
