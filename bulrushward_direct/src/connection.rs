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

use crate::{call::probe_silence, servers::Server};

/// Time for a new connection; a lost opening packet would be sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which sent bytes must be acknowledged, and idle time before probes of the system.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept where the server names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(2);
/// Share of the server's own idle time after which a connection is not used again, as the server may
/// close it while the next request is on its way.
const KEEP_SHARE: f64 = 0.5;
/// Idle connections to one server that are kept.
const MAX_IDLE: usize = 16;
/// Buffer of one connection in bytes; the smallest that the library allows.
const MIN_BUFFER: usize = 8 << 10;

/// A connection that carries one request at a time; closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    _place: Place,
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
struct Place {
    taken: Arc<AtomicU32>,
}

impl Place {
    /// Takes a place before the connection is made, so that no more are made at the same time.
    fn take(server: &Server, share: u32) -> Option<Self> {
        let taken = Arc::clone(&server.connections);
        let is_free = |taken: u32| (taken < share).then_some(taken + 1);
        let took = taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_free);
        // Made only if it was taken, as dropping it gives it back.
        took.is_ok().then(|| Self { taken })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// All connections that this router may have are in use.
    #[snafu(display("{share} connections are in use"))]
    Crowded { share: u32 },
    /// The server could not be reached in time.
    #[snafu(display("{source}"))]
    Unreachable { source: io::Error },
}

/// Closes a connection at a time, also while nobody reads from it.
#[derive(Debug)]
pub(crate) struct Expiry {
    timer: AbortHandle,
}

impl Expiry {
    /// Closes a connection at a time unless this is dropped before.
    pub(crate) fn new(connection: &Connection, at: Instant) -> Self {
        let connection = connection.task.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(at.into()).await;
            connection.abort();
        });
        Self {
            timer: timer.abort_handle(),
        }
    }
}

impl Drop for Expiry {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// A connection without a request.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Takes an idle connection, or opens one of the `share` that this router may have.
///
/// # Errors
///
/// Returns [`ConnectError`] if all are in use or none can be made in time.
pub(crate) async fn take(server: &Server, share: u32) -> Result<Connection, ConnectError> {
    if let Some(connection) = take_idle(server) {
        return Ok(connection);
    }
    let place = Place::take(server, share).context(CrowdedSnafu { share })?;
    match timeout(CONNECT_TIMEOUT, open(server, place)).await {
        Ok(opened) => opened,
        Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
    }
    .context(UnreachableSnafu)
}

fn take_idle(server: &Server) -> Option<Connection> {
    let now = Instant::now();
    let mut state = server.state();
    while let Some(idle) = state.idle.pop() {
        if now < idle.until && idle.connection.sender.is_ready() {
            return Some(idle.connection);
        }
    }
    None
}

/// Keeps a connection whose answer is whole for the next request.
pub(crate) fn give_back(server: &Server, mut connection: Connection, keeps: Option<Duration>) {
    if connection.sender.is_closed() {
        return;
    }
    connection.is_reused = true;
    let keep = keeps.map_or(DEFAULT_KEEP, |time| time.mul_f64(KEEP_SHARE));
    let until = Instant::now() + keep;
    let mut state = server.state();
    if state.idle.len() >= MAX_IDLE {
        state.idle.remove(0);
    }
    state.idle.push(IdleConnection { connection, until });
}

/// Closes the idle connections that are kept no longer.
pub(crate) fn drop_expired(server: &Server, now: Instant) {
    server.state().idle.retain(|idle| now < idle.until);
}

async fn open(server: &Server, place: Place) -> io::Result<Connection> {
    let stream = TcpStream::connect(server.record.address).await?;
    stream.set_nodelay(true)?;
    probe_silence(&stream, SILENCE)?;
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
        _place: place,
        is_reused: false,
    })
}
