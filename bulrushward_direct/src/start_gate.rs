//! Holds requests back while a router that has just started knows no configuration or no servers.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::start_wait::{self, StartWait};
use strum::IntoStaticStr;
use tokio::{sync::watch, time::timeout};
use tracing::info;

/// How the wait of a request ended, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum WaitEnd {
    /// The router knows what it needs.
    Known,
    /// The time limit of the wait passed.
    TimeOver,
    /// Too many requests were waiting.
    Crowded,
}

/// Gate that opens when the router knows a configuration and servers.
#[derive(Debug)]
pub(crate) struct StartGate {
    started: Instant,
    is_open: watch::Sender<bool>,
    waits: Mutex<StartWait>,
}

impl Default for StartGate {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            is_open: watch::Sender::new(false),
            waits: Mutex::default(),
        }
    }
}

/// A waiting request; counts until it is dropped, which also happens when its caller leaves.
struct Waiting<'a>(&'a StartGate);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().release();
    }
}

impl StartGate {
    /// Opens the gate for good.
    pub(crate) fn open(&self) {
        if self.is_open.send_replace(true) {
            return;
        }
        let waiting = self.lock().waiting();
        let ms = self.started.elapsed().as_millis() as u64;
        info!(event = "start-completed", waiting, ms);
    }

    /// Waits until the gate is open, as long as the caller's patience allows; returns `None` if it was open.
    pub(crate) async fn pass(&self, patience: Option<Duration>) -> Option<WaitEnd> {
        if *self.is_open.borrow() {
            return None;
        }
        let Some(limit) = self.lock().admit(patience) else {
            return Some(WaitEnd::Crowded);
        };
        let _waiting = Waiting(self);
        let begin = Instant::now();
        let mut is_open = self.is_open.subscribe();
        let is_opened = timeout(limit, is_open.wait_for(|is_open| *is_open))
            .await
            .is_ok();
        if !is_opened {
            return Some(WaitEnd::TimeOver);
        }
        let delay = start_wait::release_delay(begin.elapsed(), &mut rand::rng());
        tokio::time::sleep(delay).await;
        Some(WaitEnd::Known)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiting()
    }

    fn lock(&self) -> MutexGuard<'_, StartWait> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
