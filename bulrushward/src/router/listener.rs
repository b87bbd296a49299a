//! The listener for callers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::last_event::LastEventDetector;
use bulrushward_protocol::{Frame, Outcome, RequestId, format_id, headers};
use bytes::Bytes;
use futures_util::{Stream, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router as Routes, async_trait,
    http::{StatusCode, header::HeaderName},
};

use super::{
    Router,
    attempt_stream::{AttemptStream, StreamError},
    classify,
    forward::{self, AgentResponse},
    refusal::{self, Rejection, truncated},
    request_log::{self, RequestLog},
    routed_request::RoutedRequest,
};
use crate::{event_stream::is_event_stream, failpoint};

/// Error code of a truncated response.
const TRUNCATED_CODE: &str = "answer-cut";
/// Delay between the error event of a truncated response and the abort of its connection.
const ABORT_DELAY: Duration = Duration::from_millis(50);

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
        let request = new_request_id();
        let received = Instant::now();
        let routed = classify::chat(&self.router, request, req).await;
        serve(&self.router, request, received, routed, res).await;
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
        let request = new_request_id();
        let received = Instant::now();
        let routed = classify::plain(&self.router, request, req).await;
        serve(&self.router, request, received, routed, res).await;
    }
}

/// Rejects requests to unknown paths.
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
            "the path {:?} does not exist; the chat path is {:?}, plain services are under {:?}",
            truncated(req.uri().path()),
            classify::CHAT_PATH,
            classify::SERVICE_PREFIX,
        );
        let rejection = Rejection::new(StatusCode::NOT_FOUND, "unknown-path", message);
        reject(new_request_id(), Instant::now(), &rejection, res);
    }
}

fn new_request_id() -> RequestId {
    uuid::Uuid::new_v4().as_u128()
}

async fn serve(
    router: &Arc<Router>,
    request: RequestId,
    received: Instant,
    req: Result<RoutedRequest, Rejection>,
    res: &mut Response,
) {
    let req = match req {
        Ok(req) => req,
        Err(rejection) => return reject(request, received, &rejection, res),
    };
    failpoint::hit("router-received");
    router.metrics.request(&req.kind);
    let mut log = RequestLog::new(&req);
    match forward::forward(router, &req).await {
        Ok(response) => {
            let first_byte = req.received.elapsed().as_secs_f64();
            router.metrics.first_byte(&req.kind, first_byte);
            log.response_started(&response.backend, response.status);
            failpoint::hit("router-head");
            render_response(request, response, log, res);
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

fn render_response(
    request: RequestId,
    response: AgentResponse,
    mut log: RequestLog,
    res: &mut Response,
) {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    res.status_code(status);
    for header in &response.headers {
        // Only the fleet itself may set headers with its prefix.
        if header.name.starts_with(headers::PREFIX) {
            continue;
        }
        // Headers of the backend server that are not valid here cannot be forwarded.
        let Ok(name) = header.name.parse::<HeaderName>() else {
            continue;
        };
        let Ok(value) = header.value.parse() else {
            continue;
        };
        res.headers_mut().append(name, value);
    }
    refusal::set_header(res, headers::REQUEST_ID, &format_id(request));
    refusal::set_header(res, headers::BACKEND, &response.backend);
    if response.remaining.is_none() {
        let body: Vec<u8> = response.chunks.into_iter().flatten().collect();
        log.add_bytes(body.len());
        log.response_completed();
        res.body(body);
        return;
    }
    let is_event_stream = is_event_stream(&response.headers);
    res.stream(body_stream(Relay {
        request,
        response,
        log,
        is_event_stream,
        last_event: LastEventDetector::default(),
        aborted: false,
    }));
}

/// The body of a response that is streamed to the caller.
struct Relay {
    request: RequestId,
    response: AgentResponse,
    log: RequestLog,
    is_event_stream: bool,
    last_event: LastEventDetector,
    aborted: bool,
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(chunk) = self.response.chunks.pop_front() {
            return Some(Ok(self.record(chunk)));
        }
        let stream = self.response.remaining.as_mut()?;
        match next_chunk(stream).await {
            Ok(Some(chunk)) => {
                failpoint::hit("router-streaming");
                Some(Ok(self.record(chunk)))
            }
            Ok(None) => self.finish(),
            // The agent was lost after the last event, so the response is complete.
            Err(_) if self.is_event_stream && self.last_event.seen() => self.finish(),
            Err(message) => Some(self.abort(&message)),
        }
    }

    fn record(&mut self, chunk: Bytes) -> Bytes {
        self.last_event.push(&chunk);
        self.log.add_bytes(chunk.len());
        chunk
    }

    fn finish<T>(&mut self) -> Option<T> {
        self.log.response_completed();
        None
    }

    /// Aborts a response that cannot be completed.
    ///
    /// An event stream gets an error event first. In every case the connection is aborted, so that
    /// the response never looks complete.
    fn abort(&mut self, message: &str) -> Result<Bytes, std::io::Error> {
        self.aborted = true;
        self.log.response_truncated(message);
        if !self.is_event_stream {
            return Err(std::io::Error::other(message.to_owned()));
        }
        let outcome = Outcome::Unknown;
        let body = refusal::error_body(self.request, "refused", TRUNCATED_CODE, outcome, message);
        Ok(Bytes::from(format!("data: {body}\n\n")))
    }
}

/// Returns the next chunk of a body, or `None` if the response is complete.
async fn next_chunk(stream: &mut AttemptStream) -> Result<Option<Bytes>, String> {
    match stream
        .next()
        .await
        .map_err(|error: StreamError| error.to_string())?
    {
        Frame::Data { bytes, .. } => Ok(Some(bytes)),
        Frame::End { .. } => Ok(None),
        Frame::Refused(refusal) => Err(refusal.message),
        _ => Err(stream.out_of_order().to_string()),
    }
}

fn body_stream(relay: Relay) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
    stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        if relay.aborted {
            // The delay lets the error event reach the caller before the connection is aborted.
            tokio::time::sleep(ABORT_DELAY).await;
            return Some((
                Err(std::io::Error::other("the response was truncated")),
                None,
            ));
        }
        let chunk = relay.next().await?;
        let next = chunk.is_ok().then_some(relay);
        Some((chunk, next))
    })
}
