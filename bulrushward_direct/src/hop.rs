//! One hop: sends a request to one server and reads the beginning of its answer.

use std::time::{Duration, Instant};

use bulrushward_net::with_causes;
use bulrushward_policy::{server_attempt::AttemptFailure, server_health::ServerHealth};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
};
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::{
    choose::Choice,
    connection::{self, ConnectError, Connection},
    job::Job,
    ports::{Delivery, ServerFacts},
    server_stream::{Piece, ServerStream},
    servers::InProgress,
    shared::Shared,
};

/// Largest plain answer that is held until it is whole, in bytes.
const MAX_HELD_BYTES: usize = 8 << 20;
/// Shortest time without a byte after which an idempotent request goes elsewhere.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Multiple of the target latency without a byte after which an idempotent request goes elsewhere.
const SILENCE_TARGETS: u32 = 4;

/// Further headers that concern one connection only.
const OTHER_CONNECTION_HEADERS: [&str; 7] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// The answer of a server, as far as it has to be known before the caller gets any of it.
#[derive(Debug)]
pub(crate) enum HopAnswer {
    /// A plain answer, whole.
    Whole {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// A stream with its first whole events.
    Stream(Box<OpenStream>),
}

/// A stream whose first events have arrived.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Bytes,
    pub(crate) rest: ServerStream,
}

/// How a hop failed, with the server's own answer if that may be passed on.
#[derive(Debug)]
pub(crate) struct HopError {
    pub(crate) failure: AttemptFailure,
    pub(crate) detail: String,
    pub(crate) answer: Option<Box<HopAnswer>>,
}

impl HopError {
    pub(crate) fn new(failure: AttemptFailure, detail: &dyn ToString) -> Self {
        Self {
            failure,
            detail: detail.to_string(),
            answer: None,
        }
    }
}

/// Sends a request to a server and returns its answer, plain ones whole and streams from their first event.
///
/// # Errors
///
/// Returns [`HopError`] if the server gave no answer that the caller may have.
pub(crate) async fn send(
    shared: &Shared,
    job: &Job,
    choice: &Choice,
    last_event: Option<&str>,
) -> Result<HopAnswer, HopError> {
    let mut progress = InProgress::new(&choice.server, choice.beliefs.unread_tokens);
    let sent = exchange(shared, job, choice, last_event, &mut progress).await;
    match sent {
        Ok(exchanged) => finish(job, exchanged, progress).await,
        Err(error) => {
            note_failure(&progress, &error);
            Err(error)
        }
    }
}

/// A server's head, before its body was read.
struct Exchanged {
    res: Response<Incoming>,
    facts: ServerFacts,
    connection: Connection,
}

async fn exchange(
    shared: &Shared,
    job: &Job,
    choice: &Choice,
    last_event: Option<&str>,
    progress: &mut InProgress,
) -> Result<Exchanged, HopError> {
    let (res, connection) = loop {
        let connection = connect(shared, job, choice).await?;
        let is_reused = connection.is_reused;
        match write(shared, job, choice, last_event, connection).await {
            // An idle connection that the server has closed says nothing about the server.
            Err(error) if is_reused && error.failure == AttemptFailure::NotSent => {}
            written => break written?,
        }
    };
    let facts = shared.dialect.server(res.headers());
    if let Some(load) = facts.load {
        let mut state = progress.server().state();
        state
            .load
            .record_report(load.running + load.waiting, Instant::now());
    }
    check_head(job, &res, &facts)?;
    Ok(Exchanged {
        res,
        facts,
        connection,
    })
}

/// Takes a connection to a server within this router's share.
async fn connect(shared: &Shared, job: &Job, choice: &Choice) -> Result<Connection, HopError> {
    let share = shared.connection_share(job.service.connection_limit);
    let taken = connection::take(&choice.server, share).await;
    let connection = taken.map_err(|error| {
        let failure = match error {
            ConnectError::Crowded { .. } => AttemptFailure::Crowded,
            ConnectError::Unreachable { .. } => AttemptFailure::NotSent,
        };
        HopError::new(failure, &error)
    })?;
    if !connection.is_reused {
        shared.metrics.connections_opened.inc();
    }
    Ok(connection)
}

/// Writes a request on a connection and waits for the head of its answer.
async fn write(
    shared: &Shared,
    job: &Job,
    choice: &Choice,
    last_event: Option<&str>,
    mut connection: Connection,
) -> Result<(Response<Incoming>, Connection), HopError> {
    let req = request(shared, job, choice, last_event)?;
    let until = TokioInstant::from_std(silent_until(job));
    match timeout_at(until, connection.sender.try_send_request(req)).await {
        Ok(Ok(res)) => Ok((res, connection)),
        Ok(Err(error)) => {
            let failure = if error.message().is_some() {
                AttemptFailure::NotSent
            } else {
                AttemptFailure::Broken
            };
            Err(HopError::new(failure, &with_causes(error.error())))
        }
        Err(_elapsed) => Err(HopError::new(AttemptFailure::Silent, &"no head in time")),
    }
}

/// Checks that an answer belongs to the request and that the request has run.
///
/// A server may send more than it was asked for, so an answer without the request's id is not its answer;
/// only a refusal may come without it.
fn check_head(job: &Job, res: &Response<Incoming>, facts: &ServerFacts) -> Result<(), HopError> {
    let is_other = facts
        .request_id
        .as_ref()
        .is_some_and(|id| *id != job.request_id);
    let is_refusal = facts.is_not_run || res.status() == StatusCode::MISDIRECTED_REQUEST;
    let is_unnamed = facts.request_id.is_none() && !job.request_id.is_empty();
    if is_other || (is_unnamed && !is_refusal) {
        let id = facts.request_id.as_deref().unwrap_or("none");
        let detail = format!("the answer is for request {id}");
        return Err(HopError::new(AttemptFailure::Broken, &detail));
    }
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(HopError::new(
            AttemptFailure::Misdirected,
            &"another server",
        ));
    }
    if facts.is_not_run {
        let detail = format!("refused with {}", res.status().as_u16());
        return Err(HopError::new(AttemptFailure::Rejected, &detail));
    }
    if res.status().is_success() && !facts.is_signed {
        return Err(HopError::new(
            AttemptFailure::Broken,
            &"the answer is not signed",
        ));
    }
    Ok(())
}

async fn finish(
    job: &Job,
    exchanged: Exchanged,
    progress: InProgress,
) -> Result<HopAnswer, HopError> {
    let Exchanged {
        res,
        facts,
        connection,
    } = exchanged;
    let (head, body) = res.into_parts();
    let mut headers = head.headers;
    drop_connection_headers(&mut headers);
    if job.is_stream() && head.status.is_success() {
        let rest = ServerStream::new(body, progress, connection, facts.keeps_idle, job.due);
        return first_events(job, head.status, headers, rest).await;
    }
    let until = TokioInstant::from_std(job.due);
    let limited = Limited::new(body, MAX_HELD_BYTES);
    let collected = match timeout_at(until, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(HopError::new(AttemptFailure::Broken, &with_causes(&*error))),
        Err(_elapsed) => Err(HopError::new(
            AttemptFailure::Silent,
            &"the body is not whole",
        )),
    };
    let body = match collected {
        Ok(body) => body,
        Err(error) => {
            note_failure(&progress, &error);
            return Err(error);
        }
    };
    connection::give_back(progress.server(), connection, facts.keeps_idle);
    let answer = HopAnswer::Whole {
        status: head.status,
        headers,
        body,
    };
    if head.status.is_server_error() || is_promise(head.status) {
        let mut error = HopError::new(AttemptFailure::ServerError, &head.status);
        note_failure(&progress, &error);
        // A promise that the server did not mean must not reach the caller.
        error.answer = (!is_promise(head.status) && facts.is_signed).then(|| Box::new(answer));
        return Err(error);
    }
    progress.note_health(ServerHealth::record_success);
    Ok(answer)
}

/// Returns whether a status tells the caller that its request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Waits for the first whole events, so that a stream that breaks before them can still be an error.
async fn first_events(
    job: &Job,
    status: StatusCode,
    headers: HeaderMap,
    mut rest: ServerStream,
) -> Result<HopAnswer, HopError> {
    let first = match rest.next(silent_until(job)).await {
        Ok(Piece::Events(first)) => first,
        Ok(Piece::End) => Bytes::new(),
        Err(error) => {
            note_failure(&rest.progress, &error);
            return Err(error);
        }
    };
    rest.progress.prompt_read();
    Ok(HopAnswer::Stream(Box::new(OpenStream {
        status,
        headers,
        first,
        rest,
    })))
}

/// Takes the failure of a hop into the server's health.
pub(crate) fn note_failure(progress: &InProgress, error: &HopError) {
    progress.note_health(|health, now| match error.failure {
        AttemptFailure::Crowded => {}
        AttemptFailure::NotSent | AttemptFailure::Misdirected => health.record_unreachable(now),
        AttemptFailure::Rejected
        | AttemptFailure::ServerError
        | AttemptFailure::Broken
        | AttemptFailure::Silent => health.record_failure(now),
    });
}

/// Returns until when a server may stay silent: idempotent requests have time to go elsewhere.
fn silent_until(job: &Job) -> Instant {
    if !job.route.is_idempotent() || job.route.max_servers < 2 {
        return job.due;
    }
    let patience = (job.route.target_latency * SILENCE_TARGETS).max(MIN_SILENCE);
    job.due.min(Instant::now() + patience)
}

fn request(
    shared: &Shared,
    job: &Job,
    choice: &Choice,
    last_event: Option<&str>,
) -> Result<Request<Full<Bytes>>, HopError> {
    let mut headers = job.headers.clone();
    let delivery = Delivery {
        server: &choice.server.id,
        time_left: job.time_left(),
        organisation: job.organisation.as_deref(),
        urgency: job.urgency,
        last_event: last_event.or(job.last_event.as_deref()),
        copy_from: choice.beliefs.copy_from,
    };
    shared.dialect.deliver(&mut headers, &delivery);
    let mut req = Request::builder()
        .method(job.method.clone())
        .uri(job.target.as_str())
        .body(Full::new(job.body.clone()))
        .map_err(|error| HopError::new(AttemptFailure::NotSent, &error))?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Drops the headers that concern one connection only.
pub(crate) fn drop_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
        headers.remove(name);
    }
    for name in OTHER_CONNECTION_HEADERS {
        headers.remove(name);
    }
}
