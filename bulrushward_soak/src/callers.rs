//! Callers that send requests over persistent connections and record the responses.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{CallerRequest, is_signed, parse_event, server_signature};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::harness::Harness;

/// Timeout that a caller announces to the router, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 2_500;
/// Additional time for which a caller waits after that timeout.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of sessions that stream requests are spread over.
const SESSIONS: u64 = 20;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Kind {
    Lookup,
    Action,
    Stream,
    Resumable,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Lookup => "/lookup/x",
            Self::Action => "/action/x",
            Self::Stream => "/stream/once/x",
            Self::Resumable => "/stream/resume/x",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// How an attempt ended, as its caller observed it.
#[derive(Clone, Debug)]
pub(crate) enum AttemptResult {
    /// A complete response.
    Complete(ReceivedResponse),
    /// A response that was truncated after its head.
    Truncated(ReceivedResponse),
    /// The connection was closed without a response, or the response did not end in time.
    NoResponse,
    /// The caller closed its connection early on purpose.
    Abandoned,
}

/// The received part of a response.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) is_signed: bool,
    /// Server id and request id in the server's signature.
    pub(crate) signature: Option<(String, String)>,
    pub(crate) body: String,
}

/// One request of a caller and its result.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) router: usize,
    pub(crate) ended: Instant,
    pub(crate) result: AttemptResult,
}

/// Attempts of all callers.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    all: Mutex<Vec<Attempt>>,
    /// Number of the next attempt.
    next: AtomicU64,
    /// Set at the end of the run; callers and the monitor of the routers stop then.
    pub(crate) is_over: AtomicBool,
}

impl Attempts {
    pub(crate) fn all(&self) -> Vec<Attempt> {
        self.all
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn add(&self, attempt: Attempt) {
        let mut all = self.all.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(attempt);
    }
}

/// A connection to a router that is closed when dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends requests until `attempts.is_over` is set, and reuses its connection while it is usable.
pub(crate) async fn caller(harness: Arc<Harness>, attempts: Arc<Attempts>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut router = 0;
    let mut connection = None;
    while !attempts.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        if connection.is_none() {
            router = rng.random_range(0..harness.caller_links.len());
            if !harness.routers()[router].is_up() {
                continue;
            }
            connection = connect(harness.caller_address(router)).await;
        }
        let Some(mut open) = connection.take() else {
            continue;
        };
        let kind =
            [Kind::Lookup, Kind::Action, Kind::Stream, Kind::Resumable][rng.random_range(0..4)];
        let number = attempts.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{seed}-{number}");
        let keys = harness
            .written_configs()
            .last()
            .map(|last| last.config.keys.clone());
        let key = keys
            .and_then(|keys| keys.first().cloned())
            .unwrap_or_default();
        let req = CallerRequest {
            id: id.clone(),
            path: kind.path().to_owned(),
            key,
            timeout_ms: CALLER_TIMEOUT_MS,
            session: kind
                .is_stream()
                .then(|| rng.random_range(100..100 + SESSIONS)),
        };
        let abandon_after_ms = rng.random_bool(0.04).then(|| rng.random_range(5..300));
        let limit = abandon_after_ms.map_or(
            Duration::from_millis(CALLER_TIMEOUT_MS) + CALLER_TIMEOUT_MARGIN,
            Duration::from_millis,
        );
        let outcome = match timeout(limit, send(&mut open, &req)).await {
            Ok(result) => result,
            Err(_elapsed) if abandon_after_ms.is_some() => AttemptResult::Abandoned,
            Err(_elapsed) => AttemptResult::NoResponse,
        };
        if matches!(outcome, AttemptResult::Complete(_)) && !open.sender.is_closed() {
            connection = Some(open);
        }
        attempts.add(Attempt {
            id,
            kind,
            router,
            ended: Instant::now(),
            result: outcome,
        });
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::spawn(async move {
        // The result of the pending request shows how the connection ended.
        let _ended = connection.await;
    });
    Some(Connection {
        sender,
        task: task.abort_handle(),
    })
}

async fn send(connection: &mut Connection, req: &CallerRequest) -> AttemptResult {
    if connection.sender.ready().await.is_err() {
        return AttemptResult::NoResponse;
    }
    let Ok(res) = connection.sender.send_request(req.build()).await else {
        return AttemptResult::NoResponse;
    };
    let (head, mut body) = res.into_parts();
    let mut response = ReceivedResponse {
        status: head.status.as_u16(),
        is_signed: is_signed(&head.headers),
        signature: server_signature(&head.headers),
        body: String::new(),
    };
    loop {
        match body.frame().await {
            None => return AttemptResult::Complete(response),
            Some(Err(_truncated)) => return AttemptResult::Truncated(response),
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                response.body.push_str(&String::from_utf8_lossy(&bytes));
            }
        }
    }
}

/// Sends one request over a new connection; returns the status if there is a response.
pub(crate) async fn probe(address: SocketAddr, path: &str, key: &str, id: &str) -> Option<u16> {
    let req = CallerRequest {
        id: id.to_owned(),
        path: path.to_owned(),
        key: key.to_owned(),
        timeout_ms: CALLER_TIMEOUT_MS,
        session: None,
    };
    let mut connection = connect(address).await?;
    let response = timeout(
        Duration::from_millis(CALLER_TIMEOUT_MS),
        send(&mut connection, &req),
    );
    match response.await.ok()? {
        AttemptResult::Complete(response) | AttemptResult::Truncated(response) => {
            Some(response.status)
        }
        AttemptResult::NoResponse | AttemptResult::Abandoned => None,
    }
}

/// Returns the event ids of a stream in order, and whether the stream includes its last event.
pub(crate) fn events(body: &str) -> (Vec<u32>, bool) {
    let events: Vec<_> = body
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
        .filter_map(parse_event)
        .collect();
    let has_last = events.last().is_some_and(|(_, is_last)| *is_last);
    (events.into_iter().map(|(id, _)| id).collect(), has_last)
}
