//! Responses of the store that are arriving.
//!
//! A large one shows that the store is there, though other responses may be queued behind it on a thin link.

use std::{
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::{Duration, Instant},
};

/// Time from which on a response counts as a transfer that holds up others.
const MIN_TRANSFER_TIME: Duration = Duration::from_millis(100);

/// The transfers from the store to this router.
#[derive(Debug, Default)]
pub(crate) struct StoreTransfers(Mutex<TransferLog>);

#[derive(Debug, Default)]
struct TransferLog {
    arriving: usize,
    /// End of the latest transfer, which may still be to come.
    ended: Option<Instant>,
}

/// A call whose response may be arriving, until this is dropped.
#[derive(Debug)]
pub(crate) struct Transfer<'a> {
    transfers: &'a StoreTransfers,
    begun: OnceLock<Instant>,
}

impl StoreTransfers {
    /// Returns a call that is about to be sent.
    pub(crate) fn call(&self) -> Transfer<'_> {
        Transfer {
            transfers: self,
            begun: OnceLock::new(),
        }
    }

    /// Returns whether a response is arriving.
    pub(crate) fn is_any_arriving(&self) -> bool {
        self.lock().arriving > 0
    }

    /// Returns whether a response to a call that was sent at some time may have been queued behind another one.
    pub(crate) fn may_have_delayed(&self, sent: Instant) -> bool {
        let log = self.lock();
        log.arriving > 0 || log.ended.is_some_and(|ended| ended >= sent)
    }

    /// Records a response that is not read, though it may take the link for up to `time` from now on.
    pub(crate) fn record_unread(&self, time: Duration) {
        if time >= MIN_TRANSFER_TIME {
            let mut log = self.lock();
            log.ended = log.ended.max(Some(Instant::now() + time));
        }
    }

    fn lock(&self) -> MutexGuard<'_, TransferLog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Transfer<'_> {
    /// Records that the response begins to arrive.
    pub(crate) fn begin(&self) {
        if self.begun.set(Instant::now()).is_ok() {
            self.transfers.lock().arriving += 1;
        }
    }

    /// Returns whether the response has begun to arrive.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Ends the transfer; returns the time since the response began to arrive.
    pub(crate) fn end(self) -> Duration {
        self.begun.get().map(Instant::elapsed).unwrap_or_default()
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let Some(begun) = self.begun.get() else {
            return;
        };
        let mut log = self.transfers.lock();
        log.arriving -= 1;
        if begun.elapsed() >= MIN_TRANSFER_TIME {
            log.ended = log.ended.max(Some(Instant::now()));
        }
    }
}
