//! Whether requests may still be sent to servers while the router stops.

use std::time::Duration;

use bulrushward_policy::planned_stop::StopSend;

use crate::{routed_request::RoutedRequest, server_selection, shared::Shared};

/// Least time for which a stream is sent to a server; with less its caller resumes it at another router.
const MIN_STREAM_TIME: Duration = Duration::from_secs(1);

/// Returns whether a request may be sent to a server now.
pub(crate) fn are_permitted(shared: &Shared, request: &RoutedRequest) -> bool {
    shared.stop.permits(|| planned(shared, request))
}

/// Waits until a request may not be sent to any server.
pub(crate) async fn end(shared: &Shared, request: &RoutedRequest) {
    shared.stop.send_end(|| planned(shared, request)).await;
}

fn planned(shared: &Shared, request: &RoutedRequest) -> StopSend {
    let least = if request.is_stream() {
        MIN_STREAM_TIME
    } else {
        let servers = server_selection::open_servers(shared, request);
        shared.overload.response_time(request, servers)
    };
    StopSend {
        is_repeatable: request.route.is_idempotent(),
        time_needed: request.route.target_latency.max(least),
    }
}
