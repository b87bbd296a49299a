//! Keeps the claim store of an agent within the operators' text and the fleet's write budget.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_claims::ClaimStore;
use bulrushward_config::Fleet;
use bulrushward_policy::claim::Retention;

use crate::control::Control;

/// Writes a second that all agents together may make to the key-value service.
const FLEET_WRITES_PER_SECOND: u32 = 300;
/// Time between two looks at the number of agents.
const INTERVAL: Duration = Duration::from_secs(5);

/// Follows the configuration and the number of live agents of the same service.
///
/// Only agents of services with actions write; those of one service share the budget.
pub(crate) async fn follow(claims: Arc<ClaimStore>, control: Arc<Control>) {
    let mut revisions = control.revisions();
    loop {
        claims.set_retention(retention(&control.snapshot().config.fleet));
        claims.set_writes_per_second(share(control.service_peers() + 1));
        // A look after a while notices agents that came or went.
        let _timed_out = tokio::time::timeout(INTERVAL, revisions.changed()).await;
    }
}

fn share(agents: usize) -> NonZeroU32 {
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
