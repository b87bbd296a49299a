//! Fleet state: the configuration, the operators' orders and the registered servers as this router knows them.
//!
//! Settings and log events call it knowledge.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_policy::{
    emptied_domains::{DomainChange, EmptiedDomains, EmptiedReport, FailureDomain},
    server_registry::{EntrySnapshot, ServerRegistry, StoreRevision},
    store_revision::{era, revision_in_era},
    version_history::HistoryReport,
};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cold_servers,
    location_updates::SessionLocation,
    model::{ConfigVersion, FleetConfig, ServerRecord},
    ports::{DomainOrder, OrderChange, OrderListing, ServerChanges, ServerListing},
    server_reports,
    servers::ServerSet,
    shared::Shared,
};

/// Step by which the digest rounds the time for which a server remains cold.
///
/// Routers read different ones of its many values at any time, and need not copy them from each other.
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
    /// Emptied failure domains; `None` if the sender does not know the orders.
    pub(crate) orders: Option<EmptiedReport>,
    /// Software versions that the servers had.
    pub(crate) versions: HistoryReport,
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
    /// Configuration that is activated once the orders are known.
    waiting_config: Mutex<Option<(FleetConfig, Source)>>,
    /// Emptied domains without servers and keys with unexpected contents that were logged.
    reported_orders: Mutex<BTreeSet<String>>,
}

impl FleetState {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            registry: Mutex::new(ServerRegistry::new(is_outdated)),
            digest: AtomicU64::new(0),
            waiting_config: Mutex::default(),
            reported_orders: Mutex::default(),
        })
    }

    /// Returns the store revision of the registered servers.
    pub(crate) fn servers_revision(&self) -> StoreRevision {
        lock(&self.registry).revision()
    }

    /// Returns the store revision up to which the orders are known, or `None` if they are not known.
    pub(crate) fn orders_revision(&self) -> Option<StoreRevision> {
        self.shared.emptied_domains().revision()
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
        lock(&self.registry).store_responded(Instant::now());
    }

    /// Records a failed store call for the servers.
    pub(crate) fn record_store_failure(&self) {
        lock(&self.registry).store_failed(Instant::now());
    }

    /// Activates a configuration if it is newer.
    ///
    /// Where orders are followed, it waits until they are known, so that no request violates one.
    pub(crate) fn apply_config(&self, config: FleetConfig, source: Source) {
        let version = config.version;
        if self.shared.follows_orders && self.orders_revision().is_none() {
            let mut waiting = lock(&self.waiting_config);
            let is_newer = |known: &(FleetConfig, Source)| known.0.version < version;
            if waiting.as_ref().is_none_or(is_newer) {
                info!(event = "config-waits-for-orders", version, %source);
                *waiting = Some((config, source));
            }
            return;
        }
        let routes = config.routes.len();
        if self.shared.config_version() < Some(version) {
            cold_servers::log_ignored_rates(&config);
        }
        if self.shared.activate_config(config) {
            info!(event = "config-in-force", version, routes, %source);
        }
    }

    /// Replaces the orders by a complete listing from the store, unless the listing is older.
    pub(crate) fn replace_orders(&self, listing: &OrderListing) {
        let domains = listing.orders.iter().filter_map(|order| self.read(order));
        let domains: Vec<_> = domains.collect();
        self.update_orders(Source::Store, |emptied, now| {
            emptied.replace(domains, listing.revision, now)
        });
    }

    /// Applies the changed orders of a store response since revision `after`.
    ///
    /// Returns whether the orders before `after` are known; otherwise nothing is applied.
    pub(crate) fn apply_order_changes(
        &self,
        after: StoreRevision,
        changes: &[OrderChange],
        revision: StoreRevision,
    ) -> bool {
        let changes = changes.iter().filter_map(|change| {
            if !change.is_in_force {
                lock(&self.reported_orders).remove(&change.order.key);
                return Some((change.order.domain.clone(), false));
            }
            Some((self.read(&change.order)?, true))
        });
        let changes: Vec<_> = changes.collect();
        let mut is_complete = true;
        self.update_orders(Source::Store, |emptied, now| {
            let applied = emptied.apply_changes(after, &changes, revision, now);
            is_complete = applied.is_some();
            applied.unwrap_or_default()
        });
        is_complete
    }

    /// Merges the orders that a peer reports, unless they are older.
    pub(crate) fn merge_orders(&self, report: &EmptiedReport) {
        if self.shared.follows_orders {
            self.update_orders(Source::Peer, |emptied, now| emptied.merge(report, now));
        }
    }

    /// Returns the domain of an order, or `None` if it names none; logs what is wrong with an order once.
    fn read(&self, order: &DomainOrder) -> Option<FailureDomain> {
        let is_usable = !order.domain.is_empty();
        let is_sound = is_usable && order.is_readable;
        if !is_sound && lock(&self.reported_orders).insert(order.key.clone()) {
            warn!(
                event = "order-unreadable",
                key = order.key,
                in_force = is_usable
            );
        }
        is_usable.then(|| order.domain.clone())
    }

    /// Updates the orders, logs what changed, and activates a configuration that waited for them.
    fn update_orders(
        &self,
        source: Source,
        update: impl FnOnce(&mut EmptiedDomains, Instant) -> Vec<DomainChange>,
    ) {
        let mut emptied = self.shared.emptied_domains();
        let now = Instant::now();
        let changes = update(&mut emptied, now);
        cold_servers::assume_returned_cold(
            &self.shared,
            &self.shared.servers.load(),
            &emptied,
            now,
        );
        let revision = emptied.revision();
        let domains = emptied.domains().count();
        drop(emptied);
        for change in &changes {
            let (domain, age_ms) = (&change.domain, change.age.as_millis() as u64);
            if change.is_emptied {
                warn!(event = "failure-domain-emptied", domain, revision, age_ms, %source);
            } else {
                lock(&self.reported_orders).remove(domain);
                info!(event = "failure-domain-restored", domain, revision, age_ms, %source);
            }
        }
        if !changes.is_empty() {
            let gauge = &self.shared.metrics.emptied_domains;
            gauge.set(domains.cast_signed() as i64);
            self.report_domains_without_servers();
        }
        if revision.is_none() {
            return;
        }
        let waiting = lock(&self.waiting_config).take();
        if let Some((config, source)) = waiting {
            self.apply_config(config, source);
        }
    }

    /// Logs emptied domains that have no servers, each once, as their names may be wrong.
    fn report_domains_without_servers(&self) {
        if !self.shared.has_servers() {
            return;
        }
        let servers = self.shared.servers.load();
        let has_servers = |domain: &str| {
            let mut servers = servers.all();
            servers.any(|server| server.record.failure_domain == domain)
        };
        let emptied = self.shared.emptied_domains();
        let mut reported = lock(&self.reported_orders);
        for domain in emptied.domains().filter(|domain| !has_servers(domain)) {
            if reported.insert(domain.to_owned()) {
                warn!(event = "failure-domain-without-servers", domain);
            }
        }
    }

    /// Replaces the registered servers by a complete listing from the store, unless the listing is older.
    ///
    /// `missed` are the changes since the revision that was known before, if the store still has them.
    pub(crate) fn replace_servers(&self, listing: ServerListing, missed: Option<&ServerChanges>) {
        let mut registry = lock(&self.registry);
        if listing.revision < registry.revision() {
            return;
        }
        log_return(registry.revision(), listing.revision, Source::Store);
        registry.replace(listing.servers, listing.revision, Instant::now());
        let origins = &self.shared.stream_origins;
        match missed {
            Some(missed) => origins.observe_servers(missed.records()),
            None => origins.begin_history(),
        }
        self.publish(&registry, Source::Store);
    }

    /// Applies the changes to the registered servers since revision `after`.
    ///
    /// They are dropped if the state is no longer at that revision, for example because of a peer's snapshot.
    pub(crate) fn apply_server_changes(&self, after: StoreRevision, changes: &ServerChanges) {
        let mut registry = lock(&self.registry);
        let now = Instant::now();
        if !registry.apply_changes(after, &changes.changes, changes.revision, now) {
            info!(
                event = "server-changes-overtaken",
                after,
                revision = changes.revision
            );
            return;
        }
        self.shared
            .stream_origins
            .observe_servers(changes.records());
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
                version = record.as_ref().and_then(|record| record.version.as_deref()),
                started_ms = record.as_ref().map(|record| record.started_ms),
                revision = changes.revision
            );
        }
        let has_returned = registry.use_returned(now);
        if has_returned || !changes.changes.is_empty() {
            self.publish(&registry, Source::Store);
        }
    }

    /// Removes the servers whose entries did not return after a store outage.
    pub(crate) fn remove_lapsed_servers(&self) {
        let mut registry = lock(&self.registry);
        if registry.remove_lapsed(Instant::now()) {
            warn!(event = "lapsed-servers-dropped");
            self.publish(&registry, Source::Store);
        }
    }

    /// Returns a snapshot for a peer that has version `known_config` of the configuration.
    ///
    /// A peer without a version has just started and receives the session locations as well.
    pub(crate) fn snapshot(&self, known_config: Option<ConfigVersion>) -> FleetStateSnapshot {
        let registry = lock(&self.registry);
        let table = self.shared.routes.load();
        let config = table.as_ref().map(|table| table.config());
        FleetStateSnapshot {
            config: config
                .filter(|config| Some(config.version) > known_config)
                .cloned(),
            servers: registry.snapshot(),
            revision: registry.revision(),
            orders: self.shared.emptied_domains().report(Instant::now()),
            versions: {
                let registered = registry.records().map(|(_, record)| record);
                self.shared.stream_origins.history(registered)
            },
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
        if let Some(orders) = &snapshot.orders {
            self.merge_orders(orders);
        }
        if let Some(config) = snapshot.config {
            self.apply_config(config, Source::Peer);
        }
        let mut registry = lock(&self.registry);
        if snapshot.revision > registry.revision() {
            let is_leaving = |record: &ServerRecord| record.is_leaving;
            let (servers, revision) = (snapshot.servers, snapshot.revision);
            log_return(registry.revision(), revision, Source::Peer);
            registry.replace_from_snapshot(servers, revision, is_leaving, Instant::now());
            let origins = &self.shared.stream_origins;
            origins.restore_history(&snapshot.versions);
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
        let now = Instant::now();
        let records = previous.all().chain(set.all()).map(|server| &server.record);
        self.shared.stream_origins.observe_servers(records);
        cold_servers::record_entries(&self.shared, &set, &previous, now);
        server_reports::record_entries(&self.shared, &set, now);
        let emptied = self.shared.emptied_domains();
        cold_servers::assume_returned_cold(&self.shared, &set, &emptied, now);
        drop(emptied);
        let servers = set.all().count();
        self.shared
            .metrics
            .servers
            .set(servers.cast_signed() as i64);
        self.shared.publish_servers(set);
        info!(event = "servers-known", servers, as_of = registry.revision(), %source);
        self.report_domains_without_servers();
    }
}

/// Logs that the store has returned from a copy, if a later era has begun than that of `known`.
fn log_return(known: StoreRevision, revision: StoreRevision, source: Source) {
    if known > 0 && era(revision) > era(known) {
        warn!(
            event = "store-returned",
            era = era(revision),
            known_revision = revision_in_era(known),
            revision = revision_in_era(revision),
            %source
        );
    }
}

/// Returns whether a server's record is from before another one, as a store that returned from a copy may list it.
///
/// A server that is leaving stays so until it starts again.
fn is_outdated(listed: &ServerRecord, known: &ServerRecord) -> bool {
    let is_same_start = listed.started_ms == known.started_ms && listed.address == known.address;
    let is_earlier_start = listed.started_ms != 0 && listed.started_ms < known.started_ms;
    is_earlier_start || (is_same_start && known.is_leaving)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
