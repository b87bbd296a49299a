//! Follows the operators' text in the key-value service.

use std::{sync::Arc, time::Duration};

use bulrushward_protocol::Revision;
use bulrushward_revisions::{Accepted, RevisionStore};
use tokio::sync::{mpsc, watch};
use tracing::warn;

/// Longest time that one watch waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after a failed call before the next.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Sends each newer revision that the key-value service holds, for as long as anyone receives.
pub(crate) async fn follow(
    store: Arc<RevisionStore>,
    mut known: watch::Receiver<Revision>,
    tx: mpsc::Sender<Accepted>,
) {
    let mut available = true;
    while !tx.is_closed() {
        let after = *known.borrow_and_update();
        let answer = store.watch(after, WATCH_TIMEOUT).await;
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
                let _receiver_gone = tx.send(accepted).await;
                // The control thread publishes the revision before the next watch begins.
                let adopted = known.wait_for(|revision| *revision > after);
                let _timed_out = tokio::time::timeout(RETRY_PAUSE, adopted).await;
            }
            Ok(None) => {}
            Err(_unavailable) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
