//! Which software version began a stream: known from own streams and from other routers.
//!
//! Decisions are those of `bulrushward_policy::stream_origin`; the messages go with those about lent places.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_registry::StoreRevision,
    server_scope::{VersionBound, VersionKey, version_key},
    stream_origin::{self, ASKED, HOLDERS, Origin, OriginQuery, OriginRecords, StreamKey},
    version_history::{HistoryReport, ServiceKey, VersionHistory},
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;
use tokio::{sync::oneshot, time::timeout};
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    metrics::DirectMetrics, model::ServerRecord, places::Places, ports::FleetStore,
    routed_request::RoutedRequest, servers::ServerSet, version_check::VersionCheck,
};

/// Time after a stream's time limit in which its caller may resume it.
const RETURN_TIME: Duration = Duration::from_secs(15);
/// Time without an answer after which routers are asked once more; they are given up after as many times.
const REPEAT_INTERVAL: Duration = Duration::from_millis(25);
/// Number of times that a router is asked.
const MAX_SENDS: u32 = 4;
/// Largest number of resumed streams that wait for answers.
const MAX_WAITING: usize = 128;

/// A message about the origins of streams.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum OriginMessage {
    /// A stream began at a version.
    Began {
        stream: StreamKey,
        version: VersionKey,
        /// Milliseconds for which the stream may be resumed.
        life_ms: u32,
    },
    /// Asks where a stream of a service began; `None` if the caller does not name it.
    Ask {
        id: u64,
        stream: Option<StreamKey>,
        service: ServiceKey,
        /// Milliseconds for which streams of its route may last and be resumed.
        life_ms: u32,
    },
    /// Answers an ask.
    Answer { id: u64, origin: Origin },
}

/// How a router knows where a stream began.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum Source {
    /// From its own record.
    Record,
    /// From another router.
    Peer,
    /// The service has had one version only for longer than a stream lasts.
    OnlyVersion,
    /// No router that was asked has a record, and the service has had several versions.
    SeveralVersions,
    /// No router that was asked knows.
    NotKnown,
    /// The caller does not name the request that began the stream.
    NotNamed,
    /// There was no router to ask, or too many asks are pending.
    NotAsked,
    /// The store does not confirm that there has been one version only.
    Unconfirmed,
    /// Streams of different versions began under the same id.
    Contradictory,
}

/// The registered servers as a router knows them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegistryView<'a> {
    pub(crate) servers: &'a ServerSet,
    /// Whether the store responds, so that no version can have appeared unnoticed.
    pub(crate) is_confirmed: bool,
}

/// The store, and the revision up to which the registered servers are known.
#[derive(Clone, Copy)]
pub(crate) struct RegistrySource<'a> {
    pub(crate) store: &'a dyn FleetStore,
    pub(crate) revision: StoreRevision,
}

/// A resumed stream that waits for answers.
#[derive(Debug)]
struct Waiting {
    query: OriginQuery<SocketAddr>,
    end: oneshot::Sender<Origin>,
}

/// Origins of streams, and the routers that keep them.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    records: Mutex<OriginRecords>,
    history: Mutex<VersionHistory>,
    /// The other routers that are alive, as hashes of their names and as the addresses for messages.
    peers: Mutex<(Vec<u64>, Vec<SocketAddr>)>,
    waiting: Mutex<HashMap<u64, Waiting>>,
    version_check: VersionCheck,
}

impl StreamOrigins {
    /// Sets the other routers that are alive, by the addresses of their fleet states; messages go to `port`.
    pub(crate) fn set_peers(&self, peers: &[SocketAddr], port: u16) {
        let named = peers.iter().map(|peer| {
            let name = xxh3_64(peer.to_string().as_bytes());
            (name, SocketAddr::new(peer.ip(), port))
        });
        *lock(&self.peers) = named.unzip();
    }

    /// Returns the number of streams whose origins are remembered.
    pub(crate) fn records(&self) -> usize {
        lock(&self.records).len()
    }

    /// Records that a server of this version sent the first event of a stream, or continues it, and notifies others.
    pub(crate) fn record_begun(
        &self,
        places: &Places,
        request: &RoutedRequest,
        version: VersionKey,
    ) {
        let stream = key(
            request,
            request.resumes.as_deref().unwrap_or(&request.request_id),
        );
        let life = request.time_left() + RETURN_TIME;
        lock(&self.records).record(stream, version, life, Instant::now());
        let life_ms = life.as_millis() as u32;
        for holder in self.holders(stream, HOLDERS) {
            let began = OriginMessage::Began {
                stream,
                version,
                life_ms,
            };
            places.send(holder, began);
        }
    }

    /// Returns the versions at which a request may run: any if it begins, else the one that began its stream.
    ///
    /// Asks other routers if this one does not know it, and the store whether a version is the only one.
    pub(crate) async fn version_bound(
        &self,
        places: &Places,
        registry: RegistryView<'_>,
        source: RegistrySource<'_>,
        metrics: &DirectMetrics,
        request: &RoutedRequest,
    ) -> VersionBound {
        if !request.is_resumed() {
            return VersionBound::Any;
        }
        let begun = Instant::now();
        let (origin, known_from) = self.find(places, registry, request).await;
        let (origin, known_from) = self.confirm(source, request, origin, known_from).await;
        let source: &'static str = known_from.into();
        metrics.record_resumed_stream(source);
        let (version, age_ms) = match origin {
            Origin::Version { version, age_ms } => (Some(version), Some(age_ms)),
            Origin::OnlyVersion { version } => (Some(version), None),
            Origin::Contradictory | Origin::NotKnown | Origin::SeveralVersions => (None, None),
        };
        info!(
            event = "stream-taken-up",
            request = request.request_id,
            began_as = request.resumes,
            after_event = request.last_event_id,
            version = version.map(|version| text(registry, request, version)),
            source,
            age_ms,
            ms = begun.elapsed().as_millis() as u64,
        );
        VersionBound::begun_at(version)
    }

    /// Handles a message of another router; returns the reply if there is one.
    pub(crate) fn receive(
        &self,
        from: SocketAddr,
        message: OriginMessage,
        registry: RegistryView<'_>,
    ) -> Option<OriginMessage> {
        let now = Instant::now();
        match message {
            OriginMessage::Began {
                stream,
                version,
                life_ms,
            } => {
                let life = Duration::from_millis(life_ms.into());
                lock(&self.records).record(stream, version, life, now);
                None
            }
            OriginMessage::Ask {
                id,
                stream,
                service,
                life_ms,
            } => {
                let life = Duration::from_millis(life_ms.into());
                let origin = self.known_origin(stream, service, life, registry);
                Some(OriginMessage::Answer { id, origin })
            }
            OriginMessage::Answer { id, origin } => {
                let mut waiting = lock(&self.waiting);
                let result = waiting.get_mut(&id)?.query.answer(from, origin)?;
                if let Some(ended) = waiting.remove(&id) {
                    // The request may have been dropped just now.
                    let _dropped = ended.end.send(result);
                }
                None
            }
        }
    }

    /// Returns what this router knows about the origin of a stream.
    fn known_origin(
        &self,
        stream: Option<StreamKey>,
        service: ServiceKey,
        life: Duration,
        registry: RegistryView<'_>,
    ) -> Origin {
        let now = Instant::now();
        let recorded = stream.map(|stream| lock(&self.records).get(stream, now));
        if let Some(recorded) = recorded.filter(|recorded| *recorded != Origin::NotKnown) {
            return recorded;
        }
        let current = registry.servers.versions(service);
        match lock(&self.history).origin(service, current, life, now) {
            Origin::OnlyVersion { .. } if !registry.is_confirmed => Origin::NotKnown,
            origin => origin,
        }
    }

    async fn find(
        &self,
        places: &Places,
        registry: RegistryView<'_>,
        request: &RoutedRequest,
    ) -> (Origin, Source) {
        let began_as = request.resumes.as_deref();
        let stream = began_as.map(|began_as| key(request, began_as));
        let service = service_key(&request.service.name);
        let life = request.route.timeout + RETURN_TIME;
        let own = self.known_origin(stream, service, life, registry);
        if matches!(own, Origin::Version { .. } | Origin::Contradictory) {
            return (own, source_of(own, Source::Record));
        }
        let asked = self.holders(stream.unwrap_or(service.into()), ASKED);
        if asked.is_empty() {
            return (own, source_of(own, Source::NotAsked));
        }
        let ask = |id| OriginMessage::Ask {
            id,
            stream,
            service,
            life_ms: life.as_millis() as u32,
        };
        let query = OriginQuery::new(own, asked);
        let Some(origin) = self.ask(places, ask, query).await else {
            return (own, source_of(own, Source::NotAsked));
        };
        let mut current = registry.servers.versions(service);
        match origin {
            // This router may know a version that the others do not know yet.
            Origin::OnlyVersion { version } if current.any(|other| other != Some(version)) => {
                (Origin::SeveralVersions, Source::SeveralVersions)
            }
            Origin::NotKnown if stream.is_none() => (origin, Source::NotNamed),
            _ => (origin, source_of(origin, Source::Peer)),
        }
    }

    /// Returns what is known once it is certain that no other version has appeared before the request was received.
    async fn confirm(
        &self,
        source: RegistrySource<'_>,
        request: &RoutedRequest,
        origin: Origin,
        known_from: Source,
    ) -> (Origin, Source) {
        if !matches!(origin, Origin::OnlyVersion { .. }) {
            return (origin, known_from);
        }
        let service = &request.service.name;
        let RegistrySource { store, revision } = source;
        let since = self
            .version_check
            .since(store, revision, request.received, service);
        let confirmed = origin.confirmed(since.await.as_deref());
        (confirmed, source_of(confirmed, Source::Unconfirmed))
    }

    /// Records the versions of servers that are registered now or were until now.
    pub(crate) fn observe_servers<'a>(&self, servers: impl Iterator<Item = &'a ServerRecord>) {
        let now = Instant::now();
        let mut history = lock(&self.history);
        for server in servers {
            let version = server.version.as_deref().map(version_key);
            history.observe(service_key(&server.service), version, now);
        }
    }

    /// Records that changes to the servers may have been missed until now.
    pub(crate) fn begin_history(&self) {
        lock(&self.history).begin(Instant::now());
    }

    /// Records that no router of this fleet ran before.
    pub(crate) fn begin_fleet(&self) {
        lock(&self.history).begin_fleet(Instant::now());
    }

    /// Returns the history of versions for other routers, given the servers that are registered now.
    pub(crate) fn history<'a>(
        &self,
        registered: impl Iterator<Item = &'a ServerRecord>,
    ) -> HistoryReport {
        self.observe_servers(registered);
        lock(&self.history).report(Instant::now())
    }

    /// Returns whether the history of versions is shorter than another one was when it was reported.
    pub(crate) fn has_shorter_history_than(&self, other: &HistoryReport) -> bool {
        lock(&self.history).is_shorter_than(other, Instant::now())
    }

    /// Continues the history of another router, from which nothing was missed.
    pub(crate) fn restore_history(&self, history: &HistoryReport) {
        lock(&self.history).restore(history, Instant::now());
    }

    /// Asks other routers where a stream began; returns `None` if too many asks are under way.
    async fn ask(
        &self,
        places: &Places,
        message: impl Fn(u64) -> OriginMessage,
        query: OriginQuery<SocketAddr>,
    ) -> Option<Origin> {
        let id = rand::rng().random();
        let (end, mut result) = oneshot::channel();
        if !self.begin(id, Waiting { query, end }) {
            return None;
        }
        let _guard = WaitGuard { origins: self, id };
        for _ in 0..MAX_SENDS {
            for router in self.unanswered(id) {
                places.send(router, message(id));
            }
            if let Ok(result) = timeout(REPEAT_INTERVAL, &mut result).await {
                return Some(result.unwrap_or(Origin::NotKnown));
            }
        }
        let waiting = lock(&self.waiting);
        let unfinished = waiting.get(&id).map(|waiting| waiting.query.result());
        Some(unfinished.unwrap_or(Origin::NotKnown))
    }

    /// Records an ask; returns whether there was room for it.
    fn begin(&self, id: u64, ask: Waiting) -> bool {
        let mut waiting = lock(&self.waiting);
        let has_room = waiting.len() < MAX_WAITING;
        if has_room {
            waiting.insert(id, ask);
        }
        has_room
    }

    /// Returns the routers that have not answered an ask.
    fn unanswered(&self, id: u64) -> Vec<SocketAddr> {
        let waiting = lock(&self.waiting);
        let waiting = waiting.get(&id);
        waiting.map_or_else(Vec::new, |waiting| waiting.query.unanswered().to_vec())
    }

    /// Returns the first of the other routers that keep the origin of a stream.
    fn holders(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let peers = lock(&self.peers);
        let (names, addresses) = &*peers;
        let first = stream_origin::holders(names, stream, count).into_iter();
        first.map(|index| addresses[index]).collect()
    }
}

/// Removes a waiting ask when its request ends.
struct WaitGuard<'a> {
    origins: &'a StreamOrigins,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(&self.origins.waiting).remove(&self.id);
    }
}

fn text(registry: RegistryView<'_>, request: &RoutedRequest, version: VersionKey) -> String {
    let service = &request.service.name;
    registry.servers.version_text(service, version)
}

fn service_key(name: &str) -> ServiceKey {
    xxh3_64(name.as_bytes())
}

fn key(request: &RoutedRequest, began_as: &str) -> StreamKey {
    stream_origin::stream_key(
        &request.service.name,
        request.organisation.as_deref(),
        began_as,
    )
}

/// Returns the source of an origin; `asked` names who was asked.
fn source_of(origin: Origin, asked: Source) -> Source {
    match origin {
        Origin::Version { .. } => asked,
        Origin::OnlyVersion { .. } => Source::OnlyVersion,
        Origin::Contradictory => Source::Contradictory,
        Origin::NotKnown if matches!(asked, Source::NotAsked | Source::Unconfirmed) => asked,
        Origin::NotKnown => Source::NotKnown,
        Origin::SeveralVersions => Source::SeveralVersions,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
