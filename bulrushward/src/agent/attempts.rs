//! The attempts known to an agent: waiting, running, ended and barred.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_protocol::{ActionKey, AttemptId, Refusal, RunRequest};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::replay_buffer::ReplayBuffer;

/// Maximum number of barred attempts that are kept. Older ones belong to requests whose deadline
/// has passed.
const MAX_BARRED: usize = 100_000;

/// One attempt and its response.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) req: RunRequest,
    pub(crate) received: Instant,
    pub(crate) buffer: ReplayBuffer,
    /// Notified when the admission queue starts the attempt.
    pub(crate) start: Notify,
    /// Cancelled when the response is no longer needed.
    pub(crate) cancelled: CancellationToken,
}

impl Attempt {
    pub(crate) fn new(req: RunRequest, received: Instant) -> Self {
        Self {
            req,
            received,
            buffer: ReplayBuffer::default(),
            start: Notify::new(),
            cancelled: CancellationToken::new(),
        }
    }

    /// Returns the time after which the response is useless to the caller.
    pub(crate) fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.req.deadline_ms)
    }
}

/// Result of registering an attempt.
#[derive(Debug)]
pub(crate) enum Registration {
    /// The attempt is new and was registered.
    New(Arc<Attempt>),
    /// The attempt or another one of the same action is known; its response serves this one too.
    Known(Arc<Attempt>),
    /// The attempt was barred before it arrived.
    Barred,
    /// The key of the action was used for a request with different content.
    KeyReused,
}

#[derive(Debug, Default)]
struct Tables {
    attempts: HashMap<AttemptId, Arc<Attempt>>,
    actions: HashMap<ActionKey, Arc<Attempt>>,
    barred: HashSet<AttemptId>,
    barred_order: VecDeque<AttemptId>,
    ended: VecDeque<(Instant, AttemptId)>,
}

/// All attempts of an agent.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    tables: Mutex<Tables>,
}

impl Attempts {
    /// Registers an attempt unless it was barred or the attempt or its action is known.
    pub(crate) fn register(&self, req: RunRequest, now: Instant) -> Registration {
        let mut tables = self.lock();
        if tables.barred.contains(&req.attempt) {
            return Registration::Barred;
        }
        if let Some(known) = tables.attempts.get(&req.attempt) {
            return Registration::Known(Arc::clone(known));
        }
        if let Some(known) = req
            .action
            .and_then(|action| tables.actions.get(&action))
            .cloned()
            && !known.buffer.ended_without_running()
        {
            if known.req.fingerprint != req.fingerprint {
                return Registration::KeyReused;
            }
            tables.attempts.insert(req.attempt, Arc::clone(&known));
            tables.ended.push_back((now, req.attempt));
            return Registration::Known(known);
        }
        let attempt = Arc::new(Attempt::new(req, now));
        tables
            .attempts
            .insert(attempt.req.attempt, Arc::clone(&attempt));
        if let Some(action) = attempt.req.action {
            tables.actions.insert(action, Arc::clone(&attempt));
        }
        Registration::New(attempt)
    }

    /// Returns a known attempt.
    pub(crate) fn get(&self, id: AttemptId) -> Option<Arc<Attempt>> {
        self.lock().attempts.get(&id).cloned()
    }

    /// Bars an attempt so that it can never start; returns `false` if it may have started.
    pub(crate) fn bar(&self, id: AttemptId, refusal: Refusal) -> bool {
        let mut tables = self.lock();
        let Some(known) = tables.attempts.get(&id) else {
            tables.record_barred(id);
            return true;
        };
        // This attempt shares the response of another one, which may have started.
        if known.req.attempt != id {
            return false;
        }
        known.buffer.bar(refusal)
    }

    /// Records that an attempt ended, so that [`Self::remove_ended_before`] can remove it.
    pub(crate) fn record_end(&self, id: AttemptId, now: Instant) {
        self.lock().ended.push_back((now, id));
    }

    /// Removes the attempts that ended before a time.
    pub(crate) fn remove_ended_before(&self, time: Instant) {
        let mut tables = self.lock();
        while let Some((ended_at, id)) = tables.ended.front().copied()
            && ended_at < time
        {
            tables.ended.pop_front();
            tables.remove_attempt(id);
        }
    }

    /// Returns all attempts that have not ended.
    pub(crate) fn unfinished(&self) -> Vec<Arc<Attempt>> {
        let tables = self.lock();
        tables
            .attempts
            .values()
            .filter(|a| !a.buffer.has_ended())
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn record_barred(&mut self, id: AttemptId) {
        if self.barred.insert(id) {
            self.barred_order.push_back(id);
        }
        if self.barred_order.len() > MAX_BARRED
            && let Some(oldest) = self.barred_order.pop_front()
        {
            self.barred.remove(&oldest);
        }
    }

    fn remove_attempt(&mut self, id: AttemptId) {
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
