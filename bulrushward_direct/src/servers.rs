//! The backend servers as traffic sees them, with load, health and connections of each.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_health::ServerHealth, server_load::ServerLoad, session_locations::ServerKey,
};
use bulrushward_protocol::Fingerprint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    connection::IdleConnection,
    model::{ServerId, ServerRecord, ServiceName},
};

/// Short name of one incarnation of a server in datagrams.
pub(crate) type ServerHash = ServerKey;

/// Time within which a server that crashed is found unreachable by a further request.
const CRASH_NOTICED: Duration = Duration::from_secs(2);
/// Contents that are remembered for a server; more than it runs at once are not needed.
const MAX_BROKEN: usize = 64;

/// What changes with each request to a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    pub(crate) load: ServerLoad,
    pub(crate) health: ServerHealth,
    /// Connections without a request, the newest last.
    pub(crate) idle: Vec<IdleConnection>,
    /// Contents whose connections broke lately; the server crashed if it cannot be reached after that.
    broken: Vec<(Fingerprint, Instant)>,
}

impl ServerState {
    /// Takes in that a connection broke while the server ran a content.
    pub(crate) fn broke(&mut self, content: Fingerprint, now: Instant) {
        self.broken
            .retain(|(_, at)| now.saturating_duration_since(*at) < CRASH_NOTICED);
        if self.broken.len() < MAX_BROKEN {
            self.broken.push((content, now));
        }
    }

    /// Takes in that the server cannot be reached; returns the contents that it ran when it crashed.
    pub(crate) fn crashed(&mut self, now: Instant) -> Vec<Fingerprint> {
        let broken = std::mem::take(&mut self.broken);
        let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_NOTICED;
        let recent = broken.into_iter().filter(|(_, at)| recent(at));
        recent.map(|(content, _)| content).collect()
    }
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) hash: ServerHash,
    pub(crate) record: ServerRecord,
    state: Arc<Mutex<ServerState>>,
    /// Connections that are open or being made, with or without a request.
    pub(crate) connections: Arc<AtomicU32>,
}

impl Server {
    fn new(id: &str, record: &ServerRecord, before: Option<&Self>) -> Self {
        let same = before.filter(|server| server.is_same_incarnation(record));
        Self {
            id: id.to_owned(),
            // A server that starts again under its id holds nothing of before.
            hash: xxh3_64_with_seed(id.as_bytes(), record.started_ms) as ServerHash,
            record: record.clone(),
            state: same.map_or_else(Arc::default, |server| Arc::clone(&server.state)),
            connections: same.map_or_else(Arc::default, |server| Arc::clone(&server.connections)),
        }
    }

    /// Locks what changes with each request.
    pub(crate) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_same_incarnation(&self, record: &ServerRecord) -> bool {
        self.record.address == record.address && self.record.started_ms == record.started_ms
    }
}

/// All servers by service.
#[derive(Debug, Default)]
pub(crate) struct ServerSet {
    by_service: HashMap<ServiceName, Vec<Arc<Server>>>,
}

impl ServerSet {
    /// Builds the set and takes over what is known of servers that stay.
    pub(crate) fn new<'a>(
        records: impl Iterator<Item = (&'a str, &'a ServerRecord)>,
        before: &Self,
    ) -> Self {
        let known: HashMap<&str, &Arc<Server>> = before
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
    pub(crate) fn of(&self, service: &str) -> &[Arc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all servers.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_service.values().flatten()
    }
}

/// A request in progress at a server; counts in its load until it is dropped.
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

    /// Takes in that the server has read the prompt.
    pub(crate) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.server.state().load.finish_prefill(tokens);
    }

    /// Takes in that the request was served or failed at the server.
    pub(crate) fn note_health(&self, note: impl FnOnce(&mut ServerHealth, Instant)) {
        note(&mut self.server.state().health, Instant::now());
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut state = self.server.state();
        state.load.finish_prefill(self.unread_tokens);
        state.load.finish_request();
    }
}
