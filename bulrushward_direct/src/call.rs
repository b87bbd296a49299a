//! One HTTP call on a connection of its own, for the store and for peers.
//!
//! A connection for each call costs a round trip and never goes silent unnoticed between calls.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Largest answer that is read, in bytes: a configuration of a megabyte in text encoding, or a page of
/// entries.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a call had no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be made.
    #[snafu(display("no connection to {address}: {detail}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// No whole answer came.
    #[snafu(display("no whole answer of {address}: {detail}"))]
    Response {
        /// Address.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// The time was over.
    #[snafu(display("no answer of {address} within {} ms", limit.as_millis()))]
    Timeout {
        /// Address.
        address: SocketAddr,
        /// Time that was allowed.
        limit: Duration,
    },
}

/// Time after which sent bytes must be acknowledged, and idle time before probes of the system; a waiting
/// call whose connection went silent ends after three times as long. Systems count whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes of the system that may stay unanswered.
const KEEPALIVE_PROBES: u32 = 2;

/// Lets the system probe a connection, so that one that went silent is noticed.
///
/// # Errors
///
/// Returns the error of the system.
pub(crate) fn enable_keepalive(stream: &TcpStream, interval: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(interval * KEEPALIVE_PROBES))?;
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Gets `path` from `address` within `limit`, connecting included.
///
/// # Errors
///
/// Returns [`CallError`] if no whole answer came in time.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    with_timeout(limit, address, Request::get(path).body(Full::default())).await
}

/// Posts JSON to `path` at `address` within `limit`, connecting included.
///
/// # Errors
///
/// Returns [`CallError`] if no whole answer came in time; the call may have been executed nevertheless.
pub async fn post(
    address: SocketAddr,
    path: &str,
    json: Vec<u8>,
    limit: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let req = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(json.into()));
    with_timeout(limit, address, req).await
}

async fn with_timeout(
    limit: Duration,
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<(StatusCode, Bytes), CallError> {
    match timeout(limit, send(address, req)).await {
        Ok(response) => response,
        Err(_elapsed) => TimeoutSnafu { address, limit }.fail(),
    }
}

async fn send(
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<(StatusCode, Bytes), CallError> {
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
    enable_keepalive(&stream, KEEPALIVE_INTERVAL).map_err(|error| connect_error(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| connect_error(&error))?;
    let mut req = req.map_err(|error| response_error(&error))?;
    let host =
        HeaderValue::from_str(&address.to_string()).map_err(|error| response_error(&error))?;
    req.headers_mut().insert(HOST, host);
    let exchange = async {
        let res = sender
            .send_request(req)
            .await
            .map_err(|error| response_error(&error))?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| response_error(&error))?;
        Ok((status, body.to_bytes()))
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        response = &mut exchange => response,
        // The connection ends after the answer was handed over, or without one.
        _ended = connection => exchange.await,
    }
}
