//! Sends a request on a connection and waits for the head of the response.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bulrushward_net::with_causes;
use bulrushward_policy::server_attempt::AttemptFailure;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};

use crate::{
    attempt::AttemptError,
    connection::{self, Connection},
    delivery,
    handover::SilenceWatch,
    read_timeout,
    routed_request::RoutedRequest,
    server_reports,
    servers::InProgress,
    shared::Shared,
};

/// Shortest time without a byte after which an idempotent request is sent to another server.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Multiple of the route's target latency after which an idempotent request is sent to another server.
const READ_TIMEOUT_FACTOR: u32 = 4;

/// Sends a request on a connection and waits for the response head.
///
/// # Errors
///
/// Returns [`AttemptError`] if there is no head; nothing of the request is delivered later.
pub(crate) async fn send(
    shared: &Shared,
    request: &RoutedRequest,
    req: Request<Full<Bytes>>,
    mut connection: Connection,
    progress: &InProgress,
    silence: &mut SilenceWatch<'_>,
) -> Result<(Response<Incoming>, Connection), AttemptError> {
    connection.begin_exchange();
    let server = progress.server();
    let received = {
        let is_withheld = || server_reports::is_withheld(shared, server);
        let mut stalled = pin!(delivery::stalled(
            &connection.stream,
            request.body.len(),
            is_withheld
        ));
        let mut response = pin!(connection.sender.try_send_request(req));
        loop {
            let waited = read_timeout::until(read_deadline(request), response.as_mut());
            let received = tokio::select! {
                received = waited => received,
                () = &mut stalled => {
                    // They may be cut off as well, and a new connection shows that within a shorter time.
                    connection::close_idle(server);
                    let detail = "the server does not acknowledge the request";
                    return Err(AttemptError::new(AttemptFailure::CutOff, &detail));
                }
            };
            match received {
                Some(received) => break received,
                None if silence.waits_on(progress) => {}
                None => {
                    let detail = "no response head in time";
                    return Err(AttemptError::new(AttemptFailure::Silent, &detail));
                }
            }
        }
    };
    received.map(|res| (res, connection)).map_err(|error| {
        // hyper returns the request if it has sent nothing of it.
        if error.message().is_some() {
            AttemptError::new(AttemptFailure::NotSent, &with_causes(error.error()))
        } else {
            AttemptError::of_connection(error.error())
        }
    })
}

/// Returns the time by which the server must send something.
///
/// For idempotent requests it is early enough to send them to another server; without one, the server may take longer.
pub(crate) fn read_deadline(request: &RoutedRequest) -> Instant {
    if !request.route.is_idempotent() || request.route.max_servers < 2 {
        return request.deadline;
    }
    let timeout = (request.route.target_latency * READ_TIMEOUT_FACTOR).max(MIN_READ_TIMEOUT);
    request.deadline.min(Instant::now() + timeout)
}
