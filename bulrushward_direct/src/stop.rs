//! The time that is left in a planned stop.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use bulrushward_policy::planned_stop::{PlannedStop, StopPhase, StopSend};
use tokio::time::{sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::pending_ends::PendingEnds;

/// Time in which an end that was confirmed is written to the caller.
const PASS_ON_TIME: Duration = Duration::from_millis(10);

/// Owner of the time that is left once a stop has begun.
#[derive(Debug, Default)]
pub(crate) struct StopClock {
    plan: OnceLock<PlannedStop>,
    begun: CancellationToken,
    /// Responses whose end is being confirmed.
    pub(crate) pending_ends: Arc<PendingEnds>,
}

impl StopClock {
    /// Begins a stop; the process is killed after `grace`. Later calls have no effect.
    pub(crate) fn begin(&self, grace: Duration) {
        self.plan
            .get_or_init(|| PlannedStop::new(Instant::now(), grace));
        self.begun.cancel();
    }

    pub(crate) fn is_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.phase()
            .is_some_and(|phase| phase >= StopPhase::Refusing)
    }

    /// Returns whether the requests in progress are answered or aborted as the grace time is over.
    pub(crate) fn is_ending(&self) -> bool {
        self.phase() == Some(StopPhase::Ending)
    }

    /// Returns whether a request may be sent to a server now.
    pub(crate) fn permits(&self, send: impl FnOnce() -> StopSend) -> bool {
        self.plan
            .get()
            .is_none_or(|plan| Instant::now() < plan.send_end(send()))
    }

    /// Waits until new requests are refused.
    pub(crate) async fn refusing(&self) {
        sleep_until(self.plan().await.refusing().into()).await;
    }

    /// Waits until the requests in progress are answered.
    pub(crate) async fn ending(&self) {
        sleep_until(self.plan().await.ending().into()).await;
    }

    /// Waits until the process ends.
    ///
    /// Responses that are only to be confirmed are passed on before.
    pub(crate) async fn exit(&self) {
        let plan = self.plan().await;
        sleep_until(plan.exit().into()).await;
        let passed_on = async {
            self.pending_ends.none().await;
            sleep(PASS_ON_TIME).await;
        };
        tokio::select! {
            () = passed_on => {}
            () = sleep_until(plan.last_exit().into()) => {}
        }
    }

    /// Waits until a request may not be sent to any server.
    pub(crate) async fn send_end(&self, send: impl FnOnce() -> StopSend) {
        let plan = self.plan().await;
        sleep_until(plan.send_end(send()).into()).await;
    }

    fn phase(&self) -> Option<StopPhase> {
        self.plan.get().map(|plan| plan.phase(Instant::now()))
    }

    /// Waits until a stop has begun and returns its times.
    async fn plan(&self) -> PlannedStop {
        self.begun.cancelled().await;
        match self.plan.get() {
            Some(plan) => *plan,
            None => std::future::pending().await,
        }
    }
}
