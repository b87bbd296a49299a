//! News of changes that a call which waits for them did not return.
//!
//! Where one router's call has gone silent, those of others may have as well. Routers that receive the news read the store
//! at once, over a new connection, and pass the news on.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::store_state::StoreView;

/// Time for which news are sent in each round of gossip.
const TELL_TIME: Duration = Duration::from_millis(1_500);

/// Views of which the sender's waiting call has missed changes; a part of a datagram.
///
/// What the sender knows about them is in the part that all datagrams have.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MissedChanges {
    pub(crate) config: bool,
    pub(crate) servers: bool,
}

/// The news that this router sends to its peers.
#[derive(Debug, Default)]
pub(crate) struct StoreNews {
    until: Mutex<ToldUntil>,
    /// Notified if the news should be sent at once.
    fresh: Notify,
}

#[derive(Debug, Default)]
struct ToldUntil {
    config: Option<Instant>,
    servers: Option<Instant>,
}

impl StoreNews {
    /// Records that changes of a view were read that a waiting call has missed.
    pub(crate) fn record_missed(&self, view: StoreView) {
        let until = Some(Instant::now() + TELL_TIME);
        match view {
            StoreView::Config => self.lock().config = until,
            StoreView::Servers => self.lock().servers = until,
        }
        self.fresh.notify_one();
    }

    /// Returns the message for peers.
    pub(crate) fn message(&self) -> MissedChanges {
        let now = Instant::now();
        let until = self.lock();
        let is_told = |until: Option<Instant>| until.is_some_and(|until| now < until);
        MissedChanges {
            config: is_told(until.config),
            servers: is_told(until.servers),
        }
    }

    /// Waits until the news should be sent at once.
    pub(crate) async fn wait(&self) {
        self.fresh.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, ToldUntil> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
