//! One request of a caller as all hops need it.

use std::time::{Duration, Instant};

use bulrushward_protocol::Fingerprint;
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    model::{Route, RouteKind, Service},
    ports::PromptPart,
};

/// A request that was read whole and may be sent to servers.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) request_id: String,
    pub(crate) received: Instant,
    /// When a final answer is due.
    pub(crate) deadline: Instant,
    pub(crate) method: Method,
    /// Path and query as the caller wrote them.
    pub(crate) target: String,
    /// Headers that are passed on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: Service,
    pub(crate) organisation: Option<String>,
    pub(crate) priority: Option<u8>,
    pub(crate) session: Option<u64>,
    pub(crate) prompt: Vec<PromptPart>,
    /// Last event that the caller has, where it resumes a stream itself.
    pub(crate) last_event_id: Option<String>,
    /// Names path, caller and body, to know a content that crashes servers.
    pub(crate) fingerprint: Fingerprint,
    /// Versions of the configuration that decided, for the log.
    pub(crate) config_version: u64,
}

impl RoutedRequest {
    /// Returns the time until a final answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }

    /// Returns the prompt tokens that a server has to read that has the session cached.
    pub(crate) fn unshared_tokens(&self) -> u64 {
        self.prompt.last().map_or(0, |part| part.tokens.into())
    }

    /// Returns the prompt tokens that the session's requests share.
    pub(crate) fn shared_tokens(&self) -> u64 {
        let shared = self
            .prompt
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| u64::from(part.tokens)).sum()
    }
}

/// Names a content by its path, caller and body.
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

/// Returns the part of a prompt that a session's requests share: the last but one.
pub(crate) fn session_key(prompt: &[PromptPart]) -> Option<u64> {
    let shared = prompt.len().saturating_sub(2);
    prompt.get(shared).map(|part| part.id)
}
