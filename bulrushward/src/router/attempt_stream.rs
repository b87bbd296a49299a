//! The answer of one attempt, resumed on a new connection whenever the old one goes silent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushward_protocol::{
    ActionKey, AttemptId, BarRequest, CodecError, Frame, FrameDecoder, Outcome, RunRequest, decode,
    encode, format_id,
};
use bytes::Bytes;
use reqwest::StatusCode;
use snafu::{ResultExt, Snafu};
use tracing::info;

use super::Router;
use crate::failpoint;

/// New connections that are tried after one went silent.
const MAX_RESUMES: u32 = 3;
/// Pause before a further new connection to an agent that did not answer the last one.
const RESUME_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a request to bar an attempt is given up.
const BAR_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the answer of an attempt cannot be had.
#[derive(Debug, Snafu)]
pub(crate) enum Broken {
    /// The agent answers on no connection.
    #[snafu(display("agent {agent} does not answer: {detail}"))]
    Silent { agent: SocketAddr, detail: String },
    /// The agent no longer knows the attempt.
    #[snafu(display("agent {agent} does not know attempt {}", format_id(*attempt)))]
    Forgotten {
        agent: SocketAddr,
        attempt: AttemptId,
    },
    /// A frame belongs to another attempt or is out of order.
    #[snafu(display("agent {agent} sent an answer that does not fit: {detail}"))]
    Mismatch {
        agent: SocketAddr,
        detail: &'static str,
    },
    /// A frame cannot be decoded.
    #[snafu(display("agent {agent} sent a bad frame: {source}"))]
    BadFrame {
        agent: SocketAddr,
        source: CodecError,
    },
}

/// How far an attempt is, as far as its router has heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Sent,
    Admitted,
    Started,
    Head,
    /// Ended, or given up by the router.
    Done,
}

/// One attempt as its router sees it.
pub(crate) struct AttemptStream {
    router: Arc<Router>,
    agent: SocketAddr,
    attempt: AttemptId,
    action: Option<ActionKey>,
    encoded: Bytes,
    connection: Option<reqwest::Response>,
    decoder: FrameDecoder,
    stage: Stage,
    received: u64,
    resumes: u32,
}

impl AttemptStream {
    /// Prepares an attempt at an agent; nothing is sent before the first [`AttemptStream::next`].
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
            encoded: encode(req)?.into(),
            connection: None,
            decoder: FrameDecoder::default(),
            stage: Stage::Sent,
            received: 0,
            resumes: 0,
        })
    }

    /// Returns whether the agent said that the attempt started.
    pub(crate) fn has_started(&self) -> bool {
        self.stage >= Stage::Started
    }

    /// Returns the next frame that the router has not seen; heartbeats are left out.
    pub(crate) async fn next(&mut self) -> Result<Frame, Broken> {
        if self.connection.is_none() && self.resumes == 0 {
            self.open_first().await?;
        }
        loop {
            let decoded = self.decoder.next_frame();
            let decoded = decoded.context(BadFrameSnafu { agent: self.agent })?;
            if let Some(frame) = decoded {
                if let Some(frame) = self.accept(frame)? {
                    return Ok(frame);
                }
                continue;
            }
            if let Err(detail) = self.read_more().await {
                self.resume(detail).await?;
            }
        }
    }

    /// Checks a frame against what was received; `None` if it brings nothing new.
    fn accept(&mut self, frame: Frame) -> Result<Option<Frame>, Broken> {
        let agent = self.agent;
        if self.stage < Stage::Admitted
            && !matches!(frame, Frame::Admitted { .. } | Frame::Refused(_))
        {
            return MismatchSnafu {
                agent,
                detail: "the first frame does not name the attempt",
            }
            .fail();
        }
        match frame {
            Frame::Admitted { attempt, .. } if attempt != self.attempt => MismatchSnafu {
                agent,
                detail: "it belongs to another attempt",
            }
            .fail(),
            Frame::Admitted { .. } => {
                self.reach(Stage::Admitted);
                Ok(None)
            }
            Frame::Heartbeat => Ok(None),
            Frame::Started => {
                self.reach(Stage::Started);
                Ok(None)
            }
            Frame::Head { .. } if self.stage >= Stage::Head => Ok(None),
            Frame::Head { .. } => {
                self.reach(Stage::Head);
                Ok(Some(frame))
            }
            Frame::Data { offset, bytes } => self.accept_data(offset, bytes),
            Frame::End { length } if length != self.received => MismatchSnafu {
                agent,
                detail: "it ended before its length",
            }
            .fail(),
            Frame::End { .. } | Frame::Refused(_) => {
                self.reach(Stage::Done);
                Ok(Some(frame))
            }
        }
    }

    /// Moves on to a stage; resuming repeats earlier ones, which change nothing.
    fn reach(&mut self, stage: Stage) {
        self.stage = self.stage.max(stage);
    }

    fn accept_data(&mut self, offset: u64, mut bytes: Bytes) -> Result<Option<Frame>, Broken> {
        let Some(known) = self.received.checked_sub(offset) else {
            let detail = "a piece is missing";
            return MismatchSnafu {
                agent: self.agent,
                detail,
            }
            .fail();
        };
        if known >= bytes.len() as u64 {
            return Ok(None);
        }
        let bytes = bytes.split_off(known as usize);
        let offset = self.received;
        self.received += bytes.len() as u64;
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
            Ok(Ok(None)) => Err("the connection ended before the answer".to_owned()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_elapsed) => Err("the connection went silent".to_owned()),
        }
    }

    async fn open_first(&mut self) -> Result<(), Broken> {
        let client = self.router.pooled.clone();
        match self.post(&client).await {
            Ok(connection) => {
                self.connection = Some(connection);
                failpoint::hit("router-sent");
                Ok(())
            }
            Err(detail) => self.resume(detail).await,
        }
    }

    async fn post(&self, client: &reqwest::Client) -> Result<reqwest::Response, String> {
        let url = format!("http://{}/inner/run", self.agent);
        let sending = client.post(url).body(self.encoded.clone()).send();
        match tokio::time::timeout(self.router.heartbeat_timeout(), sending).await {
            Ok(sent) => sent.map_err(|error| error.to_string()),
            Err(_elapsed) => Err("no answer to the attempt".to_owned()),
        }
    }

    /// Reaches the agent on a new connection and goes on where the answer stopped.
    ///
    /// The old connection is dropped and, being unfinished, never used again.
    async fn resume(&mut self, mut detail: String) -> Result<(), Broken> {
        self.connection = None;
        self.decoder = FrameDecoder::default();
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            match self.reopen().await {
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
                    return ForgottenSnafu {
                        agent: self.agent,
                        attempt,
                    }
                    .fail();
                }
                Err(error) => detail = error,
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        SilentSnafu {
            agent: self.agent,
            detail,
        }
        .fail()
    }

    /// Opens a new connection; `None` if the agent forgot an attempt that it had admitted.
    async fn reopen(&self) -> Result<Option<reqwest::Response>, String> {
        let attempt = format_id(self.attempt);
        let from = self.received;
        let url = format!("http://{}/inner/attempts/{attempt}?from={from}", self.agent);
        let sending = self.router.fresh.get(url).send();
        let answer = match tokio::time::timeout(self.router.heartbeat_timeout(), sending).await {
            Ok(sent) => sent.map_err(|error| error.to_string())?,
            Err(_elapsed) => return Err("no answer on a new connection".to_owned()),
        };
        if answer.status() != StatusCode::NOT_FOUND {
            return Ok(Some(answer));
        }
        if self.stage >= Stage::Admitted {
            return Ok(None);
        }
        // The attempt never arrived, and a repeat of the same attempt cannot run twice.
        self.post(&self.router.fresh).await.map(Some)
    }

    /// Describes a frame that may not stand at this place.
    pub(crate) fn out_of_order(&self) -> Broken {
        Broken::Mismatch {
            agent: self.agent,
            detail: "a frame is out of order",
        }
    }

    /// Gives the attempt up without a word to its agent.
    pub(crate) fn abandon(&mut self) {
        self.reach(Stage::Done);
    }

    /// Makes sure, if possible, that the attempt never starts.
    pub(crate) async fn bar(&mut self) -> Outcome {
        self.reach(Stage::Done);
        bar(&self.router, self.agent, self.attempt, self.action).await
    }
}

impl Drop for AttemptStream {
    /// Frees the backend server from an answer that nobody wants; actions run to their end.
    fn drop(&mut self) {
        if self.stage == Stage::Done || self.action.is_some() {
            return;
        }
        let router = Arc::clone(&self.router);
        let (agent, attempt) = (self.agent, self.attempt);
        tokio::spawn(async move { bar(&router, agent, attempt, None).await });
    }
}

/// Asks an agent to bar an attempt and returns what became of it.
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
    let sent = router
        .fresh
        .post(url)
        .timeout(BAR_TIMEOUT)
        .body(body)
        .send()
        .await;
    let Ok(answer) = sent else {
        return Outcome::Unknown;
    };
    let Ok(body) = answer.bytes().await else {
        return Outcome::Unknown;
    };
    decode(&body).unwrap_or(Outcome::Unknown)
}
