//! TCP proxy that injects network faults between two processes.

mod connections;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::watch,
    task::JoinHandle,
};

use self::connections::{CloseOrder, Connections, relay};

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Time that open connections have to forward their last bytes before a stopping proxy closes them.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    FromTarget,
}

/// Faults of a proxy that last until they are replaced.
///
/// Bytes that are held back are delivered once the fault is cleared, unless their sender has reset the connection.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkFault {
    /// Refuses new connections.
    pub refuse: bool,
    /// Accepts connections but holds back all bytes until this is cleared.
    pub hang: bool,
    /// Holds back the bytes of one direction until this is cleared.
    pub hold: Option<Direction>,
    /// Delay of each forwarded chunk, in either direction.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
}

/// TCP proxy that can refuse, delay, stall and close connections.
///
/// Dropping it closes every connection.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    /// Reserves the port while new connections are refused.
    _reserved_port: TcpSocket,
    fault: watch::Sender<NetworkFault>,
    listening: watch::Receiver<bool>,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

impl FaultyProxy {
    /// Starts a proxy to `target` on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a proxy to `target` at the given address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let port = bind(address)?;
        let address = port.local_addr()?;
        let listener = bind(address)?.listen(BACKLOG)?;
        let fault = watch::Sender::new(NetworkFault::default());
        let connections = Arc::new(Connections::default());
        let (listening_tx, listening) = watch::channel(true);
        let acceptor = Acceptor {
            address,
            target,
            fault: fault.subscribe(),
            listening: listening_tx,
            connections: Arc::clone(&connections),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            _reserved_port: port,
            fault,
            listening,
            connections,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the current fault and returns once the listener is open or closed accordingly.
    pub async fn set_fault(&self, fault: NetworkFault) {
        self.change_fault(|current| *current = fault).await;
    }

    /// Changes a part of the current fault and returns once the listener is open or closed as the fault says by then.
    pub async fn change_fault(&self, change: impl FnOnce(&mut NetworkFault)) {
        self.fault.send_modify(change);
        let (mut fault, mut listening) = (self.fault.subscribe(), self.listening.clone());
        while fault.borrow_and_update().refuse == *listening.borrow_and_update() {
            // Another change of the fault may come before the listener has followed this one.
            let changed = tokio::select! {
                changed = listening.changed() => changed,
                changed = fault.changed() => changed,
            };
            // An error means that the acceptor has ended, so that there is nothing to wait for.
            if changed.is_err() {
                return;
            }
        }
    }

    /// Returns the current fault.
    #[must_use]
    pub fn fault(&self) -> NetworkFault {
        *self.fault.borrow()
    }

    /// Permanently stops forwarding bytes in one direction on the existing connections.
    ///
    /// New connections are not affected.
    pub fn stall(&self, direction: Direction) {
        self.connections.stall(direction);
    }

    /// Closes the existing connections in order, the newest first.
    pub fn close_connections(&self) {
        self.connections.close_all(CloseOrder::NewestFirst);
    }

    /// Refuses new connections and closes the existing ones in order, as the system does when a process ends.
    pub async fn take_down(&self) {
        self.change_fault(|fault| fault.refuse = true).await;
        self.connections.close_all(CloseOrder::OldestFirst);
    }

    /// Clears the current fault; stalled connections stay stalled.
    pub async fn restore(&self) {
        self.set_fault(NetworkFault::default()).await;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.open()
    }

    /// Returns the number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.connections.accepted()
    }

    /// Waits for the open connections to end, for at most [`DRAIN_TIMEOUT`].
    pub(crate) async fn drain(&self) {
        if tokio::time::timeout(DRAIN_TIMEOUT, self.connections.wait_until_closed())
            .await
            .is_err()
        {
            tracing::warn!(
                open = self.connections(),
                "closing connections that are still open"
            );
        }
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.connections.close_all(CloseOrder::OldestFirst);
    }
}

/// Binds an address with `SO_REUSEADDR`, so that another socket can listen on the same port.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections, except while the fault `refuse` is set.
struct Acceptor {
    address: SocketAddr,
    target: SocketAddr,
    fault: watch::Receiver<NetworkFault>,
    listening: watch::Sender<bool>,
    connections: Arc<Connections>,
}

impl Acceptor {
    async fn run(mut self, mut listener: TcpListener) {
        loop {
            self.accept_until_refused(&listener).await;
            drop(listener);
            self.listening.send_replace(false);
            if self.fault.wait_for(|fault| !fault.refuse).await.is_err() {
                return;
            }
            listener = match bind(self.address).and_then(|socket| socket.listen(BACKLOG)) {
                Ok(listener) => listener,
                Err(error) => {
                    tracing::error!(address = %self.address, %error, "cannot reopen the listener");
                    return;
                }
            };
            self.listening.send_replace(true);
        }
    }

    async fn accept_until_refused(&mut self, listener: &TcpListener) {
        let mut fault = self.fault.clone();
        loop {
            tokio::select! {
                _ = fault.wait_for(|fault| fault.refuse) => return,
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    let spawned = self.connections.spawn(caller, |caller, connection_faults| {
                        relay(caller, self.target, self.fault.clone(), connection_faults)
                    });
                    if let Err(error) = spawned {
                        tracing::warn!(%error, "a connection cannot be forwarded");
                    }
                }
            }
        }
    }
}
