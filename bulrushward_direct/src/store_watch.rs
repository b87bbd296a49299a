//! Follows the configuration and the registered servers in the platform's store.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tracing::{info, warn};

use crate::{
    fleet_state::{FleetState, Source},
    metrics::StoreCall,
    ports::{FleetStore, StoreError},
    shared::{Shared, StoreView},
};

/// Time for which one call waits for changes; calls are priced, stores keep their history for longer, and
/// probes of the system notice a connection that went silent sooner.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(12);
/// Share of the time in which a change must be known for which further ones are gathered, so that a series of
/// them takes few calls; the rest is for the call, its repeat and requests on their way.
pub(crate) const COALESCING_FRACTION: f64 = 0.4;
/// Pause after the first failed call; doubles up to [`LONGEST_PAUSE`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between calls while the store does not answer.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Pauses between failed calls.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn wait(&mut self) {
        let longest = (MIN_BACKOFF * 2_u32.saturating_pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        // Routers that lost the store together do not return to it together.
        let wait = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(wait).await;
    }
}

/// Follows the configuration for ever.
pub(crate) async fn watch_config(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    loop {
        let (call, reading) = match after {
            None => (StoreCall::Config, shared.store.config().await),
            Some(after) => {
                let reading = shared.store.next_config(after, LONG_POLL_TIMEOUT).await;
                (StoreCall::ConfigChanges, reading)
            }
        };
        shared.metrics.record_store_call(call, &reading);
        match reading {
            Ok(reading) => {
                record_success(&shared, StoreView::Config);
                backoff = Backoff::default();
                after = Some(reading.revision);
                if let Some(config) = reading.config {
                    fleet_state.apply_config(config, Source::Store);
                    coalesce(shared.settings().config_known).await;
                }
            }
            Err(error) => {
                after = None;
                record_failure(&shared, &error);
                backoff.wait().await;
            }
        }
    }
}

/// Follows the registered servers for ever.
pub(crate) async fn watch_servers(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut has_listing = false;
    loop {
        let store = shared.store.as_ref();
        let (call, result) = if has_listing {
            let result = next_servers(store, &fleet_state).await;
            (StoreCall::ServerChanges, result)
        } else {
            let result = list_servers(store, &fleet_state).await;
            (StoreCall::Servers, result)
        };
        shared.metrics.record_store_call(call, &result);
        match result {
            Ok(has_changes) => {
                record_success(&shared, StoreView::Servers);
                backoff = Backoff::default();
                if has_listing && has_changes {
                    coalesce(shared.settings().leaving_known).await;
                }
                has_listing = true;
            }
            Err(error) => {
                has_listing = false;
                if !matches!(error, StoreError::HistoryGone { .. }) {
                    fleet_state.record_store_failure();
                }
                record_failure(&shared, &error);
                backoff.wait().await;
            }
        }
    }
}

/// Pauses after changes that must be known within a time.
async fn coalesce(limit: Duration) {
    tokio::time::sleep(limit.mul_f64(COALESCING_FRACTION)).await;
}

fn record_success(shared: &Shared, view: StoreView) {
    if shared.record_store_success(view) {
        info!(event = "store-regained");
    }
}

fn record_failure(shared: &Shared, error: &StoreError) {
    if matches!(error, StoreError::HistoryGone { .. }) {
        info!(event = "store-history-gone", %error);
    } else if shared.record_store_failure() {
        warn!(event = "store-lost", %error);
    }
}

async fn list_servers(
    store: &dyn FleetStore,
    fleet_state: &FleetState,
) -> Result<bool, StoreError> {
    let listing = store.servers().await?;
    fleet_state.record_store_success();
    fleet_state.replace_servers(listing);
    Ok(true)
}

/// Waits for changes; returns whether there were any.
async fn next_servers(
    store: &dyn FleetStore,
    fleet_state: &FleetState,
) -> Result<bool, StoreError> {
    let after = fleet_state.servers_revision();
    let changes = store.next_servers(after, LONG_POLL_TIMEOUT).await?;
    let has_changes = !changes.changes.is_empty();
    fleet_state.record_store_success();
    fleet_state.apply_server_changes(after, &changes);
    Ok(has_changes)
}
