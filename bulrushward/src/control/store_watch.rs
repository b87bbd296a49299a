//! Reports new configuration revisions from the key-value service.

use std::{sync::Arc, time::Duration};

use bulrushward_protocol::Revision;
use bulrushward_revisions::{AcceptedRevision, RevisionStore, RevisionsError};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Longest duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest and longest time between two reads by a process that is not a watcher.
const POLL_INTERVAL: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(40)];
/// Shortest and longest time that a new process waits to receive the configuration from peers.
const START_GRACE: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(2)];
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reports new revisions in the key-value service to the control thread.
///
/// A few processes of the fleet are watchers and learn of a revision at once; the others poll
/// rarely, because they normally receive it from peers.
#[derive(Debug)]
pub(crate) struct StoreWatch {
    pub(crate) store: Arc<RevisionStore>,
    /// Newest revision that this process has published to its traffic threads.
    pub(crate) active_revision: watch::Receiver<Revision>,
    /// Whether this process is a watcher.
    pub(crate) watcher: watch::Receiver<bool>,
    /// Receives the new revisions.
    pub(crate) revisions: mpsc::Sender<AcceptedRevision>,
}

impl StoreWatch {
    /// Sends each newer revision of the key-value service until the receiver is closed.
    pub(crate) async fn run(mut self) {
        self.wait_for_peers().await;
        let mut available = true;
        let mut last_sent = 0;
        while !self.revisions.is_closed() {
            let after = last_sent.max(*self.active_revision.borrow_and_update());
            let result = if *self.watcher.borrow_and_update() {
                self.watch(after).await
            } else {
                self.poll(after).await
            };
            if available != result.is_ok() {
                available = result.is_ok();
                warn!(
                    event = "configuration-watch",
                    available,
                    error = result.as_ref().err().map(ToString::to_string)
                );
            }
            match result {
                Ok(Some(accepted)) => {
                    // A revision whose text this process rejects is not sent again.
                    last_sent = accepted.revision;
                    let _receiver_gone = self.revisions.send(accepted).await;
                }
                Ok(None) => {}
                Err(_unavailable) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Gives peers time to send the configuration to a new process.
    async fn wait_for_peers(&mut self) {
        let received = self.active_revision.wait_for(|revision| *revision > 0);
        let received = tokio::time::timeout(random_duration(START_GRACE), received).await;
        drop(received);
    }

    /// Waits for a newer revision until the watch ends or this process stops being a watcher.
    async fn watch(&mut self, after: Revision) -> Result<Option<AcceptedRevision>, RevisionsError> {
        tokio::select! {
            result = self.store.watch(after, WATCH_TIMEOUT) => result,
            _ = self.watcher.changed() => Ok(None),
        }
    }

    /// Reads the newest revision after a random delay, unless this process becomes a watcher first.
    async fn poll(&mut self, after: Revision) -> Result<Option<AcceptedRevision>, RevisionsError> {
        tokio::select! {
            () = tokio::time::sleep(random_duration(POLL_INTERVAL)) => {}
            _ = self.watcher.changed() => return Ok(None),
        }
        let newest = self.store.current().await?;
        Ok(newest.filter(|newest| newest.revision > after))
    }
}

/// Sets whether this process is a watcher.
pub(crate) fn set_watcher(tx: &watch::Sender<bool>, watcher: bool) {
    let changed = tx.send_if_modified(|current| std::mem::replace(current, watcher) != watcher);
    if changed {
        info!(event = "configuration-watcher", watcher);
    }
}

fn random_duration([shortest, longest]: [Duration; 2]) -> Duration {
    rand::rng().random_range(shortest..longest)
}
