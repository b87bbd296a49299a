//! Simulated process crashes.

use std::{
    convert::Infallible,
    future::pending,
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::watch;

use crate::proxy::FaultyProxy;

/// How a crash is simulated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnCrash {
    /// Closes the listener and all connections; for a fake within the process of a test.
    #[default]
    Disconnect,
    /// Aborts the process.
    Abort,
}

/// Process that a fake simulates, with its work in progress and its network.
#[derive(Debug)]
pub(crate) struct SimulatedProcess {
    on_crash: OnCrash,
    network: Arc<FaultyProxy>,
    /// Notifies the work in progress of a crash, which cancels it.
    crash: watch::Sender<()>,
    /// Number of crashes whose network shutdown is complete.
    completed_crashes: Arc<AtomicU64>,
}

impl SimulatedProcess {
    pub(crate) fn new(on_crash: OnCrash, network: &Arc<FaultyProxy>) -> Self {
        let network = Arc::clone(network);
        Self {
            on_crash,
            network,
            crash: watch::Sender::new(()),
            completed_crashes: Arc::default(),
        }
    }

    /// Crashes: cancels all work in progress and takes the network down. Never returns.
    pub(crate) async fn crash(&self) -> Infallible {
        if self.on_crash == OnCrash::Abort {
            process::abort();
        }
        tracing::info!("simulated crash");
        self.crash.send_replace(());
        let network = Arc::clone(&self.network);
        let completed_crashes = Arc::clone(&self.completed_crashes);
        // Runs in its own task because the crash may cancel the calling task.
        tokio::spawn(async move {
            network.take_down().await;
            completed_crashes.fetch_add(1, Ordering::Release);
        });
        pending().await
    }

    /// Returns the number of crashes so far.
    pub(crate) fn crashes(&self) -> u64 {
        self.completed_crashes.load(Ordering::Acquire)
    }

    /// Runs `work` to completion, or returns `None` if the process crashes first.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut crash = self.crash.subscribe();
        tokio::select! {
            // A crash takes precedence over work that completes at the same moment.
            biased;
            _ = crash.changed() => None,
            done = work => Some(done),
        }
    }
}
