//! The end of a server's response: by what it ended, and whether the response is complete.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    body_end::{self, BodyEnd, Framing, Sender, Witness},
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
    connection::{self, Reachability},
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
    /// Time at which the body ended.
    ended: Option<Instant>,
    share: u32,
}

impl ResponseEnd {
    /// Begins with the head of a response; `share` is the number of connections that this router may have to the server.
    pub(crate) fn of(res: &Response<Incoming>, server: &Arc<Server>, share: u32) -> Self {
        let framing = framing(res);
        let is_witnessed = framing == Framing::UntilClose;
        Self {
            framing,
            witness: is_witnessed.then(|| ProcessWitness::open(server, share)),
            ended: None,
            share,
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
    pub(crate) async fn confirm(&mut self, server: &Server) -> Result<(), AttemptError> {
        let ended = *self.ended.get_or_insert_with(Instant::now);
        let sender = match &self.witness {
            None => Sender::Unknown,
            Some(witness) => {
                sleep(SETTLE_TIME).await;
                let reached = connection::probe(server, self.share).await;
                let is_reached = reached.map(|reached| reached == Reachability::Reached);
                Sender::from_evidence(witness.at_end(ended), is_reached)
            }
        };
        match body_end::judge(self.framing, sender) {
            BodyEnd::Complete => Ok(()),
            BodyEnd::Cut => {
                let sender: &str = sender.into();
                let detail =
                    format!("the response ended with its connection, the server is {sender}");
                Err(AttemptError::new(AttemptFailure::Broken, &detail))
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
/// Unlike a new connection, it is not accepted by a process that has replaced this one meanwhile.
#[derive(Debug)]
struct ProcessWitness {
    state: Arc<Mutex<WitnessState>>,
    task: AbortHandle,
}

#[derive(Clone, Copy, Debug, Default)]
enum WitnessState {
    #[default]
    Opening,
    Open {
        since: Instant,
    },
    Closed {
        at: Instant,
    },
}

impl ProcessWitness {
    fn open(server: &Arc<Server>, share: u32) -> Self {
        let state = Arc::default();
        let task = tokio::spawn(hold_open(Arc::clone(server), share, Arc::clone(&state)));
        Self {
            state,
            task: task.abort_handle(),
        }
    }

    /// Returns what the connection shows of a body that `ended` at least [`SETTLE_TIME`] ago.
    fn at_end(&self, ended: Instant) -> Witness {
        match *lock(&self.state) {
            WitnessState::Open { since } if since <= ended => Witness::Held,
            WitnessState::Closed { at } if at + SETTLE_TIME >= ended => Witness::Closed,
            WitnessState::Opening | WitnessState::Open { .. } | WitnessState::Closed { .. } => {
                Witness::None
            }
        }
    }
}

impl Drop for ProcessWitness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn hold_open(server: Arc<Server>, share: u32, state: Arc<Mutex<WitnessState>>) {
    loop {
        if let Some(connection) = connection::open_unused(&server, share).await {
            *lock(&state) = WitnessState::Open {
                since: Instant::now(),
            };
            connection.closed().await;
            *lock(&state) = WitnessState::Closed { at: Instant::now() };
        }
        sleep(REOPEN_PAUSE).await;
    }
}

fn lock(state: &Mutex<WitnessState>) -> MutexGuard<'_, WitnessState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
