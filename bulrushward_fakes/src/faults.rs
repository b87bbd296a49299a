//! Faults that can be changed while a fake runs.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};

/// Shared handle to the current faults of a fake.
#[derive(Debug)]
pub struct Faults<F>(Arc<watch::Sender<F>>);

impl<F: Clone + Send + Sync + 'static> Faults<F> {
    /// Returns the current faults.
    #[must_use]
    pub fn get(&self) -> F {
        self.0.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: F) {
        self.0.send_replace(faults);
    }

    /// Modifies the faults in place.
    pub fn update(&self, change: impl FnOnce(&mut F)) {
        self.0.send_modify(change);
    }

    /// Waits until the faults satisfy a condition.
    pub(crate) async fn wait_for(&self, condition: impl FnMut(&F) -> bool) {
        let mut rx = self.0.subscribe();
        // Cannot fail: `self` holds the sender.
        drop(rx.wait_for(condition).await);
    }

    /// Sleeps for a duration taken from the faults; returns early if that duration changes.
    pub(crate) async fn delay(&self, duration_of: impl Fn(&F) -> Duration) {
        let duration = duration_of(&self.0.borrow());
        if duration.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(duration) => {}
            () = self.wait_for(|faults| duration_of(faults) != duration) => {}
        }
    }

    /// Decrements a counter of remaining faults and returns whether it was above zero.
    pub(crate) fn consume(&self, count: impl Fn(&mut F) -> &mut u32) -> bool {
        self.0.send_if_modified(|faults| {
            let count = count(faults);
            let remaining = *count > 0;
            *count = count.saturating_sub(1);
            remaining
        })
    }
}

impl<F> Clone for Faults<F> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<F: Default> Default for Faults<F> {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(F::default())))
    }
}
