//! Connections to backend servers: opened, kept while idle, and reset to give up their request.

use std::{
    collections::VecDeque,
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_policy::delivery::{Close, RequestCycle};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    net::TcpStream,
    task::{AbortHandle, yield_now},
    time::timeout,
};
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    bounded_stream::{BoundedStream, BoundedStreamHandle},
    call::enable_keepalive,
    model::ServerId,
    servers::Server,
};

/// Time limit for opening a connection; TCP resends a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which an idle connection is kept if the server does not announce its own idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest idle timeout of a server that is relied on.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Fraction of the server's idle timeout after which a connection is not used again.
///
/// Close to the timeout the server may close the connection while the next request is in transit.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Largest number of idle connections that are kept to one server.
const MAX_IDLE: usize = 16;
/// Number of requests on a connection whose late responses are distinguished from those of later requests.
const MAX_CARRIED: usize = 32;
/// Smallest buffer of a connection, in bytes, as required by hyper; connections use eight times as much.
const MIN_BUFFER: usize = 8 << 10;

/// A connection that carries one request at a time.
///
/// Dropping it gives up a request that has no complete response: the connection is reset, so that the server gets nothing
/// of it later.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Time before which the server has not accepted it.
    pub(crate) opened: Instant,
    task: AbortHandle,
    server: ServerId,
    cycle: RequestCycle,
    pub(crate) stream: BoundedStreamHandle,
    _permit: ConnectionPermit,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    /// Whether its latest request had an id; a late copy of a response without one would fail the next request.
    has_id: bool,
    /// Hashes of the ids of the latest requests that it has carried, the latest last.
    carried: VecDeque<u64>,
}

impl Connection {
    /// Returns whether the next request may be sent and nothing has arrived that belongs to no request.
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }

    /// Records that a request is about to be sent.
    pub(crate) fn begin_exchange(&mut self) {
        self.cycle.begin();
        self.stream.begin_exchange();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.cycle.close() == Close::InOrder {
            self.stream.close_in_order();
        } else if let Ok(queue) = self.stream.send_queue()
            && queue.unacknowledged > 0
        {
            let (server, unacknowledged) = (&self.server, queue.unacknowledged);
            info!(event = "request-taken-back", server, unacknowledged);
        }
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

impl ConnectError {
    /// Returns whether the server's machine answered that no process listens.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Unreachable { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
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
/// A late response to an earlier request is recognised by its id, so a request without an id, or with that of an earlier one,
/// gets a new connection.
///
/// # Errors
///
/// Returns [`ConnectError`] if all connections are in use or none can be opened in time.
pub(crate) async fn acquire(
    server: &Server,
    share: u32,
    request_id: &str,
) -> Result<Connection, ConnectError> {
    let id = xxh3_64(request_id.as_bytes());
    let idle = (!request_id.is_empty())
        .then(|| acquire_idle(server, id))
        .flatten();
    let mut connection = match idle {
        Some(connection) => connection,
        None => acquire_new(server, share).await?,
    };
    connection.has_id = !request_id.is_empty();
    if connection.carried.len() >= MAX_CARRIED {
        connection.carried.pop_front();
    }
    connection.carried.push_back(id);
    Ok(connection)
}

async fn acquire_new(server: &Server, share: u32) -> Result<Connection, ConnectError> {
    let mut permit = ConnectionPermit::acquire(server, share);
    if permit.is_none() {
        // An idle connection that does not suit the request makes room for one that does.
        let idle = server.state().idle.pop();
        drop(idle);
        permit = ConnectionPermit::acquire(server, share);
    }
    if permit.is_none() && evict_unused(server) {
        // The connection is closed by its task, which runs first.
        yield_now().await;
        permit = ConnectionPermit::acquire(server, share);
    }
    let permit = permit.context(LimitReachedSnafu { share })?;
    match timeout(CONNECT_TIMEOUT, open(server, permit)).await {
        Ok(opened) => opened,
        Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
    }
    .context(UnreachableSnafu)
}

/// What came of opening a connection to a server to see whether it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    Reached,
    /// The server's machine answered that no process listens.
    Refused,
    /// Nothing answered, as if the server was cut off.
    Unanswered,
}

/// Opens a connection to the server, which is closed at once.
///
/// Returns `None` if all of this router's `share` of the connections are in use.
pub(crate) async fn probe(server: &Server, share: u32) -> Option<Reachability> {
    let _permit = ConnectionPermit::acquire(server, share)?;
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(server.record.address)).await;
    Some(match opened {
        Ok(Ok(_connection)) => Reachability::Reached,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Reachability::Refused,
        Ok(Err(_)) | Err(_) => Reachability::Unanswered,
    })
}

/// A connection on which nothing is sent, and which makes room for requests.
#[derive(Debug)]
pub(crate) struct UnusedConnection {
    stream: TcpStream,
    evicted: CancellationToken,
    /// Cancels the token that the server's state holds.
    _registered: DropGuard,
    _permit: ConnectionPermit,
}

/// Why an unused connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnusedEnd {
    /// The server closed it, or sent bytes without a request.
    Closed,
    /// A request needs its place.
    Evicted,
}

impl UnusedConnection {
    /// Waits until the connection has to be dropped.
    pub(crate) async fn ended(&self) -> UnusedEnd {
        tokio::select! {
            _readable = self.stream.readable() => UnusedEnd::Closed,
            () = self.evicted.cancelled() => UnusedEnd::Evicted,
        }
    }
}

/// Opens a connection on which nothing is sent, unless it would be the last one of this router's `share`.
///
/// # Errors
///
/// Returns [`ConnectError`] if no connection may or can be opened.
pub(crate) async fn open_unused(
    server: &Server,
    share: u32,
) -> Result<UnusedConnection, ConnectError> {
    let permit = ConnectionPermit::acquire(server, share.saturating_sub(1));
    let permit = permit.context(LimitReachedSnafu { share })?;
    let evicted = CancellationToken::new();
    let registered = evicted.clone().drop_guard();
    server.state().add_unused(evicted.clone());
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(server.record.address));
    let opened = tokio::select! {
        opened = opened => opened.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into())),
        () = evicted.cancelled() => return LimitReachedSnafu { share }.fail(),
    };
    let stream = opened.context(UnreachableSnafu)?;
    Ok(UnusedConnection {
        stream,
        evicted,
        _registered: registered,
        _permit: permit,
    })
}

/// Has an unused connection closed; returns whether there was one.
fn evict_unused(server: &Server) -> bool {
    let unused = server.state().take_unused();
    unused.is_some_and(|unused| {
        unused.cancel();
        true
    })
}

fn acquire_idle(server: &Server, id: u64) -> Option<Connection> {
    let now = Instant::now();
    let mut state = server.state();
    let suits = |idle: &IdleConnection| !idle.connection.carried.contains(&id);
    while let Some(index) = state.idle.iter().rposition(suits) {
        let idle = state.idle.remove(index);
        if now < idle.usable_until && idle.connection.is_usable() {
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
    connection.cycle.complete();
    if connection.sender.is_closed() || !connection.has_id {
        return;
    }
    connection.is_reused = true;
    let idle_timeout = keep_alive_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
        time.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_FRACTION)
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

/// Closes all idle connections of a server that acknowledged nothing on another one.
pub(crate) fn close_idle(server: &Server) {
    let idle = std::mem::take(&mut server.state().idle);
    drop(idle);
}

/// Closes the idle connections that have expired.
pub(crate) fn close_expired(server: &Server, now: Instant) {
    server.state().idle.retain(|idle| now < idle.usable_until);
}

async fn open(server: &Server, permit: ConnectionPermit) -> io::Result<Connection> {
    let opened = Instant::now();
    let stream = TcpStream::connect(server.record.address).await?;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    let (stream, handle) = BoundedStream::new(stream)?;
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
        opened,
        task: task.abort_handle(),
        server: server.id.clone(),
        cycle: RequestCycle::default(),
        stream: handle,
        _permit: permit,
        is_reused: false,
        has_id: true,
        carried: VecDeque::new(),
    })
}
