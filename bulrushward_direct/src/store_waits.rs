//! Calls that wait at the store for changes, and which of them have lost their responses.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bulrushward_policy::{
    server_registry::StoreRevision,
    store_wait::{PendingWait, WaitLog},
};
use tokio::{sync::Notify, time::sleep_until};

use crate::store_state::StoreView;

/// The waiting calls of a router.
#[derive(Debug, Default)]
pub(crate) struct StoreWaits {
    config: ViewWait,
    servers: ViewWait,
}

#[derive(Debug, Default)]
struct ViewWait {
    log: Mutex<WaitLog>,
    lost: Notify,
}

/// A waiting call, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard<'a> {
    wait: &'a ViewWait,
}

impl WaitGuard<'_> {
    /// Waits until the call has lost its response.
    pub(crate) async fn lost(&self) {
        self.wait.lost.notified().await;
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.wait.lock().end();
    }
}

impl StoreWaits {
    /// Records that a call is sent that waits for changes after a revision.
    pub(crate) fn begin(&self, view: StoreView, after: StoreRevision) -> WaitGuard<'_> {
        let wait = self.of(view);
        wait.lock().begin(after, Instant::now());
        WaitGuard { wait }
    }

    /// Returns the call that waits for changes of a view.
    pub(crate) fn pending(&self, view: StoreView) -> Option<PendingWait> {
        self.of(view).lock().pending()
    }

    /// Ends a waiting call that does not return soon though another call has returned changes.
    pub(crate) async fn end_if_lost(&self, view: StoreView, checked: PendingWait) {
        sleep_until(WaitLog::lost_at(Instant::now()).into()).await;
        let wait = self.of(view);
        if wait.lock().is_waiting(checked) {
            wait.lost.notify_waiters();
        }
    }

    /// Records whether a peer knows changes of a view that this router does not.
    pub(crate) fn observe_peers(&self, view: StoreView, is_peer_ahead: bool) {
        let wait = self.of(view);
        if wait.lock().observe_peers(is_peer_ahead, Instant::now()) {
            wait.lost.notify_waiters();
        }
    }

    fn of(&self, view: StoreView) -> &ViewWait {
        match view {
            StoreView::Config => &self.config,
            StoreView::Servers => &self.servers,
        }
    }
}

impl ViewWait {
    fn lock(&self) -> MutexGuard<'_, WaitLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
