//! Timeouts of servers that a pause of the process does not cut short.

use std::time::{Duration, Instant};

use tokio::{
    pin,
    time::{timeout, timeout_at},
};

use crate::routed_request::RoutedRequest;

/// Multiple of the route's target pause after which a resumable stream is resumed at another server.
const PAUSE_FACTOR: u32 = 4;
/// Shortest pause after which a resumable stream is resumed at another server.
const MIN_PAUSE: Duration = Duration::from_secs(1);
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

/// Returns the time by which the server of a stream must send its next event.
///
/// Only streams that may be resumed at another server have a read timeout of their own. It starts the search for
/// such a server.
pub(crate) fn next_event_due(request: &RoutedRequest) -> Instant {
    if !request.route.is_idempotent() {
        return request.deadline;
    }
    let timeout = (request.route.target_pause * PAUSE_FACTOR).max(MIN_PAUSE);
    request.deadline.min(Instant::now() + timeout)
}
