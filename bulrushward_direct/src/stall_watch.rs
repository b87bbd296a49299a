//! Detects that the traffic thread ran late, for example because the process was paused or lacked processor time.
//!
//! While it does not run, all servers seem to be silent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tracing::warn;

use crate::shared::Shared;

/// Interval of the wake-ups that are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of a wake-up from which it is logged; shorter than any timeout of a request.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Logs and counts late wake-ups until cancelled.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed();
        if late >= MIN_STALL {
            shared.metrics.stalls.inc();
            warn!(event = "traffic-stalled", ms = late.as_millis() as u64);
        }
    }
}
