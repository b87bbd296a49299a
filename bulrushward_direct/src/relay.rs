//! Passes a server's stream on to the caller and resumes it at another server where that is allowed.

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
    answer::{Body, StreamCut},
    choose,
    hop::{self, HopAnswer, HopError, OpenStream, note_failure},
    job::Job,
    metrics::Counted,
    request::log_failed_hop,
    server_stream::{Piece, ServerStream},
    shared::Shared,
};

/// Multiple of the longest pause that is on time after which a resumable stream goes on elsewhere.
const SILENCE_PAUSES: u32 = 4;
/// Shortest such time.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// A stream on its way to the caller.
struct Relay {
    _counted: Counted,
    shared: Arc<Shared>,
    job: Arc<Job>,
    history: AttemptHistory,
    first: Option<Bytes>,
    source: ServerStream,
    /// Servers that had the request, which it does not go to again.
    tried: Vec<String>,
    last_event: Option<String>,
    /// When the latest events went to the caller.
    passed: Instant,
    longest_pause: Duration,
    is_over: bool,
}

/// How a stream ended for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum End {
    Complete,
    /// Broken off, visibly for the caller.
    Cut,
    /// The caller closed it.
    Left,
}

/// Returns a body that passes on a stream from its first events.
pub(crate) fn body(
    shared: &Arc<Shared>,
    job: Arc<Job>,
    history: AttemptHistory,
    tried: Vec<String>,
    first: Bytes,
    source: ServerStream,
) -> Body {
    let relay = Relay {
        _counted: shared.metrics.begin(),
        shared: Arc::clone(shared),
        job,
        history,
        first: Some(first),
        source,
        tried,
        last_event: None,
        passed: Instant::now(),
        longest_pause: Duration::ZERO,
        is_over: false,
    };
    let frames = stream::unfold(relay, async |mut relay| {
        let events = relay.next().await?;
        Some((events.map(Frame::data), relay))
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Some(Ok(first));
        }
        if self.is_over {
            return None;
        }
        match self.source.next(self.silent_until()).await {
            Ok(Piece::Events(events)) => {
                self.note_pause();
                Some(Ok(events))
            }
            Ok(Piece::End) => {
                self.is_over = true;
                self.log_end(End::Complete, "");
                None
            }
            Err(error) => {
                let resumed = self.resume(error).await;
                self.is_over = resumed.is_none();
                self.note_pause();
                Some(resumed.ok_or(StreamCut))
            }
        }
    }

    /// Goes on at another server; returns its first events, or nothing if the stream is cut.
    async fn resume(&mut self, mut error: HopError) -> Option<Bytes> {
        note_failure(&self.source.progress, &error);
        if let Some(id) = self.source.cutter.last_id() {
            self.last_event = Some(id.to_owned());
        }
        loop {
            self.shared.metrics.hop_failed(error.failure.into());
            let server = self.tried.last().map_or("", String::as_str);
            log_failed_hop(&self.job, server, &error);
            let next = self.history.record_failure(error.failure);
            let may_resume = matches!(next, NextAttempt::Send { .. })
                && Instant::now() < self.job.due
                && self.last_event.is_some()
                && self.shared.withdraw(&self.job.service.name);
            if !may_resume {
                self.log_end(End::Cut, &error.detail);
                return None;
            }
            match self.go_on().await {
                Ok(events) => return Some(events),
                Err(next_error) => error = next_error,
            }
        }
    }

    async fn go_on(&mut self) -> Result<Bytes, HopError> {
        let Some(choice) = choose::server(&self.shared, &self.job, &self.tried) else {
            return Err(HopError::new(AttemptFailure::Silent, &"no other server"));
        };
        let server = &choice.server;
        self.tried.push(server.id.clone());
        self.shared.metrics.resumes.inc();
        self.shared.metrics.hop(choice.beliefs.report_age);
        info!(
            event = "stream-resumed",
            request = self.job.request_id,
            server = server.id,
            load = choice.beliefs.load,
            usable = choice.beliefs.usable,
            after_event = self.last_event.as_deref().unwrap_or_default(),
        );
        let last_event = self.last_event.as_deref();
        let answer = hop::send(&self.shared, &self.job, &choice, last_event).await?;
        match answer {
            HopAnswer::Stream(open) => {
                let OpenStream { first, rest, .. } = *open;
                self.source = rest;
                Ok(first)
            }
            HopAnswer::Whole { status, .. } => {
                Err(HopError::new(AttemptFailure::ServerError, &status))
            }
        }
    }

    /// Returns until when the server may stay silent; only resumable streams have another place to go.
    fn silent_until(&self) -> Instant {
        let job = &self.job;
        if !job.route.is_idempotent() {
            return job.due;
        }
        let patience = (job.route.target_pause * SILENCE_PAUSES).max(MIN_SILENCE);
        job.due.min(Instant::now() + patience)
    }

    fn note_pause(&mut self) {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.passed);
        self.longest_pause = self.longest_pause.max(pause);
        self.passed = now;
    }

    /// Logs the end of a stream, unless it was an ordinary one: those are most lines of a busy router.
    fn log_end(&self, end: End, detail: &str) {
        let outcome = end.into();
        self.shared.metrics.stream_ended(outcome);
        let is_on_time = self.longest_pause <= self.job.route.target_pause;
        let is_resumed = self.last_event.is_some();
        if end == End::Complete && is_on_time && !is_resumed {
            return;
        }
        let ms = self.job.received.elapsed().as_millis() as u64;
        let longest_pause_ms = self.longest_pause.as_millis() as u64;
        let request = &self.job.request_id;
        let server = &self.source.progress.server().id;
        if end == End::Cut {
            warn!(
                event = "stream-ended",
                request, server, outcome, longest_pause_ms, ms, detail
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
        if !self.is_over {
            self.log_end(End::Left, "the caller closed its connection");
        }
    }
}
