//! The inner listener of an agent: runs, resumes and bars attempts for routers.

use std::{sync::Arc, time::Duration};

use bulrushward_protocol::{
    AttemptId, BarRequest, Frame, Header, Outcome, Refusal, RefusalReason, RunRequest, WorkUnits,
    decode, encode, encode_frame, format_id, headers,
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderName, HeaderValue, Method, StatusCode},
};
use serde::de::DeserializeOwned;

use super::{ABANDONED_GRACE, Agent, attempts::Attempt, refusals, replay_buffer::ReadResult};
use crate::failpoint;

/// Maximum size of an encoded message in bytes: a caller's body and its envelope.
const MAX_REQUEST_BYTES: usize = 64 << 20;
/// Longest deadline of an attempt in milliseconds: a year, as in the configuration.
const MAX_DEADLINE_MS: u64 = 366 * 24 * 60 * 60 * 1_000;
/// Maximum estimated work of an attempt, so that no sum of work overflows.
const MAX_WORK: WorkUnits = 1 << 40;
/// Time without a frame after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Path that starts a new attempt.
const RUN_PATH: &str = "inner/run";
/// Path that resumes the response of a known attempt.
const ATTEMPT_PATH: &str = "inner/attempts/{attempt}";
/// Path that bars an attempt.
const BAR_PATH: &str = "inner/bar";

pub(crate) fn routes(agent: &Arc<Agent>) -> Router {
    Router::new()
        .push(Router::with_path(RUN_PATH).post(RunHandler {
            agent: Arc::clone(agent),
        }))
        .push(Router::with_path(ATTEMPT_PATH).get(ResumeHandler {
            agent: Arc::clone(agent),
        }))
        .push(Router::with_path(BAR_PATH).post(BarHandler {
            agent: Arc::clone(agent),
        }))
}

struct RunHandler {
    agent: Arc<Agent>,
}

#[async_trait]
impl Handler for RunHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let run = match read_message::<RunRequest>(req).await {
            Ok(run) => run,
            Err(message) => return bad_request(res, &message),
        };
        if let Err(error) = validate(&run) {
            return bad_request(res, error);
        }
        failpoint::hit("agent-received");
        let id = run.attempt;
        name_attempt(res, id);
        match self.agent.receive(run) {
            Ok(attempt) => stream_response(&self.agent, res, attempt, id, 0),
            Err(refusal) => refuse(res, refusal),
        }
    }
}

struct ResumeHandler {
    agent: Arc<Agent>,
}

#[async_trait]
impl Handler for ResumeHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = req
            .param::<String>("attempt")
            .and_then(|id| AttemptId::from_str_radix(&id, 16).ok());
        let Some(id) = id else {
            return bad_request(res, "the attempt id is not a hexadecimal number");
        };
        let from = req.query::<String>("from").map(|from| from.parse());
        let Ok(from) = from.unwrap_or(Ok(0)) else {
            return bad_request(res, "the offset is not a number of bytes");
        };
        name_attempt(res, id);
        let Some(attempt) = self.agent.attempts.get(id) else {
            res.status_code(StatusCode::NOT_FOUND);
            let message = "the agent does not know the attempt";
            return refuse(res, refusals::unknown(RefusalReason::Restarted, message));
        };
        stream_response(&self.agent, res, attempt, id, from);
    }
}

struct BarHandler {
    agent: Arc<Agent>,
}

#[async_trait]
impl Handler for BarHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let bar = match read_message::<BarRequest>(req).await {
            Ok(bar) => bar,
            Err(message) => return bad_request(res, &message),
        };
        let outcome = self.agent.bar(bar).await;
        match encode(&outcome) {
            Ok(body) => {
                res.body(Bytes::from(body));
            }
            Err(error) => bad_request(res, &error.to_string()),
        }
    }
}

impl Agent {
    /// Bars an attempt at this agent. If it belongs to an action and is unknown to this agent, bars it
    /// in the claims record as well.
    async fn bar(&self, bar: BarRequest) -> Outcome {
        let known = self.attempts.get(bar.attempt);
        let message = "the router abandoned the request";
        let refusal = refusals::not_run(RefusalReason::Cancelled, message);
        let barred = self.attempts.bar(bar.attempt, refusal);
        if let Some(attempt) = &known
            && attempt.req.attempt == bar.attempt
        {
            attempt.cancelled.cancel();
        }
        let never_runs = match (known, bar.action) {
            (None, Some(action)) => self.claims.bar(action, bar.attempt).await,
            _ => barred,
        };
        if never_runs {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

/// Reads and decodes a message of a router.
async fn read_message<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let announced = req.header::<u64>("content-length").unwrap_or_default();
    if announced > MAX_REQUEST_BYTES as u64 {
        return Err(format!(
            "the message has {announced} bytes, the limit is {MAX_REQUEST_BYTES}"
        ));
    }
    let body = req.payload_with_max_size(MAX_REQUEST_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    decode(body).map_err(|error| error.to_string())
}

/// Validates the fields of a decoded request beyond their types.
fn validate(run: &RunRequest) -> Result<(), &'static str> {
    if run.deadline_ms > MAX_DEADLINE_MS {
        return Err("the deadline is more than a year away");
    }
    if run.work > MAX_WORK {
        return Err("the estimated work exceeds the limit");
    }
    if Method::from_bytes(run.method.as_bytes()).is_err() {
        return Err("the method is not valid");
    }
    if !run.path.starts_with('/') {
        return Err("the path does not begin with a slash");
    }
    let valid = |header: &Header| {
        HeaderName::try_from(header.name.as_str()).is_ok()
            && HeaderValue::try_from(header.value.as_str()).is_ok()
    };
    if !run.headers.iter().all(valid) {
        return Err("a header is not valid");
    }
    Ok(())
}

/// States to which attempt a response belongs, as a connection may carry a copy of an earlier one.
fn name_attempt(res: &mut Response, id: AttemptId) {
    let id = HeaderValue::try_from(format_id(id)).expect("an id is hexadecimal");
    res.headers_mut().insert(headers::ATTEMPT, id);
}

fn bad_request(res: &mut Response, message: &str) {
    res.status_code(StatusCode::BAD_REQUEST);
    refuse(res, refusals::not_run(RefusalReason::BadRequest, message));
}

fn refuse(res: &mut Response, refusal: Refusal) {
    if let Ok(bytes) = encode_frame(&Frame::Refused(refusal)) {
        res.body(bytes);
    }
}

/// Streams the frames of an attempt, starting at an offset of the response body.
fn stream_response(
    agent: &Arc<Agent>,
    res: &mut Response,
    attempt: Arc<Attempt>,
    id: AttemptId,
    start_offset: u64,
) {
    let load = agent.lock_queue().load();
    res.stream(frame_stream(AttemptReader::new(
        attempt,
        id,
        start_offset,
        load,
    )));
}

/// Reads the frames of an attempt for one connection.
struct AttemptReader {
    attempt: Arc<Attempt>,
    written: tokio::sync::watch::Receiver<usize>,
    admission: Option<Frame>,
    /// Position of the next frame in the replay buffer.
    position: usize,
    /// Number of bytes of the response body that the router has already received.
    start_offset: u64,
    done: bool,
}

impl AttemptReader {
    fn new(attempt: Arc<Attempt>, id: AttemptId, start_offset: u64, load: u64) -> Self {
        attempt.buffer.add_reader();
        Self {
            written: attempt.buffer.written(),
            attempt,
            admission: Some(Frame::Admitted { attempt: id, load }),
            position: 0,
            start_offset,
            done: false,
        }
    }

    async fn next(&mut self) -> Option<Frame> {
        if let Some(frame) = self.admission.take() {
            return Some(frame);
        }
        if self.done {
            return None;
        }
        loop {
            self.written.mark_unchanged();
            match self.attempt.buffer.read(self.position) {
                ReadResult::Frame(frame) => {
                    self.position += 1;
                    if self.is_already_received(&frame) {
                        continue;
                    }
                    self.done = matches!(frame, Frame::End { .. } | Frame::Refused(_));
                    return Some(frame);
                }
                ReadResult::Pending => {
                    let change = self.written.changed();
                    if tokio::time::timeout(HEARTBEAT_INTERVAL, change)
                        .await
                        .is_err()
                    {
                        return Some(Frame::Heartbeat);
                    }
                }
                ReadResult::End => return None,
                ReadResult::Discarded => {
                    self.done = true;
                    let message = "the beginning of the response is no longer buffered";
                    let refusal = refusals::ran(RefusalReason::Duplicate, message);
                    return Some(Frame::Refused(refusal));
                }
            }
        }
    }

    /// Returns whether the router has received all bytes of a frame before.
    fn is_already_received(&self, frame: &Frame) -> bool {
        matches!(frame, Frame::Data { offset, bytes } if offset + bytes.len() as u64 <= self.start_offset)
    }
}

impl Drop for AttemptReader {
    fn drop(&mut self) {
        if let Some(readers_added) = self.attempt.buffer.remove_reader() {
            cancel_if_abandoned(&self.attempt, readers_added);
        }
    }
}

/// Cancels an idempotent attempt that stays without readers; actions always run to completion.
///
/// A reader that is added and removed in the meantime starts a grace time of its own.
fn cancel_if_abandoned(attempt: &Arc<Attempt>, readers_added: u64) {
    let attempt = Arc::downgrade(attempt);
    tokio::spawn(async move {
        tokio::time::sleep(ABANDONED_GRACE).await;
        if let Some(attempt) = attempt.upgrade()
            && attempt.buffer.is_abandoned_since(readers_added)
        {
            attempt.cancelled.cancel();
        }
    });
}

fn frame_stream(reader: AttemptReader) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        let bytes = encode_frame(&frame).map_err(std::io::Error::other);
        Some((bytes, reader))
    })
}
