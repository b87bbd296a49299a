//! Responses whose end is being confirmed, which a stopping process lets finish.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::Notify;

/// Counts the responses that have arrived whole if their server still runs.
#[derive(Debug, Default)]
pub(crate) struct PendingEnds {
    count: AtomicU32,
    ended: Notify,
}

/// A response whose end is being confirmed, until this is dropped.
#[derive(Debug)]
pub(crate) struct PendingEnd {
    ends: Arc<PendingEnds>,
}

impl PendingEnds {
    /// Records that a confirmation begins.
    pub(crate) fn begin(self: &Arc<Self>) -> PendingEnd {
        self.count.fetch_add(1, Ordering::SeqCst);
        PendingEnd {
            ends: Arc::clone(self),
        }
    }

    /// Waits until no end is being confirmed.
    pub(crate) async fn none(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count.load(Ordering::SeqCst) == 0 {
                return;
            }
            ended.await;
        }
    }
}

impl Drop for PendingEnd {
    fn drop(&mut self) {
        self.ends.count.fetch_sub(1, Ordering::SeqCst);
        self.ends.ended.notify_waiters();
    }
}
