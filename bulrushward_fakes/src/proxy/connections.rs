//! Open connections of a proxy.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpStream as StdTcpStream},
    os::fd::AsFd,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use super::{Direction, NetworkFault};

/// Size of the forwarding buffer, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Interval at which a connection that was closed in order is checked for a reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults of one connection; they are never cleared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionFaults {
    stalled_to_target: bool,
    stalled_from_target: bool,
    closed: bool,
}

impl ConnectionFaults {
    fn is_stalled(self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.stalled_to_target,
            Direction::FromTarget => self.stalled_from_target,
        }
    }
}

/// Order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseOrder {
    OldestFirst,
    NewestFirst,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    faults: watch::Sender<ConnectionFaults>,
    /// Second handle of the socket to the caller.
    caller: StdTcpStream,
}

/// The open connections of a proxy.
#[derive(Debug)]
pub(crate) struct Connections {
    /// By the number of connections that were accepted before.
    by_number: Mutex<BTreeMap<u64, Connection>>,
    open: watch::Sender<usize>,
    accepted: AtomicU64,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            by_number: Mutex::default(),
            open: watch::Sender::new(0),
            accepted: AtomicU64::new(0),
        }
    }
}

impl Connections {
    /// Runs a connection of a caller in its own task.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no file descriptor for a second handle of the socket.
    pub(crate) fn spawn<F, R>(self: &Arc<Self>, caller: TcpStream, run: F) -> io::Result<()>
    where
        F: FnOnce(TcpStream, watch::Receiver<ConnectionFaults>) -> R,
        R: Future<Output = io::Result<()>> + Send + 'static,
    {
        let handle = StdTcpStream::from(caller.as_fd().try_clone_to_owned()?);
        let tx = watch::Sender::new(ConnectionFaults::default());
        let mut close = tx.subscribe();
        let connection = run(caller, tx.subscribe());
        let key = self.accepted.fetch_add(1, Ordering::Relaxed);
        let entry = Connection {
            faults: tx,
            caller: handle,
        };
        self.lock().insert(key, entry);
        self.open.send_modify(|open| *open += 1);
        let connections = Arc::clone(self);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        tracing::debug!(%error, "connection ended with an error");
                    }
                }
                _ = close.wait_for(|faults| faults.closed) => {}
            }
            connections.lock().remove(&key);
            connections.open.send_modify(|open| *open -= 1);
        });
        Ok(())
    }

    pub(crate) fn stall(&self, direction: Direction) {
        self.update_all(|faults| match direction {
            Direction::ToTarget => faults.stalled_to_target = true,
            Direction::FromTarget => faults.stalled_from_target = true,
        });
    }

    /// Closes all connections in order (FIN), before any of their tasks runs again.
    pub(crate) fn close_all(&self, order: CloseOrder) {
        let connections = self.lock();
        let close = |connection: &Connection| {
            // An error means that the caller has closed it.
            let _closed = connection.caller.shutdown(Shutdown::Both);
        };
        match order {
            CloseOrder::OldestFirst => connections.values().for_each(close),
            CloseOrder::NewestFirst => connections.values().rev().for_each(close),
        }
        for connection in connections.values() {
            connection.faults.send_modify(|faults| faults.closed = true);
        }
    }

    pub(crate) fn open(&self) -> usize {
        *self.open.borrow()
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Waits until no connection is open.
    pub(crate) async fn wait_until_closed(&self) {
        let mut open = self.open.subscribe();
        // Cannot fail: `self` holds the sender.
        drop(open.wait_for(|open| *open == 0).await);
    }

    fn update_all(&self, change: impl Fn(&mut ConnectionFaults)) {
        for connection in self.lock().values() {
            connection.faults.send_modify(&change);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.by_number
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forwards bytes between a caller and the target until the target closes its side.
pub(crate) async fn relay(
    caller: TcpStream,
    target: SocketAddr,
    network_fault: watch::Receiver<NetworkFault>,
    connection_faults: watch::Receiver<ConnectionFaults>,
) -> io::Result<()> {
    let target = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (caller_rx, caller_tx) = caller.into_split();
    let (target_rx, target_tx) = target.into_split();
    let gate = |direction| Gate {
        direction,
        network_fault: network_fault.clone(),
        connection_faults: connection_faults.clone(),
    };
    let to_target = forward(caller_rx, target_tx, gate(Direction::ToTarget));
    let from_target = forward(target_rx, caller_tx, gate(Direction::FromTarget));
    tokio::pin!(from_target);
    tokio::select! {
        ended = &mut from_target => ended.map(drop),
        // After the caller has closed its side, the target may keep sending until it closes too.
        sent = to_target => {
            let _halves = sent?;
            from_target.await.map(drop)
        }
    }
}

/// Waits until the peer resets a connection.
///
/// # Errors
///
/// Returns the error of the reset.
async fn wait_for_reset(from: &OwnedReadHalf) -> io::Result<()> {
    loop {
        from.ready(Interest::ERROR).await?;
        if let Some(error) = from.as_ref().take_error()? {
            return Err(error);
        }
        // A close in order is reported as well.
        tokio::time::sleep(RESET_POLL_INTERVAL).await;
    }
}

/// Applies the current faults to the bytes of one direction.
struct Gate {
    direction: Direction,
    network_fault: watch::Receiver<NetworkFault>,
    connection_faults: watch::Receiver<ConnectionFaults>,
}

impl Gate {
    /// Waits until bytes may be forwarded; forever if the connection is stalled.
    async fn wait(&mut self) -> io::Result<()> {
        let delay = self.network_fault.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.network_fault
            .wait_for(|fault| !fault.hang && fault.hold != Some(self.direction))
            .await
            .map_err(io::Error::other)?;
        if self.connection_faults.borrow().is_stalled(self.direction) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

/// Forwards bytes in one direction until end of file; returns both halves, with `to` shut down.
///
/// A reset discards what is held back, and reaches the other side once the gate is open.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut gate: Gate,
) -> io::Result<(OwnedReadHalf, OwnedWriteHalf)> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buf).await;
        let passed = tokio::select! {
            passed = gate.wait() => passed.and(read),
            reset = wait_for_reset(&from) => reset.and(read),
        };
        let count = match passed {
            Ok(count) => count,
            Err(error) => {
                gate.wait().await?;
                to.as_ref().set_zero_linger()?;
                return Err(error);
            }
        };
        if count == 0 {
            to.shutdown().await?;
            return Ok((from, to));
        }
        to.write_all(&buf[..count]).await?;
    }
}
