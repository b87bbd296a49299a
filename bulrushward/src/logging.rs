//! Logs: one line of key=value pairs for each event, on standard error.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Starts logging with a filter such as `info` or `bulrushward=debug`.
///
/// A filter that cannot be parsed is replaced by `info`. Calls after the first have no effect.
pub fn start_logging(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_span_name(false)
        .with_span_path(false)
        .layer_with_writer();
    let _already_started = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
