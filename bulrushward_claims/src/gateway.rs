//! Calls of a store to the key-value service, with timeout and counts.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bytes::Bytes;
use snafu::Snafu;
use tokio::time::timeout;
use tracing::warn;

use crate::{
    KvCallReason,
    availability::Availability,
    counters::{LiveCounters, add},
    pacer::Pacer,
};

/// A call to the key-value service that gave nothing to go on with.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// No usable answer came in time; a write may have taken effect.
    #[snafu(display("the key-value service did not answer"))]
    Unanswered,
    /// The service refused the call, which had no effect.
    #[snafu(display("the key-value service refused the call"))]
    Refused,
}

#[derive(Debug)]
pub(crate) struct Gateway {
    kv: Arc<dyn KeyValue>,
    call_timeout: Duration,
    pub(crate) availability: Availability,
    pub(crate) pacer: Pacer,
    pub(crate) counters: LiveCounters,
}

impl Gateway {
    pub(crate) fn new(
        kv: Arc<dyn KeyValue>,
        call_timeout: Duration,
        writes_per_second: NonZeroU32,
    ) -> Self {
        Self {
            kv,
            call_timeout,
            availability: Availability::new(),
            pacer: Pacer::new(writes_per_second),
            counters: LiveCounters::default(),
        }
    }

    /// Reads a key; an unanswered read marks the service as down, an answered one as up.
    pub(crate) async fn get(
        &self,
        key: &str,
        cause: KvCallReason,
    ) -> Result<Option<Entry>, CallError> {
        self.counters.count_call(cause);
        let answer = timeout(self.call_timeout, self.kv.get(key)).await;
        let result = self.sort(answer.ok());
        match result {
            Err(CallError::Unanswered) => self.availability.set_down(),
            Ok(_) | Err(CallError::Refused) => self.availability.set_up(),
        }
        result
    }

    /// Writes a key; an unanswered write says nothing of the service until it is read back.
    pub(crate) async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        cause: KvCallReason,
    ) -> Result<CasOutcome, CallError> {
        self.counters.count_call(cause);
        add(&self.counters.bytes_written, value.len() as u64);
        let call = self.kv.compare_and_swap(key, expected, value);
        let answer = timeout(self.call_timeout, call).await;
        let result = self.sort(answer.ok());
        if matches!(result, Ok(CasOutcome::Conflict(_))) {
            add(&self.counters.conflicts, 1);
        }
        result
    }

    fn sort<T>(&self, answer: Option<Result<T, KvError>>) -> Result<T, CallError> {
        match answer {
            Some(Ok(value)) => Ok(value),
            Some(Err(KvError::Refused { key, detail })) => {
                warn!(event = "claims-call-refused", key, detail);
                RefusedSnafu.fail()
            }
            Some(Err(KvError::Unavailable { .. })) | None => {
                add(&self.counters.unavailable, 1);
                UnansweredSnafu.fail()
            }
        }
    }
}
