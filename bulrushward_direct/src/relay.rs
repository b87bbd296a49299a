//! Relays a server's stream to the caller and resumes it at another server where that is allowed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::server_attempt::{AttemptFailure, AttemptHistory, NextAttempt};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use strum::IntoStaticStr;
use tracing::{info, warn};

use crate::{
    attempt::{self, AttemptError, AttemptResponse, OpenStream, record_failure},
    local_response::{Body, StreamTruncated},
    metrics::InProgressGuard,
    request_handler::log_failed_attempt,
    routed_request::RoutedRequest,
    server_selection,
    server_stream::{ServerStream, StreamItem},
    shared::Shared,
};

/// Multiple of the route's target pause after which a resumable stream is resumed at another server.
const READ_TIMEOUT_FACTOR: u32 = 4;
/// Shortest pause after which a resumable stream is resumed at another server.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream that is being relayed to the caller.
struct Relay {
    _in_progress: InProgressGuard,
    shared: Arc<Shared>,
    request: Arc<RoutedRequest>,
    history: AttemptHistory,
    first_events: Option<Bytes>,
    source: ServerStream,
    /// Ids of the servers that have received the request; it is not sent to them again.
    tried: Vec<String>,
    last_event_id: Option<String>,
    /// Time at which the latest events were sent to the caller.
    last_forwarded: Instant,
    longest_pause: Duration,
    /// Reason why a stream that was cut was not resumed.
    not_resumed: &'static str,
    is_finished: bool,
}

/// How a stream ended for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum StreamEnd {
    Complete,
    /// Aborted in a way that the caller notices.
    Cut,
    /// Closed by the caller.
    Left,
    /// Still in progress at the end of the grace time of a stop.
    Abandoned,
}

/// Why a stream is not resumed at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum ResumeRefusal {
    /// The route allows no further server.
    Route,
    TimeOver,
    /// No event has been sent after which it could be resumed.
    NoEvent,
    RetryBudget,
}

/// Returns a response body that relays a stream, beginning with its first events.
pub(crate) fn body(
    shared: &Arc<Shared>,
    request: Arc<RoutedRequest>,
    history: AttemptHistory,
    tried: Vec<String>,
    first_events: Bytes,
    source: ServerStream,
) -> Body {
    let relay = Relay {
        _in_progress: shared.metrics.track_in_progress(),
        shared: Arc::clone(shared),
        request,
        history,
        first_events: Some(first_events),
        source,
        tried,
        last_event_id: None,
        last_forwarded: Instant::now(),
        longest_pause: Duration::ZERO,
        not_resumed: "",
        is_finished: false,
    };
    let frames = stream::unfold(relay, async |mut relay| {
        let events = relay.next().await?;
        Some((events.map(Frame::data), relay))
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, StreamTruncated>> {
        if let Some(first_events) = self
            .first_events
            .take()
            .filter(|first_events| !first_events.is_empty())
        {
            return Some(Ok(first_events));
        }
        if self.is_finished {
            return None;
        }
        match self.source.next(self.read_deadline()).await {
            Ok(StreamItem::Events(events)) => {
                self.record_pause();
                Some(Ok(events))
            }
            Ok(StreamItem::End) => {
                self.is_finished = true;
                self.record_end(StreamEnd::Complete, "");
                None
            }
            Err(error) => {
                let resumed = self.resume(error).await;
                self.is_finished = resumed.is_none();
                self.record_pause();
                Some(resumed.ok_or(StreamTruncated))
            }
        }
    }

    /// Resumes the stream at another server; returns its first events, or `None` if the stream is aborted.
    async fn resume(&mut self, mut error: AttemptError) -> Option<Bytes> {
        record_failure(&self.source.progress, &error);
        if let Some(id) = self.source.splitter.last_id() {
            self.last_event_id = Some(id.to_owned());
        }
        loop {
            self.shared
                .metrics
                .record_failed_attempt(error.failure.into());
            let server = self.tried.last().map_or("", String::as_str);
            log_failed_attempt(&self.request, server, &error);
            if let Err(refusal) = self.permit_resume(error.failure) {
                self.not_resumed = refusal.into();
                self.record_end(StreamEnd::Cut, &error.detail);
                return None;
            }
            match self.resume_at_next_server().await {
                Ok(events) => return Some(events),
                Err(next_error) => error = next_error,
            }
        }
    }

    /// Records a failed attempt and withdraws a retry for the next one.
    ///
    /// # Errors
    ///
    /// Returns why the stream may not be resumed.
    fn permit_resume(&mut self, failure: AttemptFailure) -> Result<(), ResumeRefusal> {
        let next = self.history.record_failure(failure);
        if !matches!(next, NextAttempt::Send { .. }) {
            return Err(ResumeRefusal::Route);
        }
        if Instant::now() >= self.request.deadline {
            return Err(ResumeRefusal::TimeOver);
        }
        if self.last_event_id.is_none() {
            return Err(ResumeRefusal::NoEvent);
        }
        let cause = failure.retry_cause();
        if !self
            .shared
            .withdraw_retry(&self.request.service.name, cause)
        {
            return Err(ResumeRefusal::RetryBudget);
        }
        Ok(())
    }

    async fn resume_at_next_server(&mut self) -> Result<Bytes, AttemptError> {
        let Some(choice) = server_selection::select(&self.shared, &self.request, &self.tried)
        else {
            return Err(AttemptError::new(
                AttemptFailure::Silent,
                &"no other server",
            ));
        };
        let server = &choice.server;
        self.tried.push(server.id.clone());
        self.shared.metrics.resumes.inc();
        self.shared.metrics.record_attempt(choice.inputs.report_age);
        info!(
            event = "stream-resumed",
            request = self.request.request_id,
            server = server.id,
            load = choice.inputs.load,
            usable = choice.inputs.usable,
            after_event = self.last_event_id.as_deref().unwrap_or_default(),
        );
        let last_event_id = self.last_event_id.as_deref();
        let response = attempt::send(&self.shared, &self.request, &choice, last_event_id).await?;
        match response {
            AttemptResponse::Stream(open) => {
                let OpenStream {
                    first_events,
                    stream,
                    ..
                } = *open;
                self.source = stream;
                Ok(first_events)
            }
            AttemptResponse::Complete { status, .. } => {
                Err(AttemptError::new(AttemptFailure::ServerError, &status))
            }
        }
    }

    /// Returns the time by which the server must send something.
    ///
    /// Only streams that may be resumed at another server have a read timeout of their own.
    fn read_deadline(&self) -> Instant {
        let request = &self.request;
        if !request.route.is_idempotent() {
            return request.deadline;
        }
        let timeout = (request.route.target_pause * READ_TIMEOUT_FACTOR).max(MIN_READ_TIMEOUT);
        request.deadline.min(Instant::now() + timeout)
    }

    fn record_pause(&mut self) {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.last_forwarded);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_forwarded = now;
    }

    /// Counts the end of a stream, and logs it unless the stream was complete, on time and never resumed.
    ///
    /// Such ordinary streams would fill the log of a busy router.
    fn record_end(&self, end: StreamEnd, detail: &str) {
        let outcome = end.into();
        self.shared.metrics.record_stream_end(outcome);
        let is_on_time = self.longest_pause <= self.request.route.target_pause;
        let is_resumed = self.last_event_id.is_some();
        if end == StreamEnd::Complete && is_on_time && !is_resumed {
            return;
        }
        let ms = self.request.received.elapsed().as_millis() as u64;
        let longest_pause_ms = self.longest_pause.as_millis() as u64;
        let request = &self.request.request_id;
        let server = &self.source.progress.server().id;
        if matches!(end, StreamEnd::Cut | StreamEnd::Abandoned) {
            let not_resumed = self.not_resumed;
            warn!(
                event = "stream-ended",
                request, server, outcome, longest_pause_ms, ms, not_resumed, detail
            );
        } else {
            info!(
                event = "stream-ended",
                request, server, outcome, longest_pause_ms, ms, detail
            );
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if self.shared.is_abandoning() {
            self.record_end(StreamEnd::Abandoned, "the grace time of the stop is over");
        } else {
            self.record_end(StreamEnd::Left, "the caller closed its connection");
        }
    }
}
