//! Callers that send requests over persistent connections and record the responses.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{
    CallerRequest, PLAIN_TIMEOUT, POISON_SESSION, READINESS_PATH, ResumedStream, STREAM_TIMEOUT,
    StreamEvent, is_signed, parse_event, server_signature,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, Version,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{sleep, timeout},
};

use crate::{harness::Harness, router::CALLERS_PORT};

/// Timeout that a caller announces to the router for a plain request.
const PLAIN_CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout that a caller announces to the router for a stream.
const STREAM_CALLER_TIMEOUT: Duration = Duration::from_secs(8);
/// Additional time for which a caller waits after that timeout.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a caller waits after a request that was not served, in milliseconds.
const FAILURE_DELAY_MS: Range<u64> = 100..400;
/// Share of new connections that are idle before their first request.
const IDLE_CONNECTION_RATE: f64 = 0.15;
/// Share of new connections that speak HTTP/1.0, where streams end with their connections.
const OLD_VERSION_RATE: f64 = 0.15;
/// Time for which they are idle, in milliseconds.
const IDLE_TIME_MS: Range<u64> = 500..4_000;
/// Share of streams that are read slowly.
const SLOW_READER_RATE: f64 = 0.15;
/// Time before each read of a slow reader, in milliseconds.
const READ_DELAY_MS: Range<u64> = 20..150;
/// Time after which a slow reader reads on without delay.
const MAX_SLOW_TIME: Duration = Duration::from_millis(1_500);
/// Factor by which callers wait less between two requests of a crowd.
const CROWD_FACTOR: u32 = 10;
/// Share of the streams that crash engines, while some do.
const POISON_RATE: f64 = 0.05;
/// Share of the streams that broke off which their callers resume.
const RESUME_RATE: f64 = 0.8;
/// Number of sessions that stream requests are spread over.
const SESSIONS: u64 = 20;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An idempotent plain request.
    Lookup,
    /// A plain request that runs once at most.
    Action,
    /// A stream that runs once at most.
    Stream,
    /// A stream that another server can resume.
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

    fn caller_timeout(self) -> Duration {
        if self.is_stream() {
            STREAM_CALLER_TIMEOUT
        } else {
            PLAIN_CALLER_TIMEOUT
        }
    }

    fn route_timeout(self) -> Duration {
        if self.is_stream() {
            STREAM_TIMEOUT
        } else {
            PLAIN_TIMEOUT
        }
    }
}

/// How an attempt ended, as its caller observed it.
#[derive(Clone, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptResult {
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
pub struct ReceivedResponse {
    /// Status of the response.
    pub status: u16,
    /// Whether the response carries a server's signature.
    pub is_signed: bool,
    /// Server id and request id in the server's signature.
    pub signature: Option<(String, String)>,
    /// The received part of the body.
    pub body: String,
}

/// One request of a caller and its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the router that the request was sent to.
    pub router: usize,
    /// Version of HTTP that the caller speaks.
    pub version: Version,
    /// When the caller sent the request.
    pub sent: Instant,
    /// When the response was complete or the connection closed.
    pub ended: Instant,
    /// The shorter of the caller's and the route's timeout.
    pub time_limit: Duration,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Stream with which it goes on.
    pub resumed: Option<ResumedStream>,
}

impl Attempt {
    /// Returns the id of the request that began the stream.
    pub(crate) fn began_as(&self) -> &str {
        let resumed = self.resumed.as_ref();
        resumed.map_or(&self.id, |resumed| &resumed.began_as)
    }

    /// Returns the last event of the earlier requests.
    pub(crate) fn after(&self) -> u32 {
        self.resumed.as_ref().map_or(0, |resumed| resumed.after)
    }

    /// Returns the rest of a stream that broke off, if it may be resumed.
    fn rest(&self) -> Option<ResumedStream> {
        let AttemptResult::Truncated(response) = &self.result else {
            return None;
        };
        let last = events(&response.body).pop()?;
        (self.kind == Kind::Resumable && !last.is_last).then(|| ResumedStream {
            began_as: self.began_as().to_owned(),
            after: last.id,
        })
    }
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
    version: Version,
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
    let mut version_rng = Pcg64Mcg::seed_from_u64(!seed);
    let mut router = 0;
    let mut connection = None;
    // Stream that broke off and is resumed next.
    let mut rest: Option<ResumedStream> = None;
    while !attempts.is_over.load(Ordering::Relaxed) {
        let pause = random_ms(&mut rng, 5..60);
        let is_crowded = harness.is_crowded.load(Ordering::Relaxed);
        sleep(if is_crowded {
            pause / CROWD_FACTOR
        } else {
            pause
        })
        .await;
        if connection.is_none() {
            router = harness.balancer.choose(&mut rng);
            let is_old = version_rng.random_bool(OLD_VERSION_RATE);
            connection = connect_caller(&harness, router, is_old).await;
            if rng.random_bool(IDLE_CONNECTION_RATE) {
                sleep(random_ms(&mut rng, IDLE_TIME_MS)).await;
            }
        }
        let Some(mut open) = connection.take() else {
            continue;
        };
        let resumed = rest.take();
        let kinds = [Kind::Lookup, Kind::Action, Kind::Stream, Kind::Resumable];
        let kind = match resumed {
            Some(_) => Kind::Resumable,
            None => kinds[rng.random_range(0..kinds.len())],
        };
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
            timeout_ms: kind.caller_timeout().as_millis() as u64,
            session: kind.is_stream().then(|| {
                let is_poisoned = harness.is_poisoned.load(Ordering::Relaxed);
                if is_poisoned && rng.random_bool(POISON_RATE) {
                    return POISON_SESSION;
                }
                rng.random_range(100..100 + SESSIONS)
            }),
            resumed: resumed.clone(),
        };
        let abandon_after = rng.random_bool(0.04).then(|| random_ms(&mut rng, 5..300));
        let limit = abandon_after.unwrap_or(kind.caller_timeout() + CALLER_TIMEOUT_MARGIN);
        let read_delay = (kind.is_stream() && rng.random_bool(SLOW_READER_RATE))
            .then(|| random_ms(&mut rng, READ_DELAY_MS));
        let sent = Instant::now();
        let result = match timeout(limit, send(&mut open, &req, read_delay)).await {
            Ok(result) => result,
            Err(_elapsed) if abandon_after.is_some() => AttemptResult::Abandoned,
            Err(_elapsed) => AttemptResult::NoResponse,
        };
        let ended = Instant::now();
        let status = match &result {
            AttemptResult::Complete(response) => Some(response.status),
            _ => None,
        };
        let attempt = Attempt {
            id,
            kind,
            router,
            version: open.version,
            sent,
            ended,
            time_limit: kind.caller_timeout().min(kind.route_timeout()),
            result,
            resumed,
        };
        rest = attempt.rest().filter(|_| rng.random_bool(RESUME_RATE));
        attempts.add(attempt);
        let is_reusable = open.version != Version::HTTP_10 && !open.sender.is_closed();
        if status.is_some() && is_reusable {
            connection = Some(open);
        } else {
            drop(open);
        }
        if status != Some(StatusCode::OK.as_u16()) {
            sleep(random_ms(&mut rng, FAILURE_DELAY_MS)).await;
        }
    }
}

fn random_ms(rng: &mut Pcg64Mcg, ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// Connects a caller to a router, without a link between them if it speaks HTTP/1.0: a link that is cut between them would end
/// its responses in order.
async fn connect_caller(harness: &Harness, router: usize, is_old: bool) -> Option<Connection> {
    if !is_old {
        return connect(harness.caller_address(router)).await;
    }
    let address = harness.routers()[router].address(CALLERS_PORT);
    let mut connection = connect(address).await?;
    connection.version = Version::HTTP_10;
    Some(connection)
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
        version: Version::HTTP_11,
        task: task.abort_handle(),
    })
}

/// Sends a request and reads the response, with a delay before each read of a slow reader.
async fn send(
    connection: &mut Connection,
    req: &CallerRequest,
    read_delay: Option<Duration>,
) -> AttemptResult {
    if connection.sender.ready().await.is_err() {
        return AttemptResult::NoResponse;
    }
    let mut req = req.build();
    *req.version_mut() = connection.version;
    let Ok(res) = connection.sender.send_request(req).await else {
        return AttemptResult::NoResponse;
    };
    let (head, mut body) = res.into_parts();
    let mut response = ReceivedResponse {
        status: head.status.as_u16(),
        is_signed: is_signed(&head.headers),
        signature: server_signature(&head.headers),
        body: String::new(),
    };
    let start = Instant::now();
    loop {
        if let Some(delay) = read_delay
            && start.elapsed() < MAX_SLOW_TIME
        {
            sleep(delay).await;
        }
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
        timeout_ms: PLAIN_CALLER_TIMEOUT.as_millis() as u64,
        session: None,
        resumed: None,
    };
    let mut connection = connect(address).await?;
    let response = timeout(PLAIN_CALLER_TIMEOUT, send(&mut connection, &req, None));
    match response.await.ok()? {
        AttemptResult::Complete(response) | AttemptResult::Truncated(response) => {
            Some(response.status)
        }
        AttemptResult::NoResponse | AttemptResult::Abandoned => None,
    }
}

/// Returns whether a router responds within `limit` that it takes new connections.
pub(crate) async fn is_ready(address: SocketAddr, limit: Duration) -> bool {
    let res = timeout(limit, get(address, READINESS_PATH)).await;
    matches!(res, Ok(Some(res)) if res.status() == StatusCode::OK)
}

async fn get(address: SocketAddr, path: &str) -> Option<Response<Incoming>> {
    let mut connection = connect(address).await?;
    let req = Request::get(path).header("host", address.to_string());
    let req = req.body(Full::default()).ok()?;
    connection.sender.send_request(req).await.ok()
}

/// Returns the complete events of a stream in order; what is none of its events has the number 0.
pub(crate) fn events(body: &str) -> Vec<StreamEvent> {
    let other = |text: &str| StreamEvent {
        id: 0,
        is_last: false,
        version: text.to_owned(),
    };
    body.split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"))
        .map(|event| parse_event(event).unwrap_or_else(|| other(event)))
        .collect()
}
