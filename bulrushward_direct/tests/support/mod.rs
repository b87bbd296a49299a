//! Harness that runs direct routers with a fake store, fake servers and callers in one process.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod caller;
pub mod log;
pub mod platform;
pub mod server;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use bulrushward_direct::{
    CallerLimits, DirectError, DirectSettings, FleetConfig, Organisation, Route, RouteKind,
    RouterDependencies, ServerRecord, Service, Target, run_until,
};
use bulrushward_policy::{place_pools::lenders, placement::Candidate};
use tokio_util::sync::CancellationToken;

use self::{
    caller::Response,
    platform::{MemoryStore, NoDroppedLines, TestConventions},
    server::TestServer,
};

/// Time limit for a condition; a router needs a few milliseconds.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
pub const CALLERS_PORT: u16 = 8_227;
pub const READINESS_PORT: u16 = 8_220;
pub const FLEET_STATE_PORT: u16 = 8_229;
pub const METRICS_PORT: u16 = 7_341;
pub const HOST: &str = "api.example";
pub const KEY: &str = "key-1";

/// Returns a loopback address that no other test uses, so that fixed ports can be bound.
pub fn unique_loopback_ip() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    const PER_PROCESS: u32 = 8;
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(index < PER_PROCESS, "a test uses at most seven addresses");
    let [_, a, b, c] = (std::process::id() * PER_PROCESS + index).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a, b, c))
}

/// A running router.
pub struct TestRouter {
    pub ip: IpAddr,
    pub store: Arc<MemoryStore>,
    stop: CancellationToken,
    thread: Option<JoinHandle<Result<(), DirectError>>>,
}

impl TestRouter {
    /// Starts a router with a store and waits until it is ready.
    pub fn start(store: &Arc<MemoryStore>) -> Self {
        let router = Self::start_at(unique_loopback_ip(), store, &[]);
        router.wait_ready();
        router
    }

    /// Starts a router at an address with seed peers.
    pub fn start_at(ip: IpAddr, store: &Arc<MemoryStore>, seeds: &[IpAddr]) -> Self {
        Self::start_with(settings(ip, seeds), store)
    }

    /// Starts a router with the given settings.
    pub fn start_with(settings: DirectSettings, store: &Arc<MemoryStore>) -> Self {
        let ip = settings.callers_address.ip();
        let stop = CancellationToken::new();
        let for_thread = stop.clone();
        let (store, for_router) = (Arc::clone(store), Arc::clone(store));
        let thread = std::thread::spawn(move || {
            let path = Path::new("/nonexistent");
            let dependencies = RouterDependencies {
                conventions: Arc::new(TestConventions),
                store: for_router,
                log: Arc::new(NoDroppedLines),
            };
            run_until(settings, path, dependencies, for_thread)
        });
        Self {
            ip,
            store,
            stop,
            thread: Some(thread),
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Returns the status of a readiness probe, or 0 without a response.
    pub fn readiness(&self) -> u16 {
        caller::get(self.address(READINESS_PORT), "/ready").map_or(0, |response| response.status)
    }

    pub fn wait_ready(&self) {
        wait_until("the router is ready", || self.readiness() == 200);
    }

    /// Sends a request and reads the complete response.
    pub fn send(&self, request: &str) -> Response {
        caller::send(self.address(CALLERS_PORT), request.as_bytes())
    }

    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until the router has stopped.
    pub fn join(&mut self) {
        let thread = self.thread.take().expect("the router is joined only once");
        thread
            .join()
            .expect("the router does not panic")
            .expect("the router starts");
    }
}

impl Drop for TestRouter {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns the default settings of a router at an address.
pub fn settings(ip: IpAddr, seeds: &[IpAddr]) -> DirectSettings {
    DirectSettings {
        node: format!("router-{ip}"),
        failure_domain: "a".to_owned(),
        callers_address: SocketAddr::new(ip, CALLERS_PORT),
        readiness_address: SocketAddr::new(ip, READINESS_PORT),
        knowledge_address: SocketAddr::new(ip, FLEET_STATE_PORT),
        datagram_port: 7_340,
        places_port: None,
        metrics_port: METRICS_PORT,
        seeds: seeds
            .iter()
            .map(|ip| SocketAddr::new(*ip, FLEET_STATE_PORT))
            .collect(),
        store_address: SocketAddr::new(ip, 1),
        stop_grace: Duration::from_secs(8),
        leaving_known: Duration::from_secs(2),
        config_known: Duration::from_secs(2),
        orders_known: None,
        first_start: false,
        repeat_ratio: 0.2,
        extra_repeats: 50.0,
        memory_mb: 256.0,
        repeat_window: Duration::from_secs(10),
        log: "info".to_owned(),
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{what}: condition not met within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a route to the service `plain` or `engines`.
pub fn route(name: &str, kind: RouteKind) -> Route {
    let service = if kind == RouteKind::Stream {
        "engines"
    } else {
        "plain"
    };
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1.0,
        }],
        kind,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(100),
        target_pause: Duration::from_millis(250),
        priority: 1,
        max_servers: 2,
        is_public: false,
        is_resumable: false,
    }
}

/// Returns a configuration with a route of each kind.
pub fn config(version: u64) -> FleetConfig {
    let mut resumable = route("resumable", RouteKind::Stream);
    resumable.is_resumable = true;
    let service = |name: &str, is_engine| Service {
        name: name.to_owned(),
        connection_limit: 100,
        is_engine,
        can_copy_prompts: is_engine,
        slots: None,
        cold_start: None,
    };
    FleetConfig {
        version,
        routes: vec![
            route("lookup", RouteKind::Idempotent),
            route("action", RouteKind::NonIdempotent),
            route("stream", RouteKind::Stream),
            resumable,
        ],
        services: vec![service("plain", false), service("engines", true)],
        limits: CallerLimits::default(),
        organisations: vec![Organisation {
            name: "org-1".to_owned(),
            keys: vec![KEY.to_owned()],
            priority: None,
        }],
    }
}

/// Returns the record of a server.
pub fn record(service: &str, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        service: service.to_owned(),
        address,
        failure_domain: "a".to_owned(),
        slots: 6,
        is_leaving: false,
        started_ms: 1,
        cold_for: Duration::ZERO,
        version: Some("v1".to_owned()),
    }
}

/// Starts a router with the default configuration and servers of one service.
pub fn router_with_servers(service: &str, servers: &[&TestServer]) -> TestRouter {
    let store = MemoryStore::with(config(1));
    for server in servers {
        store.put(&server.id, record(service, server.address));
    }
    let router = TestRouter::start(&store);
    wait_until("the router knows the servers", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        let line = format!("bulrushward_direct_servers {}", servers.len());
        metrics.is_some_and(|response| response.text().lines().any(|text| text == line))
    });
    router
}

/// Returns the text of a request on a route.
pub fn request(method: &str, route: &str, id: &str, body: &str) -> String {
    format!(
        "{method} /{route}/x?y=1 HTTP/1.1\r\nHost: {HOST}\r\nRequest: {id}\r\nKey: {KEY}\r\n\
         Patience-Ms: 2500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the value of a metric of a router.
pub fn metric(router: &TestRouter, name: &str) -> Option<u32> {
    let metrics = caller::get(router.address(METRICS_PORT), "/metrics")?.text();
    let name = format!("bulrushward_direct_{name} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&name))?;
    value.parse().ok()
}

/// Starts two routers that know each other; the second one borrows places from the first one.
pub fn lender_and_borrower(store: &Arc<MemoryStore>) -> [TestRouter; 2] {
    lender_and_borrower_with(store, |_settings| {})
}

/// Starts such routers with changed settings.
pub fn lender_and_borrower_with(
    store: &Arc<MemoryStore>,
    change: impl Fn(&mut DirectSettings),
) -> [TestRouter; 2] {
    let mut ips = [unique_loopback_ip(), unique_loopback_ip()];
    let names = ips.map(|ip| format!("{ip}:{FLEET_STATE_PORT}"));
    let candidates = [0, 1].map(|index: usize| Candidate {
        name: &names[index],
        weight: 1.0,
    });
    ips.swap(0, lenders("plain", 0, &candidates)[0]);
    let routers = ips.map(|ip| {
        let mut settings = settings(ip, &ips);
        settings.places_port = Some(7_342);
        change(&mut settings);
        TestRouter::start_with(settings, store)
    });
    for router in &routers {
        router.wait_ready();
        wait_until("the routers know each other", || {
            metric(router, "routers") == Some(2)
        });
    }
    routers
}
