//! Gossip between routers.
//!
//! Each round, a router sends some peers a datagram with its fleet state version and its requests in progress.
//! A router whose fleet state is behind fetches a snapshot from a peer.

mod fetch;
mod message;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bulrushward_policy::{
    emptied_domains::EmptiedReport, fleet_liveness::FleetLiveness, fleet_share::FleetMembers,
    server_load::PeerLoad, server_registry::StoreRevision, view_lag::ViewLag,
};
use rand::seq::IndexedRandom;
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};
use tracing::{debug, info, warn};

pub(crate) use self::fetch::FLEET_STATE_PATH;
use self::fetch::StateFetch;
use self::message::{
    GossipMessage, GossipOrders, GossipTail, Peer, PeerSighting, ServerInProgress,
};
use crate::{
    cold_servers,
    connection::close_expired,
    crash_reports::CrashReports,
    fleet_state::{FleetState, StateVersion},
    fleet_view::FleetView,
    model::ConfigVersion,
    server_reports::{self, ReportMessage},
    servers::ServerHash,
    shared::Shared,
    store_news::MissedChanges,
    store_state::StoreView,
};

/// Interval between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Number of peers that receive a datagram in each round, which bounds the traffic in a large fleet.
const PEERS_PER_ROUND: usize = 4;
/// Number of peers notified at once of content that crashes servers.
const PEERS_AT_ONCE: usize = 6;
/// Shortest time between two datagrams that are sent at once.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a datagram of a process may still arrive after the process was restarted.
const MAX_DATAGRAM_DELAY: Duration = Duration::from_secs(1);
/// Time without a message after which a peer is forgotten, so that it receives no more datagrams.
const PEER_TTL: Duration = Duration::from_secs(30);
/// Largest number of peers whose latest messages are kept.
const MAX_PEERS: usize = 4_096;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Largest number of servers in one message; the busiest are included.
const MAX_SERVERS_PER_MESSAGE: usize = 256;
/// Gossip with peers, run by the control thread.
pub(crate) struct Gossip {
    shared: Arc<Shared>,
    fleet_state: Arc<FleetState>,
    socket: UdpSocket,
    started_ms: u64,
    by_node: HashMap<String, Peer>,
    /// Liveness of peers, identified by the address of their fleet state.
    liveness: FleetLiveness<SocketAddr>,
    /// Routers that share the allowances of cold servers.
    members: FleetMembers<SocketAddr>,
    config_lag: ViewLag<Option<ConfigVersion>>,
    servers_lag: ViewLag<StoreRevision>,
    state_fetch: StateFetch,
}

impl Gossip {
    /// Binds the datagram socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub(crate) async fn bind(
        shared: Arc<Shared>,
        fleet_state: Arc<FleetState>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(shared.settings().datagram_address()).await?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let own = shared.settings().knowledge_address;
        Ok(Self {
            members: FleetMembers::new(own, Instant::now()),
            shared,
            fleet_state,
            socket,
            started_ms: now.as_millis() as u64,
            by_node: HashMap::new(),
            liveness: FleetLiveness::default(),
            config_lag: ViewLag::default(),
            servers_lag: ViewLag::default(),
            state_fetch: StateFetch::default(),
        })
    }

    /// Exchanges datagrams until cancelled.
    pub(crate) async fn run(mut self) {
        let mut rounds = interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let shared = Arc::clone(&self.shared);
        let mut next_news = Instant::now();
        loop {
            tokio::select! {
                _tick = rounds.tick() => self.round().await,
                () = wait_for_news(&shared, next_news) => {
                    self.send_message(PEERS_AT_ONCE).await;
                    next_news = Instant::now() + NEWS_INTERVAL;
                }
                fetched = self.state_fetch.ended() => self.apply_fetched(fetched),
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.receive(&buf[..len], from),
                    // The system also reports here if nothing listens on a peer's port.
                    Err(error) => debug!(event = "datagram-failed", %error),
                },
            }
        }
    }

    /// Runs one gossip round.
    async fn round(&mut self) {
        let now = Instant::now();
        self.fleet_state.remove_lapsed_servers();
        self.expire_peers(now);
        self.update_peer_loads(now);
        for server in self.shared.servers.load().all() {
            close_expired(server, now);
        }
        cold_servers::log_changes(&self.shared, now);
        server_reports::remove_outdated(&self.shared, now);
        self.send_message(PEERS_PER_ROUND).await;
        self.catch_up(now);
    }

    /// Records a received datagram, unless it is from an earlier process of the same node.
    fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let (message, tail): (GossipMessage, _) = match postcard::take_from_bytes(datagram) {
            Ok(parts) => parts,
            Err(error) => {
                info!(event = "datagram-unreadable", %from, bytes = datagram.len(), %error);
                return;
            }
        };
        if message.node == self.shared.settings().node {
            return;
        }
        let known = self.by_node.get(&message.node);
        if known.is_none() && self.by_node.len() >= MAX_PEERS {
            warn!(
                event = "peer-ignored",
                node = message.node,
                peers = MAX_PEERS
            );
            return;
        }
        // The clock may have been set back between two starts, so an earlier start time is accepted once no
        // messages with the later one arrive any more.
        let is_late = |peer: &Peer| {
            peer.message.started_ms > message.started_ms
                && peer.received_at.elapsed() < MAX_DATAGRAM_DELAY
        };
        if known.is_some_and(is_late) {
            return;
        }
        // Routers of earlier versions send fewer parts.
        let (tail, orders): (GossipTail, _) = postcard::take_from_bytes(tail).unwrap_or_default();
        let (orders, crashes): (GossipOrders, _) =
            postcard::take_from_bytes(orders).unwrap_or_default();
        let (crashes, reports): (CrashReports, _) =
            postcard::take_from_bytes(crashes).unwrap_or_default();
        let (reports, missed): (ReportMessage, _) =
            postcard::take_from_bytes(reports).unwrap_or_default();
        let missed: MissedChanges = postcard::from_bytes(missed).unwrap_or_default();
        self.record_news(missed, &message.state_version);
        self.merge_tail(&tail, &message.node);
        self.shared.crash_records.merge(&crashes, &message.node);
        server_reports::merge(&self.shared, &reports, &message.node);
        if let Some(emptied) = &orders.emptied {
            self.fleet_state.merge_orders(emptied);
        }
        self.record_sighting(message.fleet_state_address, Duration::ZERO);
        for other in &message.others {
            self.record_sighting(
                other.fleet_state_address,
                Duration::from_millis(other.age_ms.into()),
            );
        }
        for location in &message.session_locations {
            self.shared
                .record_session_location(location.session, location.server);
        }
        let peer = Peer {
            received_at: Instant::now(),
            message,
        };
        self.by_node.insert(peer.message.node.clone(), peer);
    }

    /// Asks the store for changes that a peer knows and that calls which wait for them may have missed.
    fn record_news(&self, missed: MissedChanges, peer: &StateVersion) {
        let own = self.fleet_state.version();
        let waits = &self.shared.store_state.waits;
        if missed.config && peer.config > own.config {
            waits.record_news(StoreView::Config);
        }
        if missed.servers && peer.has_newer_servers_than(&own) {
            waits.record_news(StoreView::Servers);
        }
    }

    fn merge_tail(&self, tail: &GossipTail, node: &str) {
        if let Some(recovery) = tail.recovery {
            self.shared.store_state.merge_recovery(recovery);
        }
        self.shared
            .overload
            .merge(&tail.response_times, &self.shared.servers.load());
        let now = Instant::now();
        let mut replaced = self.shared.replaced_servers();
        let new = tail.replaced_servers.iter();
        let servers = new.filter(|server| replaced.record(**server, now)).count();
        drop(replaced);
        if servers > 0 {
            info!(event = "servers-replaced-heard", servers, from = node);
        }
    }

    /// Records a sign of life of a peer.
    fn record_sighting(&mut self, peer: SocketAddr, age: Duration) {
        let is_other = peer != self.shared.settings().knowledge_address;
        if is_other && self.liveness.record(peer, age, Instant::now()) {
            info!(event = "peer-known", %peer);
        }
    }

    fn expire_peers(&mut self, now: Instant) {
        for peer in self.liveness.remove_expired(now) {
            warn!(event = "peer-lost", %peer);
        }
        self.by_node
            .retain(|_, peer| now.saturating_duration_since(peer.received_at) < PEER_TTL);
        let alive: Vec<_> = self.liveness.alive().copied().collect();
        let own = self.shared.settings().knowledge_address;
        let turns = &self.shared.store_state.check_turns;
        turns.set_routers(own, &alive);
        self.shared.set_alive_peers(alive);
        self.update_members(now);
    }

    /// Updates the routers that share the allowances of cold servers.
    ///
    /// Routers that the settings name count even if they cannot be reached, as they may still send requests.
    fn update_members(&mut self, now: Instant) {
        let settings = self.shared.settings();
        let own = settings.knowledge_address;
        let alive = self.liveness.alive().chain(&settings.seeds).chain([&own]);
        if self.members.observe(alive.copied(), now) {
            let view = FleetView::new(own, &self.members, &self.shared.fleet_view.load());
            self.shared.fleet_view.store(Arc::new(view));
        }
    }

    /// Returns the peers with a recent message.
    fn fresh_peers(&self) -> impl Iterator<Item = &Peer> {
        let now = Instant::now();
        self.by_node.values().filter(move |peer| peer.is_fresh(now))
    }

    /// Updates the load that peers cause at each server.
    fn update_peer_loads(&self, now: Instant) {
        let fresh = self.fresh_peers().count();
        if fresh == 0 {
            return;
        }
        // In a large fleet the recent messages are a sample of all routers, so the sums are scaled up.
        let scale = (self.liveness.count() as f64 / fresh as f64).max(1.0);
        let mut sums: HashMap<ServerHash, PeerLoad> = HashMap::new();
        for reported in self
            .fresh_peers()
            .flat_map(|peer| &peer.message.in_progress)
        {
            let sum = sums.entry(reported.server).or_default();
            sum.requests = sum.requests.saturating_add(reported.requests);
            sum.unread_tokens = sum.unread_tokens.saturating_add(reported.unread_tokens);
        }
        for server in self.shared.servers.load().all() {
            let sum = sums.get(&server.hash).copied().unwrap_or_default();
            server.state().load.record_peer_load(sum.scaled(scale), now);
        }
    }

    /// Sends a datagram to some random peers.
    async fn send_message(&self, peers: usize) {
        let orders = GossipOrders {
            emptied: self
                .shared
                .emptied_domains()
                .report(Instant::now())
                .filter(EmptiedReport::fits_datagram),
        };
        let crashes = self.shared.crash_records.message();
        let reports = server_reports::message(&self.shared);
        let parts = (
            self.build_message(),
            self.build_tail(),
            orders,
            crashes,
            reports,
            self.shared.store_state.news.message(),
        );
        let bytes = match postcard::to_stdvec(&parts) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(event = "digest-failed", %error);
                return;
            }
        };
        for address in self.choose_receivers(peers) {
            let to = SocketAddr::new(address.ip(), self.shared.settings().datagram_port);
            if let Err(error) = self.socket.send_to(&bytes, to).await {
                debug!(event = "datagram-failed", %to, %error);
            }
        }
    }

    /// Chooses random peers as receivers of a datagram.
    fn choose_receivers(&self, peers: usize) -> Vec<SocketAddr> {
        let settings = self.shared.settings();
        let message_senders = self
            .by_node
            .values()
            .map(|peer| &peer.message.fleet_state_address);
        let mut known_addresses: Vec<SocketAddr> = message_senders
            .chain(self.liveness.alive())
            .chain(&settings.seeds)
            .copied()
            .filter(|address| *address != settings.knowledge_address)
            .collect();
        known_addresses.sort_unstable();
        known_addresses.dedup();
        known_addresses
            .sample(&mut rand::rng(), peers)
            .copied()
            .collect()
    }

    fn build_message(&self) -> GossipMessage {
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
        in_progress.sort_unstable_by_key(|reported| std::cmp::Reverse(reported.requests));
        in_progress.truncate(MAX_SERVERS_PER_MESSAGE);
        let sampled = self.liveness.sample(Instant::now(), &mut rand::rng());
        let others = sampled
            .into_iter()
            .map(|(fleet_state_address, age)| PeerSighting {
                fleet_state_address,
                age_ms: age.as_millis() as u32,
            });
        GossipMessage {
            node: self.shared.settings().node.clone(),
            started_ms: self.started_ms,
            fleet_state_address: self.shared.settings().knowledge_address,
            state_version: self.fleet_state.version(),
            in_progress,
            session_locations: self.shared.take_location_updates(),
            crashes: Vec::new(),
            others: others.collect(),
        }
    }

    fn build_tail(&self) -> GossipTail {
        GossipTail {
            recovery: self.shared.store_state.recovery_report(),
            replaced_servers: self.shared.replaced_servers().report(Instant::now()),
            response_times: self.shared.overload.take_report(self.shared.routers()),
        }
    }
}

/// Waits until content that crashes servers, or missed changes, should be sent to peers, not before `earliest`.
async fn wait_for_news(shared: &Shared, earliest: Instant) {
    tokio::time::sleep_until(earliest.into()).await;
    tokio::select! {
        () = shared.crash_records.wait_for_news() => {}
        () = shared.store_state.news.wait() => {}
    }
}
