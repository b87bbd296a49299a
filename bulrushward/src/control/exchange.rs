//! Sends gossip exchanges to peers and serves the exchanges that peers send.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use bulrushward_protocol::Exchange;
use bulrushward_transport::{self as transport, Listener};
use tokio::sync::{mpsc, oneshot};
use tracing::debug;

use crate::metrics::ControlMetrics;

/// Timeout of one exchange with a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for an exchange before the listener checks whether it should stop.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(200);

/// An exchange that a peer sent, with the channel for the reply.
#[derive(Debug)]
pub(crate) struct IncomingExchange {
    pub(crate) exchange: Exchange,
    pub(crate) reply: oneshot::Sender<Exchange>,
}

/// Starts the thread that serves exchanges of peers until `stop` is set.
pub(crate) fn start_listener(
    listener: Listener,
    incoming: mpsc::Sender<IncomingExchange>,
    metrics: ControlMetrics,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let mut serve = |exchange: Exchange| forward(&incoming, exchange);
            match listener.serve_one(LISTEN_TIMEOUT, &mut serve) {
                Ok(Some(bytes)) => metrics.served(bytes),
                Ok(None) => {}
                Err(error) => {
                    metrics.invalid_message();
                    debug!(event = "control-message-refused", %error);
                }
            }
        }
    })
}

/// Forwards an exchange to the control thread and returns its reply.
///
/// Echoes the peer's own exchange if the control thread has ended.
fn forward(incoming: &mpsc::Sender<IncomingExchange>, exchange: Exchange) -> Exchange {
    let (reply, replied) = oneshot::channel();
    let fallback = exchange.clone();
    if incoming
        .blocking_send(IncomingExchange { exchange, reply })
        .is_err()
    {
        return fallback;
    }
    replied.blocking_recv().unwrap_or(fallback)
}

/// Sends an exchange and returns the peer's side, or `None` if the peer did not respond.
pub(crate) async fn send(
    address: SocketAddr,
    exchange: Exchange,
    metrics: ControlMetrics,
) -> Option<Exchange> {
    let call = move || transport::call(address, &exchange, CALL_TIMEOUT);
    match tokio::task::spawn_blocking(call).await {
        Ok(Ok((response, bytes))) => {
            metrics.sent(bytes);
            Some(response)
        }
        Ok(Err(error)) => {
            metrics.failed();
            debug!(event = "control-exchange-failed", peer = %address, %error);
            None
        }
        Err(_cancelled) => None,
    }
}
