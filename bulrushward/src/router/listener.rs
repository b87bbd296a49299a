//! The listener for callers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Frame, Outcome, Refusal, RequestId, format_id, headers};
use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router as Routes, async_trait,
    http::{StatusCode, header::HeaderName},
};
use tracing::info;

use super::{
    Router,
    attempt_stream::{AttemptStream, Broken},
    classify,
    forward::{self, Answer},
    job::Job,
    refusal::{self, Rejection},
};
use crate::{
    event_stream::{LastEvent, is_event_stream},
    failpoint,
};

/// Error that ends a streamed answer which was cut.
const CUT_CODE: &str = "answer-cut";
/// Time between the error event of a cut answer and the end of its connection.
const CUT_PAUSE: Duration = Duration::from_millis(50);

pub(crate) fn routes(router: &Arc<Router>) -> Routes {
    let chat = ChatHandler {
        router: Arc::clone(router),
    };
    let plain = PlainHandler {
        router: Arc::clone(router),
    };
    Routes::new()
        .push(Routes::with_path("v1/chat/completions").post(chat))
        .push(Routes::with_path("svc/{**rest}").goal(plain))
}

struct ChatHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for ChatHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let request = new_request();
        let job = classify::chat(&self.router, request, req).await;
        serve(&self.router, request, job, res).await;
    }
}

struct PlainHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for PlainHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let request = new_request();
        let job = classify::plain(&self.router, request, req).await;
        serve(&self.router, request, job, res).await;
    }
}

fn new_request() -> RequestId {
    uuid::Uuid::new_v4().as_u128()
}

async fn serve(
    router: &Arc<Router>,
    request: RequestId,
    job: Result<Job, Rejection>,
    res: &mut Response,
) {
    let job = match job {
        Ok(job) => job,
        Err(rejection) => {
            info!(
                event = "request-rejected",
                request = format_id(request),
                code = rejection.code,
                message = rejection.message,
            );
            return rejection.render(request, res);
        }
    };
    failpoint::hit("router-received");
    router.metrics.request(&job.kind);
    match forward::forward(router, &job).await {
        Ok(answer) => {
            let first_byte = job.received.elapsed();
            router
                .metrics
                .first_byte(&job.kind, first_byte.as_secs_f64());
            log_answer(&job, &answer.backend, first_byte.as_millis() as u64);
            failpoint::hit("router-head");
            render_answer(request, answer, res);
        }
        Err(refused) => {
            router.metrics.refused(refused.reason);
            log_refusal(&job, &refused);
            refusal::render_refusal(&refused, request, res);
        }
    }
}

fn log_answer(job: &Job, backend: &str, first_byte_ms: u64) {
    info!(
        event = "request-answered",
        request = format_id(job.request),
        organisation = job.organisation,
        service = job.service.name,
        kind = job.kind,
        chat = format!("{:016x}", job.chat),
        backend,
        first_byte_ms,
    );
}

fn log_refusal(job: &Job, refused: &Refusal) {
    info!(
        event = "request-refused",
        request = format_id(job.request),
        organisation = job.organisation,
        service = job.service.name,
        kind = job.kind,
        chat = format!("{:016x}", job.chat),
        reason = %refused.reason,
        outcome = %refused.outcome,
        retry_after_ms = refused.retry_after_ms,
        milliseconds = job.received.elapsed().as_millis() as u64,
    );
}

fn render_answer(request: RequestId, answer: Answer, res: &mut Response) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    for header in &answer.headers {
        // Headers of the backend server that are not valid here cannot be passed on.
        let Ok(name) = header.name.parse::<HeaderName>() else {
            continue;
        };
        let Ok(value) = header.value.parse() else {
            continue;
        };
        res.headers_mut().append(name, value);
    }
    refusal::set(res, headers::REQUEST_ID, &format_id(request));
    refusal::set(res, headers::BACKEND, &answer.backend);
    if answer.rest.is_none() {
        let body: Vec<u8> = answer.pieces.into_iter().flatten().collect();
        res.body(body);
        return;
    }
    let is_event_stream = is_event_stream(&answer.headers);
    res.stream(pieces(Relay {
        request,
        answer,
        is_event_stream,
        last_event: LastEvent::default(),
        ended: false,
    }));
}

/// The rest of an answer on its way to the caller.
struct Relay {
    request: RequestId,
    answer: Answer,
    is_event_stream: bool,
    last_event: LastEvent,
    ended: bool,
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(piece) = self.answer.pieces.pop_front() {
            self.last_event.push(&piece);
            return Some(Ok(piece));
        }
        let stream = self.answer.rest.as_mut()?;
        let started = Instant::now();
        match next_piece(stream).await {
            Ok(Some(piece)) => {
                failpoint::hit("router-streaming");
                self.last_event.push(&piece);
                Some(Ok(piece))
            }
            Ok(None) => None,
            // The agent was lost after the last event, so the caller misses nothing.
            Err(_) if self.is_event_stream && self.last_event.seen() => None,
            Err(message) => Some(self.cut(message, started)),
        }
    }

    /// Ends an answer that cannot be finished: an error event if the answer is an event stream,
    /// and in any case a connection that breaks off, never an end that looks whole.
    fn cut(&mut self, message: String, since: Instant) -> Result<Bytes, std::io::Error> {
        if self.ended {
            return Err(std::io::Error::other(message));
        }
        self.ended = true;
        info!(
            event = "answer-cut",
            request = format_id(self.request),
            backend = self.answer.backend,
            message,
            milliseconds = since.elapsed().as_millis() as u64,
        );
        if !self.is_event_stream {
            return Err(std::io::Error::other(message));
        }
        let outcome = Outcome::Unknown;
        let body = refusal::error_body(self.request, "refused", CUT_CODE, outcome, &message);
        Ok(Bytes::from(format!("data: {body}\n\n")))
    }
}

/// Returns the next piece of a body, or `None` after a whole answer.
async fn next_piece(stream: &mut AttemptStream) -> Result<Option<Bytes>, String> {
    match stream
        .next()
        .await
        .map_err(|error: Broken| error.to_string())?
    {
        Frame::Data { bytes, .. } => Ok(Some(bytes)),
        Frame::End { .. } => Ok(None),
        Frame::Refused(refusal) => Err(refusal.message),
        _ => Err(stream.out_of_order().to_string()),
    }
}

fn pieces(relay: Relay) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        if relay.ended {
            // The error event goes out before the connection breaks off.
            tokio::time::sleep(CUT_PAUSE).await;
            return Some((Err(std::io::Error::other("the answer was cut")), None));
        }
        let piece = relay.next().await?;
        let next = piece.is_ok().then_some(relay);
        Some((piece, next))
    })
}
