//! Whether the key-value service answers, as last seen by a store.

use tokio::sync::watch;
use tracing::{info, warn};

/// Shared by the tasks of a store; starts as available.
#[derive(Debug)]
pub(crate) struct Availability {
    up: watch::Sender<bool>,
}

impl Availability {
    pub(crate) fn new() -> Self {
        Self {
            up: watch::Sender::new(true),
        }
    }

    pub(crate) fn set_up(&self) {
        if !self.up.send_replace(true) {
            info!(event = "claims-available");
        }
    }

    pub(crate) fn set_down(&self) {
        if self.up.send_replace(false) {
            warn!(event = "claims-unavailable");
        }
    }

    pub(crate) async fn wait_until(&self, up: bool) {
        let mut rx = self.up.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = rx.wait_for(|seen| *seen == up).await;
    }
}
