//! Faults that are set while a stand-in runs.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};

/// Current faults of a stand-in.
#[derive(Debug)]
pub struct Faults<F>(Arc<watch::Sender<F>>);

impl<F: Clone + Send + Sync + 'static> Faults<F> {
    /// Returns the faults.
    #[must_use]
    pub fn get(&self) -> F {
        self.0.borrow().clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: F) {
        self.0.send_replace(faults);
    }

    /// Changes the faults.
    pub fn update(&self, change: impl FnOnce(&mut F)) {
        self.0.send_modify(change);
    }

    /// Waits until a condition holds.
    pub(crate) async fn wait_for(&self, condition: impl FnMut(&F) -> bool) {
        let mut rx = self.0.subscribe();
        // The sender lives as long as `self`.
        drop(rx.wait_for(condition).await);
    }

    /// Waits for a time that the faults name; a change of that time ends the wait.
    pub(crate) async fn pause(&self, time: impl Fn(&F) -> Duration) {
        let duration = time(&self.0.borrow());
        if duration.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(duration) => {}
            () = self.wait_for(|faults| time(faults) != duration) => {}
        }
    }

    /// Takes one from a count of faults that are left, if there is one.
    pub(crate) fn take(&self, count: impl Fn(&mut F) -> &mut u32) -> bool {
        self.0.send_if_modified(|faults| {
            let count = count(faults);
            let left = *count > 0;
            *count = count.saturating_sub(1);
            left
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
