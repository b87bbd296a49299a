//! Agents that recently failed to respond to this router. They are tried last until gossip reports a
//! newer record of them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_protocol::{Incarnation, MemberRecord, NodeId};

/// Minimum time for which an agent is tried last, even if gossip still reports newer records of it.
const MIN_DEMOTION: Duration = Duration::from_secs(2);

/// A failure, with the version of the agent's record at that time.
#[derive(Clone, Copy, Debug)]
struct Failure {
    incarnation: Incarnation,
    version: u64,
    at: Instant,
}

/// The agents that recently failed to respond.
#[derive(Debug, Default)]
pub(crate) struct UnresponsiveAgents {
    failures: Mutex<HashMap<NodeId, Failure>>,
}

impl UnresponsiveAgents {
    /// Records that an agent did not respond; `record` is its newest known record.
    pub(crate) fn record_failure(&self, record: &MemberRecord, now: Instant) {
        let failure = Failure {
            incarnation: record.incarnation,
            version: record.version,
            at: now,
        };
        self.lock().insert(record.node.clone(), failure);
    }

    /// Returns whether an agent should be tried last.
    ///
    /// Forgets the failure once the agent restarted, or has a newer record after the minimum time.
    pub(crate) fn is_unresponsive(&self, record: &MemberRecord, now: Instant) -> bool {
        let mut failures = self.lock();
        let Some(failure) = failures.get(&record.node) else {
            return false;
        };
        let is_newer =
            (record.incarnation, record.version) > (failure.incarnation, failure.version);
        let has_restarted = record.incarnation > failure.incarnation;
        if has_restarted || (is_newer && now.duration_since(failure.at) > MIN_DEMOTION) {
            failures.remove(&record.node);
            return false;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Failure>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
