//! The client of an agent's backend server: requests and health probes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bulrushward_protocol::{Frame, Header, RunRequest};
use bytes::Bytes;
use snafu::Snafu;

use super::replay_buffer::ReplayBuffer;
use crate::{
    error::DaemonError,
    event_stream::{LastEventDetector, is_event_stream},
    failpoint, http,
};

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Response headers that apply to one connection only and are not passed on.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
];

/// Error of a request to the backend server.
#[derive(Debug, Snafu)]
pub(crate) enum BackendError {
    /// The request was not sent, so it did not run.
    #[snafu(display("the request could not be sent to the backend server: {detail}"))]
    NotSent { detail: String },
    /// The connection failed after the request was sent; whether it ran is unknown.
    #[snafu(display("the connection to the backend server was aborted: {detail}"))]
    Aborted { detail: String },
    /// No byte arrived within the read timeout.
    #[snafu(display("the backend server sent no data for {seconds} s"))]
    TimedOut { seconds: u64 },
    /// A streamed response ended before its last event.
    #[snafu(display("the streamed response ended without its last event"))]
    Truncated,
}

/// The backend server of an agent.
#[derive(Debug)]
pub(crate) struct Backend {
    url: String,
    health_path: String,
    read_timeout: Duration,
    client: reqwest::Client,
    probe_client: reqwest::Client,
    healthy: AtomicBool,
}

impl Backend {
    pub(crate) fn new(
        url: String,
        health_path: String,
        read_timeout: Duration,
    ) -> Result<Self, DaemonError> {
        Ok(Self {
            url,
            health_path,
            read_timeout,
            client: http::pooled_client()?,
            probe_client: http::unpooled_client()?,
            healthy: AtomicBool::new(true),
        })
    }

    /// Returns whether the last probe succeeded.
    pub(crate) fn is_healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// Probes the backend server on a new connection.
    pub(crate) async fn probe(&self) -> bool {
        let url = format!("{}{}", self.url, self.health_path);
        let response = self
            .probe_client
            .get(url)
            .timeout(PROBE_TIMEOUT)
            .send()
            .await;
        let healthy = response.is_ok_and(|response| response.status().is_success());
        self.healthy.store(healthy, Ordering::Relaxed);
        healthy
    }

    /// Returns whether a new connection is refused, which distinguishes a crash of the backend server
    /// from a failure of one connection.
    pub(crate) async fn has_crashed(&self) -> bool {
        let url = format!("{}{}", self.url, self.health_path);
        let response = self
            .probe_client
            .get(url)
            .timeout(PROBE_TIMEOUT)
            .send()
            .await;
        let crashed = matches!(&response, Err(error) if error.is_connect() && !error.is_timeout());
        if crashed {
            self.healthy.store(false, Ordering::Relaxed);
        }
        crashed
    }

    /// Sends a request and writes its response to the replay buffer, except for the last frame.
    ///
    /// Calls `on_chunk` for each chunk of the response.
    pub(crate) async fn run(
        &self,
        req: &RunRequest,
        buffer: &ReplayBuffer,
        on_chunk: &(dyn Fn() + Sync),
    ) -> Result<(), BackendError> {
        let mut response = self.send(req).await?;
        let headers = response_headers(&response);
        let streamed = is_event_stream(&headers);
        failpoint::hit("agent-first-byte");
        buffer.push_head(Frame::Head {
            status: response.status().as_u16(),
            headers,
        });
        let mut last_event = LastEventDetector::default();
        while let Some(chunk) = self.read_chunk(&mut response).await? {
            last_event.push(&chunk);
            buffer.push_data(chunk).await;
            failpoint::hit("agent-streaming");
            on_chunk();
        }
        if streamed && !last_event.seen() {
            return TruncatedSnafu.fail();
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
        let sent =
            tokio::time::timeout(self.read_timeout, builder.body(req.body.clone()).send()).await;
        let Ok(sent) = sent else {
            return TimedOutSnafu {
                seconds: self.read_timeout.as_secs(),
            }
            .fail();
        };
        sent.map_err(|error| {
            let detail = error_chain(&error);
            if error.is_connect() || error.is_builder() {
                BackendError::NotSent { detail }
            } else {
                BackendError::Aborted { detail }
            }
        })
    }

    async fn read_chunk(
        &self,
        response: &mut reqwest::Response,
    ) -> Result<Option<Bytes>, BackendError> {
        match tokio::time::timeout(self.read_timeout, response.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(error)) => AbortedSnafu {
                detail: error_chain(&error),
            }
            .fail(),
            Err(_elapsed) => TimedOutSnafu {
                seconds: self.read_timeout.as_secs(),
            }
            .fail(),
        }
    }
}

fn response_headers(response: &reqwest::Response) -> Vec<Header> {
    let kept = response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    })
    .collect()
}

/// Formats an error with its causes, which the library's own message omits.
fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
