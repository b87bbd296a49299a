//! State shared by the control thread, which maintains the fleet state, and the traffic thread, which serves
//! callers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    num::NonZeroUsize,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bulrushward_policy::{
    cold_server::ColdDemand,
    emptied_domains::EmptiedDomains,
    fleet_retry_budget::{FleetRetryBudget, RetryCause},
    fleet_share::{FleetPosition, whole_share},
    replaced_servers::ReplacedServers,
    server_reports::ServerReports,
    session_locations::{SessionKey, SessionLocations},
};
use memory_stats::memory_stats;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    body_memory::BodyMemory,
    buffered_body::SharedBuffers,
    crash_records::CrashRecords,
    fleet_view::FleetView,
    location_updates::{LocationUpdates, SessionLocation},
    metrics::{DirectMetrics, GaugeSnapshot},
    model::{FleetConfig, ServiceName},
    overload::OverloadControl,
    places::Places,
    ports::{FleetStore, HttpConventions, LogStats, RouterDependencies},
    routed_request::RoutedRequest,
    routes::RouteTable,
    servers::{Server, ServerHash, ServerSet, ServerState},
    settings::DirectSettings,
    start_gate::StartGate,
    stop::StopClock,
    store_state::{StoreState, StoreView},
    stream_origins::StreamOrigins,
    unit_loans::UnitLoans,
};

/// Largest number of sessions whose locations are remembered, at roughly a hundred bytes each.
const MAX_SESSIONS: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// Largest number of session locations that a starting router receives from a peer or the store; about 30 KB.
const MAX_COPIED_LOCATIONS: usize = 2_048;

/// State of a direct router that is used by both threads.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: ArcSwap<DirectSettings>,
    pub(crate) conventions: Arc<dyn HttpConventions>,
    pub(crate) store: Arc<dyn FleetStore>,
    log: Arc<dyn LogStats>,
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) servers: ArcSwap<ServerSet>,
    /// Number of routers believed to be alive, including this one.
    routers: AtomicU32,
    /// Routers that share the allowances of cold servers.
    pub(crate) fleet_view: ArcSwap<FleetView>,
    /// Requests for services of which all usable servers are cold.
    cold_demand: Mutex<HashMap<ServiceName, ColdDemand>>,
    /// Time from which the number of routers is known.
    fleet_known: Instant,
    pub(crate) stop: StopClock,
    pub(crate) store_state: StoreState,
    has_servers: AtomicBool,
    /// Time at which the current configuration was activated; initially the start of the process.
    config_activated: Mutex<Instant>,
    budgets: Mutex<HashMap<ServiceName, FleetRetryBudget>>,
    session_locations: Mutex<SessionLocations>,
    /// Number of changes of session locations so far.
    location_changes: AtomicU64,
    /// Session locations still to be sent to peers.
    location_updates: Mutex<LocationUpdates>,
    pub(crate) crash_records: CrashRecords,
    replaced_servers: Mutex<ReplacedServers>,
    server_reports: Mutex<ServerReports>,
    /// Whether orders to empty failure domains are followed.
    pub(crate) follows_orders: bool,
    emptied_domains: Mutex<EmptiedDomains>,
    pub(crate) overload: OverloadControl,
    pub(crate) start_gate: StartGate,
    pub(crate) places: Places,
    pub(crate) unit_loans: UnitLoans,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) buffers: SharedBuffers,
    pub(crate) body_memory: BodyMemory,
    pub(crate) metrics: DirectMetrics,
}

impl Shared {
    pub(crate) fn new(settings: DirectSettings, dependencies: RouterDependencies) -> Arc<Self> {
        let fleet_known = Instant::now() + settings.peer_discovery_time();
        let body_memory = BodyMemory::new(settings.body_memory());
        Arc::new(Self {
            fleet_known,
            follows_orders: settings.orders_known.is_some(),
            settings: ArcSwap::from_pointee(settings),
            conventions: dependencies.conventions,
            store: dependencies.store,
            log: dependencies.log,
            routes: ArcSwapOption::empty(),
            servers: ArcSwap::default(),
            routers: AtomicU32::new(1),
            fleet_view: ArcSwap::default(),
            cold_demand: Mutex::default(),
            stop: StopClock::default(),
            store_state: StoreState::default(),
            has_servers: AtomicBool::new(false),
            config_activated: Mutex::new(Instant::now()),
            budgets: Mutex::default(),
            session_locations: Mutex::new(SessionLocations::new(MAX_SESSIONS)),
            location_changes: AtomicU64::new(0),
            location_updates: Mutex::default(),
            crash_records: CrashRecords::default(),
            replaced_servers: Mutex::default(),
            server_reports: Mutex::default(),
            emptied_domains: Mutex::default(),
            overload: OverloadControl::default(),
            start_gate: StartGate::default(),
            places: Places::default(),
            unit_loans: UnitLoans::default(),
            stream_origins: StreamOrigins::default(),
            buffers: SharedBuffers::default(),
            body_memory,
            metrics: DirectMetrics::new(),
        })
    }

    /// Returns the settings, which may change while the router runs.
    pub(crate) fn settings(&self) -> Arc<DirectSettings> {
        self.settings.load_full()
    }

    pub(crate) fn set_settings(&self, settings: DirectSettings) {
        self.body_memory.set_capacity(settings.body_memory());
        self.settings.store(Arc::new(settings));
    }

    /// Activates a configuration if it is newer than the active one; returns whether it is.
    pub(crate) fn activate_config(&self, config: FleetConfig) -> bool {
        let known = self.config_version();
        if known.is_some_and(|known| config.version <= known) {
            return false;
        }
        self.metrics
            .config_version
            .set(config.version.cast_signed());
        *lock(&self.config_activated) = Instant::now();
        self.routes
            .store(Some(Arc::new(RouteTable::new(config.with_bounded_times()))));
        self.open_start_gate();
        true
    }

    /// Returns the version of the active configuration.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.routes
            .load()
            .as_ref()
            .map(|table| table.config().version)
    }

    /// Returns whether requests are accepted: configuration and servers are known and no stop has begun.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_informed() && !self.stop.is_begun()
    }

    /// Returns whether configuration and servers are known.
    fn is_informed(&self) -> bool {
        self.has_servers() && self.routes.load().is_some()
    }

    /// Returns whether the registered servers are known.
    pub(crate) fn has_servers(&self) -> bool {
        self.has_servers.load(Ordering::Relaxed)
    }

    /// Replaces the set of registered servers that requests are sent to.
    pub(crate) fn publish_servers(&self, servers: ServerSet) {
        self.servers.store(Arc::new(servers));
        self.has_servers.store(true, Ordering::Relaxed);
        self.open_start_gate();
    }

    /// Lets waiting requests go on once this router has what it needs to serve them.
    fn open_start_gate(&self) {
        if self.is_informed() {
            self.start_gate.open();
        }
    }

    /// Returns the current values of the gauges that are computed when metrics are scraped.
    pub(crate) fn gauge_snapshot(&self) -> GaugeSnapshot {
        let (mut open, mut idle) = (0, 0);
        for server in self.servers.load().all() {
            open += server.connections.load(Ordering::Relaxed);
            idle += server.state().idle.len() as u32;
        }
        let (routers, now) = (self.retry_routers(), Instant::now());
        let mut budgets = lock(&self.budgets);
        GaugeSnapshot {
            connections_open: open,
            connections_idle: idle,
            config_age: lock(&self.config_activated).elapsed(),
            config_view_age: self.store_state.view_age(StoreView::Config),
            servers_view_age: self.store_state.view_age(StoreView::Servers),
            budgets: budgets
                .iter_mut()
                .map(|(service, budget)| (service.clone(), budget.available(routers, now)))
                .collect(),
            start_waiting: self.start_gate.waiting(),
            crash_records: self.crash_records.counts(),
            stream_origins: self.stream_origins.records(),
            log_lines_dropped: self.log.dropped_lines(),
            memory_bytes: memory_stats().map(|stats| stats.physical_mem),
        }
    }

    /// Sets the other routers that are alive, by the addresses of their fleet states.
    pub(crate) fn set_alive_peers(&self, mut peers: Vec<SocketAddr>) {
        let routers = 1 + peers.len() as u32;
        self.routers.store(routers, Ordering::Relaxed);
        self.metrics.routers.set(routers.into());
        let settings = self.settings();
        if let Some(port) = settings.places_port {
            self.stream_origins.set_peers(&peers, port);
        }
        peers.push(settings.knowledge_address);
        self.places.set_routers(peers);
    }

    /// Returns this router's share of the connections that a server accepts.
    ///
    /// The limit is divided by one router more than is known, so that the shares of all routers add up to less
    /// than the limit. In a fleet of more routers than that, each connects to some of the servers.
    pub(crate) fn connection_share(&self, limit: u32, server: ServerHash) -> u32 {
        let node_hash = xxh3_64_with_seed(self.settings.load().node.as_bytes(), server.into());
        let draw = f64::from(node_hash as u32) / f64::from(u32::MAX);
        whole_share(f64::from(limit), self.routers() + 1, draw)
    }

    /// Returns the place of this router among those that share a server, or `None` if they are not known yet.
    pub(crate) fn position(
        &self,
        server: &Server,
        state: &mut ServerState,
    ) -> Option<FleetPosition> {
        let view = self.fleet_view.load();
        if !view.is_settled {
            return None;
        }
        let known = state
            .position
            .filter(|(version, _)| *version == view.version);
        let position = known.map_or_else(|| view.position(server.hash), |(_, position)| position);
        state.position = Some((view.version, position));
        Some(position)
    }

    /// Returns whether gossip has had the time to tell of the other routers.
    pub(crate) fn is_fleet_known(&self) -> bool {
        Instant::now() >= self.fleet_known
    }

    /// Returns the number of routers that share the retry budget.
    ///
    /// Routers that the settings name count even if they cannot be reached, as they may still send retries.
    fn retry_routers(&self) -> u32 {
        self.routers().max(self.settings().configured_routers())
    }

    /// Deposits one request into the retry budget of a service.
    pub(crate) fn deposit_request(&self, service: &str) {
        self.with_budget(service, |budget| budget.deposit(Instant::now()));
    }

    /// Withdraws one retry from the budget of a service; returns whether the retry may be sent.
    pub(crate) fn withdraw_retry(&self, service: &str, cause: RetryCause) -> bool {
        let routers = self.retry_routers();
        let is_allowed = self.with_budget(service, |budget| {
            budget.withdraw(cause, routers, Instant::now())
        });
        if is_allowed {
            self.metrics.retries.inc();
        } else {
            self.metrics.retries_refused.inc();
        }
        is_allowed
    }

    /// Records whether a retry succeeded.
    pub(crate) fn record_retry_result(&self, service: &str, cause: RetryCause, is_success: bool) {
        self.with_budget(service, |budget| budget.record_result(cause, is_success));
    }

    fn with_budget<T>(&self, service: &str, update: impl FnOnce(&mut FleetRetryBudget) -> T) -> T {
        let allowance = self.settings().retry_allowance();
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_allowance(allowance);
            return update(budget);
        }
        let budget = FleetRetryBudget::new(allowance, self.fleet_known, &mut rand::rng());
        update(budgets.entry(service.to_owned()).or_insert(budget))
    }

    /// Returns the servers that are believed to have the prompt of a session cached.
    pub(crate) fn session_locations(&self, session: SessionKey) -> Vec<ServerHash> {
        lock(&self.session_locations).servers(session).collect()
    }

    /// Records that a server prefills the prompt of a session.
    ///
    /// A new location is queued for the peers.
    pub(crate) fn record_session_location(&self, session: SessionKey, server: ServerHash) {
        let mut locations = lock(&self.session_locations);
        if locations.record(session, server) {
            self.update_session_count(&locations);
            self.location_changes.fetch_add(1, Ordering::Relaxed);
            lock(&self.location_updates).add(SessionLocation { session, server });
        }
    }

    /// Returns the locations of the most recently used sessions, for a router that has just started.
    pub(crate) fn latest_session_locations(&self) -> Vec<SessionLocation> {
        let locations = lock(&self.session_locations);
        let latest = locations.latest().take(MAX_COPIED_LOCATIONS);
        latest
            .map(|(session, server)| SessionLocation { session, server })
            .collect()
    }

    /// Merges the locations of sessions that are not known yet; `received` starts with the latest.
    pub(crate) fn merge_session_locations(&self, received: &[SessionLocation]) {
        let mut locations = lock(&self.session_locations);
        let is_unknown = |location: &&SessionLocation| !locations.contains(location.session);
        let unknown: Vec<_> = received.iter().filter(is_unknown).collect();
        for location in unknown.into_iter().rev() {
            locations.record(location.session, location.server);
        }
        self.update_session_count(&locations);
    }

    /// Removes the locations at a server that has lost its cached prompts.
    pub(crate) fn forget_session_locations(&self, server: ServerHash) {
        lock(&self.session_locations).forget(server);
        self.location_changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Locks the requests for services of which all usable servers are cold.
    pub(crate) fn cold_demand(&self) -> MutexGuard<'_, HashMap<ServiceName, ColdDemand>> {
        lock(&self.cold_demand)
    }

    /// Returns the number of changes of session locations so far.
    pub(crate) fn location_changes(&self) -> u64 {
        self.location_changes.load(Ordering::Relaxed)
    }

    /// Returns the number of routers believed to be alive, including this one.
    pub(crate) fn routers(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }

    fn update_session_count(&self, locations: &SessionLocations) {
        self.metrics
            .sessions
            .set(locations.len().cast_signed() as i64);
    }

    /// Locks the servers of which another server has the address.
    pub(crate) fn replaced_servers(&self) -> MutexGuard<'_, ReplacedServers> {
        lock(&self.replaced_servers)
    }

    /// Locks what servers report about themselves.
    pub(crate) fn server_reports(&self) -> MutexGuard<'_, ServerReports> {
        lock(&self.server_reports)
    }

    /// Locks the failure domains to whose servers nothing may be sent.
    pub(crate) fn emptied_domains(&self) -> MutexGuard<'_, EmptiedDomains> {
        lock(&self.emptied_domains)
    }

    /// Returns the time for which a request is refused because its content crashes servers.
    pub(crate) fn content_refusal(&self, request: &RoutedRequest) -> Option<Duration> {
        self.crash_records.refusal(request, &self.fleet_view.load())
    }

    /// Returns the session locations for the next round of datagrams.
    pub(crate) fn take_location_updates(&self) -> Vec<SessionLocation> {
        lock(&self.location_updates).take()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
