//! Log record of a stream: by what it ended, its pauses, and the servers that sent its parts.

use std::{
    fmt,
    time::{Duration, Instant},
};

use bulrushward_policy::body_end::Framing;
use strum::IntoStaticStr;
use tracing::{info, warn};

use crate::{model::ServerId, routed_request::RoutedRequest, server_stream::ServerStream};

/// How a stream ended for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum StreamEnd {
    Complete,
    /// Aborted in a way that the caller notices.
    Cut,
    /// Closed by the caller.
    Left,
    /// Still in progress at the end of the grace time of a stop.
    Abandoned,
}

/// Part of a stream that one server sent.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StreamRun {
    server: ServerId,
    /// Id of the first event; `None` if there was no event with an id.
    first: Option<String>,
    last: Option<String>,
}

impl StreamRun {
    /// Returns the part that has been read from a server so far.
    fn of(stream: &ServerStream) -> Self {
        Self {
            server: stream.progress.server().id.clone(),
            first: stream.first_id().map(str::to_owned),
            last: stream.last_id().map(str::to_owned),
        }
    }
}

impl fmt::Display for StreamRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self.last.as_deref().filter(|_| self.first.is_some());
        let (first, last) = (self.first.as_deref().unwrap_or_default(), last);
        write!(f, "{}:{first}-{}", self.server, last.unwrap_or_default())
    }
}

/// Record of one stream until its end.
#[derive(Debug)]
pub(crate) struct StreamRecord {
    /// Parts that earlier servers sent.
    earlier_runs: Vec<StreamRun>,
    /// Time at which the latest events were sent to the caller.
    last_forwarded: Instant,
    longest_pause: Duration,
    /// Reason why a stream that was cut was not resumed.
    pub(crate) not_resumed: &'static str,
}

impl StreamRecord {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            earlier_runs: Vec::new(),
            last_forwarded: now,
            longest_pause: Duration::ZERO,
            not_resumed: "",
        }
    }

    /// Records the part that a server has sent before another one continues.
    pub(crate) fn record_run(&mut self, source: &ServerStream) {
        self.earlier_runs.push(StreamRun::of(source));
    }

    /// Returns whether more than one server has sent a part.
    pub(crate) fn is_joined(&self) -> bool {
        !self.earlier_runs.is_empty()
    }

    /// Records that events are sent to the caller.
    pub(crate) fn record_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_forwarded);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_forwarded = now;
    }

    /// Logs the end of a stream unless it was complete by its own mark, on time and never resumed.
    ///
    /// Such ordinary streams would fill the log of a busy router.
    pub(crate) fn log(
        &self,
        end: StreamEnd,
        request: &RoutedRequest,
        source: &ServerStream,
        is_resumed: bool,
        detail: &str,
    ) {
        let is_on_time = self.longest_pause <= request.route.target_pause;
        let is_marked = source.framing() != Framing::UntilClose;
        if end == StreamEnd::Complete && is_on_time && !is_resumed && is_marked {
            return;
        }
        let (outcome, ended_by): (&str, &str) = (end.into(), source.framing().into());
        let runs = self.runs(source);
        let ms = request.received.elapsed().as_millis() as u64;
        let longest_pause_ms = self.longest_pause.as_millis() as u64;
        let server = &source.progress.server().id;
        let request = &request.request_id;
        if matches!(end, StreamEnd::Cut | StreamEnd::Abandoned) {
            let not_resumed = self.not_resumed;
            warn!(
                event = "stream-ended",
                request, server, outcome, longest_pause_ms, ms, ended_by, runs, not_resumed, detail
            );
        } else {
            info!(
                event = "stream-ended",
                request, server, outcome, longest_pause_ms, ms, ended_by, runs, detail
            );
        }
    }

    /// Returns all parts in their order, as `s-1:1-3,s-2:4-9`.
    fn runs(&self, source: &ServerStream) -> String {
        let last = StreamRun::of(source);
        let runs = self.earlier_runs.iter().chain([&last]);
        let texts: Vec<_> = runs.map(ToString::to_string).collect();
        texts.join(",")
    }
}
