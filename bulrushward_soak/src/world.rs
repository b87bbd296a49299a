//! The fleet of one seed: routers, store, servers, and a relay on each link.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bulrushward_fakes::FaultyProxy;
use bulrushward_platform_stand_in::{ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig};

use crate::{
    router::{RouterProcess, was_calm},
    run::SoakSettings,
};

const PLAIN_SERVERS: usize = 3;
const ENGINES: usize = 4;

/// A server with the relay that routers reach it through.
#[derive(Debug)]
pub(crate) struct SoakServer {
    pub(crate) stand_in: FakeServer,
    pub(crate) relay: FaultyProxy,
    pub(crate) service: &'static str,
    started_ms: u64,
}

/// A configuration with the time of its acknowledgement.
#[derive(Clone, Debug)]
pub(crate) struct Written {
    pub(crate) config: TestConfig,
    pub(crate) at: Instant,
}

/// All that a seed plays with.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) store: FakeStore,
    /// Relays between each router and the store.
    pub(crate) store_links: Vec<FaultyProxy>,
    /// Relays between callers and each router.
    pub(crate) caller_links: Vec<FaultyProxy>,
    pub(crate) ledger: ExecutionLog,
    routers: Mutex<Vec<RouterProcess>>,
    servers: Mutex<Vec<Arc<SoakServer>>>,
    written: Mutex<Vec<Written>>,
    /// Servers that left, with the time at which the store acknowledged it.
    left: Mutex<Vec<(String, Instant)>>,
    /// When the store or a link was disturbed, in order.
    disturbances: Mutex<Vec<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// Starts store, servers and routers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port or process cannot be had.
    pub(crate) async fn start(settings: &SoakSettings) -> io::Result<Arc<Self>> {
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
        let world = Arc::new(Self {
            store,
            store_links,
            caller_links,
            ledger: ExecutionLog::default(),
            routers: Mutex::new(routers),
            servers: Mutex::default(),
            written: Mutex::default(),
            left: Mutex::default(),
            disturbances: Mutex::new(vec![Instant::now()]),
        });
        world.write_config(vec!["key-0".to_owned()]);
        for index in 0..PLAIN_SERVERS + ENGINES {
            let service = if index < PLAIN_SERVERS {
                "plain"
            } else {
                "engines"
            };
            world
                .add_server(&format!("{service}-{index}"), service)
                .await?;
        }
        for router in world.routers().iter_mut() {
            router.start()?;
        }
        Ok(world)
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

    /// Starts a server and registers it; one of the same id is replaced.
    pub(crate) async fn add_server(&self, id: &str, service: &'static str) -> io::Result<()> {
        let stand_in = FakeServer::start(id, &self.ledger).await?;
        let relay = FaultyProxy::start(stand_in.address())?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let server = Arc::new(SoakServer {
            stand_in,
            relay,
            service,
            started_ms: now.as_millis() as u64,
        });
        self.register(&server, false);
        let mut servers = lock(&self.servers);
        servers.retain(|known| known.stand_in.id != id);
        servers.push(server);
        Ok(())
    }

    /// Writes a server's entry.
    fn register(&self, server: &SoakServer, is_leaving: bool) {
        let entry = ServerEntry {
            service: server.service.to_owned(),
            address: server.relay.address(),
            is_leaving,
            started_ms: server.started_ms,
        };
        self.store.set_server(&server.stand_in.id, Some(&entry));
    }

    /// Takes a server out of the list of those that are disturbed.
    pub(crate) fn forget_server(&self, id: &str) -> Option<Arc<SoakServer>> {
        let mut servers = lock(&self.servers);
        let index = servers.iter().position(|server| server.stand_in.id == id)?;
        Some(servers.remove(index))
    }

    /// Writes the next version with these keys.
    pub(crate) fn write_config(&self, keys: Vec<String>) {
        let mut written = lock(&self.written);
        let version = written.last().map_or(1, |last| last.config.version + 3);
        let config = TestConfig {
            version,
            keys,
            marker_prefix: format!("/mark-{version}/"),
        };
        self.store.set_config(&config);
        written.push(Written {
            config,
            at: Instant::now(),
        });
    }

    pub(crate) fn written(&self) -> Vec<Written> {
        lock(&self.written).clone()
    }

    /// Notes a disturbance of the store or of a link.
    pub(crate) fn disturb(&self) {
        lock(&self.disturbances).push(Instant::now());
    }

    /// Says in the store that a server leaves.
    pub(crate) fn let_leave(&self, server: &SoakServer) {
        self.register(server, true);
        lock(&self.left).push((server.stand_in.id.clone(), Instant::now()));
    }

    pub(crate) fn left(&self) -> Vec<(String, Instant)> {
        lock(&self.left).clone()
    }

    /// Returns whether neither the store nor a link nor a router was disturbed for a time before a moment.
    pub(crate) fn was_calm(&self, router: usize, moment: Instant, time: Duration) -> bool {
        was_calm(&lock(&self.disturbances), moment, time)
            && self.routers()[router].was_calm(moment, time)
    }

    /// Returns whether neither the store nor any link was disturbed for a time.
    pub(crate) fn is_calm(&self, time: Duration) -> bool {
        lock(&self.disturbances)
            .last()
            .is_none_or(|last| last.elapsed() > time)
    }
}
