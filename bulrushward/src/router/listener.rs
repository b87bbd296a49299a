//! The listener for callers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Frame, Outcome, RequestId, format_id, headers};
use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router as Routes, async_trait,
    http::{StatusCode, header::HeaderName},
};

use super::{
    Router,
    attempt_stream::{AttemptStream, Broken},
    classify,
    forward::{self, Answer},
    job::Job,
    refusal::{self, Rejection, shortened},
    request_log::{self, RequestLog},
};
use crate::{
    event_stream::{LastEventDetector, is_event_stream},
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
        .push(Routes::with_path("v1/chat/completions").goal(chat))
        .push(Routes::with_path("svc/{**rest}").goal(plain))
        .push(Routes::with_path("{**rest}").goal(UnknownHandler))
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
        let received = Instant::now();
        let job = classify::chat(&self.router, request, req).await;
        serve(&self.router, request, received, job, res).await;
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
        let received = Instant::now();
        let job = classify::plain(&self.router, request, req).await;
        serve(&self.router, request, received, job, res).await;
    }
}

/// Answers paths at which the fleet offers nothing.
struct UnknownHandler;

#[async_trait]
impl Handler for UnknownHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let message = format!(
            "the path {:?} does not exist; chats are at {:?}, services below {:?}",
            shortened(req.uri().path()),
            classify::CHAT_PATH,
            classify::SERVICE_PREFIX,
        );
        let rejection = Rejection::new(StatusCode::NOT_FOUND, "unknown-path", message);
        reject(new_request(), Instant::now(), &rejection, res);
    }
}

fn new_request() -> RequestId {
    uuid::Uuid::new_v4().as_u128()
}

async fn serve(
    router: &Arc<Router>,
    request: RequestId,
    received: Instant,
    job: Result<Job, Rejection>,
    res: &mut Response,
) {
    let job = match job {
        Ok(job) => job,
        Err(rejection) => return reject(request, received, &rejection, res),
    };
    failpoint::hit("router-received");
    router.metrics.request(&job.kind);
    let mut log = RequestLog::new(&job);
    match forward::forward(router, &job).await {
        Ok(answer) => {
            let first_byte = job.received.elapsed().as_secs_f64();
            router.metrics.first_byte(&job.kind, first_byte);
            log.answered(&answer.backend, answer.status);
            failpoint::hit("router-head");
            render_answer(request, answer, log, res);
        }
        Err(refused) => {
            router.metrics.refused(refused.reason);
            log.refused(&refused);
            refusal::render_refusal(&refused, request, res);
        }
    }
}

fn reject(request: RequestId, received: Instant, rejection: &Rejection, res: &mut Response) {
    request_log::rejected(request, received, rejection);
    rejection.render(request, res);
}

fn render_answer(request: RequestId, answer: Answer, mut log: RequestLog, res: &mut Response) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    for header in &answer.headers {
        // Only the fleet speaks for itself to its callers.
        if header.name.starts_with(headers::PREFIX) {
            continue;
        }
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
        log.passed(body.len());
        log.ended();
        res.body(body);
        return;
    }
    let is_event_stream = is_event_stream(&answer.headers);
    res.stream(pieces(Relay {
        request,
        answer,
        log,
        is_event_stream,
        last_event: LastEventDetector::default(),
        ended: false,
    }));
}

/// The rest of an answer on its way to the caller.
struct Relay {
    request: RequestId,
    answer: Answer,
    log: RequestLog,
    is_event_stream: bool,
    last_event: LastEventDetector,
    ended: bool,
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(piece) = self.answer.pieces.pop_front() {
            return Some(Ok(self.pass(piece)));
        }
        let stream = self.answer.rest.as_mut()?;
        match next_piece(stream).await {
            Ok(Some(piece)) => {
                failpoint::hit("router-streaming");
                Some(Ok(self.pass(piece)))
            }
            Ok(None) => self.end(),
            // The agent was lost after the last event, so the caller misses nothing.
            Err(_) if self.is_event_stream && self.last_event.seen() => self.end(),
            Err(message) => Some(self.cut(&message)),
        }
    }

    fn pass(&mut self, piece: Bytes) -> Bytes {
        self.last_event.push(&piece);
        self.log.passed(piece.len());
        piece
    }

    fn end<T>(&mut self) -> Option<T> {
        self.log.ended();
        None
    }

    /// Ends an answer that cannot be finished: an error event if the answer is an event stream,
    /// and in any case a connection that breaks off, never an end that looks whole.
    fn cut(&mut self, message: &str) -> Result<Bytes, std::io::Error> {
        self.ended = true;
        self.log.cut(message);
        if !self.is_event_stream {
            return Err(std::io::Error::other(message.to_owned()));
        }
        let outcome = Outcome::Unknown;
        let body = refusal::error_body(self.request, "refused", CUT_CODE, outcome, message);
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
