//! Listeners for callers and for internal requests such as readiness probes and metrics.

use std::{convert::Infallible, io, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use crate::{
    lingering_stream::LingeringStream,
    local_response::{self, Body, LocalResponse, Reason},
    model::CallerLimits,
    request_handler,
    shared::Shared,
    supervision::record_panic,
    unframed_body,
};

/// Pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for reading the beginning of a request that has arrived before its connection is closed as unused.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// Smallest buffer of a caller's connection, in bytes, as required by hyper.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Serves callers until `close` is cancelled and all of their requests are completed.
///
/// Once `drain` is cancelled, each connection closes after its current request. Connections accepted from then on have
/// until `close` is cancelled to begin their only request.
pub(crate) async fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    drain: CancellationToken,
    close: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => {
                    // Connections accepted while draining have keep-alive disabled and close after one request.
                    let is_draining = drain.is_cancelled();
                    let close_unused = if is_draining { &close } else { &drain };
                    connections.spawn(serve_caller(
                        Arc::clone(&shared),
                        stream,
                        !is_draining,
                        close_unused.clone(),
                    ));
                }
                Err(error) => log_and_wait(&error).await,
            },
            Some(ended) = connections.join_next(), if !connections.is_empty() => {
                if let Err(error) = ended && let Ok(panic) = error.try_into_panic() {
                    record_panic("caller-connection", &shared, panic.as_ref());
                }
            }
            () = close.cancelled() => break,
        }
    }
    for stream in accept_queued(&listener) {
        // Each has until its request is read; one that has not arrived yet closes the connection in order.
        connections.spawn(serve_caller(
            Arc::clone(&shared),
            stream,
            false,
            close.clone(),
        ));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Returns the connections that wait to be accepted, which a listener would reset when it is closed.
fn accept_queued(listener: &TcpListener) -> Vec<TcpStream> {
    let socket = SockRef::from(listener);
    // Handshakes that are complete from now on would be reset; without room for them callers wait, or go elsewhere.
    if let Err(error) = socket.listen(0) {
        debug!(event = "accept-failed", %error);
    }
    let mut streams = Vec::new();
    while let Ok((stream, _peer)) = socket.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream.into()));
        match stream {
            Ok(stream) => streams.push(stream),
            Err(error) => debug!(event = "accept-failed", %error),
        }
    }
    streams
}

/// Returns the response to a request of a caller, also after an unexpected error.
async fn respond(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let response = request_handler::serve(Arc::clone(&shared), req);
    match AssertUnwindSafe(response).catch_unwind().await {
        Ok(response) => response,
        Err(panic) => {
            record_panic("request", &shared, panic.as_ref());
            LocalResponse::unknown(Reason::UnexpectedError).http_response()
        }
    }
}

async fn log_and_wait(error: &io::Error) {
    warn!(event = "accept-failed", %error);
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

/// Serves the requests of a connection; once `close_unused` is cancelled, it closes after its current request.
async fn serve_caller(
    shared: Arc<Shared>,
    stream: TcpStream,
    keep_alive: bool,
    close_unused: CancellationToken,
) {
    let limits = shared
        .routes
        .load()
        .as_ref()
        .map_or_else(CallerLimits::default, |table| table.config().limits);
    // `TCP_NODELAY` is also set on the listening socket, but not every system lets accepted connections inherit
    // it. Without it, events would be delayed.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = "nodelay-failed", %error);
    }
    let (stream, close) = LingeringStream::new(stream);
    let service = service_fn(move |req: Request<Incoming>| {
        let (shared, close) = (Arc::clone(&shared), close.clone());
        async move {
            let version = req.version();
            let response = respond(shared, req).await;
            Ok::<_, Infallible>(unframed_body::guard_end(response, version, close))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(keep_alive)
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER))
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        // A request that has already arrived is read first.
        biased;
        ended = connection.as_mut() => ended,
        () = close_unused.cancelled() => {
            // A socket that was accepted just now is not known to be readable before the next turn of the runtime.
            match timeout(LAST_READ_TIME, connection.as_mut()).await {
                Ok(ended) => ended,
                Err(_elapsed) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = ended {
        debug!(event = "caller-connection-ended", %error);
    }
}

/// Serves requests of the platform, the operators or peers until `close` is cancelled.
///
/// `respond` returns the response for the path of a request.
pub(crate) async fn serve_internal<F, R>(
    listener: &TcpListener,
    close: CancellationToken,
    respond: F,
) where
    F: Fn(String) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => stream,
                Err(error) => {
                    log_and_wait(&error).await;
                    continue;
                }
            },
            () = close.cancelled() => return,
        };
        let respond = respond.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let response = respond(req.uri().path().to_owned());
            async move { Ok::<_, Infallible>(response.await) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CallerLimits::default().idle)
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(event = "internal-connection-ended", %error);
            }
        });
    }
}

/// Returns a response with a complete body.
pub(crate) fn plain_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: Bytes,
) -> Response<Body> {
    let mut res = Response::new(local_response::full_body(bytes));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
