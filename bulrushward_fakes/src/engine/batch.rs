//! Continuous batch with a bounded number of slots.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

use super::load::LoadHistory;

/// Priority of a request; the lowest number runs first.
pub(crate) type Priority = i64;

/// Position of a waiting request: its priority, then its arrival number.
type QueueKey = (Priority, u64);

/// Running and waiting requests of an engine.
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

/// A slot in the batch; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct BatchSlot(Batch);

/// Removes a request from the queue when its caller disconnects.
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

    /// Waits for a free slot.
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
            unreachable!(
                "a sender leaves the queue only with a slot to send or when its receiver is dropped"
            )
        };
        slot
    }

    /// Assigns free slots to waiting requests.
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
            // If the caller has disconnected, the slot is dropped and thereby freed.
            drop(next.send(BatchSlot(self.clone())));
        }
        self.record_load();
    }

    fn record_load(&self) {
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
            self.batch.record_load();
        }
    }
}
