//! Keeps the limits of an agent's claim store in line with the configuration and the fleet's write
//! budget.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_claims::ClaimStore;
use bulrushward_config::Fleet;
use bulrushward_policy::claim::Retention;

use crate::control::Control;

/// Maximum writes per second of all agents together to the key-value service.
const FLEET_WRITES_PER_SECOND: u32 = 300;
/// Longest time between two checks of the number of agents.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Updates the limits when the configuration or the number of live agents of the service changes.
///
/// Only agents of services with non-idempotent requests write claims; the agents of one service
/// share the whole write budget.
pub(crate) async fn keep_updated(claims: Arc<ClaimStore>, control: Arc<Control>) {
    let mut revisions = control.revisions();
    loop {
        claims.set_retention(retention(&control.snapshot().config.fleet));
        claims.set_writes_per_second(writes_per_agent(control.service_peer_count() + 1));
        // The number of agents changes without a new revision, so the wait is limited.
        let _timed_out = tokio::time::timeout(UPDATE_INTERVAL, revisions.changed()).await;
    }
}

fn writes_per_agent(agents: usize) -> NonZeroU32 {
    let share = FLEET_WRITES_PER_SECOND / agents as u32;
    NonZeroU32::new(share).unwrap_or(NonZeroU32::MIN)
}

fn retention(fleet: &Fleet) -> Retention {
    Retention {
        finished_key: fleet.claim_retention,
        finished_content: fleet.fingerprint_window,
        ..Retention::default()
    }
}
