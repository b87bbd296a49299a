//! Follows the operators' text in the key-value service.

use std::{sync::Arc, time::Duration};

use bulrushward_protocol::Revision;
use bulrushward_revisions::{AcceptedRevision, RevisionStore, RevisionsError};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Longest time that one watch waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Shortest and longest time between two reads by a process that does not watch.
const LOOK_INTERVAL: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(40)];
/// Shortest and longest time that a new process leaves its peers to hand it the configuration.
const START_GRACE: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(2)];
/// Time after a failed call before the next.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the key-value service for the control thread.
#[derive(Debug)]
pub(crate) struct Follower {
    pub(crate) store: Arc<RevisionStore>,
    /// The revision in force.
    pub(crate) known: watch::Receiver<Revision>,
    /// Whether this process watches.
    pub(crate) watcher: watch::Receiver<bool>,
    /// Takes the revisions found.
    pub(crate) found: mpsc::Sender<AcceptedRevision>,
}

impl Follower {
    /// Sends each newer revision that the service holds, for as long as anyone receives.
    pub(crate) async fn run(mut self) {
        self.leave_to_peers().await;
        let mut available = true;
        let mut offered = 0;
        while !self.found.is_closed() {
            let after = offered.max(*self.known.borrow_and_update());
            let answer = if *self.watcher.borrow_and_update() {
                self.watch(after).await
            } else {
                self.look(after).await
            };
            if available != answer.is_ok() {
                available = answer.is_ok();
                warn!(
                    event = "configuration-watch",
                    available,
                    error = answer.as_ref().err().map(ToString::to_string)
                );
            }
            match answer {
                Ok(Some(accepted)) => {
                    // A text that this process refuses is not offered again.
                    offered = accepted.revision;
                    let _receiver_gone = self.found.send(accepted).await;
                }
                Ok(None) => {}
                Err(_unavailable) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Gives peers the time to hand a new process the configuration.
    async fn leave_to_peers(&mut self) {
        let adopted = self.known.wait_for(|revision| *revision > 0);
        let adopted = tokio::time::timeout(random_time(START_GRACE), adopted).await;
        drop(adopted);
    }

    /// Waits for a newer revision until the watch ends or this process stops to be a watcher.
    async fn watch(&mut self, after: Revision) -> Result<Option<AcceptedRevision>, RevisionsError> {
        tokio::select! {
            answer = self.store.watch(after, WATCH_TIMEOUT) => answer,
            _ = self.watcher.changed() => Ok(None),
        }
    }

    /// Reads the newest revision after a while, unless this process becomes a watcher before.
    async fn look(&mut self, after: Revision) -> Result<Option<AcceptedRevision>, RevisionsError> {
        tokio::select! {
            () = tokio::time::sleep(random_time(LOOK_INTERVAL)) => {}
            _ = self.watcher.changed() => return Ok(None),
        }
        let newest = self.store.current().await?;
        Ok(newest.filter(|newest| newest.revision > after))
    }
}

/// Tells the follower whether this process is a watcher now.
pub(crate) fn set_watcher(tx: &watch::Sender<bool>, watcher: bool) {
    let changed = tx.send_if_modified(|current| std::mem::replace(current, watcher) != watcher);
    if changed {
        info!(event = "configuration-watcher", watcher);
    }
}

fn random_time([shortest, longest]: [Duration; 2]) -> Duration {
    rand::rng().random_range(shortest..longest)
}
