//! The fleet of one seed: router processes, fake store, fake servers and a proxy on each link.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bulrushward_fakes::FaultyProxy;
use bulrushward_platform_stand_in::{ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig};

use crate::{
    balancer::Balancer,
    fault_log::FaultLog,
    invariants::{Outage, OutagePlace},
    planned_stops::RouterHistory,
    router::{MAX_ROUTERS, RouterProcess, was_undisturbed},
    run::SoakSettings,
};

/// Number of software versions that stand side by side.
const VERSIONS: usize = 2;
/// Smallest number of plain servers; large fleets have more.
const MIN_PLAIN_SERVERS: usize = 3;
/// Smallest number of engines.
const MIN_ENGINES: usize = 4;
/// Number of routers for each server of a kind in a large fleet.
const ROUTERS_PER_SERVER: usize = 3;
/// Failure domains of the servers.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time for which a server is cold after it started during the traffic.
pub(crate) const COLD_TIME: Duration = Duration::from_secs(3);
/// Requests per second that a cold server can run; less than the callers send to a server.
pub(crate) const COLD_REQUESTS_PER_SECOND: f64 = 2.0;

/// A fake server and the proxy through which routers reach it.
#[derive(Debug)]
pub(crate) struct SoakServer {
    pub(crate) fake_server: FakeServer,
    pub(crate) proxy: FaultyProxy,
    pub(crate) service: &'static str,
    started_ms: u64,
    /// End of the time for which the server is cold, if its entry says that it is.
    cold_until: Mutex<Option<Instant>>,
}

impl SoakServer {
    /// Returns a server that starts now and varies the framings of its responses.
    fn new(
        fake_server: FakeServer,
        proxy: FaultyProxy,
        service: &'static str,
        cold_until: Option<Instant>,
    ) -> Self {
        fake_server.vary_framings();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            fake_server,
            proxy,
            service,
            started_ms: now.as_millis() as u64,
            cold_until: Mutex::new(cold_until),
        }
    }
}

/// A failure domain to whose servers nothing may be sent.
#[derive(Clone, Debug)]
pub(crate) struct EmptiedDomain {
    pub(crate) domain: &'static str,
    /// When the store acknowledged the order.
    pub(crate) from: Instant,
    /// When the order was withdrawn; `None` before that.
    pub(crate) until: Option<Instant>,
}

/// Returns the failure domain of a server, by the number at the end of its id.
pub(crate) fn failure_domain(server: &str) -> &'static str {
    let number = server.rsplit('-').next().and_then(|text| text.parse().ok());
    DOMAINS[number.unwrap_or(0_usize) % DOMAINS.len()]
}

/// A configuration and the time at which the store acknowledged it.
#[derive(Clone, Debug)]
pub(crate) struct WrittenConfig {
    pub(crate) config: TestConfig,
    pub(crate) at: Instant,
}

/// The fleet under test and the history of its disturbances.
#[derive(Debug)]
pub(crate) struct Harness {
    /// First, so that they are killed before the store's ports are free for other processes.
    routers: Mutex<Vec<RouterProcess>>,
    pub(crate) store: FakeStore,
    /// Proxies between each router and the store.
    pub(crate) store_links: Vec<FaultyProxy>,
    /// Proxies between callers and each router.
    pub(crate) caller_links: Vec<FaultyProxy>,
    pub(crate) execution_log: ExecutionLog,
    pub(crate) fault_log: FaultLog,
    pub(crate) balancer: Balancer,
    servers: Mutex<Vec<Arc<SoakServer>>>,
    /// Number of servers started so far.
    server_starts: AtomicUsize,
    written_configs: Mutex<Vec<WrittenConfig>>,
    /// Servers marked as leaving, with the time at which the store acknowledged the mark.
    leaving_since: Mutex<Vec<(String, Instant)>>,
    emptied_domains: Mutex<Vec<EmptiedDomain>>,
    /// Servers that started cold, with the time of their registration.
    cold_since: Mutex<Vec<(String, Instant)>>,
    /// Whether callers send many more requests than usual.
    pub(crate) is_crowded: AtomicBool,
    /// Whether callers send prompts with a part under which engines crash.
    pub(crate) is_poisoned: AtomicBool,
    /// Outages of the store and of links.
    link_outages: Mutex<Vec<Outage>>,
    /// Times at which the store or a link was disturbed, in order.
    disturbances: Mutex<Vec<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Harness {
    /// Starts the store, servers and routers.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many routers, a listener cannot be bound or a process cannot be started.
    pub(crate) async fn start(settings: &SoakSettings) -> io::Result<Arc<Self>> {
        if settings.routers >= MAX_ROUTERS as usize {
            let reason = format!("a fleet has fewer than {MAX_ROUTERS} routers");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
        }
        let store = FakeStore::start().await?;
        let mut routers = Vec::new();
        let (mut store_links, mut caller_links) = (Vec::new(), Vec::new());
        for index in 0..settings.routers {
            let link = FaultyProxy::start(store.address())?;
            let router =
                RouterProcess::new(index, &settings.daemon, &settings.logs, link.address())?;
            let callers = router.address(crate::router::CALLERS_PORT);
            caller_links.push(FaultyProxy::start(callers)?);
            store_links.push(link);
            routers.push(router);
        }
        let harness = Arc::new(Self {
            routers: Mutex::new(routers),
            store,
            store_links,
            caller_links,
            execution_log: ExecutionLog::default(),
            fault_log: FaultLog::open(&settings.logs)?,
            balancer: Balancer::new(settings.routers),
            servers: Mutex::default(),
            server_starts: AtomicUsize::new(0),
            written_configs: Mutex::default(),
            leaving_since: Mutex::default(),
            emptied_domains: Mutex::default(),
            cold_since: Mutex::default(),
            is_crowded: AtomicBool::new(false),
            is_poisoned: AtomicBool::new(false),
            link_outages: Mutex::default(),
            disturbances: Mutex::new(vec![Instant::now()]),
        });
        harness.write_config(vec!["key-0".to_owned()]);
        let plain_servers = MIN_PLAIN_SERVERS.max(settings.routers / ROUTERS_PER_SERVER);
        let engines = MIN_ENGINES.max(settings.routers / ROUTERS_PER_SERVER);
        for index in 0..plain_servers + engines {
            let service = if index < plain_servers {
                "plain"
            } else {
                "engines"
            };
            harness
                .add_server(&format!("{service}-{index}"), service, false)
                .await?;
        }
        for router in harness.routers().iter_mut() {
            router.start()?;
        }
        Ok(harness)
    }

    pub(crate) fn routers(&self) -> MutexGuard<'_, Vec<RouterProcess>> {
        lock(&self.routers)
    }

    pub(crate) fn servers(&self) -> Vec<Arc<SoakServer>> {
        lock(&self.servers).clone()
    }

    pub(crate) fn caller_address(&self, router: usize) -> SocketAddr {
        self.caller_links[router].address()
    }

    /// Starts a server, cold or not, and registers it; it replaces a server of the same id.
    pub(crate) async fn add_server(
        &self,
        id: &str,
        service: &'static str,
        is_cold: bool,
    ) -> io::Result<()> {
        let starts = self.server_starts.fetch_add(1, Ordering::Relaxed);
        // A server that returns under its id, at another address, has the other version.
        let version = format!("v{}", 1 + starts % VERSIONS);
        let fake_server = FakeServer::start_version(id, &version, &self.execution_log).await?;
        let proxy = FaultyProxy::start(fake_server.address())?;
        let cold_until = is_cold.then(|| Instant::now() + COLD_TIME);
        let server = SoakServer::new(fake_server, proxy, service, cold_until);
        let mut servers = lock(&self.servers);
        if is_cold {
            lock(&self.cold_since).push((id.to_owned(), Instant::now()));
        }
        servers.retain(|known| known.fake_server.id != id);
        self.register(&server, false);
        servers.push(Arc::new(server));
        Ok(())
    }

    /// Starts a server that was taken down again at its address, unless it was removed or replaced meanwhile.
    ///
    /// It is cold only for as long as it was to be before: routers that do not know of the new start yet accept no longer time.
    pub(crate) async fn restart_server(&self, server: &Arc<SoakServer>) -> io::Result<()> {
        let (id, version) = (&server.fake_server.id, server.fake_server.version());
        let fake_server = FakeServer::start_version(id, version, &self.execution_log).await?;
        let mut servers = lock(&self.servers);
        let Some(index) = servers.iter().position(|known| Arc::ptr_eq(known, server)) else {
            return Ok(());
        };
        let proxy = FaultyProxy::start_at(server.proxy.address(), fake_server.address())?;
        let cold_until = *lock(&server.cold_until);
        let started = SoakServer::new(fake_server, proxy, server.service, cold_until);
        self.register(&started, false);
        servers[index] = Arc::new(started);
        Ok(())
    }

    /// Writes a server's registration entry to the store.
    pub(crate) fn register(&self, server: &SoakServer, is_leaving: bool) {
        self.write_entry(server, is_leaving, server.started_ms);
    }

    /// Writes the entry of a server that takes requests, but not when it started.
    pub(crate) fn register_without_start(&self, server: &SoakServer) {
        self.write_entry(server, false, 0);
    }

    fn write_entry(&self, server: &SoakServer, is_leaving: bool, started_ms: u64) {
        let cold_until = *lock(&server.cold_until);
        let entry = ServerEntry {
            service: server.service.to_owned(),
            address: server.proxy.address(),
            failure_domain: failure_domain(&server.fake_server.id).to_owned(),
            is_leaving,
            started_ms,
            cold_for: cold_until.map_or(Duration::ZERO, |until| until - Instant::now()),
            version: server.fake_server.version().to_owned(),
        };
        self.store.set_server(&server.fake_server.id, Some(&entry));
    }

    /// Writes the entries of servers that are no longer cold.
    pub(crate) fn update_warm_servers(&self) {
        for server in lock(&self.servers).iter() {
            let is_over = |until: &mut Instant| *until <= Instant::now();
            if lock(&server.cold_until).take_if(is_over).is_some() {
                self.register(server, false);
            }
        }
    }

    /// Orders that nothing be sent to the servers of a failure domain, unless this is ordered already.
    pub(crate) fn empty_domain(&self, domain: &'static str) -> bool {
        let mut emptied = lock(&self.emptied_domains);
        if emptied
            .iter()
            .any(|order| order.domain == domain && order.until.is_none())
        {
            return false;
        }
        self.store.set_emptied(domain, true);
        emptied.push(EmptiedDomain {
            domain,
            from: Instant::now(),
            until: None,
        });
        true
    }

    /// Withdraws the order to empty a failure domain.
    pub(crate) fn take_domain_back(&self, domain: &str) {
        let mut emptied = lock(&self.emptied_domains);
        let order = emptied.iter_mut().rfind(|order| order.domain == domain);
        if let Some(order) = order {
            order.until = Some(Instant::now());
        }
        self.store.set_emptied(domain, false);
    }

    pub(crate) fn emptied_domains(&self) -> Vec<EmptiedDomain> {
        lock(&self.emptied_domains).clone()
    }

    pub(crate) fn cold_since(&self) -> Vec<(String, Instant)> {
        lock(&self.cold_since).clone()
    }

    pub(crate) fn set_crowded(&self, is_crowded: bool) {
        self.is_crowded.store(is_crowded, Ordering::Relaxed);
    }

    /// Removes a server from the list of servers that faults are injected into.
    pub(crate) fn remove_server(&self, id: &str) -> Option<Arc<SoakServer>> {
        let mut servers = lock(&self.servers);
        let index = servers
            .iter()
            .position(|server| server.fake_server.id == id)?;
        Some(servers.remove(index))
    }

    /// Writes the next version of the configuration, with these API keys.
    pub(crate) fn write_config(&self, keys: Vec<String>) {
        let mut written_configs = lock(&self.written_configs);
        let version = written_configs
            .last()
            .map_or(1, |last| last.config.version + 3);
        let config = TestConfig {
            version,
            keys,
            marker_prefix: format!("/mark-{version}/"),
            cold_start: Some((COLD_REQUESTS_PER_SECOND, COLD_TIME)),
        };
        self.store.set_config(&config);
        written_configs.push(WrittenConfig {
            config,
            at: Instant::now(),
        });
    }

    pub(crate) fn written_configs(&self) -> Vec<WrittenConfig> {
        lock(&self.written_configs).clone()
    }

    /// Records a disturbance of the store or of a link.
    pub(crate) fn record_disturbance(&self) {
        lock(&self.disturbances).push(Instant::now());
    }

    pub(crate) fn record_link_outage(&self, outage: Outage) {
        lock(&self.link_outages).push(outage);
    }

    /// Returns the outages of the store and of links, and the pauses and absences of routers.
    pub(crate) fn outages(&self) -> Vec<Outage> {
        let mut outages = lock(&self.link_outages).clone();
        for router in self.routers().iter() {
            let pauses = router.pauses().iter().map(|(from, until)| Outage {
                place: OutagePlace::Router(router.index),
                from: *from,
                until: Some(*until),
            });
            outages.extend(pauses);
            let absences = router.absences().iter().map(|(from, until)| Outage {
                place: OutagePlace::RouterProcess(router.index),
                from: *from,
                until: Some(*until),
            });
            outages.extend(absences);
        }
        outages
    }

    /// Marks a server as leaving in the store.
    pub(crate) fn mark_leaving(&self, server: &SoakServer) {
        self.register(server, true);
        lock(&self.leaving_since).push((server.fake_server.id.clone(), Instant::now()));
    }

    pub(crate) fn leaving_since(&self) -> Vec<(String, Instant)> {
        lock(&self.leaving_since).clone()
    }

    /// Returns the planned stops and unplanned disturbances that concern a router.
    pub(crate) fn history(&self, router: usize) -> RouterHistory {
        let mut unplanned = lock(&self.disturbances).clone();
        let routers = self.routers();
        unplanned.extend(routers[router].unplanned());
        unplanned.sort_unstable();
        RouterHistory {
            stops: routers[router].stops().to_vec(),
            unplanned,
        }
    }

    /// Returns whether store, links and a router were undisturbed for `time` before `moment`.
    pub(crate) fn was_undisturbed(&self, router: usize, moment: Instant, time: Duration) -> bool {
        was_undisturbed(&lock(&self.disturbances), moment, time)
            && self.routers()[router].was_undisturbed(moment, time)
    }

    /// Returns whether the store and all links have been undisturbed for `time`.
    pub(crate) fn is_undisturbed(&self, time: Duration) -> bool {
        lock(&self.disturbances)
            .last()
            .is_none_or(|last| last.elapsed() > time)
    }
}
