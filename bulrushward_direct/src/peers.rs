//! Datagrams between routers: versions and requests in progress; who is behind fetches from a peer.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bulrushward_policy::{fleet_liveness::FleetLiveness, server_load::PeerLoad};
use bulrushward_protocol::QuarantineRecord;
use hyper::StatusCode;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};
use tracing::{debug, info, warn};

use crate::{
    call,
    connection::drop_expired,
    follow::GATHERING_SHARE,
    knowledge::{Extent, Knowledge, KnowledgeCopy},
    model::ConfigVersion,
    news::Placement,
    servers::ServerHash,
    shared::Shared,
};

/// Path at which a router hands out what it knows; the version of the configuration follows that the
/// asking router has.
pub(crate) const KNOWLEDGE_PATH: &str = "/knowledge/";
/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(250);
/// Peers that get a datagram in each round; bounds the traffic of a large fleet.
const PEERS_A_ROUND: usize = 4;
/// Age up to which a datagram tells what a peer has in progress and how far its knowledge goes.
const DIGEST_FRESH: Duration = Duration::from_secs(3);
/// Time for which a datagram of a process that has started again may be on its way.
const LATE_DATAGRAM: Duration = Duration::from_secs(1);
/// Time without a datagram after which a peer is not written to any more.
const PEER_FORGOTTEN: Duration = Duration::from_secs(30);
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8 << 10;
/// Servers that one datagram tells of, the busiest first.
const MAX_SERVERS: usize = 256;
/// Contents that crash servers that one datagram tells of.
const MAX_CRASHES: usize = 8;
/// Time for a peer to hand out what it knows.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the time in which a change must be known for which the own store may bring what a peer has
/// already, before it is fetched from the peer; beyond the time for which changes are gathered.
const STORE_FIRST_SHARE: f64 = GATHERING_SHARE + 0.2;

/// What a router tells its peers in each round.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Digest {
    node: String,
    started_ms: u64,
    knowledge: SocketAddr,
    extent: Extent,
    in_progress: Vec<ServerInProgress>,
    placements: Vec<Placement>,
    /// Contents that crash servers.
    crashes: Vec<QuarantineRecord>,
    /// Other routers that are alive.
    others: Vec<SignOfLife>,
}

/// When a router was last heard.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct SignOfLife {
    knowledge: SocketAddr,
    age_ms: u32,
}

/// Requests of one router in progress at one server.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ServerInProgress {
    server: ServerHash,
    requests: u32,
    unread_tokens: u64,
}

/// A peer as it last told of itself.
#[derive(Clone, Debug)]
struct Peer {
    digest: Digest,
    heard: Instant,
}

impl Peer {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < DIGEST_FRESH
    }
}

/// The exchange with peers.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    knowledge: Arc<Knowledge>,
    socket: UdpSocket,
    started_ms: u64,
    by_node: HashMap<String, Peer>,
    /// Peers that are alive, by knowledge address.
    liveness: FleetLiveness<SocketAddr>,
    /// Since when a peer has been ahead of this router, and how far this one went then.
    behind: Option<(Instant, Extent)>,
    /// Whether this router has what its peers knew when it started.
    has_started: bool,
}

impl Peers {
    /// Binds the socket for datagrams.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub(crate) async fn bind(shared: Arc<Shared>, knowledge: Arc<Knowledge>) -> io::Result<Self> {
        let socket = UdpSocket::bind(shared.settings().datagram_address()).await?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Ok(Self {
            shared,
            knowledge,
            socket,
            started_ms: now.as_millis() as u64,
            by_node: HashMap::new(),
            liveness: FleetLiveness::default(),
            behind: None,
            has_started: false,
        })
    }

    /// Exchanges datagrams for ever.
    pub(crate) async fn run(mut self) {
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _tick = rounds.tick() => self.round().await,
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.hear(&buf[..len], from),
                    // A port without listener at a peer is reported here.
                    Err(error) => debug!(event = "datagram-failed", %error),
                },
            }
        }
    }

    async fn round(&mut self) {
        let now = Instant::now();
        self.knowledge.drop_lapsed();
        self.note_gone(now);
        self.share_loads(now);
        for server in self.shared.servers.load().all() {
            drop_expired(server, now);
        }
        self.tell().await;
        if !self.has_started {
            self.learn_at_start().await;
        }
        self.catch_up(now).await;
    }

    /// Fetches all that a peer knows once after the start, as datagrams tell changes only.
    async fn learn_at_start(&mut self) {
        let Some(from) = self.fresh().next().map(|peer| peer.digest.knowledge) else {
            return;
        };
        match fetch(from, None).await {
            Ok(copy) => {
                self.has_started = true;
                info!(event = "peer-copied", %from, placements = copy.placements.len());
                self.knowledge.merge(copy);
            }
            Err(error) => info!(event = "fetch-failed", %from, error),
        }
    }

    fn hear(&mut self, datagram: &[u8], from: SocketAddr) {
        let digest: Digest = match postcard::from_bytes(datagram) {
            Ok(digest) => digest,
            Err(error) => {
                debug!(event = "datagram-unreadable", %from, %error);
                return;
            }
        };
        if digest.node == self.shared.settings().node {
            return;
        }
        let known = self.by_node.get(&digest.node);
        // Time of day may have jumped back between two starts, so an older one counts once the other is
        // silent.
        let is_late = |peer: &Peer| {
            peer.digest.started_ms > digest.started_ms && peer.heard.elapsed() < LATE_DATAGRAM
        };
        if known.is_some_and(is_late) {
            return;
        }
        self.saw(digest.knowledge, Duration::ZERO);
        for other in &digest.others {
            self.saw(other.knowledge, Duration::from_millis(other.age_ms.into()));
        }
        self.shared.learn_crashes(&digest.crashes);
        for placement in &digest.placements {
            self.shared.note_home(placement.session, placement.server);
        }
        let peer = Peer {
            heard: Instant::now(),
            digest,
        };
        self.by_node.insert(peer.digest.node.clone(), peer);
    }

    /// Takes in a sign of life of a peer.
    fn saw(&mut self, peer: SocketAddr, age: Duration) {
        let is_other = peer != self.shared.settings().knowledge_address;
        if is_other && self.liveness.record(peer, age, Instant::now()) {
            info!(event = "peer-known", %peer);
        }
    }

    fn note_gone(&mut self, now: Instant) {
        for peer in self.liveness.remove_expired(now) {
            warn!(event = "peer-lost", %peer);
        }
        self.by_node
            .retain(|_, peer| now.saturating_duration_since(peer.heard) < PEER_FORGOTTEN);
        let routers = 1 + self.liveness.count() as u32;
        self.shared.set_routers(routers);
        self.shared.metrics.routers.set(routers.into());
    }

    /// Returns the peers of which a fresh datagram is known.
    fn fresh(&self) -> impl Iterator<Item = &Peer> {
        let now = Instant::now();
        self.by_node.values().filter(move |peer| peer.is_fresh(now))
    }

    /// Sums up what peers have in progress at each server.
    fn share_loads(&self, now: Instant) {
        let fresh = self.fresh().count();
        if fresh == 0 {
            return;
        }
        // In a large fleet the fresh datagrams are a sample of all routers.
        let scale = (self.liveness.count() as f64 / fresh as f64).max(1.0);
        let mut sums: HashMap<ServerHash, PeerLoad> = HashMap::new();
        for told in self.fresh().flat_map(|peer| &peer.digest.in_progress) {
            let sum = sums.entry(told.server).or_default();
            sum.requests += told.requests;
            sum.unread_tokens += told.unread_tokens;
        }
        for server in self.shared.servers.load().all() {
            let sum = sums.get(&server.hash).copied().unwrap_or_default();
            server.state().load.record_peer_load(sum.scaled(scale), now);
        }
    }

    async fn tell(&self) {
        let digest = self.digest();
        let bytes = match postcard::to_stdvec(&digest) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(event = "digest-failed", %error);
                return;
            }
        };
        for address in self.receivers() {
            let to = SocketAddr::new(address.ip(), self.shared.settings().datagram_port);
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                debug!(event = "datagram-failed", %to, %error);
            }
        }
    }

    /// Draws the peers that get this round's datagram.
    fn receivers(&self) -> Vec<SocketAddr> {
        let settings = self.shared.settings();
        let heard = self.by_node.values().map(|peer| &peer.digest.knowledge);
        let mut known: Vec<SocketAddr> = heard
            .chain(self.liveness.alive())
            .chain(&settings.seeds)
            .copied()
            .filter(|address| *address != settings.knowledge_address)
            .collect();
        known.sort_unstable();
        known.dedup();
        known
            .sample(&mut rand::rng(), PEERS_A_ROUND)
            .copied()
            .collect()
    }

    fn digest(&self) -> Digest {
        let mut in_progress: Vec<_> = self
            .shared
            .servers
            .load()
            .all()
            .filter_map(|server| {
                let state = server.state();
                (state.load.own_requests() > 0).then(|| ServerInProgress {
                    server: server.hash,
                    requests: state.load.own_requests(),
                    unread_tokens: state.load.own_unread_tokens(),
                })
            })
            .collect();
        in_progress.sort_unstable_by_key(|told| std::cmp::Reverse(told.requests));
        in_progress.truncate(MAX_SERVERS);
        let told = self.liveness.sample(Instant::now(), &mut rand::rng());
        let others = told.into_iter().map(|(knowledge, age)| SignOfLife {
            knowledge,
            age_ms: age.as_millis() as u32,
        });
        Digest {
            node: self.shared.settings().node.clone(),
            started_ms: self.started_ms,
            knowledge: self.shared.settings().knowledge_address,
            extent: self.knowledge.extent(),
            in_progress,
            placements: self.shared.take_news(),
            crashes: self.shared.crash_records(Instant::now(), MAX_CRASHES),
            others: others.collect(),
        }
    }

    /// Fetches from a peer what the own store does not bring.
    async fn catch_up(&mut self, now: Instant) {
        let own = self.knowledge.extent();
        let Some(from) = self.most_ahead(&own) else {
            self.behind = None;
            return;
        };
        let since = match self.behind {
            Some((since, then)) if then == own => since,
            // Knowledge that advances shows that the store brings it.
            _ => now,
        };
        self.behind = Some((since, own));
        let store_may_bring = self.shared.store_answers()
            && own.config.is_some()
            && now.saturating_duration_since(since) < self.store_first();
        if store_may_bring {
            return;
        }
        match fetch(from, own.config).await {
            Ok(copy) => self.knowledge.merge(copy),
            Err(error) => info!(event = "fetch-failed", %from, error),
        }
    }

    fn store_first(&self) -> Duration {
        let settings = self.shared.settings();
        let known = settings.leaving_known.min(settings.config_known);
        known.mul_f64(STORE_FIRST_SHARE)
    }

    /// Returns the address of the living peer that knows most beyond this router.
    fn most_ahead(&self, own: &Extent) -> Option<SocketAddr> {
        self.fresh()
            .filter(|peer| peer.digest.extent.is_ahead_of(own))
            .max_by_key(|peer| (peer.digest.extent.config, peer.digest.extent.as_of))
            .map(|peer| peer.digest.knowledge)
    }
}

async fn fetch(from: SocketAddr, known: Option<ConfigVersion>) -> Result<KnowledgeCopy, String> {
    let known = known.map_or_else(String::new, |version| version.to_string());
    let path = format!("{KNOWLEDGE_PATH}{known}");
    let (status, bytes) = call::get(from, &path, FETCH_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    postcard::from_bytes(&bytes).map_err(|error| format!("unreadable copy: {error}"))
}
