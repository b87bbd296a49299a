//! Probes the platform's store, as calls that wait there show neither that it has stopped responding nor that their own
//! responses are lost.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::{response_progress::thin_link_time, store_wait::PendingWait};
use tokio::time::timeout;

use crate::{
    metrics::StoreCall, ports::StoreError, shared::Shared, store_state::StoreView,
    store_waits::LossSign,
};

/// Time limit of a check; a slow store responds within a few hundred milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of the probes of a router whose calls get no response, and in which a changed fleet moves its turn.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Probes the store until cancelled.
///
/// A router whose calls get no response keeps probing until one succeeds, so that it notices the store's
/// return.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let until_turn = shared.store_state.check_turns.until_next();
        tokio::time::sleep(until_turn.min(CHECK_INTERVAL)).await;
        let is_turn = until_turn <= CHECK_INTERVAL;
        let is_unresponsive = shared.store_state.is_unresponsive();
        if !is_turn && !is_unresponsive {
            continue;
        }
        let waits = &shared.store_state.waits;
        let views = [StoreView::Config, StoreView::Servers];
        let waiting = views.map(|view| Some((view, waits.pending(view)?)));
        if is_unresponsive || waiting.iter().all(Option::is_none) {
            let sent = Instant::now();
            let result = shared.store.probe().await;
            record(&shared, StoreCall::Probe, sent, result);
            continue;
        }
        let checks = waiting.map(async |waiting| {
            if let Some((view, pending)) = waiting {
                check_wait(&shared, view, pending).await;
            }
        });
        futures_util::future::join_all(checks).await;
    }
}

/// Asks whether there are changes that a waiting call should have returned, and ends the call if there are some.
async fn check_wait(shared: &Shared, view: StoreView, pending: PendingWait) {
    let (store, after) = (&shared.store, pending.after);
    let check = async {
        match view {
            StoreView::Config => store.next_config_size(after, shared.follows_orders).await,
            StoreView::Servers => store.next_servers_size(after).await,
        }
    };
    let sent = Instant::now();
    let transfers = &shared.store_state.transfers;
    let queued = match timeout(CHECK_TIMEOUT, check).await {
        // The response to the check may be lost as well, so its lack counts as changes unless it may be queued.
        Err(_elapsed) if transfers.may_have_delayed(sent) => return,
        Err(_elapsed) => Duration::ZERO,
        Ok(result) => {
            let size = result.as_ref().ok().copied().flatten();
            record(shared, StoreCall::Check, sent, result);
            // The waiting call itself fails if the history is gone.
            let Some(bytes) = size else {
                return;
            };
            thin_link_time(bytes)
        }
    };
    transfers.record_unread(queued);
    let waits = &shared.store_state.waits;
    waits
        .end_if_lost(view, pending, queued, LossSign::Check)
        .await;
}

fn record<T>(shared: &Shared, call: StoreCall, sent: Instant, result: Result<T, StoreError>) {
    shared.metrics.record_store_call(call, &result);
    match result {
        Ok(_) => shared.store_state.record_success(),
        Err(error) => shared.store_state.record_failure(&error, sent),
    }
}
