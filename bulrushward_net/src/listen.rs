//! Listening sockets.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listening socket whose connections send small pieces at once.
///
/// Without it, a piece waits until the other end acknowledges the one before, which it delays by
/// 40 ms. Connections take the option from the listening socket on Linux.
///
/// # Errors
///
/// Returns the error of the system.
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
