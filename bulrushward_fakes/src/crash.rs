//! Crashes of a stand-in.

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

/// What a crash does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnCrash {
    /// Closes the listener and all connections, for a stand-in within a test's process.
    #[default]
    Disconnect,
    /// Aborts the process.
    Abort,
}

/// The process that a stand-in plays.
#[derive(Debug)]
pub(crate) struct Process {
    on_crash: OnCrash,
    network: Arc<FaultyProxy>,
    /// Ends what runs.
    crash: watch::Sender<()>,
    /// Crashes after which the network was down.
    completed: Arc<AtomicU64>,
}

impl Process {
    pub(crate) fn new(on_crash: OnCrash, network: &Arc<FaultyProxy>) -> Self {
        let network = Arc::clone(network);
        Self {
            on_crash,
            network,
            crash: watch::Sender::new(()),
            completed: Arc::default(),
        }
    }

    /// Crashes; nothing that came before goes on.
    pub(crate) async fn crash(&self) -> Infallible {
        if self.on_crash == OnCrash::Abort {
            process::abort();
        }
        tracing::info!("crash");
        self.crash.send_replace(());
        let network = Arc::clone(&self.network);
        let completed = Arc::clone(&self.completed);
        // The caller may be one of those that end.
        tokio::spawn(async move {
            network.take_down().await;
            completed.fetch_add(1, Ordering::Release);
        });
        pending().await
    }

    /// Returns the number of crashes so far.
    pub(crate) fn crashes(&self) -> u64 {
        self.completed.load(Ordering::Acquire)
    }

    /// Runs something to its end, or returns `None` at a crash.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut crash = self.crash.subscribe();
        tokio::select! {
            // A crash goes before what is ready at the same moment.
            biased;
            _ = crash.changed() => None,
            done = work => Some(done),
        }
    }
}
