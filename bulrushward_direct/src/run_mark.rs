//! Whether a server may have run a request, as far as is known at each moment.

use std::sync::atomic::{AtomicBool, Ordering};

use bulrushward_policy::server_attempt::{AttemptHistory, NextAttempt};

/// Tells whether a server may run a request now or may have run it, also while an attempt is in progress.
#[derive(Debug, Default)]
pub(crate) struct RunMark(AtomicBool);

impl RunMark {
    /// Records that the request is about to be sent to a server.
    pub(crate) fn record_sent(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records what is known after an attempt has failed.
    pub(crate) fn record_failure(&self, history: &AttemptHistory) {
        let may_have_run = history.outcome() == NextAttempt::Unknown;
        self.0.store(may_have_run, Ordering::Relaxed);
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
