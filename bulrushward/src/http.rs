//! HTTP listeners.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use salvo::{
    Router, Server,
    conn::{Acceptor, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};

use crate::{caller_connection::CallerAcceptor, error::DaemonError};

/// Longest time that a process of the fleet or `bulrushctl` may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head of a request in bytes, which is also the size of the connection's read buffer.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// A listener that serves until its handle stops it.
pub(crate) struct HttpListener {
    /// Bound address.
    pub(crate) address: SocketAddr,
    /// Stops the listener.
    pub(crate) handle: ServerHandle,
    /// Completes when the listener has stopped and its last request has ended.
    pub(crate) task: tokio::task::JoinHandle<()>,
}

/// Binds an address for other processes of the fleet or operators and serves the routes on it.
///
/// Must be called within a tokio runtime, as must [`listen_to_callers`].
pub(crate) fn listen(
    listener: &'static str,
    address: SocketAddr,
    routes: Router,
) -> Result<HttpListener, DaemonError> {
    let limits = FuseConfig::default().with_http1_header_timeout(HEADER_TIMEOUT);
    let (acceptor, address) = bind(listener, address)?;
    let server = Server::new(acceptor).fuse_config(limits);
    Ok(serve(server, address, routes))
}

/// Binds an address for callers and serves the routes on it.
///
/// Closes a connection whose caller takes longer than `timeout` to send the head of a request or
/// to read a chunk of the response.
pub(crate) fn listen_to_callers(
    address: SocketAddr,
    routes: Router,
    timeout: Duration,
) -> Result<HttpListener, DaemonError> {
    let limits = FuseConfig::default()
        .with_http1_header_timeout(timeout)
        .with_write_stall_timeout(timeout);
    let (acceptor, address) = bind("caller", address)?;
    let server = Server::new(CallerAcceptor::new(acceptor, limits));
    Ok(serve(server, address, routes))
}

/// Binds an address and returns the bound one too.
fn bind(
    listener: &'static str,
    address: SocketAddr,
) -> Result<(TcpAcceptor, SocketAddr), DaemonError> {
    let failed = |error: io::Error| DaemonError::Listen {
        listener,
        address,
        detail: error.to_string(),
    };
    let acceptor = bulrushward_net::listen(address)
        .and_then(TcpAcceptor::try_from)
        .map_err(failed)?;
    let address = acceptor.local_addr().map_err(failed)?;
    Ok((acceptor, address))
}

fn serve<A>(mut server: Server<A>, address: SocketAddr, routes: Router) -> HttpListener
where
    A: Acceptor + Send + 'static,
{
    server.http1_mut().max_buf_size(MAX_HEADER_BYTES);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(Arc::new(routes)));
    HttpListener {
        address,
        handle,
        task,
    }
}
