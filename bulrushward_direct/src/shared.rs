//! What the control thread publishes and traffic reads.

use std::{
    collections::HashMap,
    num::NonZeroUsize,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bulrushward_policy::{
    quarantine::{Quarantine, Verdict},
    retry_budget::RetryBudget,
    session_locations::{SessionKey, SessionLocations},
};
use bulrushward_protocol::{Fingerprint, QuarantineRecord};
use memory_stats::memory_stats;

use crate::{
    metrics::{DirectMetrics, Snapshot},
    model::{FleetConfig, ServiceName},
    news::{News, Placement},
    ports::{Dialect, FleetStore, LogState, Surroundings},
    routes::RouteTable,
    servers::{ServerHash, ServerSet},
    settings::DirectSettings,
};

/// Share of the fleet's repeats that routers spend; the rest covers routers that were restarted and views
/// that differ.
const BUDGET_SHARE: f64 = 0.7;
/// Routers that are assumed at least, for the split of the repeats beyond the ratio.
const MIN_ROUTERS: u32 = 4;

/// Sessions whose servers are remembered; some hundred bytes each.
const MAX_SESSIONS: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// Placements that a router that has just started gets, from a peer or the store; some 30 KB.
const MAX_COPIED: usize = 2_048;
/// Crashes after which a content is not sent to servers any more; a single one may be chance.
const CRASHES: u8 = 3;
/// Time for which crashes of a content are remembered; callers that retry come back within seconds.
const CRASH_MEMORY: Duration = Duration::from_secs(30);
/// Contents whose crashes are remembered.
const MAX_CRASHED: usize = 1_024;

/// When this router last had its views confirmed; the start of the process until then.
#[derive(Debug)]
struct Views {
    /// The configuration in force was taken in.
    config_adopted: Instant,
    /// The store last confirmed the configuration.
    config: Instant,
    /// The store last confirmed the registered servers.
    servers: Instant,
}

/// A view of the store that a router follows.
#[derive(Clone, Copy, Debug)]
pub(crate) enum View {
    Config,
    Servers,
}

impl Views {
    fn new(now: Instant) -> Self {
        Self {
            config_adopted: now,
            config: now,
            servers: now,
        }
    }
}

/// State of a direct router that both threads use.
#[derive(Debug)]
pub(crate) struct Shared {
    settings: ArcSwap<DirectSettings>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) store: Arc<dyn FleetStore>,
    log: Arc<dyn LogState>,
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) servers: ArcSwap<ServerSet>,
    /// Routers that are believed alive, this one included.
    routers: AtomicU32,
    is_stopping: AtomicBool,
    store_answers: AtomicBool,
    has_servers: AtomicBool,
    views: Mutex<Views>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    homes: Mutex<SessionLocations>,
    /// Number of the latest change of where sessions are.
    homes_change: AtomicU64,
    /// Placements that peers are still to be told.
    news: Mutex<News>,
    quarantine: Mutex<Quarantine>,
    pub(crate) metrics: DirectMetrics,
}

impl Shared {
    pub(crate) fn new(settings: DirectSettings, surroundings: Surroundings) -> Arc<Self> {
        Arc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            dialect: surroundings.dialect,
            store: surroundings.store,
            log: surroundings.log,
            routes: ArcSwapOption::empty(),
            servers: ArcSwap::default(),
            routers: AtomicU32::new(1),
            is_stopping: AtomicBool::new(false),
            store_answers: AtomicBool::new(true),
            has_servers: AtomicBool::new(false),
            views: Mutex::new(Views::new(Instant::now())),
            budgets: Mutex::default(),
            homes: Mutex::new(SessionLocations::new(MAX_SESSIONS)),
            homes_change: AtomicU64::new(0),
            news: Mutex::default(),
            quarantine: Mutex::new(Quarantine::new(CRASHES, CRASH_MEMORY, MAX_CRASHED)),
            metrics: DirectMetrics::new(),
        })
    }

    /// Returns the settings, which may change while the router runs.
    pub(crate) fn settings(&self) -> Arc<DirectSettings> {
        self.settings.load_full()
    }

    pub(crate) fn set_settings(&self, settings: DirectSettings) {
        self.settings.store(Arc::new(settings));
    }

    /// Puts a configuration in force if it is newer; returns whether it is.
    pub(crate) fn adopt(&self, config: FleetConfig) -> bool {
        let known = self.config_version();
        if known.is_some_and(|known| config.version <= known) {
            return false;
        }
        self.metrics
            .config_version
            .set(config.version.cast_signed());
        lock(&self.views).config_adopted = Instant::now();
        self.routes.store(Some(Arc::new(RouteTable::new(config))));
        true
    }

    /// Returns the version in force.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.routes
            .load()
            .as_ref()
            .map(|table| table.config().version)
    }

    /// Returns whether requests are taken: where they go is known, and the process is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        let has_servers = self.has_servers.load(Ordering::Relaxed);
        has_servers && !self.is_stopping() && self.routes.load().is_some()
    }

    /// Puts a view of the registered servers in force.
    pub(crate) fn set_servers(&self, servers: ServerSet) {
        self.servers.store(Arc::new(servers));
        self.has_servers.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last call to the store had a usable answer.
    pub(crate) fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    /// Notes that the store confirmed a view; returns whether the call before had no usable answer.
    pub(crate) fn store_confirmed(&self, view: View) -> bool {
        let now = Instant::now();
        let mut views = lock(&self.views);
        match view {
            View::Config => views.config = now,
            View::Servers => views.servers = now,
        }
        !self.store_answers.swap(true, Ordering::Relaxed)
    }

    /// Notes that a call to the store had no usable answer; returns whether the one before had.
    pub(crate) fn store_failed(&self) -> bool {
        self.store_answers.swap(false, Ordering::Relaxed)
    }

    /// Returns what the metrics tell of this moment.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let (mut open, mut idle) = (0, 0);
        for server in self.servers.load().all() {
            open += server.connections.load(Ordering::Relaxed);
            idle += server.state().idle.len() as u32;
        }
        let budgets = lock(&self.budgets);
        let views = lock(&self.views);
        Snapshot {
            connections_open: open,
            connections_idle: idle,
            config_age: views.config_adopted.elapsed(),
            config_view_age: views.config.elapsed(),
            servers_view_age: views.servers.elapsed(),
            budgets: budgets
                .iter()
                .map(|(service, budget)| (service.clone(), budget.available()))
                .collect(),
            log_lines_dropped: self.log.dropped_lines(),
            memory_bytes: memory_stats().map(|stats| stats.physical_mem),
        }
    }

    pub(crate) fn set_routers(&self, routers: u32) {
        self.routers.store(routers, Ordering::Relaxed);
    }

    /// Returns this router's share of the connections that a server accepts.
    pub(crate) fn connection_share(&self, limit: u32) -> u32 {
        (limit / (self.routers() + 1)).max(1)
    }

    /// Counts a request for a service.
    pub(crate) fn deposit(&self, service: &str) {
        self.with_budget(service, RetryBudget::deposit);
    }

    /// Pays for a repeat at a service; returns whether it may be sent.
    pub(crate) fn withdraw(&self, service: &str) -> bool {
        let may_repeat = self.with_budget(service, RetryBudget::withdraw);
        if !may_repeat {
            self.metrics.repeats_refused.inc();
        }
        may_repeat
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget);
        }
        act(budgets
            .entry(service.to_owned())
            .or_insert_with(|| self.new_budget()))
    }

    fn new_budget(&self) -> RetryBudget {
        let routers = self.routers().max(MIN_ROUTERS);
        // Half is left for routers that start again with a full balance.
        let settings = self.settings();
        let balance = settings.extra_repeats * BUDGET_SHARE / 2.0 / f64::from(routers);
        RetryBudget::with_balance(settings.repeat_ratio * BUDGET_SHARE, balance)
    }

    /// Returns the servers that are believed to have a session's prompt cached.
    pub(crate) fn homes(&self, session: SessionKey) -> Vec<ServerHash> {
        lock(&self.homes).servers(session).collect()
    }

    /// Takes in that a server reads a session's prompt, and tells peers if that is news.
    pub(crate) fn note_home(&self, session: SessionKey, server: ServerHash) {
        let mut homes = lock(&self.homes);
        if homes.record(session, server) {
            self.note_sessions(&homes);
            self.homes_change.fetch_add(1, Ordering::Relaxed);
            lock(&self.news).add(Placement { session, server });
        }
    }

    /// Returns the latest placements of sessions, for a router that has just started.
    pub(crate) fn placements(&self) -> Vec<Placement> {
        let homes = lock(&self.homes);
        let latest = homes.latest().take(MAX_COPIED);
        latest
            .map(|(session, server)| Placement { session, server })
            .collect()
    }

    /// Takes in older placements, the latest first, of sessions of which nothing is known.
    pub(crate) fn learn_placements(&self, placements: &[Placement]) {
        let mut homes = lock(&self.homes);
        let is_unknown = |placement: &&Placement| !homes.contains(placement.session);
        let unknown: Vec<_> = placements.iter().filter(is_unknown).collect();
        for placement in unknown.into_iter().rev() {
            homes.record(placement.session, placement.server);
        }
        self.note_sessions(&homes);
    }

    /// Returns the number of the latest change of where sessions are.
    pub(crate) fn homes_change(&self) -> u64 {
        self.homes_change.load(Ordering::Relaxed)
    }

    /// Returns the routers that are believed alive, this one included.
    pub(crate) fn routers(&self) -> u32 {
        self.routers.load(Ordering::Relaxed)
    }

    fn note_sessions(&self, homes: &SessionLocations) {
        self.metrics.sessions.set(homes.len().cast_signed() as i64);
    }

    /// Takes in that a server's connection broke while it ran a content.
    pub(crate) fn crashed(&self, content: Fingerprint) {
        lock(&self.quarantine).record_crash(content, Instant::now());
    }

    /// Returns the time for which a content is not sent to servers, if it crashed too many.
    pub(crate) fn quarantined(&self, content: Fingerprint) -> Option<Duration> {
        let now = Instant::now();
        let quarantine = lock(&self.quarantine);
        let is_quarantined = quarantine.verdict(content, now) == Verdict::Quarantined;
        is_quarantined.then(|| quarantine.remaining(content, now))
    }

    /// Returns the contents that peers are told of.
    pub(crate) fn crash_records(&self, now: Instant, limit: usize) -> Vec<QuarantineRecord> {
        lock(&self.quarantine).records(now, limit)
    }

    /// Takes in the contents that a peer tells of.
    pub(crate) fn learn_crashes(&self, records: &[QuarantineRecord]) {
        lock(&self.quarantine).merge(records, Instant::now());
    }

    /// Takes the placements for the next round of datagrams.
    pub(crate) fn take_news(&self) -> Vec<Placement> {
        lock(&self.news).take()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
