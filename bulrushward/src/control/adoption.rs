//! Which revision is fetched, read and put in force next.

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

/// Peers with a newer revision that are kept in case that the first does not answer.
const MAX_OFFERS: usize = 8;
/// Time for which a peer that sent bad content is not asked for the same revision again.
const BAD_PEER_PAUSE: Duration = Duration::from_secs(30);
/// Peers with bad content that are remembered.
const MAX_BAD_PEERS: usize = 1_024;
/// Results that may wait for the control thread.
const CHANNEL_CAPACITY: usize = 4;

/// Where a revision came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Origin {
    #[strum(serialize = "key-value service")]
    KeyValue,
    #[strum(serialize = "submission")]
    Submission,
    #[strum(serialize = "peer")]
    Peer(SocketAddr),
}

/// A revision whose text was checked and that may be put in force.
#[derive(Debug)]
pub(crate) struct Readable {
    pub(crate) accepted: AcceptedRevision,
    pub(crate) config: Config,
    pub(crate) origin: Origin,
}

/// What a thread that may block has finished.
#[derive(Debug)]
pub(crate) enum Finished {
    /// A fetch from a peer.
    Fetch(SocketAddr, Result<AcceptedRevision, FetchError>),
    /// The reading of a text.
    Parse(AcceptedRevision, Origin, Result<Config, TextErrors>),
}

/// The way of a revision from an offer until it is in force: at most one fetch and one reading
/// of a text run at a time.
#[derive(Debug)]
pub(crate) struct Adoption {
    revisions: ActiveRevision,
    offers: HashMap<SocketAddr, Revision>,
    /// Peers that sent bad content, the revision that they claimed and until when this counts.
    bad_peers: HashMap<SocketAddr, (Revision, Instant)>,
    /// Revision that the peer claimed from which a fetch runs.
    fetching: Option<Revision>,
    /// Revision whose text is being read.
    parsing: Option<AcceptedRevision>,
    /// Newest text that waits to be read.
    waiting: Option<(AcceptedRevision, Origin)>,
    metrics: ControlMetrics,
    finished: mpsc::Sender<Finished>,
}

impl Adoption {
    pub(crate) fn new(metrics: ControlMetrics) -> (Self, mpsc::Receiver<Finished>) {
        let (finished, rx) = mpsc::channel(CHANNEL_CAPACITY);
        let adoption = Self {
            revisions: ActiveRevision::default(),
            offers: HashMap::new(),
            bad_peers: HashMap::new(),
            fetching: None,
            parsing: None,
            waiting: None,
            metrics,
            finished,
        };
        (adoption, rx)
    }

    /// Takes in that a peer has a revision; returns whether it is worth a fetch.
    pub(crate) fn offer(&mut self, peer: SocketAddr, revision: Revision, now: Instant) -> bool {
        self.bad_peers.retain(|_, (_, until)| *until > now);
        let bad = self.bad_peers.get(&peer);
        let is_bad = bad.is_some_and(|(claimed, _)| *claimed == revision);
        if is_bad || revision <= self.newest() {
            return false;
        }
        if self.offers.len() < MAX_OFFERS || self.offers.contains_key(&peer) {
            self.offers.insert(peer, revision);
        }
        true
    }

    /// Starts a fetch from the peer with the newest revision, unless one runs.
    pub(crate) fn fetch_next(&mut self, own_side: Exchange, known: Option<AcceptedRevision>) {
        let newest = self.newest();
        self.offers.retain(|_, revision| *revision > newest);
        if self.fetching.is_some() {
            return;
        }
        let offers = self.offers.iter();
        let best = offers.max_by_key(|(address, revision)| (**revision, **address));
        let Some((&address, &claimed)) = best else {
            return;
        };
        self.offers.remove(&address);
        self.fetching = Some(claimed);
        let fetch = Fetch {
            address,
            own_side,
            known,
            metrics: self.metrics.clone(),
        };
        let finished = self.finished.clone();
        tokio::task::spawn_blocking(move || {
            let _ended = finished.blocking_send(Finished::Fetch(address, fetch.run()));
        });
    }

    /// Takes in the end of a fetch; returns whether a newer revision arrived.
    pub(crate) fn fetched(
        &mut self,
        peer: SocketAddr,
        result: Result<AcceptedRevision, FetchError>,
        now: Instant,
    ) -> bool {
        let claimed = self.fetching.take().unwrap_or(0);
        match result {
            Ok(accepted) => return self.read(accepted, Origin::Peer(peer)),
            Err(error) if error.is_bad_content() => {
                self.metrics.bad_message();
                self.pause(peer, claimed, now);
                warn!(event = "configuration-refused", %peer, %error);
            }
            Err(error) => debug!(event = "configuration-fetch-failed", %peer, %error),
        }
        false
    }

    /// Reads the text of a revision after the one that is being read; returns whether it is newer.
    pub(crate) fn read(&mut self, accepted: AcceptedRevision, origin: Origin) -> bool {
        let newer = accepted.revision > self.newest();
        if newer {
            self.waiting = Some((accepted, origin));
            self.parse_next();
        }
        newer
    }

    /// Takes in the end of the reading of a text; returns it if it is to be put in force.
    pub(crate) fn parsed(
        &mut self,
        accepted: AcceptedRevision,
        origin: Origin,
        result: Result<Config, TextErrors>,
        now: Instant,
    ) -> Option<Readable> {
        self.parsing = None;
        self.parse_next();
        let revision = accepted.revision;
        let config = match result {
            Ok(config) => config,
            Err(errors) => {
                warn!(event = "configuration-refused", revision, %origin, %errors);
                if let Origin::Peer(peer) = origin {
                    self.pause(peer, revision, now);
                }
                return None;
            }
        };
        self.revisions.adopt(revision).then_some(Readable {
            accepted,
            config,
            origin,
        })
    }

    /// Returns the revision that is on its way to be in force, the newest first.
    pub(crate) fn upcoming(&self) -> Option<&AcceptedRevision> {
        let waiting = self.waiting.as_ref().map(|(accepted, _)| accepted);
        waiting.or(self.parsing.as_ref())
    }

    /// Returns the newest revision that is in force or on its way there.
    fn newest(&self) -> Revision {
        let upcoming = self.upcoming().map_or(0, |accepted| accepted.revision);
        self.revisions.revision().max(upcoming)
    }

    fn parse_next(&mut self) {
        if self.parsing.is_some() {
            return;
        }
        let Some((accepted, origin)) = self.waiting.take() else {
            return;
        };
        self.parsing = Some(accepted.clone());
        let finished = self.finished.clone();
        tokio::task::spawn_blocking(move || {
            let result = bulrushward_config::parse(&accepted.text);
            let _ended = finished.blocking_send(Finished::Parse(accepted, origin, result));
        });
    }

    fn pause(&mut self, peer: SocketAddr, claimed: Revision, now: Instant) {
        if self.bad_peers.len() < MAX_BAD_PEERS {
            let until = now + BAD_PEER_PAUSE;
            self.bad_peers.insert(peer, (claimed, until));
        }
    }
}
