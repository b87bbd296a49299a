//! Probes the platform's store, as calls that wait there do not show that it has stopped responding.

use std::{sync::Arc, time::Duration};

use bulrushward_policy::fleet_schedule::FleetSchedule;

use crate::{metrics::StoreCall, shared::Shared};

/// Average interval at which some router of the fleet probes the store.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a router checks whether it is its turn.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Probes the store until cancelled.
///
/// A router whose calls stay without a response goes on probing until one succeeds, so that it notices the store's
/// return.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut schedule = FleetSchedule::new(PROBE_INTERVAL, &mut rand::rng());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_turn = schedule.advance(CHECK_INTERVAL, shared.routers(), &mut rand::rng());
        if !is_turn && !shared.store_state.is_unresponsive() {
            continue;
        }
        let result = shared.store.probe().await;
        shared.metrics.record_store_call(StoreCall::Probe, &result);
        match result {
            Ok(()) => shared.store_state.record_success(),
            Err(error) => shared.store_state.record_failure(&error),
        }
    }
}
