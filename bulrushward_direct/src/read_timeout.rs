//! Timeouts of servers that a pause of the process does not cut short.

use std::time::{Duration, Instant};

use tokio::{
    pin,
    time::{timeout, timeout_at},
};

/// Time after a timeout for reading what has arrived before it.
///
/// When a paused process runs again, its timers may fire before its sockets are read.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Returns the output of a future that waits for a server; `None` if the server has sent nothing by `deadline`.
pub(crate) async fn until<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    pin!(future);
    if let Ok(output) = timeout_at(deadline.into(), future.as_mut()).await {
        return Some(output);
    }
    timeout(CATCH_UP_TIME, future).await.ok()
}
