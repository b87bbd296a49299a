//! The attempts that an agent knows: running, finished and barred.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_protocol::{ActionKey, AttemptId, Refusal, RunRequest};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::transcript::Transcript;

/// Barred attempts that are remembered; older ones belong to requests past every deadline.
const MAX_BARRED: usize = 100_000;

/// One attempt and what it has produced.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) req: RunRequest,
    pub(crate) received: Instant,
    pub(crate) transcript: Transcript,
    /// Fires when the admission queue lets the attempt start.
    pub(crate) start: Notify,
    /// Fires when nobody wants the answer any more.
    pub(crate) cancelled: CancellationToken,
}

impl Attempt {
    pub(crate) fn new(req: RunRequest, received: Instant) -> Self {
        Self {
            req,
            received,
            transcript: Transcript::default(),
            start: Notify::new(),
            cancelled: CancellationToken::new(),
        }
    }

    /// Returns the time after which the answer is of no use.
    pub(crate) fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.req.deadline_ms)
    }
}

/// What the table says to a new attempt.
#[derive(Debug)]
pub(crate) enum Entry {
    /// The attempt is new and is in the table now.
    New(Arc<Attempt>),
    /// The attempt, or another one of the same action, is known; its answer serves this one too.
    Known(Arc<Attempt>),
    /// The attempt was barred.
    Barred,
    /// The key of the action belongs to another request content.
    KeyReused,
}

#[derive(Debug, Default)]
struct Tables {
    attempts: HashMap<AttemptId, Arc<Attempt>>,
    actions: HashMap<ActionKey, Arc<Attempt>>,
    barred: HashSet<AttemptId>,
    barred_order: VecDeque<AttemptId>,
    finished: VecDeque<(Instant, AttemptId)>,
}

/// All attempts of an agent.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tables: Mutex<Tables>,
}

impl Attempts {
    /// Enters an attempt, unless it or its action is known or it was barred.
    pub(crate) fn enter(&self, req: RunRequest, now: Instant) -> Entry {
        let mut tables = self.lock();
        if tables.barred.contains(&req.attempt) {
            return Entry::Barred;
        }
        if let Some(known) = tables.attempts.get(&req.attempt) {
            return Entry::Known(Arc::clone(known));
        }
        if let Some(known) = req
            .action
            .and_then(|action| tables.actions.get(&action))
            .cloned()
            && !known.transcript.not_run()
        {
            if known.req.fingerprint != req.fingerprint {
                return Entry::KeyReused;
            }
            tables.attempts.insert(req.attempt, Arc::clone(&known));
            tables.finished.push_back((now, req.attempt));
            return Entry::Known(known);
        }
        let attempt = Arc::new(Attempt::new(req, now));
        tables
            .attempts
            .insert(attempt.req.attempt, Arc::clone(&attempt));
        if let Some(action) = attempt.req.action {
            tables.actions.insert(action, Arc::clone(&attempt));
        }
        Entry::New(attempt)
    }

    /// Returns a known attempt.
    pub(crate) fn get(&self, id: AttemptId) -> Option<Arc<Attempt>> {
        self.lock().attempts.get(&id).cloned()
    }

    /// Makes sure that an attempt never starts; `false` if it may have started.
    pub(crate) fn bar(&self, id: AttemptId, refusal: Refusal) -> bool {
        let mut tables = self.lock();
        let Some(known) = tables.attempts.get(&id) else {
            tables.remember_barred(id);
            return true;
        };
        // An attempt that shares the answer of another one never runs by itself.
        if known.req.attempt != id {
            return false;
        }
        known.transcript.bar(refusal)
    }

    /// Notes that an attempt ended, so that it is forgotten after a while.
    pub(crate) fn finished(&self, id: AttemptId, now: Instant) {
        self.lock().finished.push_back((now, id));
    }

    /// Forgets attempts that ended before a time.
    pub(crate) fn forget_before(&self, time: Instant) {
        let mut tables = self.lock();
        while let Some((ended, id)) = tables.finished.front().copied()
            && ended < time
        {
            tables.finished.pop_front();
            tables.forget(id);
        }
    }

    /// Returns all attempts that have not ended.
    pub(crate) fn unfinished(&self) -> Vec<Arc<Attempt>> {
        let tables = self.lock();
        tables
            .attempts
            .values()
            .filter(|a| !a.transcript.ended())
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn remember_barred(&mut self, id: AttemptId) {
        if self.barred.insert(id) {
            self.barred_order.push_back(id);
        }
        if self.barred_order.len() > MAX_BARRED
            && let Some(oldest) = self.barred_order.pop_front()
        {
            self.barred.remove(&oldest);
        }
    }

    fn forget(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(action) = attempt.req.action
            && attempt.req.attempt == id
            && self
                .actions
                .get(&action)
                .is_some_and(|known| Arc::ptr_eq(known, &attempt))
        {
            self.actions.remove(&action);
        }
    }
}
