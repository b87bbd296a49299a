//! Availability of the key-value service, as last observed by a claim store.

use tokio::sync::watch;
use tracing::{info, warn};

/// Availability shared by all tasks of a store; initially the service counts as available.
#[derive(Debug)]
pub(crate) struct Availability {
    available: watch::Sender<bool>,
}

impl Availability {
    pub(crate) fn new() -> Self {
        Self {
            available: watch::Sender::new(true),
        }
    }

    pub(crate) fn mark_available(&self) {
        if !self.available.send_replace(true) {
            info!(event = "claims-available");
        }
    }

    pub(crate) fn mark_unavailable(&self) {
        if self.available.send_replace(false) {
            warn!(event = "claims-unavailable");
        }
    }

    pub(crate) async fn wait_until(&self, available: bool) {
        let mut rx = self.available.subscribe();
        // `wait_for` fails only once the sender is dropped, and `self` owns the sender.
        let _ = rx.wait_for(|seen| *seen == available).await;
    }
}
