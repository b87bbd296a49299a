//! Backend servers with their load, health and connections.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    cold_server::ColdServer,
    fleet_share::FleetPosition,
    server_health::ServerHealth,
    server_load::ServerLoad,
    server_reports::EntryKey,
    server_scope::{VersionKey, version_key},
    version_history::ServiceKey,
};
use bulrushward_protocol::ServerKey;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    connection::IdleConnection,
    crash_records::BrokenRequest,
    model::{ServerId, ServerRecord, ServiceName},
};

/// Hash that identifies one incarnation of a server, in datagrams as well.
pub(crate) type ServerHash = ServerKey;

/// Time after a broken connection within which an unreachable server is taken to have crashed.
///
/// A further request finds a crashed server unreachable within this time.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_secs(2);
/// Largest number of requests with broken connections that are remembered for a server.
///
/// More than the server runs at once are not needed.
const MAX_BROKEN_REQUESTS: usize = 64;

/// State of a server that changes with each request.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    pub(crate) load: ServerLoad,
    pub(crate) health: ServerHealth,
    pub(crate) cold: ColdServer,
    /// Whether the log says that the server is cold.
    pub(crate) is_cold_logged: bool,
    /// Place of this router among those that share the server, and the version of the fleet for which it holds.
    pub(crate) position: Option<(u64, FleetPosition)>,
    /// Idle connections, the most recently used last.
    pub(crate) idle: Vec<IdleConnection>,
    /// Open connections that carry nothing and make room for requests when they are cancelled.
    unused: Vec<CancellationToken>,
    /// Requests whose connections broke recently; the server has crashed if it cannot be reached afterwards.
    broken_requests: Vec<BrokenRequest>,
    /// Whether it is being checked if the server has crashed.
    is_crash_checked: bool,
}

impl ServerState {
    /// Returns the state of a process that has replaced this one at its address.
    fn after_restart(&self) -> Self {
        Self {
            cold: self.cold.after_restart(),
            ..Self::default()
        }
    }

    /// Adds a connection that carries nothing, until its token is cancelled.
    pub(crate) fn add_unused(&mut self, unused: CancellationToken) {
        self.unused.retain(|unused| !unused.is_cancelled());
        self.unused.push(unused);
    }

    /// Removes such a connection, which is to be cancelled.
    pub(crate) fn take_unused(&mut self) -> Option<CancellationToken> {
        self.unused.retain(|unused| !unused.is_cancelled());
        self.unused.pop()
    }

    /// Records that the connection of a request broke.
    pub(crate) fn record_broken_request(&mut self, request: BrokenRequest) {
        self.remove_old_broken_requests(request.at);
        if self.broken_requests.len() < MAX_BROKEN_REQUESTS {
            self.broken_requests.push(request);
        }
    }

    /// Returns the requests that an unreachable server was running when it crashed.
    pub(crate) fn take_crash_suspects(&mut self, now: Instant) -> Vec<BrokenRequest> {
        self.remove_old_broken_requests(now);
        std::mem::take(&mut self.broken_requests)
    }

    /// Returns whether a check has to begin, as none is going on.
    pub(crate) fn begin_crash_check(&mut self) -> bool {
        !std::mem::replace(&mut self.is_crash_checked, true)
    }

    /// Ends the check whose last call was sent at `called`, unless connections have broken since; returns whether it ended.
    pub(crate) fn end_crash_check(&mut self, called: Instant) -> bool {
        self.is_crash_checked = self
            .broken_requests
            .iter()
            .any(|broken| broken.at >= called);
        !self.is_crash_checked
    }

    fn remove_old_broken_requests(&mut self, now: Instant) {
        self.broken_requests
            .retain(|broken| now.saturating_duration_since(broken.at) < CRASH_DETECTION_WINDOW);
    }
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) hash: ServerHash,
    pub(crate) record: ServerRecord,
    /// Version of its software; `None` if its entry states none.
    pub(crate) version: Option<VersionKey>,
    state: Arc<Mutex<ServerState>>,
    /// Number of connections that are open or being opened, including idle ones.
    pub(crate) connections: Arc<AtomicU32>,
}

impl Server {
    fn new(id: &str, record: &ServerRecord, previous: Option<&Self>) -> Self {
        let same_incarnation = previous.filter(|server| server.is_same_incarnation(record));
        let state = same_incarnation.map(|server| Arc::clone(&server.state));
        let at_address = previous.filter(|server| server.record.address == record.address);
        let restarted = || at_address.map(|server| server.state().after_restart());
        Self {
            id: id.to_owned(),
            // A restarted server keeps its id but has lost its prompt cache, so it gets another hash.
            hash: xxh3_64_with_seed(id.as_bytes(), record.started_ms) as ServerHash,
            record: record.clone(),
            version: record.version.as_deref().map(version_key),
            state: state.unwrap_or_else(|| Arc::new(Mutex::new(restarted().unwrap_or_default()))),
            connections: same_incarnation
                .map_or_else(Arc::default, |server| Arc::clone(&server.connections)),
        }
    }

    /// Locks the state that changes with each request.
    pub(crate) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the server as its entry describes it.
    pub(crate) fn entry_key(&self) -> EntryKey {
        EntryKey {
            id: xxh3_64(self.id.as_bytes()),
            server: self.hash,
            names_start: self.record.started_ms != 0,
            address: self.record.address,
        }
    }

    fn is_same_incarnation(&self, record: &ServerRecord) -> bool {
        self.record.address == record.address
            && self.record.started_ms == record.started_ms
            && self.record.version == record.version
    }
}

/// All servers by service.
#[derive(Debug, Default)]
pub(crate) struct ServerSet {
    by_service: HashMap<ServiceName, Vec<Arc<Server>>>,
}

impl ServerSet {
    /// Creates a set that keeps the state of servers that were in the previous one.
    pub(crate) fn new<'a>(
        records: impl Iterator<Item = (&'a str, &'a ServerRecord)>,
        previous: &Self,
    ) -> Self {
        let known: HashMap<&str, &Arc<Server>> = previous
            .all()
            .map(|server| (server.id.as_str(), server))
            .collect();
        let mut by_service: HashMap<ServiceName, Vec<Arc<Server>>> = HashMap::new();
        for (id, record) in records {
            let server = Server::new(id, record, known.get(id).map(AsRef::as_ref));
            by_service
                .entry(record.service.clone())
                .or_default()
                .push(Arc::new(server));
        }
        Self { by_service }
    }

    /// Returns the servers of a service.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the version of a server that has begun a stream.
    ///
    /// It is not known if the server's id belongs to another incarnation or version meanwhile, as the new one may have
    /// taken the connection.
    pub(crate) fn version_of(&self, server: &Server) -> Option<VersionKey> {
        let mut entries = self.of_service(&server.record.service).iter();
        let current = entries.find(|current| current.id == server.id);
        let is_replaced = |current: &Arc<Server>| {
            current.hash != server.hash || current.version != server.version
        };
        server.version.filter(|_| !current.is_some_and(is_replaced))
    }

    /// Returns the versions of the servers of a service, which is given by the hash of its name.
    pub(crate) fn versions(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = Option<VersionKey>> + use<'_> {
        let of_service = self
            .by_service
            .iter()
            .filter(move |(name, _)| xxh3_64(name.as_bytes()) == service);
        of_service.flat_map(|(_, servers)| servers.iter().map(|server| server.version))
    }

    /// Returns the text of a version of a service, or its key if no server has it any more.
    pub(crate) fn version_text(&self, service: &str, version: VersionKey) -> String {
        let mut servers = self.of_service(service).iter();
        let known = servers.find(|server| server.version == Some(version));
        let text = known.and_then(|server| server.record.version.clone());
        text.unwrap_or_else(|| format!("{version:016x}"))
    }

    /// Returns all servers.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_service.values().flatten()
    }
}

/// A request in progress at a server; counts towards its load until dropped.
#[derive(Debug)]
pub(crate) struct InProgress {
    server: Arc<Server>,
    unread_tokens: u64,
}

impl InProgress {
    pub(crate) fn new(server: &Arc<Server>, unread_tokens: u64) -> Self {
        server.state().load.start_request(unread_tokens);
        Self {
            server: Arc::clone(server),
            unread_tokens,
        }
    }

    pub(crate) fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Records that the server has prefilled the prompt.
    pub(crate) fn record_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.server.state().load.finish_prefill(tokens);
    }

    /// Updates the health of the server after the request was served or failed.
    pub(crate) fn update_health(&self, update: impl FnOnce(&mut ServerHealth, Instant)) {
        update(&mut self.server.state().health, Instant::now());
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.load.finish_prefill(self.unread_tokens);
        state.load.finish_request();
    }
}
