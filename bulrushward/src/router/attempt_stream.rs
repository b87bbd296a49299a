//! The response stream of one attempt, resumed on a new connection when the old one fails.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::response_owner::ArrivedHead;
use bulrushward_protocol::{
    ActionKey, AttemptId, BarRequest, CodecError, Frame, FrameDecoder, Outcome, RunRequest, decode,
    encode, format_id, headers,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;
use tracing::info;

use super::Router;
use crate::{
    failpoint,
    http_client::{HttpClient, HttpResponse},
};

/// Maximum number of consecutive new connections to the agent without progress of the attempt.
const MAX_RESUMES: u32 = 3;
/// Delay before the next connection to an agent that did not respond on the last one.
const RESUME_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a call that bars an attempt.
const BAR_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends the response stream of an attempt.
#[derive(Debug, Snafu)]
pub(crate) enum StreamError {
    /// The agent does not respond on any connection.
    #[snafu(display("agent {agent} does not respond: {detail}"))]
    Unresponsive { agent: SocketAddr, detail: String },
    /// The agent does not know the attempt any more.
    #[snafu(display("agent {agent} does not know attempt {}", format_id(*attempt)))]
    UnknownAttempt {
        agent: SocketAddr,
        attempt: AttemptId,
    },
    /// A frame belongs to another attempt or is out of order.
    #[snafu(display("agent {agent} sent an unexpected frame: {detail}"))]
    UnexpectedFrame {
        agent: SocketAddr,
        detail: &'static str,
    },
    /// A frame cannot be decoded.
    #[snafu(display("agent {agent} sent an invalid frame: {source}"))]
    InvalidFrame {
        agent: SocketAddr,
        source: CodecError,
    },
}

/// Progress of an attempt as known to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Unsent,
    Sent,
    Admitted,
    Started,
    Head,
    /// Ended, or abandoned by the router.
    Done,
}

/// Connections on which an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    /// They may have carried other attempts.
    Pooled,
    /// Each is new.
    Unpooled,
}

impl Client {
    fn of(self, router: &Router) -> &HttpClient {
        match self {
            Self::Pooled => &router.pooled_client,
            Self::Unpooled => &router.unpooled_client,
        }
    }
}

/// The router's side of one attempt at an agent.
pub(crate) struct AttemptStream {
    router: Arc<Router>,
    agent: SocketAddr,
    attempt: AttemptId,
    action: Option<ActionKey>,
    encoded_request: Bytes,
    connection: Option<HttpResponse>,
    decoder: FrameDecoder,
    stage: Stage,
    /// Number of body bytes received.
    received: u64,
    /// Number of new connections since the attempt last made progress.
    resumes: u32,
    /// Time until which a heartbeat counts as progress.
    deadline: Instant,
}

impl AttemptStream {
    /// Prepares an attempt at an agent; nothing is sent before the first call of [`Self::next`].
    pub(crate) fn new(
        router: Arc<Router>,
        agent: SocketAddr,
        req: &RunRequest,
    ) -> Result<Self, CodecError> {
        Ok(Self {
            router,
            agent,
            attempt: req.attempt,
            action: req.action,
            encoded_request: encode(req)?.into(),
            connection: None,
            decoder: FrameDecoder::default(),
            stage: Stage::Unsent,
            received: 0,
            resumes: 0,
            deadline: Instant::now() + Duration::from_millis(req.deadline_ms),
        })
    }

    /// Returns whether the agent reported that the attempt started.
    pub(crate) fn has_started(&self) -> bool {
        self.stage >= Stage::Started
    }

    /// Returns the next part of the response or the refusal, skipping parts that a resumed stream
    /// repeats.
    ///
    /// The other frames (admission, start, heartbeat) are handled internally.
    pub(crate) async fn next(&mut self) -> Result<Frame, StreamError> {
        if self.stage == Stage::Unsent {
            self.advance_to(Stage::Sent);
            self.connect().await?;
        }
        loop {
            let decoded = self.decoder.next_frame();
            let decoded = decoded.context(InvalidFrameSnafu { agent: self.agent })?;
            if let Some(frame) = decoded {
                if let Some(frame) = self.process_frame(frame)? {
                    return Ok(frame);
                }
                continue;
            }
            if let Err(detail) = self.read_more().await {
                self.resume(detail).await?;
            }
        }
    }

    /// Checks a frame against the state of the stream and updates the state; `None` if
    /// [`Self::next`] does not return the frame.
    fn process_frame(&mut self, frame: Frame) -> Result<Option<Frame>, StreamError> {
        let agent = self.agent;
        if self.stage < Stage::Admitted
            && !matches!(frame, Frame::Admitted { .. } | Frame::Refused(_))
        {
            return UnexpectedFrameSnafu {
                agent,
                detail: "the first frame is neither an admission nor a refusal",
            }
            .fail();
        }
        match frame {
            Frame::Admitted { attempt, .. } if attempt != self.attempt => UnexpectedFrameSnafu {
                agent,
                detail: "the frame belongs to another attempt",
            }
            .fail(),
            Frame::Admitted { .. } => {
                self.advance_to(Stage::Admitted);
                Ok(None)
            }
            Frame::Heartbeat => {
                // The agent still works on the attempt and has sent all there is so far.
                if Instant::now() < self.deadline {
                    self.record_progress();
                }
                Ok(None)
            }
            Frame::Started => {
                self.advance_to(Stage::Started);
                Ok(None)
            }
            Frame::Head { .. } if self.stage >= Stage::Head => Ok(None),
            Frame::Head { .. } => {
                self.advance_to(Stage::Head);
                Ok(Some(frame))
            }
            Frame::Data { offset, bytes } => self.process_data(offset, bytes),
            Frame::End { length } if length != self.received => UnexpectedFrameSnafu {
                agent,
                detail: "the announced length differs from the received bytes",
            }
            .fail(),
            Frame::End { .. } | Frame::Refused(_) => {
                self.advance_to(Stage::Done);
                Ok(Some(frame))
            }
        }
    }

    /// Advances to a stage. A resumed stream repeats earlier stages, which have no effect.
    fn advance_to(&mut self, stage: Stage) {
        if stage > self.stage {
            self.stage = stage;
            self.record_progress();
        }
    }

    fn record_progress(&mut self) {
        self.resumes = 0;
    }

    fn process_data(
        &mut self,
        offset: u64,
        mut bytes: Bytes,
    ) -> Result<Option<Frame>, StreamError> {
        let Some(already_received) = self.received.checked_sub(offset) else {
            let detail = "a part of the body is missing";
            return UnexpectedFrameSnafu {
                agent: self.agent,
                detail,
            }
            .fail();
        };
        if already_received >= bytes.len() as u64 {
            return Ok(None);
        }
        let bytes = bytes.split_off(already_received as usize);
        let offset = self.received;
        self.received += bytes.len() as u64;
        self.record_progress();
        Ok(Some(Frame::Data { offset, bytes }))
    }

    async fn read_more(&mut self) -> Result<(), String> {
        let Some(connection) = &mut self.connection else {
            return Err("there is no connection".to_owned());
        };
        match tokio::time::timeout(self.router.heartbeat_timeout(), connection.chunk()).await {
            Ok(Ok(Some(chunk))) => {
                self.decoder.push(&chunk);
                Ok(())
            }
            Ok(Ok(None)) => Err("the connection closed before the response ended".to_owned()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_elapsed) => Err("the connection became unresponsive".to_owned()),
        }
    }

    async fn connect(&mut self) -> Result<(), StreamError> {
        match self.send_attempt(Client::Pooled).await {
            Ok(connection) => {
                self.connection = Some(connection);
                failpoint::hit("router-sent");
                Ok(())
            }
            Err(detail) => self.resume(detail).await,
        }
    }

    async fn send_attempt(&self, client: Client) -> Result<HttpResponse, String> {
        let url = format!("http://{}/inner/run", self.agent);
        let req = Request::post(url).body(Full::new(self.encoded_request.clone()));
        let req = req.map_err(|error| error.to_string())?;
        let sending = client.of(&self.router).send(req);
        let response = match tokio::time::timeout(self.router.heartbeat_timeout(), sending).await {
            Ok(sent) => sent.map_err(|error| error.to_string())?,
            Err(_elapsed) => return Err("no response to the attempt".to_owned()),
        };
        match response.status() {
            StatusCode::OK | StatusCode::BAD_REQUEST => self.check_attempt(response, client),
            status => Err(format!("the agent responded with {status}")),
        }
    }

    /// Checks that a response belongs to the attempt; agents of earlier versions do not name it.
    fn check_attempt(
        &self,
        response: HttpResponse,
        client: Client,
    ) -> Result<HttpResponse, String> {
        let named = response.headers().get(headers::ATTEMPT);
        let head = ArrivedHead {
            awaited: &format_id(self.attempt),
            named: named.and_then(|named| named.to_str().ok()),
            // The head of a response does not tell whether a refusal follows.
            is_refusal: true,
            is_reused: client == Client::Pooled,
        };
        if head.is_awaited() {
            return Ok(response);
        }
        let named = head.named.unwrap_or("none");
        Err(format!("the response is for attempt {named}"))
    }

    /// Connects to the agent again and resumes the response at the first missing byte.
    ///
    /// The old connection is dropped. It is not reused, because its response is unfinished.
    async fn resume(&mut self, mut detail: String) -> Result<(), StreamError> {
        self.connection = None;
        self.decoder = FrameDecoder::default();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            match self.reconnect().await {
                Ok(Some(connection)) => {
                    self.router.metrics.resumed();
                    info!(
                        event = "answer-resumed",
                        attempt = format_id(self.attempt),
                        agent = %self.agent,
                        offset = self.received,
                        cause = detail,
                    );
                    self.connection = Some(connection);
                    return Ok(());
                }
                Ok(None) => {
                    let attempt = self.attempt;
                    return UnknownAttemptSnafu {
                        agent: self.agent,
                        attempt,
                    }
                    .fail();
                }
                Err(error) => detail = error,
            }
            tokio::time::sleep(RESUME_DELAY).await;
        }
        UnresponsiveSnafu {
            agent: self.agent,
            detail,
        }
        .fail()
    }

    /// Opens a new connection; `None` if the agent does not know an attempt that it had admitted.
    async fn reconnect(&self) -> Result<Option<HttpResponse>, String> {
        let attempt = format_id(self.attempt);
        let from = self.received;
        let url = format!("http://{}/inner/attempts/{attempt}?from={from}", self.agent);
        let req = Request::get(url).body(Full::default());
        let req = req.map_err(|error| error.to_string())?;
        let sending = self.router.unpooled_client.send(req);
        let response = match tokio::time::timeout(self.router.heartbeat_timeout(), sending).await {
            Ok(sent) => sent.map_err(|error| error.to_string())?,
            Err(_elapsed) => return Err("no response on a new connection".to_owned()),
        };
        match response.status() {
            StatusCode::OK => return self.check_attempt(response, Client::Unpooled).map(Some),
            StatusCode::NOT_FOUND => {}
            status => return Err(format!("the agent responded with {status}")),
        }
        if self.stage >= Stage::Admitted {
            return Ok(None);
        }
        // The agent never received the attempt. Sending the same attempt again cannot run it twice.
        self.send_attempt(Client::Unpooled).await.map(Some)
    }

    /// Returns the error for a frame that is not allowed at this point of the stream.
    pub(crate) fn out_of_order(&self) -> StreamError {
        StreamError::UnexpectedFrame {
            agent: self.agent,
            detail: "a frame is out of order",
        }
    }

    /// Abandons the attempt without notifying its agent.
    pub(crate) fn abandon(&mut self) {
        self.advance_to(Stage::Done);
    }

    /// Bars the attempt; see [`bar`].
    pub(crate) async fn bar(&mut self) -> Outcome {
        self.advance_to(Stage::Done);
        bar(&self.router, self.agent, self.attempt, self.action).await
    }
}

impl Drop for AttemptStream {
    /// Cancels an unfinished attempt, whose response is no longer wanted, to free the backend server.
    /// Non-idempotent actions run to completion.
    fn drop(&mut self) {
        if self.stage == Stage::Done || self.action.is_some() {
            return;
        }
        let router = Arc::clone(&self.router);
        let (agent, attempt) = (self.agent, self.attempt);
        tokio::spawn(async move { bar(&router, agent, attempt, None).await });
    }
}

/// Asks an agent to bar an attempt: to record a tombstone, so that the attempt can never start.
///
/// An idempotent attempt that has started already is cancelled. Returns [`Outcome::NotRun`] only if
/// it is certain that the attempt never runs.
pub(crate) async fn bar(
    router: &Router,
    agent: SocketAddr,
    attempt: AttemptId,
    action: Option<ActionKey>,
) -> Outcome {
    let Ok(body) = encode(&BarRequest { attempt, action }) else {
        return Outcome::Unknown;
    };
    let url = format!("http://{agent}/inner/bar");
    let Ok(req) = Request::post(url).body(Full::new(body.into())) else {
        return Outcome::Unknown;
    };
    let call = async { router.unpooled_client.send(req).await?.bytes().await };
    match timeout(BAR_TIMEOUT, call).await {
        Ok(Ok(body)) => decode(&body).unwrap_or(Outcome::Unknown),
        Ok(Err(_)) | Err(_) => Outcome::Unknown,
    }
}
