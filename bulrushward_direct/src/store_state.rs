//! What a router knows about the platform's store: whether it responds, and when each view was confirmed.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_registry::StoreRevision,
    store_recovery::{RecoveryLog, RecoveryReport},
};
use rand::RngExt;
use strum::IntoStaticStr;
use tokio::sync::watch;
use tracing::{info, warn};

use crate::{
    check_turns::CheckTurns, ports::StoreError, store_news::StoreNews,
    store_transfers::StoreTransfers, store_waits::StoreWaits,
};

/// Longest delay before a waiting call is sent again after the store has returned.
///
/// The delay is random, so that the calls of a large fleet do not arrive at once.
const RESEND_SPREAD: Duration = Duration::from_millis(400);
/// Time after the store's return in which a configuration that changed in the outage may still be in transit.
const DOUBT_AFTER_RETURN: Duration = Duration::from_millis(1_200);

/// The part of the store that a call refers to.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum StoreView {
    Config,
    Servers,
}

/// Times at which the store last confirmed each view; initially the start of the process.
#[derive(Clone, Copy, Debug)]
struct ViewTimes {
    config: Instant,
    servers: Instant,
}

/// State of the store as this router sees it.
#[derive(Debug)]
pub(crate) struct StoreState {
    is_available: AtomicBool,
    /// Whether a call had no response since the last one that had.
    is_unresponsive: AtomicBool,
    /// Whether a peer has a newer configuration.
    is_config_behind: AtomicBool,
    view_times: Mutex<ViewTimes>,
    /// Revision up to which the store last confirmed the servers; 0 before the first time.
    servers_revision: AtomicU64,
    recoveries: Mutex<RecoveryLog>,
    pub(crate) waits: StoreWaits,
    pub(crate) transfers: StoreTransfers,
    pub(crate) news: StoreNews,
    pub(crate) check_turns: CheckTurns,
    /// Time at which the store last returned from an outage.
    returned_at: watch::Sender<Option<Instant>>,
}

impl Default for StoreState {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            is_available: AtomicBool::new(true),
            is_unresponsive: AtomicBool::new(false),
            is_config_behind: AtomicBool::new(false),
            view_times: Mutex::new(ViewTimes {
                config: now,
                servers: now,
            }),
            servers_revision: AtomicU64::new(0),
            recoveries: Mutex::default(),
            waits: StoreWaits::default(),
            transfers: StoreTransfers::default(),
            news: StoreNews::default(),
            check_turns: CheckTurns::default(),
            returned_at: watch::Sender::new(None),
        }
    }
}

impl StoreState {
    /// Returns whether the last call to the store succeeded.
    pub(crate) fn is_available(&self) -> bool {
        self.is_available.load(Ordering::Relaxed)
    }

    /// Returns whether a call had no response since the last one that had.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive.load(Ordering::Relaxed)
    }

    /// Records up to which revision the store has confirmed the servers.
    pub(crate) fn record_servers_revision(&self, revision: StoreRevision) {
        self.servers_revision.store(revision, Ordering::Relaxed);
    }

    /// Returns the revision up to which the store last confirmed the servers.
    pub(crate) fn servers_revision(&self) -> StoreRevision {
        self.servers_revision.load(Ordering::Relaxed)
    }

    /// Records a successful call that confirmed a view.
    pub(crate) fn record_view(&self, view: StoreView) {
        let now = Instant::now();
        let mut view_times = lock(&self.view_times);
        match view {
            StoreView::Config => view_times.config = now,
            StoreView::Servers => view_times.servers = now,
        }
        drop(view_times);
        self.record_success();
    }

    /// Records a successful call.
    pub(crate) fn record_success(&self) {
        if !self.is_available.swap(true, Ordering::Relaxed) {
            info!(event = "store-regained");
        }
        if self.is_unresponsive.swap(false, Ordering::Relaxed) {
            let now = Instant::now();
            lock(&self.recoveries).record(rand::rng().random(), now);
            self.returned_at.send_replace(Some(now));
        }
    }

    /// Records a failed call that was sent at some time.
    pub(crate) fn record_failure(&self, error: &StoreError, sent: Instant) {
        match error {
            StoreError::HistoryGone { .. } => {
                info!(event = "store-history-gone", %error);
                return;
            }
            StoreError::Unavailable { .. } if self.transfers.may_have_delayed(sent) => return,
            StoreError::Unavailable { .. } => self.is_unresponsive.store(true, Ordering::Relaxed),
            StoreError::Refused { .. } => {}
        }
        if self.is_available.swap(false, Ordering::Relaxed) {
            warn!(event = "store-lost", %error);
        }
    }

    /// Merges a peer's report that the store has returned from an outage.
    pub(crate) fn merge_recovery(&self, report: RecoveryReport) {
        let mut recoveries = lock(&self.recoveries);
        if recoveries.merge(report, Instant::now()) {
            let returned_at = recoveries.latest();
            drop(recoveries);
            info!(event = "store-return-heard", age_ms = report.age_ms);
            self.returned_at.send_replace(returned_at);
        }
    }

    /// Returns the report of the store's latest return for peers.
    pub(crate) fn recovery_report(&self) -> Option<RecoveryReport> {
        lock(&self.recoveries).report(Instant::now())
    }

    /// Waits until a call that was sent at `sent` has to be sent again, because the store may have forgotten it.
    pub(crate) async fn resend_due(&self, sent: Instant) {
        let mut returned_at = self.returned_at.subscribe();
        let is_later = |at: &Option<Instant>| at.is_some_and(|at| at > sent);
        if returned_at.wait_for(is_later).await.is_err() {
            // The sender lives as long as this state.
            std::future::pending::<()>().await;
        }
        let delay = RESEND_SPREAD.mul_f64(rand::rng().random());
        tokio::time::sleep(delay).await;
    }

    /// Records whether peers have a newer configuration, and newer servers.
    pub(crate) fn set_behind(&self, is_config_behind: bool, are_servers_behind: bool) {
        self.is_config_behind
            .store(is_config_behind, Ordering::Relaxed);
        self.waits
            .observe_peers(StoreView::Config, is_config_behind);
        self.waits
            .observe_peers(StoreView::Servers, are_servers_behind);
    }

    /// Returns whether the operators may have changed the configuration without this router knowing it yet.
    pub(crate) fn is_config_in_doubt(&self) -> bool {
        let has_just_returned = lock(&self.recoveries)
            .latest()
            .is_some_and(|at| at.elapsed() < DOUBT_AFTER_RETURN);
        !self.is_available() || has_just_returned || self.is_config_behind.load(Ordering::Relaxed)
    }

    /// Returns the time since the store last confirmed a view.
    pub(crate) fn view_age(&self, view: StoreView) -> Duration {
        let view_times = lock(&self.view_times);
        match view {
            StoreView::Config => view_times.config.elapsed(),
            StoreView::Servers => view_times.servers.elapsed(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
