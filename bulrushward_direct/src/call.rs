//! HTTP calls to the store and to peers, each on a new connection.
//!
//! A new connection costs a round trip, but cannot die unnoticed between calls.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::{bounded_stream::BoundedStream, buffered_body, delivery};

/// Largest response that is read, in bytes: a base64-encoded configuration of a megabyte, or a page of entries.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Largest read buffer, in bytes, which bounds the head of a response too.
const MAX_BUFFER: usize = 64 << 10;

/// Reason why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("failed to connect to {address}: {detail}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// No complete response arrived.
    #[snafu(display("no complete response from {address}: {detail}"))]
    Response {
        /// Address.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// The peer did not acknowledge the call, which may have been executed nevertheless.
    #[snafu(display("{address} did not acknowledge the call"))]
    CutOff {
        /// Address.
        address: SocketAddr,
    },
    /// The time limit was reached.
    #[snafu(display("no response from {address} within {} ms", limit.as_millis()))]
    Timeout {
        /// Address.
        address: SocketAddr,
        /// Time limit.
        limit: Duration,
    },
}

/// Interval of the TCP keepalive probes, which systems count in whole seconds.
///
/// It is longer than requests wait: probes that an idle connection leaves unanswered must not end it just after a request was
/// written, as the system would not discard the request.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Keepalive probes that may stay unanswered.
const KEEPALIVE_PROBES: u32 = 2;

/// Enables TCP keepalive, so that connections to peers that are gone do not stay open forever.
///
/// Peers that do not acknowledge a request are noticed by [`delivery`]. A TCP user timeout would end connections to peers that
/// live but do not read.
///
/// # Errors
///
/// Returns the error of the operating system.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Sends a GET request for `path` to `address`; `limit` includes connecting.
///
/// # Errors
///
/// Returns [`CallError`] if no complete response arrived in time.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    with_timeout(limit, address, Request::get(path).body(Full::default())).await
}

/// Sends a POST request with JSON for `path` to `address`; `limit` includes connecting.
///
/// # Errors
///
/// Returns [`CallError`] if no complete response arrived in time; the call may have been executed nevertheless.
pub async fn post(
    address: SocketAddr,
    path: &str,
    json: Vec<u8>,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    let req = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(json.into()));
    with_timeout(limit, address, req).await
}

async fn with_timeout(
    limit: Duration,
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<Response<Bytes>, CallError> {
    match timeout(limit, send(address, req)).await {
        Ok(response) => response,
        Err(_elapsed) => TimeoutSnafu { address, limit }.fail(),
    }
}

async fn send(
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<Response<Bytes>, CallError> {
    let connect_error = |error: &dyn ToString| CallError::Connect {
        address,
        detail: error.to_string(),
    };
    let response_error = |error: &dyn ToString| CallError::Response {
        address,
        detail: error.to_string(),
    };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| connect_error(&error))?;
    enable_keepalive(&stream).map_err(|error| connect_error(&error))?;
    let (stream, handle) = BoundedStream::new(stream).map_err(|error| connect_error(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| connect_error(&error))?;
    let mut req = req.map_err(|error| response_error(&error))?;
    let host =
        HeaderValue::from_str(&address.to_string()).map_err(|error| response_error(&error))?;
    req.headers_mut().insert(HOST, host);
    handle.begin_exchange();
    let exchange = async {
        let res = sender
            .send_request(req)
            .await
            .map_err(|error| response_error(&error))?;
        let (head, body) = res.into_parts();
        handle.allowance().begin();
        let record_chunk = |len| handle.allowance().record_content(len);
        let body = buffered_body::collect(body, MAX_RESPONSE_BYTES, |_bytes| true, record_chunk);
        let body = body.await.map_err(|error| response_error(&error))?;
        handle.close_in_order();
        Ok(Response::from_parts(head, body))
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        response = &mut exchange => response,
        () = delivery::stalled(&handle, 0, || false) => CutOffSnafu { address }.fail(),
        // The connection task ends after it has passed on the response, or without one.
        _ended = connection => exchange.await,
    }
}
