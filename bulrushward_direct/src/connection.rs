//! Connections to backend servers: opened, kept while idle, and closed to cancel their request.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    bounded_stream::{BoundedStream, BoundedStreamHandle},
    call::enable_keepalive,
    servers::Server,
};

/// Time limit for opening a connection; TCP resends a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of the TCP keepalive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept if the server does not announce its own idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the server's idle timeout after which a connection is not used again.
///
/// Close to the timeout the server may close the connection while the next request is on its way.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Largest number of idle connections that are kept to one server.
const MAX_IDLE: usize = 16;
/// Smallest buffer of a connection, in bytes, as required by hyper; connections use eight times as much.
const MIN_BUFFER: usize = 8 << 10;

/// A connection that carries one request at a time and closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    pub(crate) stream: BoundedStreamHandle,
    _permit: ConnectionPermit,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Permit for one of the connections that this router may have to a server.
#[derive(Debug)]
struct ConnectionPermit {
    in_use: Arc<AtomicU32>,
}

impl ConnectionPermit {
    /// Acquires a permit before the connection is opened, so that concurrent attempts stay within the limit.
    fn acquire(server: &Server, share: u32) -> Option<Self> {
        let in_use = Arc::clone(&server.connections);
        let is_free = |in_use: u32| (in_use < share).then_some(in_use + 1);
        let acquired = in_use.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_free);
        // Constructed only if it was acquired, as dropping a permit releases it.
        acquired.is_ok().then(|| Self { in_use })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reason why no connection was acquired.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// All connections that this router may have are in use.
    #[snafu(display("all {share} connections are in use"))]
    LimitReached { share: u32 },
    /// The server could not be reached in time.
    #[snafu(display("{source}"))]
    Unreachable { source: io::Error },
}

/// Timer that closes a connection at a deadline, even if nothing reads from it.
#[derive(Debug)]
pub(crate) struct CloseTimer {
    timer: AbortHandle,
}

impl CloseTimer {
    /// Starts a timer that closes `connection` at `deadline` unless the timer is dropped before.
    pub(crate) fn new(connection: &Connection, deadline: Instant) -> Self {
        let connection = connection.task.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(deadline.into()).await;
            connection.abort();
        });
        Self {
            timer: timer.abort_handle(),
        }
    }
}

impl Drop for CloseTimer {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// A connection that carries no request.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Returns an idle connection, or opens a new one within this router's `share`.
///
/// # Errors
///
/// Returns [`ConnectError`] if all connections are in use or none can be opened in time.
pub(crate) async fn acquire(server: &Server, share: u32) -> Result<Connection, ConnectError> {
    if let Some(connection) = acquire_idle(server) {
        return Ok(connection);
    }
    let permit = ConnectionPermit::acquire(server, share).context(LimitReachedSnafu { share })?;
    match timeout(CONNECT_TIMEOUT, open(server, permit)).await {
        Ok(opened) => opened,
        Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
    }
    .context(UnreachableSnafu)
}

fn acquire_idle(server: &Server) -> Option<Connection> {
    let now = Instant::now();
    let mut state = server.state();
    while let Some(idle) = state.idle.pop() {
        if now < idle.usable_until && idle.connection.sender.is_ready() {
            return Some(idle.connection);
        }
    }
    None
}

/// Keeps a connection whose response is complete for the next request.
pub(crate) fn release(
    server: &Server,
    mut connection: Connection,
    keep_alive_timeout: Option<Duration>,
) {
    if connection.sender.is_closed() {
        return;
    }
    connection.is_reused = true;
    let idle_timeout = keep_alive_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
        time.mul_f64(IDLE_TIMEOUT_FRACTION)
    });
    let usable_until = Instant::now() + idle_timeout;
    let mut state = server.state();
    if state.idle.len() >= MAX_IDLE {
        state.idle.remove(0);
    }
    state.idle.push(IdleConnection {
        connection,
        usable_until,
    });
}

/// Closes the idle connections that have expired.
pub(crate) fn close_expired(server: &Server, now: Instant) {
    server.state().idle.retain(|idle| now < idle.usable_until);
}

async fn open(server: &Server, permit: ConnectionPermit) -> io::Result<Connection> {
    let stream = TcpStream::connect(server.record.address).await?;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream, PROBE_INTERVAL)?;
    let (stream, handle) = BoundedStream::new(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MIN_BUFFER * 8)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The request on the connection receives the error as well.
        let _ended = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        stream: handle,
        _permit: permit,
        is_reused: false,
    })
}
