//! When callers that were refused may come back.

use std::time::Duration;

use rand::RngExt;

use crate::shared::Shared;

/// Time after which a caller may come back while this router starts.
pub(crate) const START_RETRY: Duration = Duration::from_millis(300);
/// Shortest and longest time after which a caller may come back while the store that holds the configuration
/// does not answer; outages last seconds, and most callers come back once.
const OUTAGE_RETRY: (Duration, Duration) =
    (Duration::from_millis(1_500), Duration::from_millis(2_500));
/// Shortest and longest time after which a caller may come back for a server with room.
const SERVER_RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));

/// Returns when a caller may come back for a configuration.
pub(crate) fn for_configuration(shared: &Shared) -> Duration {
    if shared.is_store_available() {
        START_RETRY
    } else {
        jittered(OUTAGE_RETRY)
    }
}

/// Returns when a caller may come back for a server.
pub(crate) fn for_server() -> Duration {
    jittered(SERVER_RETRY)
}

/// Draws a time, so that callers who were refused together do not return together.
fn jittered((least, most): (Duration, Duration)) -> Duration {
    rand::rng().random_range(least..most)
}
