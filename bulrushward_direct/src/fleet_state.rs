//! What a router knows that lasts: configuration and registered servers, with where it has them from.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use bulrushward_policy::server_registry::{CopiedEntry, ServerRegistry, StoreRevision};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    location_updates::SessionLocation,
    model::{ConfigVersion, FleetConfig, ServerRecord},
    ports::{ServerChanges, ServerListing},
    servers::ServerSet,
    shared::Shared,
};

/// Digest of the registered servers; equal ones mean equal views.
pub(crate) type ServersDigest = u64;

/// How far a router's knowledge goes, as its peers compare it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateVersion {
    pub(crate) config: Option<ConfigVersion>,
    pub(crate) as_of: StoreRevision,
    pub(crate) servers: ServersDigest,
}

impl StateVersion {
    /// Returns whether there is something here that the other does not have.
    ///
    /// Revisions alone do not tell: they also count changes of other things.
    pub(crate) fn is_ahead_of(&self, other: &Self) -> bool {
        self.config > other.config || (self.as_of > other.as_of && self.servers != other.servers)
    }
}

/// What a peer hands to a router that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct FleetStateSnapshot {
    pub(crate) config: Option<FleetConfig>,
    pub(crate) servers: Vec<CopiedEntry<ServerRecord>>,
    pub(crate) as_of: StoreRevision,
    /// Where sessions have their prompts, for a router that has just started.
    pub(crate) placements: Vec<SessionLocation>,
}

/// Where knowledge came from, for the log.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Source {
    Store,
    Peer,
}

/// Knowledge of the control thread, which publishes what traffic needs of it.
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

    /// Returns the revision up to which registered servers are known.
    pub(crate) fn servers_revision(&self) -> StoreRevision {
        self.lock().as_of()
    }

    /// Returns how far the knowledge goes.
    pub(crate) fn version(&self) -> StateVersion {
        StateVersion {
            config: self.shared.config_version(),
            as_of: self.servers_revision(),
            servers: self.digest.load(Ordering::Relaxed),
        }
    }

    /// Takes in that the store answered a call about servers.
    pub(crate) fn record_store_success(&self) {
        self.lock().store_answered(Instant::now());
    }

    /// Takes in that the store gave no usable answer about servers.
    pub(crate) fn record_store_failure(&self) {
        self.lock().store_failed(Instant::now());
    }

    /// Puts a configuration in force if it is newer.
    pub(crate) fn apply_config(&self, config: FleetConfig, source: Source) {
        let version = config.version;
        let routes = config.routes.len();
        if self.shared.activate_config(config) {
            info!(event = "config-in-force", version, routes, %source);
        }
    }

    /// Replaces the registered servers by a full listing of the store.
    pub(crate) fn replace_servers(&self, listing: ServerListing) {
        let mut registry = self.lock();
        if listing.revision < registry.as_of() {
            return;
        }
        registry.replace(listing.servers, listing.revision, Instant::now());
        self.publish(&registry, Source::Store);
    }

    /// Takes in changes of the registered servers after a revision.
    pub(crate) fn apply_server_changes(&self, after: StoreRevision, changes: &ServerChanges) {
        let mut registry = self.lock();
        let now = Instant::now();
        if !registry.change(after, &changes.changes, changes.revision, now) {
            info!(
                event = "server-changes-overtaken",
                after,
                revision = changes.revision
            );
            return;
        }
        for (id, record) in &changes.changes {
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

    /// Drops the servers whose entries did not come back after an outage of the store.
    pub(crate) fn remove_lapsed_servers(&self) {
        let mut registry = self.lock();
        if registry.drop_lapsed(Instant::now()) {
            warn!(event = "lapsed-servers-dropped");
            self.publish(&registry, Source::Store);
        }
    }

    /// Returns a copy for a peer that has a version of the configuration already; without one it has just
    /// started and gets the placements as well.
    pub(crate) fn snapshot(&self, known_config: Option<ConfigVersion>) -> FleetStateSnapshot {
        let registry = self.lock();
        let table = self.shared.routes.load();
        let config = table.as_ref().map(|table| table.config());
        FleetStateSnapshot {
            config: config
                .filter(|config| Some(config.version) > known_config)
                .cloned(),
            servers: registry.copy(),
            as_of: registry.as_of(),
            placements: match known_config {
                Some(_) => Vec::new(),
                None => self.shared.latest_session_locations(),
            },
        }
    }

    /// Takes in what a peer knows, where it is newer.
    pub(crate) fn merge(&self, copy: FleetStateSnapshot) {
        self.shared.merge_session_locations(&copy.placements);
        if let Some(config) = copy.config {
            self.apply_config(config, Source::Peer);
        }
        let mut registry = self.lock();
        if copy.as_of > registry.as_of() {
            registry.replace_by_copy(copy.servers, copy.as_of, Instant::now());
            self.publish(&registry, Source::Peer);
        }
    }

    fn publish(&self, registry: &ServerRegistry<ServerRecord>, source: Source) {
        let records: Vec<_> = registry.records().collect();
        match postcard::to_stdvec(&records) {
            Ok(bytes) => self.digest.store(xxh3_64(&bytes), Ordering::Relaxed),
            Err(error) => warn!(event = "servers-digest-failed", %error),
        }
        let previous = self.shared.servers.load();
        let set = ServerSet::new(registry.records(), &previous);
        let servers = set.all().count();
        self.shared
            .metrics
            .servers
            .set(servers.cast_signed() as i64);
        self.shared.publish_servers(set);
        info!(event = "servers-known", servers, as_of = registry.as_of(), %source);
    }

    fn lock(&self) -> MutexGuard<'_, ServerRegistry<ServerRecord>> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
