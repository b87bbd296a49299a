//! The backend server behind an agent: requests to it and its health.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bulrushward_protocol::{Frame, Header, RunRequest};
use bytes::Bytes;
use snafu::Snafu;

use super::transcript::Transcript;
use crate::{
    error::DaemonError,
    event_stream::{LastEventDetector, is_event_stream},
    failpoint, http,
};

/// Time after which a health probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Headers of one connection, which are not passed on.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
];

/// How a request to the backend server failed.
#[derive(Debug, Snafu)]
pub(crate) enum BackendError {
    /// The connection was not made, so the request did not run.
    #[snafu(display("the backend server did not accept the connection: {detail}"))]
    NotSent { detail: String },
    /// The request was sent; whether it ran is not known.
    #[snafu(display("the backend server broke off: {detail}"))]
    Broken { detail: String },
    /// No byte arrived for too long.
    #[snafu(display("the backend server sent nothing for {seconds} s"))]
    Stuck { seconds: u64 },
    /// The answer ended before its last event.
    #[snafu(display("the streamed answer ended without its last event"))]
    CutShort,
}

/// The backend server of an agent.
#[derive(Debug)]
pub(crate) struct Backend {
    url: String,
    health_path: String,
    silence: Duration,
    client: reqwest::Client,
    probe_client: reqwest::Client,
    well: AtomicBool,
}

impl Backend {
    pub(crate) fn new(
        url: String,
        health_path: String,
        silence: Duration,
    ) -> Result<Self, DaemonError> {
        Ok(Self {
            url,
            health_path,
            silence,
            client: http::pooled_client()?,
            probe_client: http::unpooled_client()?,
            well: AtomicBool::new(true),
        })
    }

    /// Returns whether the last probe was answered.
    pub(crate) fn is_well(&self) -> bool {
        self.well.load(Ordering::Relaxed)
    }

    /// Probes the backend server on a new connection.
    pub(crate) async fn probe(&self) -> bool {
        let url = format!("{}{}", self.url, self.health_path);
        let answer = self
            .probe_client
            .get(url)
            .timeout(PROBE_TIMEOUT)
            .send()
            .await;
        let well = answer.is_ok_and(|answer| answer.status().is_success());
        self.well.store(well, Ordering::Relaxed);
        well
    }

    /// Returns whether a connection is refused, which tells a crash from a lost connection.
    pub(crate) async fn has_crashed(&self) -> bool {
        let url = format!("{}{}", self.url, self.health_path);
        let answer = self
            .probe_client
            .get(url)
            .timeout(PROBE_TIMEOUT)
            .send()
            .await;
        let crashed = matches!(&answer, Err(error) if error.is_connect() && !error.is_timeout());
        if crashed {
            self.well.store(false, Ordering::Relaxed);
        }
        crashed
    }

    /// Sends a request and writes its answer to the transcript, except for the last frame.
    ///
    /// Calls `progress` for each piece of the answer.
    pub(crate) async fn run(
        &self,
        req: &RunRequest,
        transcript: &Transcript,
        progress: &(dyn Fn() + Sync),
    ) -> Result<(), BackendError> {
        let mut answer = self.send(req).await?;
        let headers = kept_headers(&answer);
        let streamed = is_event_stream(&headers);
        failpoint::hit("agent-first-byte");
        transcript.head(Frame::Head {
            status: answer.status().as_u16(),
            headers,
        });
        let mut last_event = LastEventDetector::default();
        while let Some(chunk) = self.next_chunk(&mut answer).await? {
            last_event.push(&chunk);
            transcript.data(chunk).await;
            failpoint::hit("agent-streaming");
            progress();
        }
        if streamed && !last_event.seen() {
            return CutShortSnafu.fail();
        }
        Ok(())
    }

    async fn send(&self, req: &RunRequest) -> Result<reqwest::Response, BackendError> {
        let method = reqwest::Method::from_bytes(req.method.as_bytes()).map_err(|error| {
            BackendError::NotSent {
                detail: error.to_string(),
            }
        })?;
        let mut builder = self
            .client
            .request(method, format!("{}{}", self.url, req.path));
        for header in &req.headers {
            builder = builder.header(&header.name, &header.value);
        }
        let sent = tokio::time::timeout(self.silence, builder.body(req.body.clone()).send()).await;
        let Ok(sent) = sent else {
            return StuckSnafu {
                seconds: self.silence.as_secs(),
            }
            .fail();
        };
        sent.map_err(|error| {
            let detail = describe(&error);
            if error.is_connect() || error.is_builder() {
                BackendError::NotSent { detail }
            } else {
                BackendError::Broken { detail }
            }
        })
    }

    async fn next_chunk(
        &self,
        answer: &mut reqwest::Response,
    ) -> Result<Option<Bytes>, BackendError> {
        match tokio::time::timeout(self.silence, answer.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(error)) => BrokenSnafu {
                detail: describe(&error),
            }
            .fail(),
            Err(_elapsed) => StuckSnafu {
                seconds: self.silence.as_secs(),
            }
            .fail(),
        }
    }
}

fn kept_headers(answer: &reqwest::Response) -> Vec<Header> {
    let kept = answer
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    kept.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    })
    .collect()
}

/// Describes an error with its causes, which the library leaves out of the first line.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
