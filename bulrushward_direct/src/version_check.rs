//! Asks the store which software versions have appeared since the servers were last read.
//!
//! The view of a router is late: changes are coalesced, and an outage is not detected at once.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    server_registry::StoreRevision,
    server_scope::{VersionKey, version_key},
};
use tokio::{
    sync::Mutex,
    time::{sleep_until, timeout},
};

use crate::{call::UNOBSERVED, model::ServiceName, ports::FleetStore};

/// Time limit of a check; its request waits for the result.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest time between the starts of two checks, which bounds their number.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Versions of services, of which an entry may name none.
type NamedVersions = Vec<(ServiceName, Option<VersionKey>)>;

/// The latest check that succeeded, which serves all requests that were received before it.
#[derive(Debug, Default)]
pub(crate) struct VersionCheck {
    latest: Mutex<Option<Check>>,
}

#[derive(Debug)]
struct Check {
    begun: Instant,
    /// Revision after which changes are included.
    after: StoreRevision,
    versions: NamedVersions,
}

impl VersionCheck {
    /// Returns the versions of a service that were registered after a revision of the store and before `received`.
    ///
    /// Returns `None` if the store does not respond in time or does not have these changes any more.
    pub(crate) async fn since(
        &self,
        store: &dyn FleetStore,
        after: StoreRevision,
        received: Instant,
        service: &str,
    ) -> Option<Vec<Option<VersionKey>>> {
        let mut latest = self.latest.lock().await;
        let serves = |check: &Check| check.begun >= received && check.after <= after;
        if !latest.as_ref().is_some_and(serves) {
            if let Some(previous) = &*latest {
                sleep_until((previous.begun + CHECK_INTERVAL).into()).await;
            }
            let begun = Instant::now();
            let changes = store.next_servers(after, Duration::ZERO, UNOBSERVED);
            let changes = timeout(CHECK_TIMEOUT, changes).await.ok()?.ok()?;
            let records = changes.changes.into_iter().filter_map(|(_, record)| record);
            let versions = records.map(|record| {
                let version = record.version.as_deref().map(version_key);
                (record.service, version)
            });
            *latest = Some(Check {
                begun,
                after,
                versions: versions.collect(),
            });
        }
        let of_service = |(name, version): &(ServiceName, _)| (name == service).then_some(*version);
        let check = latest.as_ref()?;
        Some(check.versions.iter().filter_map(of_service).collect())
    }
}
