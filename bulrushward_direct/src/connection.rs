//! Connections to backend servers: made, kept while idle, and closed to cancel their request.

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

use crate::{call::enable_keepalive, servers::Server};

/// Time for a new connection; a lost opening packet would be sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which sent bytes must be acknowledged, and idle time before probes of the system.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept where the server names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the server's own idle time after which a connection is not used again, as the server may
/// close it while the next request is on its way.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Idle connections to one server that are kept.
const MAX_IDLE: usize = 16;
/// Buffer of one connection in bytes; the smallest that the library allows.
const MIN_BUFFER: usize = 8 << 10;

/// A connection that carries one request at a time; closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    _permit: ConnectionPermit,
    /// Whether it served a request before.
    pub(crate) is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One of the connections that this router may have to a server.
#[derive(Debug)]
struct ConnectionPermit {
    in_use: Arc<AtomicU32>,
}

impl ConnectionPermit {
    /// Takes a place before the connection is made, so that no more are made at the same time.
    fn acquire(server: &Server, share: u32) -> Option<Self> {
        let in_use = Arc::clone(&server.connections);
        let is_free = |in_use: u32| (in_use < share).then_some(in_use + 1);
        let acquired = in_use.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_free);
        // Made only if it was taken, as dropping it gives it back.
        acquired.is_ok().then(|| Self { in_use })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// All connections that this router may have are in use.
    #[snafu(display("{share} connections are in use"))]
    LimitReached { share: u32 },
    /// The server could not be reached in time.
    #[snafu(display("{source}"))]
    Unreachable { source: io::Error },
}

/// Closes a connection at a time, also while nobody reads from it.
#[derive(Debug)]
pub(crate) struct CloseTimer {
    timer: AbortHandle,
}

impl CloseTimer {
    /// Closes a connection at a time unless this is dropped before.
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

/// A connection without a request.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Takes an idle connection, or opens one of the `share` that this router may have.
///
/// # Errors
///
/// Returns [`ConnectError`] if all are in use or none can be made in time.
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

/// Keeps a connection whose answer is whole for the next request.
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

/// Closes the idle connections that are kept no longer.
pub(crate) fn close_expired(server: &Server, now: Instant) {
    server.state().idle.retain(|idle| now < idle.usable_until);
}

async fn open(server: &Server, permit: ConnectionPermit) -> io::Result<Connection> {
    let stream = TcpStream::connect(server.record.address).await?;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream, PROBE_INTERVAL)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MIN_BUFFER * 8)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // How a connection ended is told to the request that it carried.
        let _ended = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        _permit: permit,
        is_reused: false,
    })
}
