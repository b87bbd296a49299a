//! Delays after which refused callers may retry.

use std::time::Duration;

use rand::RngExt;

use crate::shared::Shared;

/// Retry delay while the configuration is missing or incomplete, as when this router starts.
pub(crate) const START_RETRY: Duration = Duration::from_millis(300);
/// Retry delay while this router stops; others take the request.
pub(crate) const STOP_RETRY: Duration = Duration::from_millis(50);
/// Range of the retry delay while the store that holds the configuration is unavailable, or while all failure domains
/// of a service are emptied.
///
/// Both last seconds, and most callers retry only once.
const OUTAGE_RETRY: (Duration, Duration) =
    (Duration::from_millis(1_500), Duration::from_millis(2_500));
/// Range of the retry delay while no server has capacity.
const SERVER_RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));

/// Range of the retry delay while all servers of a service are overloaded.
///
/// Surges last seconds, and callers that return later spread over more of that time.
const OVERLOAD_RETRY: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(900));

/// Longest retry delay while all servers are cold, before the spread; other routers have units of their own.
const MAX_COLD_RETRY: Duration = Duration::from_secs(1);
/// Range that is added to the time of the next unit of a cold server.
const COLD_RETRY_SPREAD: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(350));

/// Range that is added to the time after which a server takes requests again.
const WITHHELD_RETRY_SPREAD: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(420));

/// Returns the retry delay of a request refused for lack of a configuration.
pub(crate) fn for_configuration(shared: &Shared) -> Duration {
    if shared.store_state.is_available() {
        START_RETRY
    } else {
        jittered(OUTAGE_RETRY)
    }
}

/// Returns the retry delay of a request refused for lack of a server.
pub(crate) fn for_server() -> Duration {
    jittered(SERVER_RETRY)
}

/// Returns the retry delay of a request refused because all failure domains of its service are emptied.
pub(crate) fn for_emptied_domains() -> Duration {
    jittered(OUTAGE_RETRY)
}

/// Returns the retry delay of a request refused because all servers are cold and this router may send to one
/// of them after `next`.
pub(crate) fn for_cold_servers(next: Duration) -> Duration {
    next.min(MAX_COLD_RETRY) + jittered(COLD_RETRY_SPREAD)
}

/// Returns the retry delay of a request refused because no server takes requests before `next`.
///
/// Callers come back one after the other, but none too early.
pub(crate) fn for_withheld_servers(next: Duration) -> Duration {
    next + jittered(WITHHELD_RETRY_SPREAD)
}

/// Returns the retry delay of a request refused because its service is overloaded.
pub(crate) fn for_overload() -> Duration {
    jittered(OVERLOAD_RETRY)
}

/// Returns a random delay, so that callers refused together do not retry together.
fn jittered((least, most): (Duration, Duration)) -> Duration {
    rand::rng().random_range(least..most)
}
