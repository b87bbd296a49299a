//! Watches the configuration, the operators' orders and the registered servers in the platform's store by long polling.

use std::{sync::Arc, time::Duration};

use bulrushward_policy::server_registry::StoreRevision;

use crate::{
    call::{OnResponse, UNOBSERVED},
    fleet_state::{FleetState, Source},
    hedged_call::hedged_config,
    metrics::StoreCall,
    ports::{ConfigUpdate, FleetStore, StoreError},
    shared::Shared,
    store_backoff::Backoff,
    store_poll::{Polled, StorePoll},
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
/// requests already in transit.
pub(crate) const COALESCING_FRACTION: f64 = 0.4;
/// Fraction of the propagation limit of orders for which an order may wait while further changes are awaited.
///
/// The rest is for routers whose calls the store rejects.
const ORDER_WAIT_FRACTION: f64 = 0.1;

/// Result of a call for the configuration and the orders.
struct WatchStep {
    /// Revision after which to watch for further changes.
    after: StoreRevision,
    /// Whether further changes are awaited before the next call.
    needs_pause: bool,
    /// Why the configuration cannot be read; the orders are followed nevertheless.
    config_error: Option<StoreError>,
}

/// Watches the configuration, and the orders where they are followed, until cancelled.
pub(crate) async fn watch_config(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    let mut needs_listing = shared.follows_orders;
    let mut has_missed = false;
    loop {
        let poll = StorePoll::begin(&shared.store_state, StoreView::Config, after);
        let (sent, on_response) = (poll.sent, || poll.record_response());
        let result = match after {
            None => read_config(&shared, &fleet_state, needs_listing, &on_response).await,
            Some(known) => {
                let (wait, with_orders) = (LONG_POLL_TIMEOUT, shared.follows_orders);
                let call = shared
                    .store
                    .next_config(known, wait, with_orders, &on_response);
                let result = match poll.response(call).await {
                    Polled::Result(result) => result,
                    Polled::Forgotten => continue,
                    Polled::Lost => {
                        has_missed = true;
                        after = None;
                        needs_listing = shared.follows_orders;
                        continue;
                    }
                };
                shared
                    .metrics
                    .record_store_call(StoreCall::ConfigChanges, &result);
                result.and_then(|update| apply_update(&shared, &fleet_state, known, update))
            }
        };
        let transfer_time = poll.end();
        match result {
            Ok(step) => {
                match &step.config_error {
                    None => shared.store_state.record_view(StoreView::Config),
                    Some(error) => shared.store_state.record_failure(error, sent),
                }
                if std::mem::take(&mut has_missed) {
                    shared.store_state.news.record_missed(StoreView::Config);
                }
                backoff = Backoff::default();
                after = Some(step.after);
                needs_listing = false;
                if step.needs_pause {
                    // Further changes have gathered while a large response arrived.
                    let pause = config_pause(&shared).saturating_sub(transfer_time);
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => {
                after = None;
                let is_history_gone = matches!(error, StoreError::HistoryGone { .. });
                needs_listing |= is_history_gone && shared.follows_orders;
                shared.store_state.record_failure(&error, sent);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the configuration; a router that has none sends further calls while an unresponsive store keeps it waiting.
async fn call_config(
    shared: &Shared,
    on_response: OnResponse<'_>,
) -> Result<ConfigUpdate, StoreError> {
    let is_urgent = shared.config_version().is_none() && shared.store_state.is_unresponsive();
    if is_urgent {
        return hedged_config(shared.store.as_ref(), on_response).await;
    }
    shared.store.config(on_response).await
}

/// Reads the configuration, and lists the orders if `needs_listing` is set.
///
/// Orders that are known need no new listing after a failed call: the next call waits for changes since their revision.
async fn read_config(
    shared: &Shared,
    fleet_state: &FleetState,
    needs_listing: bool,
    on_response: OnResponse<'_>,
) -> Result<WatchStep, StoreError> {
    let config = async {
        let result = call_config(shared, on_response).await;
        shared.metrics.record_store_call(StoreCall::Config, &result);
        let update = result?;
        let revision = update.revision;
        let has_config = update.config.is_some();
        apply_config(shared, fleet_state, update).map(|error| (revision, has_config, error))
    };
    let orders = async {
        if !needs_listing {
            return Ok(fleet_state.orders_revision());
        }
        let result = shared.store.orders().await;
        shared.metrics.record_store_call(StoreCall::Orders, &result);
        let listing = result?;
        fleet_state.replace_orders(&listing);
        Ok(Some(listing.revision))
    };
    let ((revision, has_config, config_error), orders) = if shared.store_state.is_available() {
        let (config, orders) = tokio::join!(config, orders);
        (config?, orders?)
    } else {
        // A failing store gets one call at a time.
        (config.await?, orders.await?)
    };
    Ok(WatchStep {
        after: orders.map_or(revision, |orders| orders.min(revision)),
        needs_pause: has_config,
        config_error,
    })
}

/// Applies the configuration of an update; returns why it cannot be read if the orders are followed nevertheless.
///
/// # Errors
///
/// Returns that reason where no orders are followed, so that the configuration is read again.
fn apply_config(
    shared: &Shared,
    fleet_state: &FleetState,
    update: ConfigUpdate,
) -> Result<Option<StoreError>, StoreError> {
    if let Some(config) = update.config {
        fleet_state.apply_config(config, Source::Store);
    }
    match update.config_error {
        Some(error) if !shared.follows_orders => Err(error),
        error => Ok(error),
    }
}

/// Applies the response to a call that waited for changes since revision `after`.
fn apply_update(
    shared: &Shared,
    fleet_state: &FleetState,
    after: StoreRevision,
    update: ConfigUpdate,
) -> Result<WatchStep, StoreError> {
    if shared.follows_orders
        && !fleet_state.apply_order_changes(after, &update.orders, update.revision)
    {
        return Err(StoreError::HistoryGone { after });
    }
    let has_config = update.config.is_some() || update.config_error.is_some();
    let needs_pause = has_config || update.has_other_changes;
    let revision = update.revision;
    Ok(WatchStep {
        after: revision,
        needs_pause,
        config_error: apply_config(shared, fleet_state, update)?,
    })
}

/// Returns the pause after a changed configuration, in which an order may have to wait.
fn config_pause(shared: &Shared) -> Duration {
    let settings = shared.settings();
    let pause = settings.config_known.mul_f64(COALESCING_FRACTION);
    match settings.orders_known {
        Some(limit) => pause.min(limit.mul_f64(ORDER_WAIT_FRACTION)),
        None => pause,
    }
}

/// Watches the registered servers until cancelled.
pub(crate) async fn watch_servers(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let mut backoff = Backoff::default();
    let mut has_listing = false;
    let mut has_missed = false;
    loop {
        let store = shared.store.as_ref();
        let after = has_listing.then(|| fleet_state.servers_revision());
        let poll = StorePoll::begin(&shared.store_state, StoreView::Servers, after);
        let (sent, on_response) = (poll.sent, || poll.record_response());
        let (call, result) = if let Some(after) = after {
            let call = next_servers(store, &fleet_state, after, &on_response);
            let result = match poll.response(call).await {
                Polled::Result(result) => result,
                Polled::Forgotten => continue,
                Polled::Lost => {
                    has_missed = true;
                    has_listing = false;
                    continue;
                }
            };
            (StoreCall::ServerChanges, result)
        } else {
            let call = list_servers(store, &fleet_state, &on_response);
            let Polled::Result(result) = poll.response(call).await else {
                continue;
            };
            (StoreCall::Servers, result)
        };
        shared.metrics.record_store_call(call, &result);
        poll.end();
        match result {
            Ok(has_changes) => {
                let revision = fleet_state.servers_revision();
                shared.store_state.record_servers_revision(revision);
                shared.store_state.record_view(StoreView::Servers);
                if std::mem::take(&mut has_missed) {
                    shared.store_state.news.record_missed(StoreView::Servers);
                }
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
                shared.store_state.record_failure(&error, sent);
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
    on_response: OnResponse<'_>,
) -> Result<bool, StoreError> {
    let known = fleet_state.servers_revision();
    let listing = store.servers(on_response).await?;
    fleet_state.record_store_success();
    // The listing does not show servers that came and went since the last call that succeeded.
    let missed = if known == 0 {
        None
    } else {
        let missed = store.next_servers(known, Duration::ZERO, UNOBSERVED);
        missed.await.ok()
    };
    fleet_state.replace_servers(listing, missed.as_ref());
    Ok(true)
}

/// Waits for changes of the servers; returns whether there were any.
async fn next_servers(
    store: &dyn FleetStore,
    fleet_state: &FleetState,
    after: StoreRevision,
    on_response: OnResponse<'_>,
) -> Result<bool, StoreError> {
    let changes = store.next_servers(after, LONG_POLL_TIMEOUT, on_response);
    let changes = changes.await?;
    let has_changes = !changes.changes.is_empty();
    fleet_state.record_store_success();
    fleet_state.apply_server_changes(after, &changes);
    Ok(has_changes)
}
