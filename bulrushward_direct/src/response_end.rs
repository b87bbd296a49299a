//! The end of a server's response: by what it ended, and whether the response is complete.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bulrushward_policy::{
    body_end::{self, BodyEnd, Framing, SenderState, Witness},
    server_attempt::AttemptFailure,
};
use hyper::{
    Response,
    body::{Body, Incoming},
    header::TRANSFER_ENCODING,
};
use tokio::{task::AbortHandle, time::sleep};

use crate::{
    attempt::AttemptError,
    bounded_stream::BoundedStreamHandle,
    connection::{self, ConnectError, Reachability, UnusedEnd},
    pending_ends::PendingEnds,
    servers::Server,
};

/// Last transfer coding of a body that ends with its last chunk.
const CHUNKED: &str = "chunked";
/// Time in which the system of a process that has ended closes all of its sockets.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Pause before a witness is opened again, as servers close connections that carry nothing.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// Knows how a response marks its end, and what shows that it has reached it.
#[derive(Debug)]
pub(crate) struct ResponseEnd {
    framing: Framing,
    /// Open only for a response that ends with its connection.
    witness: Option<ProcessWitness>,
    pending: Arc<PendingEnds>,
}

impl ResponseEnd {
    /// Begins with the head of a response that `carrier` brings; `share` is the number of connections that this router
    /// may have to the server. `pending` counts the ends that are being confirmed.
    pub(crate) fn of(
        res: &Response<Incoming>,
        carrier: &BoundedStreamHandle,
        server: &Arc<Server>,
        share: u32,
        pending: &Arc<PendingEnds>,
    ) -> Self {
        let framing = framing(res);
        let is_witnessed = framing == Framing::UntilClose;
        Self {
            framing,
            witness: is_witnessed.then(|| ProcessWitness::open(server, share, carrier)),
            pending: Arc::clone(pending),
        }
    }

    /// Returns how the response marks its end.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Confirms that a body which has ended without an error is complete.
    ///
    /// If it ended with its connection, this takes a moment, as the server must still run.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError`] if the body may have been cut.
    pub(crate) async fn confirm(&self, server: &Server) -> Result<(), AttemptError> {
        let _pending = self.pending.begin();
        let (sender, is_accepted) = match &self.witness {
            None => (SenderState::Unknown, None),
            Some(witness) => {
                sleep(SETTLE_TIME).await;
                // Closed at once, so it may exceed the share.
                let is_accepted = match connection::probe(server, u32::MAX).await {
                    Some(Reachability::Reached) => Some(true),
                    Some(Reachability::Refused) => Some(false),
                    Some(Reachability::Unanswered) | None => None,
                };
                let sender = SenderState::from_evidence(witness.state(), is_accepted);
                (sender, is_accepted)
            }
        };
        match body_end::judge(self.framing, sender) {
            BodyEnd::Complete => Ok(()),
            BodyEnd::Cut => {
                let sender: &str = sender.into();
                let detail =
                    format!("the response ended with its connection, the server is {sender}");
                // A server that closes its connections and accepts others may live.
                let failure = match is_accepted {
                    Some(false) => AttemptFailure::ServerGone,
                    Some(true) | None => AttemptFailure::Unconfirmed,
                };
                Err(AttemptError::new(failure, &detail))
            }
        }
    }
}

/// Returns how a response marks the end of its body.
fn framing(res: &Response<Incoming>) -> Framing {
    let mut codings = res.headers().get_all(TRANSFER_ENCODING).iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let is_chunked = last
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED));
    Framing::of(res.body().size_hint().exact(), is_chunked)
}

/// A connection that carries nothing and is closed by the server's system when its process ends.
///
/// Unlike a connection that is opened afterwards, it was accepted before the process could be replaced.
#[derive(Debug)]
struct ProcessWitness {
    state: Arc<Mutex<Witness>>,
    task: AbortHandle,
}

impl ProcessWitness {
    fn open(server: &Arc<Server>, share: u32, carrier: &BoundedStreamHandle) -> Self {
        let state = Arc::new(Mutex::new(Witness::None));
        let held = hold_open(
            Arc::clone(server),
            share,
            carrier.clone(),
            Arc::clone(&state),
        );
        Self {
            state,
            task: tokio::spawn(held).abort_handle(),
        }
    }

    fn state(&self) -> Witness {
        *lock(&self.state)
    }
}

impl Drop for ProcessWitness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Holds a connection open beside the `carrier` of a response, and records its state.
async fn hold_open(
    server: Arc<Server>,
    share: u32,
    carrier: BoundedStreamHandle,
    state: Arc<Mutex<Witness>>,
) {
    let mut is_closed_unused = false;
    loop {
        let opened = connection::open_unused(&server, share).await;
        if opened.as_ref().is_err_and(ConnectError::is_refused) {
            // The process that sent the head has closed its listener.
            *lock(&state) = Witness::Closed;
            return;
        }
        if carrier.quiet_time().is_none() {
            // A process that has replaced the sender may have accepted it.
            return;
        }
        if let Ok(connection) = opened {
            *lock(&state) = Witness::Held;
            if connection.ended().await == UnusedEnd::Evicted {
                *lock(&state) = Witness::None;
                return;
            }
            *lock(&state) = if is_closed_unused {
                Witness::None
            } else {
                Witness::Closed
            };
            sleep(SETTLE_TIME).await;
            while !carrier.is_idle_for(SETTLE_TIME) {
                if carrier.quiet_time().is_none() {
                    return;
                }
                sleep(SETTLE_TIME).await;
            }
            // The server lives, and closes connections that carry nothing.
            is_closed_unused = true;
            *lock(&state) = Witness::None;
        }
        sleep(REOPEN_PAUSE).await;
    }
}

fn lock(state: &Mutex<Witness>) -> MutexGuard<'_, Witness> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
