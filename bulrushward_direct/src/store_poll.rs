//! Calls to the store for a view, and when they have to be sent again.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bulrushward_policy::server_registry::StoreRevision;
use tracing::info;

use crate::{
    ports::StoreError,
    store_state::{StoreState, StoreView},
    store_transfers::Transfer,
    store_waits::WaitGuard,
};

/// How a call to the store ended.
pub(crate) enum Polled<T> {
    Result(Result<T, StoreError>),
    /// The store may have forgotten the call, which has to be sent again.
    Forgotten,
    /// The response to a call that waited for changes is lost; a repeated one may be lost too, so the view is read instead.
    Lost,
}

/// A call to the store for a view.
pub(crate) struct StorePoll<'a> {
    state: &'a StoreState,
    view: StoreView,
    pub(crate) sent: Instant,
    /// Present if the call waits for changes.
    wait: Option<WaitGuard<'a>>,
    transfer: Transfer<'a>,
}

impl<'a> StorePoll<'a> {
    /// Begins a call that waits for changes after a revision, or one that the store responds to at once.
    pub(crate) fn begin(
        state: &'a StoreState,
        view: StoreView,
        after: Option<StoreRevision>,
    ) -> Self {
        Self {
            state,
            view,
            sent: Instant::now(),
            wait: after.map(|after| state.waits.begin(view, after)),
            transfer: state.transfers.call(),
        }
    }

    /// Records that the response begins to arrive.
    pub(crate) fn record_response(&self) {
        self.transfer.begin();
        if let Some(wait) = &self.wait {
            wait.record_response();
        }
    }

    /// Waits for the response; until it begins to arrive, the call may have to be sent again.
    pub(crate) async fn response<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Polled<T> {
        let mut call = pin!(call);
        let lost = async {
            match &self.wait {
                Some(wait) => wait.lost().await,
                None => std::future::pending().await,
            }
        };
        let sign = tokio::select! {
            result = &mut call => return Polled::Result(result),
            () = self.state.resend_due(self.sent) => None,
            sign = lost => sign,
        };
        if self.transfer.has_begun() {
            return Polled::Result(call.await);
        }
        let waited_ms = self.sent.elapsed().as_millis() as u64;
        let (view, is_lost) = (<&str>::from(self.view), sign.is_some());
        let sign = sign.map_or("", <&str>::from);
        info!(event = "store-call-resent", view, waited_ms, is_lost, sign);
        if is_lost {
            Polled::Lost
        } else {
            Polled::Forgotten
        }
    }

    /// Ends the call; returns the time since its response began to arrive.
    pub(crate) fn end(self) -> Duration {
        self.transfer.end()
    }
}
