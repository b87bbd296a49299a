//! Answers to the requests that a stopping router does not serve to their end.

use crate::{
    local_response::{LocalResponse, Reason},
    retry_after,
    routed_request::RoutedRequest,
    shared::Shared,
};

/// Reads a request, which is refused if it is not complete when new requests are refused.
///
/// # Errors
///
/// Returns the [`LocalResponse`] of `reading`, or the refusal.
pub(crate) async fn read(
    shared: &Shared,
    reading: impl Future<Output = Result<RoutedRequest, LocalResponse>>,
) -> Result<RoutedRequest, LocalResponse> {
    tokio::select! {
        biased;
        result = reading => match result {
            Ok(_) if shared.stop.is_refusing() => Err(refusal()),
            result => result,
        },
        () = shared.stop.refusing() => Err(refusal()),
    }
}

/// Serves a request, which is answered at the end of a stop if its response has not begun by then.
///
/// # Errors
///
/// Returns the [`LocalResponse`] of `serving`, or the answer at the end.
pub(crate) async fn serve<T>(
    shared: &Shared,
    request: &RoutedRequest,
    serving: impl Future<Output = Result<T, LocalResponse>>,
) -> Result<T, LocalResponse> {
    tokio::select! {
        biased;
        result = serving => result,
        () = shared.stop.ending() => Err(if request.run_mark.may_have_run() {
            LocalResponse::unknown(Reason::Stopping)
        } else {
            refusal()
        }),
    }
}

/// Returns the refusal of a request that another router serves.
fn refusal() -> LocalResponse {
    LocalResponse::not_run(Reason::Stopping, retry_after::STOP_RETRY)
}
