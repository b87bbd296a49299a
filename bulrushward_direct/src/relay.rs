//! Passes a server's stream on to the caller and resumes it at another server where that is allowed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::hop::{HopFailure, HopHistory, NextHop};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tracing::{info, warn};

use crate::{
    answer::{Body, StreamCut},
    choose,
    hop::{self, HopAnswer, HopError, OpenStream, note_failure},
    job::Job,
    metrics::Counted,
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
    history: HopHistory,
    first: Option<Bytes>,
    source: ServerStream,
    /// Servers that had the request, which it does not go to again.
    tried: Vec<String>,
    last_event: Option<String>,
    is_over: bool,
}

/// Returns a body that passes on a stream from its first events.
pub(crate) fn body(
    shared: &Arc<Shared>,
    job: Arc<Job>,
    history: HopHistory,
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
            Ok(Piece::Events(events)) => Some(Ok(events)),
            Ok(Piece::End) => {
                self.is_over = true;
                self.log_end("complete", "");
                None
            }
            Err(error) => {
                let resumed = self.resume(error).await;
                self.is_over = resumed.is_none();
                Some(resumed.ok_or(StreamCut))
            }
        }
    }

    /// Goes on at another server; returns its first events, or nothing if the stream is cut.
    async fn resume(&mut self, mut error: HopError) -> Option<Bytes> {
        note_failure(&self.source.progress, &error);
        self.shared.metrics.hop_failed(error.failure.into());
        if let Some(id) = self.source.cutter.last_id() {
            self.last_event = Some(id.to_owned());
        }
        loop {
            let next = self.history.failed(error.failure);
            let may_resume = matches!(next, NextHop::Send { .. })
                && Instant::now() < self.job.due
                && self.last_event.is_some()
                && self.shared.withdraw(&self.job.service.name);
            if !may_resume {
                self.log_end("cut", &error.detail);
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
            return Err(HopError::new(HopFailure::Silent, &"no other server"));
        };
        let server = &choice.server;
        self.tried.push(server.id.clone());
        self.shared.metrics.resumes.inc();
        info!(
            event = "stream-resumed",
            request = self.job.request_id,
            server = server.id,
            load = choice.load,
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
            HopAnswer::Whole { status, .. } => Err(HopError::new(HopFailure::ServerError, &status)),
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

    fn log_end(&self, outcome: &'static str, detail: &str) {
        let ms = self.job.received.elapsed().as_millis() as u64;
        let request = &self.job.request_id;
        let server = &self.source.progress.server().id;
        if detail.is_empty() {
            info!(event = "stream-ended", request, server, outcome, ms);
        } else {
            warn!(event = "stream-ended", request, server, outcome, ms, detail);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            self.log_end("left", "the caller closed its connection");
        }
    }
}
