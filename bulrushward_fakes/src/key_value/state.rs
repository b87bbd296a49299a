//! State of a key-value service with its faults and counters, independent of the transport.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bulrushward_clients::{
    Entry,
    gateway::{
        RangeRequest, RangeResponse, TxnOperation, TxnRequest, TxnResponse, WatchCreateRequest,
        WatchResult,
    },
};
use bytes::Bytes;
use tokio::sync::watch;

use super::{
    faults::{KeyValueCounters, KeyValueFaults},
    lease::Lease,
    store::Store,
};
use crate::{
    fake::{FakeState, StreamShutdown},
    faults::Faults,
};

/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// gRPC status codes of rejected calls.
const CODE_INVALID_ARGUMENT: i32 = 3;
const CODE_RESOURCE_EXHAUSTED: i32 = 8;
const CODE_UNAVAILABLE: i32 = 14;

/// Reason why a call has no successful response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The call had no effect; the response carries the reason.
    Rejected { code: i32, message: String },
    /// The call took effect, but its response is lost.
    ResponseLost,
}

/// State of a key-value service.
#[derive(Debug)]
pub struct KeyValueState {
    store: Mutex<Store>,
    /// Newest revision; wakes the watches when it changes.
    revision: watch::Sender<i64>,
    pub(super) leases: Mutex<HashMap<i64, Lease>>,
    pub(super) faults: Faults<KeyValueFaults>,
    counters: Mutex<KeyValueCounters>,
    pub(super) watch_shutdown: StreamShutdown,
}

impl FakeState for KeyValueState {
    type Faults = KeyValueFaults;

    fn faults(&self) -> &Faults<KeyValueFaults> {
        &self.faults
    }

    fn end_streams(&self) {
        self.watch_shutdown.trigger();
    }
}

impl KeyValueState {
    pub(crate) fn new() -> Self {
        Self {
            store: Mutex::default(),
            revision: watch::Sender::new(0),
            leases: Mutex::default(),
            faults: Faults::default(),
            counters: Mutex::default(),
            watch_shutdown: StreamShutdown::default(),
        }
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn counters(&self) -> KeyValueCounters {
        *self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut KeyValueCounters)) {
        change(&mut self.counters.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns the entry stored under a key, regardless of faults.
    pub(crate) fn stored(&self, key: &str) -> Option<Entry> {
        let range = self.store().range(&Bytes::copy_from_slice(key.as_bytes()));
        let stored = range.kvs.into_iter().next()?;
        Some(Entry {
            value: stored.value,
            version: stored.mod_revision,
        })
    }

    /// Reads a key.
    pub(crate) async fn range(&self, request: &RangeRequest) -> Result<RangeResponse, CallFailure> {
        self.count(|counters| counters.reads += 1);
        self.apply_call_faults().await?;
        Ok(self.store().range(&request.key))
    }

    /// Executes a conditional write.
    pub(crate) async fn txn(&self, request: &TxnRequest) -> Result<TxnResponse, CallFailure> {
        self.count(|counters| counters.writes += 1);
        check_value_sizes(request)?;
        self.apply_call_faults().await?;
        if self.faults.get().refuse_writes {
            let message = "the database is out of space".to_owned();
            return Err(CallFailure::Rejected {
                code: CODE_RESOURCE_EXHAUSTED,
                message,
            });
        }
        let response = self.store().txn(request);
        self.notify_watches();
        if self.faults.consume(|faults| &mut faults.lose_answers) {
            return Err(CallFailure::ResponseLost);
        }
        Ok(response)
    }

    /// Starts a watch on a key.
    pub(crate) async fn watch(
        self: &Arc<Self>,
        request: WatchCreateRequest,
    ) -> Result<Watch, CallFailure> {
        self.count(|counters| counters.watches += 1);
        self.apply_call_faults().await?;
        let start = match request.start_revision {
            0 => self.store().revision() + 1,
            start => start,
        };
        Ok(Watch::new(
            Arc::clone(self),
            WatchCreateRequest {
                start_revision: start,
                ..request
            },
        ))
    }

    /// Wakes the watches after a change of the store.
    pub(super) fn notify_watches(&self) {
        let revision = self.store().revision();
        self.revision.send_replace(revision);
    }

    /// Applies the faults that occur before a call takes effect.
    async fn apply_call_faults(&self) -> Result<(), CallFailure> {
        self.faults.delay(|faults| faults.slow).await;
        if self.faults.get().unavailable {
            let message = "the request timed out".to_owned();
            return Err(CallFailure::Rejected {
                code: CODE_UNAVAILABLE,
                message,
            });
        }
        Ok(())
    }
}

/// An open watch; counted in `watches_open` until it is dropped.
pub(crate) struct Watch {
    state: Arc<KeyValueState>,
    revision: watch::Receiver<i64>,
    request: WatchCreateRequest,
    /// Whether the next result is the first one, which confirms the watch.
    is_first_result: bool,
    /// Whether the last result ended the watch.
    canceled: bool,
}

impl Watch {
    fn new(state: Arc<KeyValueState>, request: WatchCreateRequest) -> Self {
        state.count(|counters| counters.watches_open += 1);
        let revision = state.revision.subscribe();
        Self {
            state,
            revision,
            request,
            is_first_result: true,
            canceled: false,
        }
    }

    /// Waits for the next result; the first one is immediate and confirms the watch.
    pub(crate) async fn next(&mut self) -> Option<WatchResult> {
        loop {
            if self.canceled {
                return None;
            }
            self.revision.borrow_and_update();
            let result = self.read_changes();
            self.request.start_revision =
                self.request.start_revision.max(result.header.revision + 1);
            self.is_first_result = false;
            self.canceled = result.canceled;
            if result.created || result.canceled || !result.events.is_empty() {
                self.state.faults.delay(|faults| faults.slow).await;
                return Some(result);
            }
            self.revision.changed().await.ok()?;
        }
    }

    fn read_changes(&self) -> WatchResult {
        let store = self.state.store();
        let header = store.header();
        let created = self.is_first_result;
        match store.changes(&self.request.key, self.request.start_revision) {
            Ok(events) => WatchResult {
                header,
                created,
                events,
                ..WatchResult::default()
            },
            Err(compact_revision) => {
                let canceled = true;
                WatchResult {
                    header,
                    created,
                    canceled,
                    compact_revision,
                    events: Vec::new(),
                }
            }
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.state.count(|counters| counters.watches_open -= 1);
    }
}

fn check_value_sizes(request: &TxnRequest) -> Result<(), CallFailure> {
    for operation in request.success.iter().chain(&request.failure) {
        let TxnOperation::RequestPut(put) = operation else {
            continue;
        };
        if put.value.len() > VALUE_LIMIT_BYTES {
            let key = String::from_utf8_lossy(&put.key);
            let size = put.value.len();
            let message =
                format!("the value of key {key:?} has {size} bytes, more than {VALUE_LIMIT_BYTES}");
            return Err(CallFailure::Rejected {
                code: CODE_INVALID_ARGUMENT,
                message,
            });
        }
    }
    Ok(())
}
