//! Relays a server's stream to the caller and resumes it at another server where that is allowed.

use std::{pin::pin, sync::Arc, time::Instant};

use bulrushward_policy::{
    run_survival::RunSurvival,
    server_attempt::{AttemptFailure, AttemptHistory, NextAttempt},
    server_scope::{ServerScope, VersionBound},
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tracing::info;

use crate::{
    attempt::{self, AttemptError, AttemptResponse, OpenStream, record_failure},
    crash_check,
    events::has_event,
    handover::{self, HandoverRefusal, SilenceWatch},
    local_response::{Body, StreamTruncated},
    metrics::InProgressGuard,
    read_timeout,
    request_handler::log_failed_attempt,
    routed_request::RoutedRequest,
    server_identity::ServerIdentity,
    server_selection::ServerChoice,
    server_stream::{ServerStream, StreamItem},
    shared::Shared,
    stream_ids::ResumePoint,
    stream_record::{StreamEnd, StreamRecord},
};

/// A stream that is being relayed to the caller.
struct Relay {
    _in_progress: InProgressGuard,
    shared: Arc<Shared>,
    request: Arc<RoutedRequest>,
    history: AttemptHistory,
    first_events: Option<Bytes>,
    source: ServerStream,
    record: StreamRecord,
    /// Servers that may go on with the stream.
    scope: ServerScope,
    identity: ServerIdentity,
    /// Place after which the stream was resumed last.
    resume_point: Option<ResumePoint>,
    /// Whether a server has sent an event.
    has_begun: bool,
    /// What the events of the current server show.
    survival: RunSurvival,
    /// Time by which the next event is awaited, whatever comments arrive before it.
    event_due: Option<Instant>,
    /// Whether it was logged that a silent server keeps the stream.
    is_kept_logged: bool,
    is_finished: bool,
}

/// Result of looking for another server that continues a stream.
enum Handover {
    /// The stream goes on, at another server or at a silent one that has sent something meanwhile.
    Continued(StreamItem),
    /// A silent server keeps the stream.
    Kept,
    /// No server continues the stream.
    Failed,
}

/// Returns a response body that relays a stream, beginning with its first events.
pub(crate) fn body(
    shared: &Arc<Shared>,
    request: Arc<RoutedRequest>,
    history: AttemptHistory,
    scope: ServerScope,
    first_events: Bytes,
    source: ServerStream,
) -> Body {
    let mut relay = Relay {
        _in_progress: shared.metrics.track_in_progress(),
        shared: Arc::clone(shared),
        request,
        history,
        has_begun: false,
        survival: RunSurvival::default(),
        first_events: Some(first_events),
        source,
        record: StreamRecord::new(Instant::now()),
        identity: ServerIdentity::default(),
        scope,
        resume_point: None,
        event_due: None,
        is_kept_logged: false,
        is_finished: false,
    };
    if relay.first_events.as_deref().is_some_and(has_event) {
        relay.begin();
        relay.record_events();
    }
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
        loop {
            let until = self
                .event_due
                .unwrap_or_else(|| read_timeout::next_event_due(&self.request));
            self.event_due = Some(until);
            let item = match self.source.next(until).await {
                Ok(item) => item,
                Err(error) => match self.hand_over(error).await {
                    Handover::Continued(item) => item,
                    Handover::Kept => {
                        self.event_due = None;
                        continue;
                    }
                    Handover::Failed => {
                        self.is_finished = true;
                        return Some(Err(StreamTruncated));
                    }
                },
            };
            match item {
                StreamItem::Comments(comments) => return Some(Ok(comments)),
                StreamItem::Events(events) => {
                    if !self.has_begun {
                        self.begin();
                    } else if !self.is_of_one_version() {
                        self.is_finished = true;
                        self.record_end(StreamEnd::Cut, "the server was replaced");
                        return Some(Err(StreamTruncated));
                    }
                    self.record_events();
                    self.event_due = None;
                    self.record.record_pause(Instant::now());
                    return Some(Ok(events));
                }
                StreamItem::End => {
                    self.event_due = None;
                    self.record.record_pause(Instant::now());
                    self.is_finished = true;
                    self.shared.crash_records.record_served(&self.request);
                    self.record_end(StreamEnd::Complete, "");
                    return None;
                }
            }
        }
    }

    /// Records events, which may show that the content of the request does not crash the server.
    fn record_events(&mut self) {
        if self.survival.record_events(Instant::now()) {
            self.shared.crash_records.record_served(&self.request);
        }
    }

    /// Records how the current server failed.
    fn record_source_failure(&self, error: &AttemptError) {
        record_failure(&self.source.progress, error);
        if self.survival.is_suspect() {
            let server = self.source.progress.server();
            crash_check::record_failure(&self.shared, &self.request, server, error.failure);
        }
    }

    /// Records that the first event arrived, and at which version.
    fn begin(&mut self) {
        self.has_begun = true;
        let server = self.source.progress.server();
        self.scope
            .begin(self.shared.servers.load().version_of(server));
        if let VersionBound::Only(version) = self.scope.version()
            && self.request.route.is_idempotent()
        {
            let origins = &self.shared.stream_origins;
            origins.record_begun(&self.shared.places, &self.request, version);
        }
    }

    /// Returns whether the latest event may follow those that the caller has.
    ///
    /// If the entry of the server changed, the event may come from the process that replaced it, at another version.
    fn is_of_one_version(&mut self) -> bool {
        let servers = self.shared.servers.load();
        let is_replaced = matches!(self.scope.version(), VersionBound::Only(_))
            && self
                .identity
                .is_replaced(&servers, self.source.progress.server());
        if is_replaced {
            self.scope.forget_version();
        }
        !is_replaced || (!self.record.is_joined() && !self.request.is_resumed())
    }

    /// Looks for another server that continues the stream after its server was silent or failed.
    ///
    /// A silent server may still go on. It keeps the stream if no other server may take over, and it is read from
    /// until another one begins to respond.
    async fn hand_over(&mut self, mut error: AttemptError) -> Handover {
        let mut is_source_open =
            error.failure == AttemptFailure::Silent && Instant::now() < self.request.deadline;
        self.record_source_failure(&error);
        self.resume_point = self.source.resume_point().or(self.resume_point.take());
        let mut failed_server = self.source.progress.server().id.clone();
        let mut history = self.history.clone();
        let mut successor = None;
        loop {
            let next = history.record_failure(error.failure);
            let selected = match successor.take() {
                Some(successor) => Ok(successor),
                None => self.select_next(next, error.failure),
            };
            let choice = match selected {
                Ok(choice) => choice,
                Err(refusal) if is_source_open => {
                    self.record_kept(refusal.into());
                    return Handover::Kept;
                }
                Err(refusal) => {
                    self.log_failed_attempt(&failed_server, &error);
                    self.record.not_resumed = refusal.into();
                    self.record_end(StreamEnd::Cut, &error.detail);
                    return Handover::Failed;
                }
            };
            self.log_failed_attempt(&failed_server, &error);
            self.history = history.clone();
            failed_server.clone_from(&choice.server.id);
            let server = Arc::clone(&choice.server);
            let resumed = self
                .resume_at(choice, &mut is_source_open, &mut successor)
                .await;
            error = match resumed {
                Ok(item) => {
                    if self.source.progress.server().id != failed_server {
                        self.record_kept("went-on");
                    }
                    return Handover::Continued(item);
                }
                Err(error) => error,
            };
            crash_check::record_failure(&self.shared, &self.request, &server, error.failure);
        }
    }

    fn select_next(
        &self,
        next: NextAttempt,
        failure: AttemptFailure,
    ) -> Result<ServerChoice, HandoverRefusal> {
        if self.resume_point.is_none() {
            return Err(HandoverRefusal::NoEvent);
        }
        handover::select_next(&self.shared, &self.request, next, failure, &self.scope)
    }

    /// Resumes the stream at a server, unless the current one goes on first while it is open.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError`] if the stream could not be resumed, with the `successor` if another server takes over.
    /// `is_source_open` is cleared if the current server has failed meanwhile.
    async fn resume_at(
        &mut self,
        choice: ServerChoice,
        is_source_open: &mut bool,
        successor: &mut Option<ServerChoice>,
    ) -> Result<StreamItem, AttemptError> {
        self.scope.record_tried(&choice.server.id);
        self.shared.metrics.record_handover();
        self.shared.metrics.record_attempt(choice.inputs.report_age);
        info!(
            event = "stream-resumed",
            request = self.request.request_id,
            server = choice.server.id,
            load = choice.inputs.load,
            usable = choice.inputs.usable,
            after_event = self
                .resume_point
                .as_ref()
                .map(|point| &*point.after)
                .unwrap_or_default(),
            version = choice.server.record.version,
        );
        let resume = self.resume_point.as_ref();
        let (shared, request) = (&*self.shared, &*self.request);
        let mut silence = SilenceWatch::new(shared, request, &self.history, &self.scope);
        let head = {
            let head = attempt::send_head(shared, request, &choice, resume, &mut silence);
            let mut head = pin!(head);
            loop {
                tokio::select! {
                    head = &mut head => break head,
                    item = self.source.next_event(request.deadline), if *is_source_open => match item {
                        Ok(item) => return Ok(item),
                        Err(closed) => {
                            *is_source_open = false;
                            self.record_source_failure(&closed);
                        }
                    }
                }
            }
        };
        let response = match head {
            Ok(head) => {
                if head.is_stream() {
                    // Two servers must not run the stream side by side.
                    self.source.close();
                    *is_source_open = false;
                    attempt::read_response(shared, request, head, &mut silence).await
                } else {
                    // Nothing of it may reach the caller, so its body is not awaited.
                    Err(head.into_error())
                }
            }
            Err(error) => Err(error),
        };
        *successor = silence.into_successor();
        match response? {
            AttemptResponse::Stream(open) => {
                let OpenStream {
                    first_events,
                    stream,
                    ..
                } = *open;
                self.record.record_run(&self.source);
                self.identity.reset();
                self.survival = RunSurvival::default();
                self.source = stream;
                Ok(StreamItem::Events(first_events))
            }
            AttemptResponse::Complete { status, .. } => {
                Err(AttemptError::new(AttemptFailure::ServerError, &status))
            }
        }
    }

    fn log_failed_attempt(&self, server: &str, error: &AttemptError) {
        let metrics = &self.shared.metrics;
        metrics.record_failed_attempt(error.failure.into());
        log_failed_attempt(&self.request, server, error);
    }

    /// Records that a silent server keeps the stream, and logs it the first time.
    fn record_kept(&mut self, reason: &'static str) {
        let server = self.source.progress.server();
        if let Some(session) = self.request.session {
            self.shared.record_session_location(session, server.hash);
        }
        if std::mem::replace(&mut self.is_kept_logged, true) {
            return;
        }
        handover::log_kept(&self.request, server, reason);
    }

    fn record_end(&self, end: StreamEnd, detail: &str) {
        self.shared.metrics.record_stream_end(end.into());
        let is_resumed = self.resume_point.is_some();
        self.record
            .log(end, &self.request, &self.source, is_resumed, detail);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if self.shared.stop.is_ending() {
            self.record_end(StreamEnd::Abandoned, "the grace time of the stop is over");
        } else {
            self.record_end(StreamEnd::Left, "the caller closed its connection");
        }
    }
}
