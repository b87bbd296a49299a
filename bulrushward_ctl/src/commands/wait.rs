//! Waits until a revision is active on all live processes.

use std::time::Duration;

use bulrushward_protocol::{
    MemberState, NodeId, Revision,
    admin::{MemberStatus, StatusResponse},
};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{client::AdminClient, error::CtlError};

/// Interval at which the status of the fleet is read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Processes on which a revision is active, and those on which it is not yet.
///
/// The field names are part of the JSON output.
#[derive(Debug, Serialize)]
pub(crate) struct Rollout {
    /// Time waited, in milliseconds.
    pub(crate) waited_ms: u64,
    /// Number of live processes that have the revision or a newer one.
    pub(crate) in_force: usize,
    /// Live processes that have an older revision.
    pub(crate) missing: Vec<OutdatedProcess>,
}

/// A live process that does not have the revision yet.
#[derive(Debug, Serialize)]
pub(crate) struct OutdatedProcess {
    /// Node id of the process.
    pub(crate) node: NodeId,
    /// The revision that it has.
    pub(crate) revision: Revision,
    /// Time since the router last heard from it, in milliseconds.
    pub(crate) age_ms: u64,
}

impl Rollout {
    fn new(status: &StatusResponse, revision: Revision, waited: Duration) -> Self {
        let live = |member: &&MemberStatus| member.state == MemberState::Live;
        let live = status.members.iter().filter(live);
        let (in_force, missing): (Vec<_>, Vec<_>) =
            live.partition(|member| member.revision >= revision);
        let missing = missing.into_iter().map(|member| OutdatedProcess {
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

    /// Returns whether live processes are known and all of them have the revision.
    ///
    /// If none are known, the revision may not be active anywhere.
    pub(crate) fn is_complete(&self) -> bool {
        self.in_force > 0 && self.missing.is_empty()
    }
}

/// Waits until all live processes have a revision, or until `limit` has elapsed.
pub(crate) async fn wait_until_active(
    client: &AdminClient,
    revision: Revision,
    limit: Duration,
) -> Result<Rollout, CtlError> {
    let start = Instant::now();
    loop {
        let status = client.status().await;
        let waited = start.elapsed();
        let rollout = status.map(|status| Rollout::new(&status, revision, waited));
        let complete = matches!(&rollout, Ok(rollout) if rollout.is_complete());
        if complete || waited >= limit {
            return rollout;
        }
        sleep(POLL_INTERVAL).await;
    }
}
