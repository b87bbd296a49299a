//! The client of an agent's backend server: requests and health probes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bulrushward_policy::{
    body_end::{self, BodyEnd, Framing, SenderState},
    last_event::LastEventDetector,
    response_status,
};
use bulrushward_protocol::{Frame, Header, RunRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use snafu::Snafu;
use tokio::time::{sleep, timeout};

use super::replay_buffer::ReplayBuffer;
use crate::{
    event_stream::is_event_stream,
    failpoint,
    http_client::{HttpClient, HttpError, HttpResponse},
};

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time in which the system closes all sockets of a process that ends, its listener among them.
const EXIT_TIME: Duration = Duration::from_millis(20);
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
    /// The response has a status that no response may have; the request may have run.
    #[snafu(display(
        "the backend server responded with {status}, which is no status of a response"
    ))]
    InvalidStatus { status: u16 },
    /// A response ended, but nothing shows that it is complete.
    #[snafu(display("the response of the backend server ended before it was complete"))]
    Truncated,
}

/// The backend server of an agent.
#[derive(Debug)]
pub(crate) struct Backend {
    url: String,
    health_path: String,
    read_timeout: Duration,
    client: HttpClient,
    probe_client: HttpClient,
    healthy: AtomicBool,
}

impl Backend {
    pub(crate) fn new(url: String, health_path: String, read_timeout: Duration) -> Self {
        Self {
            url,
            health_path,
            read_timeout,
            client: HttpClient::pooled(),
            probe_client: HttpClient::unpooled(),
            healthy: AtomicBool::new(true),
        }
    }

    /// Returns whether the last probe succeeded.
    pub(crate) fn is_healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// Probes the backend server on a new connection and returns whether it is healthy.
    pub(crate) async fn probe(&self) -> bool {
        let response = self.call_health().await;
        let healthy = matches!(response, Some(Ok(response)) if response.status().is_success());
        self.healthy.store(healthy, Ordering::Relaxed);
        healthy
    }

    /// Returns whether a new connection is refused, which distinguishes a crash of the backend server
    /// from a failure of one connection. A crashed server counts as unhealthy until the next probe.
    pub(crate) async fn has_crashed(&self) -> bool {
        let response = self.call_health().await;
        let crashed = matches!(response, Some(Err(error)) if error.is_refused());
        if crashed {
            self.healthy.store(false, Ordering::Relaxed);
        }
        crashed
    }

    /// Calls the health path on a new connection; returns `None` if there is no response in time.
    async fn call_health(&self) -> Option<Result<HttpResponse, HttpError>> {
        let url = format!("{}{}", self.url, self.health_path);
        let req = Request::get(url).body(Full::default()).ok()?;
        timeout(PROBE_TIMEOUT, self.probe_client.send(req))
            .await
            .ok()
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
        let status = response.status().as_u16();
        if !response_status::is_final(status) {
            return InvalidStatusSnafu { status }.fail();
        }
        let headers = response_headers(&response);
        let framing = response.framing();
        let streamed = is_event_stream(&headers);
        failpoint::hit("agent-first-byte");
        buffer.push_head(Frame::Head { status, headers });
        let mut last_event = LastEventDetector::default();
        while let Some(chunk) = self.read_chunk(&mut response).await? {
            last_event.push(&chunk);
            buffer.push_data(chunk).await;
            failpoint::hit("agent-streaming");
            on_chunk();
        }
        let complete = if streamed {
            last_event.seen()
        } else {
            self.judge_end(framing).await == BodyEnd::Complete
        };
        if complete {
            Ok(())
        } else {
            TruncatedSnafu.fail()
        }
    }

    /// Judges the end of a response that is no event stream.
    async fn judge_end(&self, framing: Framing) -> BodyEnd {
        let sender = match framing {
            Framing::Length | Framing::Chunked => SenderState::Unknown,
            Framing::UntilClose => self.find_sender().await,
        };
        body_end::judge(framing, sender)
    }

    /// Returns whether the backend server, which has just closed a connection, still runs.
    async fn find_sender(&self) -> SenderState {
        sleep(EXIT_TIME).await;
        match self.call_health().await {
            Some(Ok(_response)) => SenderState::Alive,
            Some(Err(_)) | None => SenderState::Gone,
        }
    }

    async fn send(&self, req: &RunRequest) -> Result<HttpResponse, BackendError> {
        let mut builder = Request::builder()
            .method(req.method.as_str())
            .uri(format!("{}{}", self.url, req.path));
        for header in &req.headers {
            builder = builder.header(&header.name, &header.value);
        }
        let built = builder.body(Full::new(req.body.clone()));
        let built = built.map_err(|error| BackendError::NotSent {
            detail: error.to_string(),
        })?;
        let sent = timeout(self.read_timeout, self.client.send(built)).await;
        let Ok(sent) = sent else {
            return TimedOutSnafu {
                seconds: self.read_timeout.as_secs(),
            }
            .fail();
        };
        sent.map_err(|error| {
            let detail = error.to_string();
            if matches!(error, HttpError::Connect { .. }) {
                BackendError::NotSent { detail }
            } else {
                BackendError::Aborted { detail }
            }
        })
    }

    async fn read_chunk(&self, response: &mut HttpResponse) -> Result<Option<Bytes>, BackendError> {
        match timeout(self.read_timeout, response.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(error)) => AbortedSnafu {
                detail: error.to_string(),
            }
            .fail(),
            Err(_elapsed) => TimedOutSnafu {
                seconds: self.read_timeout.as_secs(),
            }
            .fail(),
        }
    }
}

fn response_headers(response: &HttpResponse) -> Vec<Header> {
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
