//! A caller's request in the form that all attempts share.

use std::time::{Duration, Instant};

use bulrushward_policy::event_order::IdSpacing;
use bulrushward_protocol::{Content, Fingerprint};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    body_memory::BodyReservation,
    model::{Route, RouteKind, Service},
    ports::PromptPart,
    run_mark::RunMark,
    stream_ids::ResumePoint,
};

/// A request that was read completely and may be sent to servers.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) request_id: String,
    pub(crate) received: Instant,
    /// Time by which the final response is due.
    pub(crate) deadline: Instant,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: String,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(crate) _memory: BodyReservation,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) organisation: Option<String>,
    pub(crate) priority: Option<u8>,
    /// Key of the session; `None` for requests without a prompt.
    pub(crate) session: Option<u64>,
    pub(crate) prompt: Vec<PromptPart>,
    /// Id of the last event that the caller received, if it resumes a stream itself.
    pub(crate) last_event_id: Option<String>,
    /// Id of the caller's earlier request that brought the first event, if it resumes a stream itself.
    pub(crate) resumes: Option<String>,
    /// Hash of path, organisation and body, by which requests that crash servers are recognised.
    pub(crate) fingerprint: Fingerprint,
    /// Version of the configuration that was applied, for the log.
    pub(crate) config_version: u64,
    pub(crate) run_mark: RunMark,
}

impl RoutedRequest {
    /// Returns the time until the final response is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the place after which the caller resumes a stream; the spacing of its ids is not known.
    pub(crate) fn resume_point(&self) -> Option<ResumePoint> {
        let after = self.last_event_id.clone()?;
        let spacing = IdSpacing::from_id(&after);
        Some(ResumePoint { after, spacing })
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Returns whether the caller goes on with a stream that has begun.
    pub(crate) fn is_resumed(&self) -> bool {
        self.is_stream() && (self.last_event_id.is_some() || self.resumes.is_some())
    }

    /// Returns the prompt tokens that even a server with the session cached has to prefill.
    pub(crate) fn unshared_tokens(&self) -> u64 {
        self.prompt.last().map_or(0, |part| part.tokens.into())
    }

    /// Returns the prompt parts that other requests may share, which are all but the last.
    fn shared_parts(&self) -> &[PromptPart] {
        let split = self.prompt.split_last();
        split.map_or(&[][..], |(_, shared)| shared)
    }

    /// Returns the content by which requests that crash servers are recognised.
    pub(crate) fn contents(&self) -> impl Iterator<Item = Content> {
        let parts = self.shared_parts().iter();
        let parts = parts.map(|part| Content::part(part.id.into()));
        std::iter::once(Content::request(self.fingerprint)).chain(parts)
    }

    /// Returns the ids of its content for the log.
    pub(crate) fn content_ids(&self) -> String {
        let ids: Vec<_> = self.contents().map(|content| content.to_string()).collect();
        ids.join(",")
    }

    /// Returns the prompt tokens that the requests of the session share.
    pub(crate) fn shared_tokens(&self) -> u64 {
        let shared = self.shared_parts().iter();
        shared.map(|part| u64::from(part.tokens)).sum()
    }
}

/// Returns the hash of a request's path, organisation and body.
pub(crate) fn fingerprint(target: &str, organisation: Option<&str>, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [
        target.as_bytes(),
        organisation.unwrap_or_default().as_bytes(),
        body,
    ] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest128()
}

/// Returns the session key of a prompt.
///
/// This is the id of the last part but one, up to which the prompts of a session are equal. A prompt with a
/// single part has the id of that part.
pub(crate) fn session_key(prompt: &[PromptPart]) -> Option<u64> {
    let shared = prompt.len().saturating_sub(2);
    prompt.get(shared).map(|part| part.id)
}
