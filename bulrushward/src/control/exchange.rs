//! The threads that send and answer control exchanges.

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

/// Time after which a peer counts as silent.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for an exchange before the listener looks whether it should end.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(200);

/// An exchange of a peer that waits for its answer.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) exchange: Exchange,
    pub(crate) answer: oneshot::Sender<Exchange>,
}

/// Starts the thread that answers peers; it ends when `stop` is set.
pub(crate) fn start_listener(
    listener: Listener,
    questions: mpsc::Sender<Question>,
    metrics: ControlMetrics,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let mut answer = |exchange: Exchange| ask(&questions, exchange);
            match listener.serve_one(LISTEN_TIMEOUT, &mut answer) {
                Ok(Some(bytes)) => metrics.answered(bytes),
                Ok(None) => {}
                Err(error) => {
                    metrics.bad_message();
                    debug!(event = "control-message-refused", %error);
                }
            }
        }
    })
}

/// Hands an exchange to the control thread; the peer's own words come back if that has ended.
fn ask(questions: &mpsc::Sender<Question>, exchange: Exchange) -> Exchange {
    let (answer, answered) = oneshot::channel();
    let fallback = exchange.clone();
    if questions
        .blocking_send(Question { exchange, answer })
        .is_err()
    {
        return fallback;
    }
    answered.blocking_recv().unwrap_or(fallback)
}

/// Sends an exchange and returns the peer's side, or `None` if the peer did not answer.
pub(crate) async fn send(
    address: SocketAddr,
    exchange: Exchange,
    metrics: ControlMetrics,
) -> Option<Exchange> {
    let call = move || transport::call(address, &exchange, CALL_TIMEOUT);
    match tokio::task::spawn_blocking(call).await {
        Ok(Ok((answer, bytes))) => {
            metrics.sent(bytes);
            Some(answer)
        }
        Ok(Err(error)) => {
            metrics.call_failed();
            debug!(event = "control-exchange-failed", peer = %address, %error);
            None
        }
        Err(_cancelled) => None,
    }
}
