//! Starts the router's background tasks anew after a panic, which would otherwise end them for good unnoticed.

use std::{any::Any, panic::AssertUnwindSafe, time::Duration};

use futures_util::FutureExt;
use tokio::time::sleep;
use tracing::error;

use crate::shared::Shared;

/// Pause before a task starts anew, so that one that panics at once takes little of the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(250);

/// Runs a task until it ends by itself, and starts it anew after each panic.
pub(crate) async fn supervise<F: Future<Output = ()>>(
    task: &'static str,
    shared: &Shared,
    start: impl Fn() -> F,
) {
    loop {
        match AssertUnwindSafe(async { start().await })
            .catch_unwind()
            .await
        {
            Ok(()) => return,
            Err(panic) => {
                record_panic(task, shared, panic.as_ref());
                sleep(RESTART_PAUSE).await;
            }
        }
    }
}

/// Logs and counts a panic.
pub(crate) fn record_panic(task: &'static str, shared: &Shared, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<&str>().copied();
    let detail = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    shared.metrics.panics.inc();
    error!(
        event = "task-panicked",
        task,
        detail = detail.unwrap_or_default()
    );
}
