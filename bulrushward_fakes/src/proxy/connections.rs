//! Relayed connections.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use slab::Slab;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use super::{Direction, NetworkFault};

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What one connection was told to do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionFaults {
    stalled_to_target: bool,
    stalled_from_target: bool,
    cut: bool,
}

impl ConnectionFaults {
    fn is_stalled(self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.stalled_to_target,
            Direction::FromTarget => self.stalled_from_target,
        }
    }
}

/// The open connections of a relay.
#[derive(Debug)]
pub(crate) struct Connections {
    faults: Mutex<Slab<watch::Sender<ConnectionFaults>>>,
    open: watch::Sender<usize>,
    accepted: AtomicU64,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            faults: Mutex::default(),
            open: watch::Sender::new(0),
            accepted: AtomicU64::new(0),
        }
    }
}

impl Connections {
    /// Runs a connection in a task of its own.
    pub(crate) fn start<F, R>(self: &Arc<Self>, run: F)
    where
        F: FnOnce(watch::Receiver<ConnectionFaults>) -> R,
        R: Future<Output = io::Result<()>> + Send + 'static,
    {
        let tx = watch::Sender::new(ConnectionFaults::default());
        let mut cut = tx.subscribe();
        let connection = run(tx.subscribe());
        let key = self.lock().insert(tx);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.open.send_modify(|open| *open += 1);
        let connections = Arc::clone(self);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        tracing::debug!(%error, "connection ended");
                    }
                }
                _ = cut.wait_for(|faults| faults.cut) => {}
            }
            connections.lock().remove(key);
            connections.open.send_modify(|open| *open -= 1);
        });
    }

    pub(crate) fn stall(&self, direction: Direction) {
        self.update_all(|faults| match direction {
            Direction::ToTarget => faults.stalled_to_target = true,
            Direction::FromTarget => faults.stalled_from_target = true,
        });
    }

    pub(crate) fn close_connections(&self) {
        self.update_all(|faults| faults.cut = true);
    }

    pub(crate) fn open(&self) -> usize {
        *self.open.borrow()
    }

    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns when no connection is open.
    pub(crate) async fn ended(&self) {
        let mut open = self.open.subscribe();
        // The sender lives as long as `self`.
        drop(open.wait_for(|open| *open == 0).await);
    }

    fn update_all(&self, change: impl Fn(&mut ConnectionFaults)) {
        for (_, link) in self.lock().iter() {
            link.send_modify(&change);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slab<watch::Sender<ConnectionFaults>>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Passes bytes between a caller and the target until the target has sent all.
pub(crate) async fn relay(
    caller: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<NetworkFault>,
    faults: watch::Receiver<ConnectionFaults>,
) -> io::Result<()> {
    let target = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (caller_rx, caller_tx) = caller.into_split();
    let (target_rx, target_tx) = target.into_split();
    let gate = |direction| Gate {
        direction,
        fault: fault.clone(),
        faults: faults.clone(),
    };
    let to_target = pass(caller_rx, target_tx, gate(Direction::ToTarget));
    let from_target = pass(target_rx, caller_tx, gate(Direction::FromTarget));
    tokio::pin!(from_target);
    tokio::select! {
        ended = &mut from_target => ended.map(drop),
        // The target closes when its caller has gone, or goes on sending to it.
        sent = to_target => {
            let _open = sent?;
            from_target.await.map(drop)
        }
    }
}

/// What holds back the bytes of one direction.
struct Gate {
    direction: Direction,
    fault: watch::Receiver<NetworkFault>,
    faults: watch::Receiver<ConnectionFaults>,
}

impl Gate {
    /// Waits until bytes may pass; forever if the connection is silent.
    async fn wait(&mut self) -> io::Result<()> {
        let delay = self.fault.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        self.fault
            .wait_for(|fault| !fault.hang)
            .await
            .map_err(io::Error::other)?;
        if self.faults.borrow().is_stalled(self.direction) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

/// Passes bytes in one direction until their end; returns the closed ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut gate: Gate,
) -> io::Result<(OwnedReadHalf, OwnedWriteHalf)> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        gate.wait().await?;
        if count == 0 {
            to.shutdown().await?;
            return Ok((from, to));
        }
        to.write_all(&buf[..count]).await?;
    }
}
