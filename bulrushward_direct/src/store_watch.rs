//! Watches the configuration and the registered servers in the platform's store by long polling.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use tracing::info;

use crate::{
    fleet_state::{FleetState, Source},
    hedged_call::hedged,
    metrics::StoreCall,
    ports::{ConfigUpdate, FleetStore, StoreError},
    shared::Shared,
    store_state::StoreView,
};

/// Time for which one call waits for changes.
///
/// Long waits take fewer calls, and each call has a cost. Stores keep their history for longer than this, and
/// TCP keepalive detects a dead connection sooner.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(12);
/// Fraction of the propagation limit for which further changes are awaited after a change.
///
/// A series of changes then takes few calls. The rest of the limit is for the call, one retry of it and
/// requests already on their way.
pub(crate) const COALESCING_FRACTION: f64 = 0.4;
/// Longest pause after the first failed call; it doubles with each further one up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between calls while the store is unavailable.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter between failed calls.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn pause(&mut self) {
        let longest =
            (INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        // Jitter keeps routers that lost the store together from returning to it together.
        let pause = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Waits for the response to a long poll; returns `None` if the call has to be sent again.
async fn poll<T>(
    shared: &Shared,
    view: StoreView,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Option<Result<T, StoreError>> {
    let sent = Instant::now();
    tokio::select! {
        result = call => Some(result),
        () = shared.store_state.resend_due(sent) => {
            let waited_ms = sent.elapsed().as_millis() as u64;
            info!(event = "store-call-resent", view = <&str>::from(view), waited_ms);
            None
        }
    }
}

/// Watches the configuration until cancelled.
pub(crate) async fn watch_config(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    loop {
        let (call, result) = match after {
            None => (StoreCall::Config, read_config(&shared).await),
            Some(after) => {
                let call = shared.store.next_config(after, LONG_POLL_TIMEOUT);
                let Some(result) = poll(&shared, StoreView::Config, call).await else {
                    continue;
                };
                (StoreCall::ConfigChanges, result)
            }
        };
        shared.metrics.record_store_call(call, &result);
        match result {
            Ok(update) => {
                shared.store_state.record_view(StoreView::Config);
                backoff = Backoff::default();
                after = Some(update.revision);
                if let Some(config) = update.config {
                    fleet_state.apply_config(config, Source::Store);
                    coalesce(shared.settings().config_known).await;
                }
            }
            Err(error) => {
                after = None;
                shared.store_state.record_failure(&error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the configuration; a router that has none sends further calls while an unresponsive store keeps it waiting.
async fn read_config(shared: &Shared) -> Result<ConfigUpdate, StoreError> {
    let is_urgent = shared.config_version().is_none() && shared.store_state.is_unresponsive();
    if is_urgent {
        return hedged(|| shared.store.config()).await;
    }
    shared.store.config().await
}

/// Watches the registered servers until cancelled.
pub(crate) async fn watch_servers(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut has_listing = false;
    loop {
        let store = shared.store.as_ref();
        let (call, result) = if has_listing {
            let call = next_servers(store, &fleet_state);
            let Some(result) = poll(&shared, StoreView::Servers, call).await else {
                continue;
            };
            (StoreCall::ServerChanges, result)
        } else {
            let call = list_servers(store, &fleet_state);
            let Some(result) = poll(&shared, StoreView::Servers, call).await else {
                continue;
            };
            (StoreCall::Servers, result)
        };
        shared.metrics.record_store_call(call, &result);
        match result {
            Ok(has_changes) => {
                shared.store_state.record_view(StoreView::Servers);
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
                shared.store_state.record_failure(&error);
                backoff.pause().await;
            }
        }
    }
}

/// Pauses after a change, so that the next call returns several further changes at once.
async fn coalesce(limit: Duration) {
    tokio::time::sleep(limit.mul_f64(COALESCING_FRACTION)).await;
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

/// Waits for changes of the servers; returns whether there were any.
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
