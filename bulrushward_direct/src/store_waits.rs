//! Calls that wait at the store for changes, and which of them have lost their responses.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_registry::StoreRevision,
    store_wait::{PendingWait, WaitLog},
};
use strum::IntoStaticStr;
use tokio::{sync::Notify, time::sleep_until};

use crate::store_state::StoreView;

/// The waiting calls of a router.
#[derive(Debug, Default)]
pub(crate) struct StoreWaits {
    config: ViewWait,
    servers: ViewWait,
}

/// What shows that a waiting call has lost its response.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LossSign {
    /// A check has returned changes, or nothing.
    Check,
    /// A peer has known a change for some time.
    PeerAhead,
    /// A peer has read a change that its own waiting call had missed.
    News,
}

#[derive(Debug, Default)]
struct ViewWait {
    log: Mutex<WaitLog>,
    lost: Notify,
    sign: Mutex<Option<LossSign>>,
}

/// A waiting call, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WaitGuard<'a> {
    wait: &'a ViewWait,
}

impl WaitGuard<'_> {
    /// Records that the response begins to arrive.
    pub(crate) fn record_response(&self) {
        lock(&self.wait.log).record_response();
    }

    /// Waits until the call has lost its response, and returns what shows it.
    pub(crate) async fn lost(&self) -> Option<LossSign> {
        self.wait.lost.notified().await;
        *lock(&self.wait.sign)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        lock(&self.wait.log).end();
    }
}

impl StoreWaits {
    /// Records that a call is sent that waits for changes after a revision.
    pub(crate) fn begin(&self, view: StoreView, after: StoreRevision) -> WaitGuard<'_> {
        let wait = self.of(view);
        lock(&wait.log).begin(after, Instant::now());
        WaitGuard { wait }
    }

    /// Returns the call that waits for changes of a view.
    pub(crate) fn pending(&self, view: StoreView) -> Option<PendingWait> {
        lock(&self.of(view).log).pending()
    }

    /// Ends a waiting call that does not return soon though another call has returned changes.
    ///
    /// The response of that one takes the link for up to `queued`.
    pub(crate) async fn end_if_lost(
        &self,
        view: StoreView,
        checked: PendingWait,
        queued: Duration,
        sign: LossSign,
    ) {
        sleep_until(WaitLog::lost_at(Instant::now(), queued).into()).await;
        let wait = self.of(view);
        if lock(&wait.log).is_waiting(checked) {
            wait.end(sign);
        }
    }

    /// Records whether a peer knows changes of a view that this router does not.
    pub(crate) fn observe_peers(&self, view: StoreView, is_peer_ahead: bool) {
        let wait = self.of(view);
        if lock(&wait.log).observe_peers(is_peer_ahead, Instant::now()) {
            wait.end(LossSign::PeerAhead);
        }
    }

    /// Ends a waiting call, as a peer knows changes that such a call of its own has missed.
    pub(crate) fn record_news(&self, view: StoreView) {
        let wait = self.of(view);
        if lock(&wait.log).pending().is_some() {
            wait.end(LossSign::News);
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
    fn end(&self, sign: LossSign) {
        *lock(&self.sign) = Some(sign);
        self.lost.notify_waiters();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
