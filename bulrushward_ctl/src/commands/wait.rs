//! Waiting until a revision is in force.

use std::time::Duration;

use bulrushward_protocol::{
    MemberState, NodeId, Revision,
    admin::{MemberStatus, StatusResponse},
};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{client::AdminClient, error::CtlError};

/// Pause between two looks at the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a revision is in force.
#[derive(Debug, Serialize)]
pub(crate) struct Spread {
    /// Time that was waited in milliseconds.
    pub(crate) waited_ms: u64,
    /// Live processes that have the revision or a newer one.
    pub(crate) in_force: usize,
    /// Live processes that have an older one.
    pub(crate) missing: Vec<Missing>,
}

/// A live process without the revision.
#[derive(Debug, Serialize)]
pub(crate) struct Missing {
    /// The process.
    pub(crate) node: NodeId,
    /// The revision that it has.
    pub(crate) revision: Revision,
    /// Time since its last word in milliseconds.
    pub(crate) age_ms: u64,
}

impl Spread {
    fn new(status: &StatusResponse, revision: Revision, waited: Duration) -> Self {
        let live = |member: &&MemberStatus| member.state == MemberState::Live;
        let live = status.members.iter().filter(live);
        let (in_force, missing): (Vec<_>, Vec<_>) =
            live.partition(|member| member.revision >= revision);
        let missing = missing.into_iter().map(|member| Missing {
            node: member.node.clone(),
            revision: member.revision,
            age_ms: member.age.as_millis() as u64,
        });
        Self {
            waited_ms: waited.as_millis() as u64,
            in_force: in_force.len(),
            missing: missing.collect(),
        }
    }

    /// Whether every live process has the revision; a fleet without any proves nothing.
    pub(crate) fn is_complete(&self) -> bool {
        self.in_force > 0 && self.missing.is_empty()
    }
}

/// Waits until every live process has a revision, or until the time is up.
pub(crate) async fn wait_in_force(
    client: &AdminClient,
    revision: Revision,
    limit: Duration,
) -> Result<Spread, CtlError> {
    let start = Instant::now();
    loop {
        let seen = client.status().await;
        let waited = start.elapsed();
        let spread = seen.map(|status| Spread::new(&status, revision, waited));
        let complete = matches!(&spread, Ok(spread) if spread.is_complete());
        if complete || waited >= limit {
            return spread;
        }
        sleep(POLL_INTERVAL).await;
    }
}
