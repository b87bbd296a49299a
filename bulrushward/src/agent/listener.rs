//! The inner listener of an agent: attempts, resuming and barring.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bulrushward_protocol::{
    AttemptId, BarRequest, Frame, Header, Outcome, Refusal, RefusalReason, RunRequest, WorkUnits,
    decode, encode, encode_frame,
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderName, HeaderValue, Method, StatusCode},
};
use serde::de::DeserializeOwned;

use super::{ABANDONED_GRACE, Agent, attempts::Attempt, refusals, transcript::Read};
use crate::failpoint;

/// Largest encoded request in bytes: a caller's body and its envelope.
const MAX_REQUEST_BYTES: usize = 64 << 20;
/// Longest deadline of an attempt in milliseconds: a year, as in the operators' text.
const MAX_DEADLINE_MS: u64 = 366 * 24 * 60 * 60 * 1_000;
/// Largest estimated work of an attempt, so that no sum of work overflows.
const MAX_WORK: WorkUnits = 1 << 40;
/// Time without a frame after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Path of a new attempt.
const RUN_PATH: &str = "inner/run";
/// Path of a known attempt.
const ATTEMPT_PATH: &str = "inner/attempts/{attempt}";
/// Path to bar an attempt.
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
        let run = match message::<RunRequest>(req).await {
            Ok(run) => run,
            Err(message) => return bad_request(res, &message),
        };
        if let Err(fault) = check(&run) {
            return bad_request(res, fault);
        }
        failpoint::hit("agent-received");
        let id = run.attempt;
        match self.agent.receive(run) {
            Ok(attempt) => answer(&self.agent, res, attempt, id, 0),
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
        let Some(attempt) = self.agent.attempts.get(id) else {
            res.status_code(StatusCode::NOT_FOUND);
            let message = "the attempt is not known here";
            return refuse(res, refusals::unknown(RefusalReason::Restarted, message));
        };
        answer(&self.agent, res, attempt, id, from);
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
        let bar = match message::<BarRequest>(req).await {
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
    /// Bars an attempt here and, if it is an action of another agent, in the record of claims.
    async fn bar(&self, bar: BarRequest) -> Outcome {
        let known = self.attempts.get(bar.attempt);
        let message = "the router gave the request up";
        let refusal = refusals::not_run(RefusalReason::Cancelled, message);
        let barred = self.attempts.bar(bar.attempt, refusal);
        if let Some(attempt) = &known
            && attempt.req.attempt == bar.attempt
        {
            attempt.cancelled.cancel();
        }
        let certain = match (known, bar.action) {
            (None, Some(action)) => self.claims.bar(action, bar.attempt).await,
            _ => barred,
        };
        if certain {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

/// Reads an inner message.
async fn message<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
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

/// Checks what the types of a decoded request leave open.
fn check(run: &RunRequest) -> Result<(), &'static str> {
    if run.deadline_ms > MAX_DEADLINE_MS {
        return Err("the deadline is more than a year away");
    }
    if run.work > MAX_WORK {
        return Err("the estimated work is beyond reason");
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

fn bad_request(res: &mut Response, message: &str) {
    res.status_code(StatusCode::BAD_REQUEST);
    refuse(res, refusals::not_run(RefusalReason::BadRequest, message));
}

fn refuse(res: &mut Response, refusal: Refusal) {
    if let Ok(bytes) = encode_frame(&Frame::Refused(refusal)) {
        res.body(bytes);
    }
}

/// Streams the frames of an attempt from an offset of its body.
fn answer(agent: &Arc<Agent>, res: &mut Response, attempt: Arc<Attempt>, id: AttemptId, from: u64) {
    let load = agent.lock_queue().load();
    res.stream(frames(Reader::new(attempt, id, from, load)));
}

/// One connection that reads an attempt.
struct Reader {
    attempt: Arc<Attempt>,
    written: tokio::sync::watch::Receiver<usize>,
    admitted: Option<Frame>,
    position: usize,
    from: u64,
    done: bool,
}

impl Reader {
    fn new(attempt: Arc<Attempt>, id: AttemptId, from: u64, load: u64) -> Self {
        attempt.transcript.attach();
        Self {
            written: attempt.transcript.written(),
            attempt,
            admitted: Some(Frame::Admitted { attempt: id, load }),
            position: 0,
            from,
            done: false,
        }
    }

    async fn next(&mut self) -> Option<Frame> {
        if let Some(frame) = self.admitted.take() {
            return Some(frame);
        }
        if self.done {
            return None;
        }
        loop {
            self.written.mark_unchanged();
            match self.attempt.transcript.read(self.position) {
                Read::Frame(frame) => {
                    self.position += 1;
                    if self.is_known(&frame) {
                        continue;
                    }
                    self.done = matches!(frame, Frame::End { .. } | Frame::Refused(_));
                    return Some(frame);
                }
                Read::Wait => {
                    let change = self.written.changed();
                    if tokio::time::timeout(HEARTBEAT_INTERVAL, change)
                        .await
                        .is_err()
                    {
                        return Some(Frame::Heartbeat);
                    }
                }
                Read::End => return None,
                Read::Lost => {
                    self.done = true;
                    let message = "the beginning of the answer is no longer kept";
                    let refusal = refusals::ran(RefusalReason::Duplicate, message);
                    return Some(Frame::Refused(refusal));
                }
            }
        }
    }

    /// Returns whether the reader has all bytes of a frame already.
    fn is_known(&self, frame: &Frame) -> bool {
        matches!(frame, Frame::Data { offset, bytes } if offset + bytes.len() as u64 <= self.from)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.attempt.transcript.detach() {
            cancel_if_abandoned(&Arc::downgrade(&self.attempt));
        }
    }
}

/// Cancels an idempotent attempt that nobody reads for a while; actions always run to their end.
fn cancel_if_abandoned(attempt: &Weak<Attempt>) {
    let attempt = Weak::clone(attempt);
    tokio::spawn(async move {
        tokio::time::sleep(ABANDONED_GRACE).await;
        if let Some(attempt) = attempt.upgrade()
            && attempt.transcript.abandoned()
        {
            attempt.cancelled.cancel();
        }
    });
}

fn frames(reader: Reader) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        let bytes = encode_frame(&frame).map_err(std::io::Error::other);
        Some((bytes, reader))
    })
}
