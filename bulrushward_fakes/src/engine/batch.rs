//! Continuous batch with a bounded number of places.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

use super::load::LoadHistory;

/// Priority of a request: the lowest number goes first.
pub(crate) type Priority = i64;

/// Place of a waiting request: its priority, then its arrival.
type QueueKey = (Priority, u64);

/// The requests that run and those that wait.
#[derive(Clone, Debug)]
pub(crate) struct Batch(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    size: usize,
    queue: Mutex<Queue>,
    load: Arc<LoadHistory>,
}

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<BatchSlot>>,
}

/// A place in the batch, free again when dropped.
#[derive(Debug)]
pub(crate) struct BatchSlot(Batch);

/// Takes a request out of the queue when its caller goes.
struct QueueGuard<'a> {
    batch: &'a Batch,
    key: QueueKey,
}

impl Batch {
    pub(crate) fn new(size: usize, load: Arc<LoadHistory>) -> Self {
        Self(Arc::new(Shared {
            size,
            queue: Mutex::default(),
            load,
        }))
    }

    /// Waits for a place.
    pub(crate) async fn acquire(&self, priority: Priority) -> BatchSlot {
        let (tx, rx) = oneshot::channel();
        let key = {
            let mut queue = self.queue();
            queue.arrivals += 1;
            let key = (priority, queue.arrivals);
            queue.waiting.insert(key, tx);
            key
        };
        self.assign_slots();
        let _guard = QueueGuard { batch: self, key };
        let Ok(slot) = rx.await else {
            unreachable!("a waiting request leaves the queue with a place or with its caller")
        };
        slot
    }

    /// Gives free places to those that wait.
    fn assign_slots(&self) {
        loop {
            let next = {
                let mut queue = self.queue();
                if queue.running >= self.0.size {
                    break;
                }
                let Some((_, next)) = queue.waiting.pop_first() else {
                    break;
                };
                queue.running += 1;
                next
            };
            // A place that its caller doesn't take is dropped, and so freed.
            drop(next.send(BatchSlot(self.clone())));
        }
        self.record();
    }

    fn record(&self) {
        let queue = self.queue();
        self.0.load.record(queue.running, queue.waiting.len());
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.0.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.0.queue().running -= 1;
        self.0.assign_slots();
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let waiting = self.batch.queue().waiting.remove(&self.key);
        if waiting.is_some() {
            self.batch.record();
        }
    }
}
