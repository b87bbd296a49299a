//! Agents that did not answer this router lately, tried last until they are heard of again.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_protocol::{Incarnation, MemberRecord, NodeId};

/// Time for which an agent is tried last even if word of it still comes in from others.
const HOLD: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Silence {
    incarnation: Incarnation,
    version: u64,
    since: Instant,
}

/// The agents that did not answer.
#[derive(Debug, Default)]
pub(crate) struct SilentAgents {
    silences: Mutex<HashMap<NodeId, Silence>>,
}

impl SilentAgents {
    /// Notes that an agent did not answer; `record` is what was known of it then.
    pub(crate) fn note(&self, record: &MemberRecord, now: Instant) {
        let silence = Silence {
            incarnation: record.incarnation,
            version: record.version,
            since: now,
        };
        self.lock().insert(record.node.clone(), silence);
    }

    /// Returns whether an agent is to be tried last; forgets its silence once it was heard of.
    pub(crate) fn is_silent(&self, record: &MemberRecord, now: Instant) -> bool {
        let mut silences = self.lock();
        let Some(silence) = silences.get(&record.node) else {
            return false;
        };
        let heard = (record.incarnation, record.version) > (silence.incarnation, silence.version);
        let restarted = record.incarnation > silence.incarnation;
        if restarted || (heard && now.duration_since(silence.since) > HOLD) {
            silences.remove(&record.node);
            return false;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Silence>> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
