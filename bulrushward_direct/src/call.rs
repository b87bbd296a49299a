//! HTTP calls to the store and to peers, each on a new connection.
//!
//! A new connection costs a round trip, but cannot die unnoticed between calls.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::response_progress::{MIN_RATE, ResponseLimits, ResponseProgress};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, sleep_until},
};

use crate::{
    bounded_stream::BoundedStream,
    buffered_body::{self, BodyError},
    delivery,
    read_timeout::CATCH_UP_TIME,
};

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
    /// The response is larger than is read.
    #[snafu(display(
        "the response of {len} bytes or more from {address} is longer than {limit} bytes"
    ))]
    TooLarge {
        /// Address.
        address: SocketAddr,
        /// Bytes that it has at least.
        len: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The peer did not acknowledge the call, which may have been executed nevertheless.
    #[snafu(display("{address} did not acknowledge the call"))]
    CutOff {
        /// Address.
        address: SocketAddr,
    },
    /// The response did not begin in time, or too little of it arrived.
    #[snafu(display("no response from {address} for {} ms", waited.as_millis()))]
    Timeout {
        /// Address.
        address: SocketAddr,
        /// Time since the call was sent.
        waited: Duration,
    },
}

/// Is called when the first content of a response arrives.
pub type OnResponse<'a> = &'a (dyn Fn() + Send + Sync);

/// Does nothing when a response arrives.
pub const UNOBSERVED: OnResponse<'static> = &|| ();

/// How a call is made.
#[derive(Clone, Copy)]
pub struct CallOptions<'a> {
    /// Time limits.
    pub limits: ResponseLimits,
    /// Largest response that is read, in bytes.
    pub max_bytes: usize,
    /// Observer of the response.
    pub on_response: OnResponse<'a>,
}

impl fmt::Debug for CallOptions<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallOptions")
            .field("limits", &self.limits)
            .field("max_bytes", &self.max_bytes)
            .finish_non_exhaustive()
    }
}

impl<L: Into<ResponseLimits>> From<L> for CallOptions<'_> {
    fn from(limits: L) -> Self {
        Self {
            limits: limits.into(),
            max_bytes: MAX_RESPONSE_BYTES,
            on_response: UNOBSERVED,
        }
    }
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

/// Sends a GET request for `path` to `address`.
///
/// # Errors
///
/// Returns [`CallError`] if no complete response arrived within the limits.
pub async fn get(
    address: SocketAddr,
    path: &str,
    options: impl Into<CallOptions<'_>>,
) -> Result<Response<Bytes>, CallError> {
    let req = Request::get(path).body(Full::default());
    within_limits(options.into(), address, req).await
}

/// Sends a POST request with JSON for `path` to `address`; the response may take longer by the time of the upload.
///
/// # Errors
///
/// Returns [`CallError`] if no complete response arrived within the limits; the call may have been executed nevertheless.
pub async fn post(
    address: SocketAddr,
    path: &str,
    json: Vec<u8>,
    limits: impl Into<ResponseLimits>,
) -> Result<Response<Bytes>, CallError> {
    let mut limits = limits.into();
    limits.first += Duration::from_secs_f64(json.len() as f64 / MIN_RATE);
    let req = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(json.into()));
    within_limits(limits.into(), address, req).await
}

async fn within_limits(
    options: CallOptions<'_>,
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<Response<Bytes>, CallError> {
    let sent = Instant::now();
    let progress = Mutex::new(ResponseProgress::new(options.limits, sent));
    let lock = || progress.lock().unwrap_or_else(PoisonError::into_inner);
    // The first content may bring the deadline forward.
    let begun = Notify::new();
    let record_content = |bytes| {
        let is_first = lock().record(bytes, Instant::now());
        if is_first {
            begun.notify_one();
            (options.on_response)();
        }
    };
    let given_up = async {
        loop {
            let deadline = lock().deadline();
            tokio::select! {
                () = begun.notified() => continue,
                () = sleep_until(deadline.into()) => {}
            }
            // After a pause of the process, timers may fire before sockets are read.
            sleep(CATCH_UP_TIME).await;
            if lock().deadline() == deadline {
                return;
            }
        }
    };
    tokio::select! {
        response = send(address, req, options.max_bytes, record_content) => response,
        () = given_up => TimeoutSnafu { address, waited: sent.elapsed() }.fail(),
    }
}

async fn send(
    address: SocketAddr,
    req: Result<Request<Full<Bytes>>, hyper::http::Error>,
    max_bytes: usize,
    record_content: impl Fn(usize),
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
        let record_chunk = |len| {
            handle.allowance().record_content(len);
            record_content(len);
        };
        let body = buffered_body::collect(body, max_bytes, |_bytes| true, record_chunk);
        let body = body.await.map_err(|error| match error {
            BodyError::TooLarge { len, limit } => CallError::TooLarge {
                address,
                len,
                limit,
            },
            error => response_error(&error),
        })?;
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
