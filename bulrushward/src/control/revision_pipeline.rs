//! Decides which configuration revision is fetched, parsed and activated next.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_config::{Config, TextErrors};
use bulrushward_policy::active_revision::ActiveRevision;
use bulrushward_protocol::{Exchange, Revision};
use bulrushward_revisions::AcceptedRevision;
use strum::Display;
use tokio::sync::mpsc;
use tracing::{debug, warn};

use super::fetch::{Fetch, FetchError};
use crate::metrics::ControlMetrics;

/// Maximum number of peers with a newer revision that are kept as alternatives if a fetch fails.
const MAX_SOURCES: usize = 8;
/// Time for which a revision is not fetched again from a peer that sent invalid content for it.
const BLOCK_DURATION: Duration = Duration::from_secs(30);
/// Maximum number of blocked peers that are remembered.
const MAX_BLOCKED_PEERS: usize = 1_024;
/// Capacity of the channel that returns results to the control thread.
const CHANNEL_CAPACITY: usize = 4;

/// Source of a revision.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Origin {
    #[strum(serialize = "key-value service")]
    KeyValue,
    #[strum(serialize = "submission")]
    Submission,
    #[strum(serialize = "peer")]
    Peer(SocketAddr),
}

/// A revision whose text is valid, ready to be activated.
#[derive(Debug)]
pub(crate) struct ParsedRevision {
    pub(crate) accepted: AcceptedRevision,
    pub(crate) config: Config,
    pub(crate) origin: Origin,
}

/// Result of a blocking task.
#[derive(Debug)]
pub(crate) enum TaskResult {
    /// Result of a fetch from a peer.
    Fetch(SocketAddr, Result<AcceptedRevision, FetchError>),
    /// Result of parsing a configuration text.
    Parse(AcceptedRevision, Origin, Result<Config, TextErrors>),
}

/// Takes revisions from their announcement through fetching and parsing to activation.
///
/// At most one fetch and one parse run at a time.
#[derive(Debug)]
pub(crate) struct RevisionPipeline {
    active: ActiveRevision,
    /// Peers that announced a newer revision.
    sources: HashMap<SocketAddr, Revision>,
    /// Peers that sent invalid content, with the revision that they announced and the time until
    /// which it is not fetched from them again.
    blocked_peers: HashMap<SocketAddr, (Revision, Instant)>,
    /// Revision that the peer of the running fetch announced.
    fetching: Option<Revision>,
    /// Revision whose text is being parsed.
    parsing: Option<AcceptedRevision>,
    /// Newest revision that waits to be parsed.
    queued: Option<(AcceptedRevision, Origin)>,
    /// Newest revision that is older than these, and is parsed if they are invalid.
    fallback: Option<(AcceptedRevision, Origin)>,
    metrics: ControlMetrics,
    results: mpsc::Sender<TaskResult>,
}

impl RevisionPipeline {
    pub(crate) fn new(metrics: ControlMetrics) -> (Self, mpsc::Receiver<TaskResult>) {
        let (results, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let pipeline = Self {
            active: ActiveRevision::default(),
            sources: HashMap::new(),
            blocked_peers: HashMap::new(),
            fetching: None,
            parsing: None,
            queued: None,
            fallback: None,
            metrics,
            results,
        };
        (pipeline, rx)
    }

    /// Records that a peer announced a revision; returns whether the revision should be fetched.
    pub(crate) fn add_source(
        &mut self,
        peer: SocketAddr,
        revision: Revision,
        now: Instant,
    ) -> bool {
        self.blocked_peers.retain(|_, (_, until)| *until > now);
        let blocked = self.blocked_peers.get(&peer);
        let is_blocked = blocked.is_some_and(|(announced, _)| *announced == revision);
        if is_blocked || revision <= self.newest() {
            return false;
        }
        if self.sources.len() < MAX_SOURCES || self.sources.contains_key(&peer) {
            self.sources.insert(peer, revision);
        }
        true
    }

    /// Starts a fetch from the peer with the newest revision, unless a fetch is running.
    pub(crate) fn fetch_next(&mut self, base_exchange: Exchange, held: Option<AcceptedRevision>) {
        let newest = self.newest();
        self.sources.retain(|_, revision| *revision > newest);
        if self.fetching.is_some() {
            return;
        }
        let sources = self.sources.iter();
        let best = sources.max_by_key(|(address, revision)| (**revision, **address));
        let Some((&address, &announced)) = best else {
            return;
        };
        self.sources.remove(&address);
        self.fetching = Some(announced);
        let fetch = Fetch {
            address,
            base_exchange,
            held,
            metrics: self.metrics.clone(),
        };
        let results = self.results.clone();
        tokio::task::spawn_blocking(move || {
            let _receiver_gone = results.blocking_send(TaskResult::Fetch(address, fetch.run()));
        });
    }

    /// Handles the result of a fetch; returns whether a newer revision arrived.
    pub(crate) fn finish_fetch(
        &mut self,
        peer: SocketAddr,
        result: Result<AcceptedRevision, FetchError>,
        now: Instant,
    ) -> bool {
        let announced = self.fetching.take().unwrap_or(0);
        match result {
            Ok(accepted) => return self.enqueue(accepted, Origin::Peer(peer)),
            Err(error) if error.is_protocol_violation() => {
                self.metrics.invalid_message();
                self.block_peer(peer, announced, now);
                warn!(event = "configuration-refused", %peer, %error);
            }
            Err(error) => debug!(event = "configuration-fetch-failed", %peer, %error),
        }
        false
    }

    /// Queues a revision for parsing if it is newer than all others, replacing a queued one; returns
    /// whether it is newer.
    pub(crate) fn enqueue(&mut self, accepted: AcceptedRevision, origin: Origin) -> bool {
        let is_newer = accepted.revision > self.newest();
        if is_newer {
            if let Some((replaced, origin)) = self.queued.replace((accepted, origin)) {
                self.keep_as_fallback(replaced, origin);
            }
            self.parse_next();
        } else {
            self.keep_as_fallback(accepted, origin);
        }
        is_newer
    }

    fn keep_as_fallback(&mut self, accepted: AcceptedRevision, origin: Origin) {
        let known = self.fallback.as_ref().map(|(known, _)| known.revision);
        if accepted.revision > known.unwrap_or(0).max(self.active.revision()) {
            self.fallback = Some((accepted, origin));
        }
    }

    /// Handles the result of parsing; returns the revision if it should be activated.
    pub(crate) fn finish_parse(
        &mut self,
        accepted: AcceptedRevision,
        origin: Origin,
        result: Result<Config, TextErrors>,
        now: Instant,
    ) -> Option<ParsedRevision> {
        self.parsing = None;
        if result.is_err() && self.queued.is_none() {
            self.queued = self.fallback.take();
        }
        self.parse_next();
        let revision = accepted.revision;
        let config = match result {
            Ok(config) => config,
            Err(errors) => {
                warn!(event = "configuration-refused", revision, %origin, %errors);
                if let Origin::Peer(peer) = origin {
                    self.block_peer(peer, revision, now);
                }
                return None;
            }
        };
        let is_adopted = self.active.adopt(revision);
        let active = self.active.revision();
        self.fallback
            .take_if(|(fallback, _)| fallback.revision <= active);
        is_adopted.then_some(ParsedRevision {
            accepted,
            config,
            origin,
        })
    }

    /// Returns the newest revision that is queued or being parsed.
    pub(crate) fn pending(&self) -> Option<&AcceptedRevision> {
        let queued = self.queued.as_ref().map(|(accepted, _)| accepted);
        queued.or(self.parsing.as_ref())
    }

    /// Returns the number of the newest revision that is active, queued or being parsed.
    fn newest(&self) -> Revision {
        let pending = self.pending().map_or(0, |accepted| accepted.revision);
        self.active.revision().max(pending)
    }

    fn parse_next(&mut self) {
        if self.parsing.is_some() {
            return;
        }
        let Some((accepted, origin)) = self.queued.take() else {
            return;
        };
        self.parsing = Some(accepted.clone());
        let results = self.results.clone();
        tokio::task::spawn_blocking(move || {
            let result = bulrushward_config::parse(&accepted.text);
            let _receiver_gone = results.blocking_send(TaskResult::Parse(accepted, origin, result));
        });
    }

    fn block_peer(&mut self, peer: SocketAddr, announced: Revision, now: Instant) {
        if self.blocked_peers.len() < MAX_BLOCKED_PEERS {
            let until = now + BLOCK_DURATION;
            self.blocked_peers.insert(peer, (announced, until));
        }
    }
}
