//! Listening TCP sockets.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that the system queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listening socket with `TCP_NODELAY`, so that connections send small segments at once.
///
/// Without the option, a small segment waits for the acknowledgement of the previous one, which
/// the peer delays by 40 ms. On Linux, accepted connections inherit the option from the listening
/// socket.
///
/// # Errors
///
/// Returns the system's error if the socket cannot be created, bound or made to listen.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
