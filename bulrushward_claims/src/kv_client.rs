//! A claim store's client of the key-value service, with timeouts and counters.

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bytes::Bytes;
use snafu::Snafu;
use tokio::time::timeout;
use tracing::warn;

use crate::{
    KvCallReason,
    availability::Availability,
    counters::{AtomicCounters, add},
    rate_limiter::RateLimiter,
};

/// A failed call to the key-value service.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// No usable response arrived in time; a write may have taken effect.
    #[snafu(display("the key-value service did not respond"))]
    Unavailable,
    /// The service refused the call, which had no effect.
    #[snafu(display("the key-value service refused the call"))]
    Refused,
}

#[derive(Debug)]
pub(crate) struct KvClient {
    kv: Arc<dyn KeyValue>,
    call_timeout: Duration,
    pub(crate) availability: Availability,
    pub(crate) write_limiter: RateLimiter,
    pub(crate) counters: AtomicCounters,
}

impl KvClient {
    pub(crate) fn new(
        kv: Arc<dyn KeyValue>,
        call_timeout: Duration,
        writes_per_second: NonZeroU32,
    ) -> Self {
        Self {
            kv,
            call_timeout,
            availability: Availability::new(),
            write_limiter: RateLimiter::new(writes_per_second),
            counters: AtomicCounters::default(),
        }
    }

    /// Reads a key and updates the availability: any response, even a refusal, marks the service as
    /// available; a missing response marks it as unavailable.
    pub(crate) async fn get(
        &self,
        key: &str,
        reason: KvCallReason,
    ) -> Result<Option<Entry>, CallError> {
        self.counters.count_call(reason);
        let response = timeout(self.call_timeout, self.kv.get(key)).await;
        let result = self.classify(response.ok());
        match result {
            Err(CallError::Unavailable) => self.availability.mark_unavailable(),
            Ok(_) | Err(CallError::Refused) => self.availability.mark_available(),
        }
        result
    }

    /// Writes a key if it still has the expected version.
    ///
    /// A write without a response leaves the availability unchanged; the read that follows updates
    /// it.
    pub(crate) async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        reason: KvCallReason,
    ) -> Result<CasOutcome, CallError> {
        self.counters.count_call(reason);
        add(&self.counters.bytes_written, value.len() as u64);
        let call = self.kv.compare_and_swap(key, expected, value);
        let response = timeout(self.call_timeout, call).await;
        let result = self.classify(response.ok());
        if matches!(result, Ok(CasOutcome::Conflict(_))) {
            add(&self.counters.conflicts, 1);
        }
        result
    }

    fn classify<T>(&self, response: Option<Result<T, KvError>>) -> Result<T, CallError> {
        match response {
            Some(Ok(value)) => Ok(value),
            Some(Err(KvError::Refused { key, detail })) => {
                warn!(event = "claims-call-refused", key, detail);
                RefusedSnafu.fail()
            }
            Some(Err(KvError::Unavailable { .. })) | None => {
                add(&self.counters.unavailable, 1);
                UnavailableSnafu.fail()
            }
        }
    }
}
