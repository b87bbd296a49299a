//! What a router knows that lasts: configuration and registered servers, with where it has them from.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use bulrushward_policy::server_registry::{EntrySnapshot, ServerRegistry, StoreRevision};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    model::{ConfigVersion, FleetConfig, ServerRecord},
    news::Placement,
    ports::{ServerChanges, ServerListing},
    servers::ServerSet,
    shared::Shared,
};

/// Digest of the registered servers; equal ones mean equal views.
pub(crate) type ServersDigest = u64;

/// How far a router's knowledge goes, as its peers compare it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Extent {
    pub(crate) config: Option<ConfigVersion>,
    pub(crate) as_of: StoreRevision,
    pub(crate) servers: ServersDigest,
}

impl Extent {
    /// Returns whether there is something here that the other does not have.
    ///
    /// Revisions alone do not tell: they also count changes of other things.
    pub(crate) fn is_ahead_of(&self, other: &Self) -> bool {
        self.config > other.config || (self.as_of > other.as_of && self.servers != other.servers)
    }
}

/// What a peer hands to a router that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KnowledgeCopy {
    pub(crate) config: Option<FleetConfig>,
    pub(crate) servers: Vec<EntrySnapshot<ServerRecord>>,
    pub(crate) as_of: StoreRevision,
    /// Where sessions have their prompts, for a router that has just started.
    pub(crate) placements: Vec<Placement>,
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
pub(crate) struct Knowledge {
    shared: Arc<Shared>,
    registry: Mutex<ServerRegistry<ServerRecord>>,
    digest: AtomicU64,
}

impl Knowledge {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            registry: Mutex::default(),
            digest: AtomicU64::new(0),
        })
    }

    /// Returns the revision up to which registered servers are known.
    pub(crate) fn servers_as_of(&self) -> StoreRevision {
        self.lock().revision()
    }

    /// Returns how far the knowledge goes.
    pub(crate) fn extent(&self) -> Extent {
        Extent {
            config: self.shared.config_version(),
            as_of: self.servers_as_of(),
            servers: self.digest.load(Ordering::Relaxed),
        }
    }

    /// Takes in that the store answered a call about servers.
    pub(crate) fn store_answered(&self) {
        self.lock().store_responded(Instant::now());
    }

    /// Takes in that the store gave no usable answer about servers.
    pub(crate) fn store_failed(&self) {
        self.lock().store_failed(Instant::now());
    }

    /// Puts a configuration in force if it is newer.
    pub(crate) fn adopt(&self, config: FleetConfig, source: Source) {
        let version = config.version;
        let routes = config.routes.len();
        if self.shared.adopt(config) {
            info!(event = "config-in-force", version, routes, %source);
        }
    }

    /// Replaces the registered servers by a full listing of the store.
    pub(crate) fn replace_servers(&self, listing: ServerListing) {
        let mut registry = self.lock();
        if listing.as_of < registry.revision() {
            return;
        }
        registry.replace(listing.servers, listing.as_of, Instant::now());
        self.publish(&registry, Source::Store);
    }

    /// Takes in changes of the registered servers after a revision.
    pub(crate) fn change_servers(&self, after: StoreRevision, changes: &ServerChanges) {
        let mut registry = self.lock();
        let now = Instant::now();
        if !registry.apply_changes(after, &changes.changes, changes.as_of, now) {
            info!(
                event = "server-changes-overtaken",
                after,
                revision = changes.as_of
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
                revision = changes.as_of
            );
        }
        if !changes.changes.is_empty() {
            self.publish(&registry, Source::Store);
        }
    }

    /// Drops the servers whose entries did not come back after an outage of the store.
    pub(crate) fn drop_lapsed(&self) {
        let mut registry = self.lock();
        if registry.remove_lapsed(Instant::now()) {
            warn!(event = "lapsed-servers-dropped");
            self.publish(&registry, Source::Store);
        }
    }

    /// Returns a copy for a peer that has a version of the configuration already; without one it has just
    /// started and gets the placements as well.
    pub(crate) fn copy(&self, known: Option<ConfigVersion>) -> KnowledgeCopy {
        let registry = self.lock();
        let table = self.shared.routes.load();
        let config = table.as_ref().map(|table| table.config());
        KnowledgeCopy {
            config: config
                .filter(|config| Some(config.version) > known)
                .cloned(),
            servers: registry.snapshot(),
            as_of: registry.revision(),
            placements: match known {
                Some(_) => Vec::new(),
                None => self.shared.placements(),
            },
        }
    }

    /// Takes in what a peer knows, where it is newer.
    pub(crate) fn merge(&self, copy: KnowledgeCopy) {
        self.shared.learn_placements(&copy.placements);
        if let Some(config) = copy.config {
            self.adopt(config, Source::Peer);
        }
        let mut registry = self.lock();
        if copy.as_of > registry.revision() {
            registry.replace_from_snapshot(copy.servers, copy.as_of, Instant::now());
            self.publish(&registry, Source::Peer);
        }
    }

    fn publish(&self, registry: &ServerRegistry<ServerRecord>, source: Source) {
        let records: Vec<_> = registry.records().collect();
        match postcard::to_stdvec(&records) {
            Ok(bytes) => self.digest.store(xxh3_64(&bytes), Ordering::Relaxed),
            Err(error) => warn!(event = "servers-digest-failed", %error),
        }
        let before = self.shared.servers.load();
        let set = ServerSet::new(registry.records(), &before);
        let servers = set.all().count();
        self.shared
            .metrics
            .servers
            .set(servers.cast_signed() as i64);
        self.shared.set_servers(set);
        info!(event = "servers-known", servers, as_of = registry.revision(), %source);
    }

    fn lock(&self) -> MutexGuard<'_, ServerRegistry<ServerRecord>> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
