//! Fleet state: the configuration and the registered servers as this router knows them.
//!
//! Settings, log events and the path at which peers fetch the fleet state call it knowledge.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_policy::server_registry::{EntrySnapshot, ServerRegistry, StoreRevision};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cold_servers,
    location_updates::SessionLocation,
    model::{ConfigVersion, FleetConfig, ServerRecord},
    ports::{ServerChanges, ServerListing},
    servers::ServerSet,
    shared::Shared,
};

/// Step by which the digest rounds the time for which a server remains cold.
///
/// Routers read a different one of its many values at any moment, and need not copy them from each other.
const COLD_STEP: Duration = Duration::from_secs(4);

/// Digest of the registered servers; routers with equal digests know the same servers.
pub(crate) type ServersDigest = u64;

/// Version of a router's fleet state, which its peers compare with their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateVersion {
    pub(crate) config: Option<ConfigVersion>,
    /// Store revision of the servers.
    pub(crate) revision: StoreRevision,
    pub(crate) servers: ServersDigest,
}

impl StateVersion {
    /// Returns whether this state contains changes to the servers that the other one lacks.
    ///
    /// Revisions alone do not show that, as they also count changes to other keys of the store.
    pub(crate) fn has_newer_servers_than(&self, other: &Self) -> bool {
        self.revision > other.revision && self.servers != other.servers
    }
}

/// Fleet state that a peer sends to a router that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FleetStateSnapshot {
    pub(crate) config: Option<FleetConfig>,
    pub(crate) servers: Vec<EntrySnapshot<ServerRecord>>,
    /// Store revision of the servers.
    pub(crate) revision: StoreRevision,
    /// Session locations, which are sent to a router that has just started.
    pub(crate) session_locations: Vec<SessionLocation>,
}

/// Returns a record as the digest contains it.
fn coarse(record: &ServerRecord) -> ServerRecord {
    let steps = record.cold_for.div_duration_f64(COLD_STEP).ceil();
    ServerRecord {
        cold_for: Duration::from_secs(steps as u64),
        ..record.clone()
    }
}

/// Origin of an update to the fleet state, for the log.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Source {
    Store,
    Peer,
}

/// Fleet state of the control thread, which publishes it to the traffic thread.
#[derive(Debug)]
pub(crate) struct FleetState {
    shared: Arc<Shared>,
    registry: Mutex<ServerRegistry<ServerRecord>>,
    digest: AtomicU64,
}

impl FleetState {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            registry: Mutex::default(),
            digest: AtomicU64::new(0),
        })
    }

    /// Returns the store revision of the registered servers.
    pub(crate) fn servers_revision(&self) -> StoreRevision {
        self.lock().revision()
    }

    /// Returns the version of the fleet state.
    pub(crate) fn version(&self) -> StateVersion {
        StateVersion {
            config: self.shared.config_version(),
            revision: self.servers_revision(),
            servers: self.digest.load(Ordering::Relaxed),
        }
    }

    /// Records a successful store call for the servers.
    pub(crate) fn record_store_success(&self) {
        self.lock().store_responded(Instant::now());
    }

    /// Records a failed store call for the servers.
    pub(crate) fn record_store_failure(&self) {
        self.lock().store_failed(Instant::now());
    }

    /// Activates a configuration if it is newer.
    pub(crate) fn apply_config(&self, config: FleetConfig, source: Source) {
        let version = config.version;
        let routes = config.routes.len();
        if self.shared.config_version() < Some(version) {
            cold_servers::log_ignored_rates(&config);
        }
        if self.shared.activate_config(config) {
            info!(event = "config-in-force", version, routes, %source);
        }
    }

    /// Replaces the registered servers by a complete listing from the store, unless the listing is older.
    pub(crate) fn replace_servers(&self, listing: ServerListing) {
        let mut registry = self.lock();
        if listing.revision < registry.revision() {
            return;
        }
        registry.replace(listing.servers, listing.revision, Instant::now());
        self.publish(&registry, Source::Store);
    }

    /// Applies the changes to the registered servers since revision `after`.
    ///
    /// They are dropped if the state is no longer at that revision, for example because of a peer's snapshot.
    pub(crate) fn apply_server_changes(&self, after: StoreRevision, changes: &ServerChanges) {
        let mut registry = self.lock();
        let now = Instant::now();
        if !registry.apply_changes(after, &changes.changes, changes.revision, now) {
            info!(
                event = "server-changes-overtaken",
                after,
                revision = changes.revision
            );
            return;
        }
        let previous = self.shared.servers.load();
        let known: HashMap<_, _> = previous
            .all()
            .map(|server| (&server.id, &server.record))
            .collect();
        for (id, record) in &changes.changes {
            let is_known_as = |record: &ServerRecord| {
                known
                    .get(id)
                    .is_some_and(|known| record.equals_but_for_cold(known))
            };
            // A cold server writes its entry with each heartbeat.
            if record.as_ref().is_some_and(is_known_as) {
                continue;
            }
            let state = match record {
                Some(record) if record.is_leaving => "leaving",
                Some(_) => "registered",
                None => "gone",
            };
            info!(
                event = "server-changed",
                server = id,
                state,
                revision = changes.revision
            );
        }
        if !changes.changes.is_empty() {
            self.publish(&registry, Source::Store);
        }
    }

    /// Removes the servers whose entries did not return after a store outage.
    pub(crate) fn remove_lapsed_servers(&self) {
        let mut registry = self.lock();
        if registry.remove_lapsed(Instant::now()) {
            warn!(event = "lapsed-servers-dropped");
            self.publish(&registry, Source::Store);
        }
    }

    /// Returns a snapshot for a peer that has version `known_config` of the configuration.
    ///
    /// A peer without a version has just started and receives the session locations as well.
    pub(crate) fn snapshot(&self, known_config: Option<ConfigVersion>) -> FleetStateSnapshot {
        let registry = self.lock();
        let table = self.shared.routes.load();
        let config = table.as_ref().map(|table| table.config());
        FleetStateSnapshot {
            config: config
                .filter(|config| Some(config.version) > known_config)
                .cloned(),
            servers: registry.snapshot(),
            revision: registry.revision(),
            session_locations: match known_config {
                Some(_) => Vec::new(),
                None => self.shared.latest_session_locations(),
            },
        }
    }

    /// Merges the parts of a peer's snapshot that are newer.
    pub(crate) fn merge(&self, snapshot: FleetStateSnapshot) {
        self.shared
            .merge_session_locations(&snapshot.session_locations);
        if let Some(config) = snapshot.config {
            self.apply_config(config, Source::Peer);
        }
        let mut registry = self.lock();
        if snapshot.revision > registry.revision() {
            registry.replace_from_snapshot(snapshot.servers, snapshot.revision, Instant::now());
            self.publish(&registry, Source::Peer);
        }
    }

    fn publish(&self, registry: &ServerRegistry<ServerRecord>, source: Source) {
        let records: Vec<_> = registry
            .records()
            .map(|(id, record)| (id, coarse(record)))
            .collect();
        match postcard::to_stdvec(&records) {
            Ok(bytes) => self.digest.store(xxh3_64(&bytes), Ordering::Relaxed),
            Err(error) => warn!(event = "servers-digest-failed", %error),
        }
        let previous = self.shared.servers.load();
        let set = ServerSet::new(registry.records(), &previous);
        cold_servers::record_entries(&self.shared, &set, &previous, Instant::now());
        let servers = set.all().count();
        self.shared
            .metrics
            .servers
            .set(servers.cast_signed() as i64);
        self.shared.publish_servers(set);
        info!(event = "servers-known", servers, as_of = registry.revision(), %source);
    }

    fn lock(&self) -> MutexGuard<'_, ServerRegistry<ServerRecord>> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
