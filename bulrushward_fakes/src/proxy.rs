//! TCP relay with faults of the network between two processes.

mod connections;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::watch,
    task::JoinHandle,
};

use self::connections::{Connections, relay};

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Time that a stopping relay leaves its connections to pass on their last bytes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Direction of bytes through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the caller to the target.
    ToTarget,
    /// From the target to the caller.
    FromTarget,
}

/// Standing faults of a relay.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkFault {
    /// New connections are refused.
    pub refuse: bool,
    /// All connections are accepted and pass no bytes until this ends.
    pub hang: bool,
    /// Delay of each chunk of bytes in either direction.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
}

/// TCP relay that can be told to go silent, to cut, to delay and to refuse.
///
/// Dropping it cuts every connection.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    /// Keeps the port while new connections are refused.
    _reserved_port: TcpSocket,
    fault: watch::Sender<NetworkFault>,
    listening: watch::Receiver<bool>,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

impl FaultyProxy {
    /// Starts a relay to `target` on a free port of the loopback interface.
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

    /// Starts a relay to `target` at an address; port 0 takes a free one.
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

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the standing faults and returns when they are in force.
    pub async fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
        let mut listening = self.listening.clone();
        // The acceptor ends only with the relay itself.
        let _ended = listening
            .wait_for(|listening| *listening != fault.refuse)
            .await;
    }

    /// Returns the standing faults.
    #[must_use]
    pub fn fault(&self) -> NetworkFault {
        *self.fault.borrow()
    }

    /// Lets the existing connections pass no more bytes in a direction; new ones work.
    pub fn stall(&self, direction: Direction) {
        self.connections.stall(direction);
    }

    /// Closes the existing connections.
    pub fn close_connections(&self) {
        self.connections.close_connections();
    }

    /// Refuses new connections and closes the existing ones.
    pub async fn take_down(&self) {
        self.set_fault(NetworkFault {
            refuse: true,
            ..self.fault()
        })
        .await;
        self.close_connections();
    }

    /// Ends all standing faults; silent connections stay silent.
    pub async fn restore(&self) {
        self.set_fault(NetworkFault::default()).await;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.open()
    }

    /// Returns the number of connections that were accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.connections.accepted()
    }

    /// Waits a while for the open connections to end.
    pub(crate) async fn drain(&self) {
        if tokio::time::timeout(DRAIN_TIMEOUT, self.connections.ended())
            .await
            .is_err()
        {
            tracing::warn!(open = self.connections(), "connections are closed");
        }
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.connections.close_connections();
    }
}

/// Binds a port in a way that lets another socket of this process listen on it.
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

/// Accepts connections while they are not refused.
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
                    tracing::error!(address = %self.address, %error, "cannot listen again");
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
                    self.connections.start(|faults| {
                        relay(caller, self.target, self.fault.clone(), faults)
                    });
                }
            }
        }
    }
}
