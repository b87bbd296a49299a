//! Key-value service within the process, for tests with paused time.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bulrushward_clients::{
    CasOutcome, Entry, KeyValue, KvError, Version,
    gateway::{
        RangeRequest, StoredKey, TxnOperationResponse, TxnRequest, TxnResponse, WatchCreateRequest,
        WatchEventKind, WatchResult,
    },
};
use bytes::Bytes;
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    faults::{KeyValueCounters, KeyValueFaults},
    state::{CallFailure, KeyValueState},
};
use crate::{fake::FakeState, faults::Faults, proxy::NetworkFault};

/// Time after which a call is given up unless another is set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Key-value service within the process.
///
/// Its copies share one state, as clients of one service do.
#[derive(Clone, Debug)]
pub struct MemoryKeyValue {
    state: Arc<KeyValueState>,
    network: Faults<NetworkFault>,
    timeout: Duration,
}

impl Default for MemoryKeyValue {
    fn default() -> Self {
        let network = Faults::default();
        Self {
            state: Arc::new(KeyValueState::new()),
            network,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl MemoryKeyValue {
    /// Makes an empty service.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which a call is given up.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Gives a copy a network of its own, as a client that is cut off while others are not.
    #[must_use]
    pub fn with_own_network(&self) -> Self {
        Self {
            network: Faults::default(),
            ..self.clone()
        }
    }

    /// Returns the faults of the service; damaged answers count as none.
    #[must_use]
    pub fn faults(&self) -> &Faults<KeyValueFaults> {
        self.state.faults()
    }

    /// Returns the faults of the network between the caller and the service.
    #[must_use]
    pub fn network(&self) -> &Faults<NetworkFault> {
        &self.network
    }

    /// Returns what is stored under a key, whatever the faults.
    #[must_use]
    pub fn stored(&self, key: &str) -> Option<Entry> {
        self.state.stored(key)
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn counters(&self) -> KeyValueCounters {
        self.state.counters()
    }

    /// Makes a call to its end, also if the caller gives up.
    async fn call<T, F>(&self, key: &str, call: F) -> Result<T, KvError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, CallFailure>> + Send + 'static,
    {
        let answer = timeout(self.timeout, async {
            self.reach(key).await?;
            let answer = tokio::spawn(call).await;
            self.network.wait_for(|fault| !fault.hang).await;
            match answer {
                Ok(Ok(_)) if self.faults().get().answer.is_some() => {
                    Err(unavailable(key, "the answer is not understood"))
                }
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(failure)) => self.settle(key, failure).await,
                Err(error) => Err(unavailable(key, &error.to_string())),
            }
        });
        answer
            .await
            .unwrap_or_else(|_elapsed| Err(unavailable(key, "no answer in time")))
    }

    /// Brings about the faults of the network on the way to the service.
    async fn reach(&self, key: &str) -> Result<(), KvError> {
        let fault = self.network.get();
        tokio::time::sleep(fault.delay).await;
        if fault.refuse {
            return Err(unavailable(key, "connection refused"));
        }
        self.network.wait_for(|fault| !fault.hang).await;
        Ok(())
    }

    async fn settle<T>(&self, key: &str, failure: CallFailure) -> Result<T, KvError> {
        match failure {
            CallFailure::Refused { code: 14, message } => Err(unavailable(key, &message)),
            CallFailure::Refused { message, .. } => Err(KvError::Refused {
                key: key.to_owned(),
                detail: message,
            }),
            CallFailure::AnswerLost => {
                if self.faults().get().hang_lost_answers {
                    std::future::pending::<()>().await;
                }
                Err(unavailable(key, "the connection closed"))
            }
        }
    }

    /// Waits for the network to go down.
    async fn refused(&self) {
        self.network.wait_for(|fault| fault.refuse).await;
    }
}

#[async_trait]
impl KeyValue for MemoryKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let state = Arc::clone(&self.state);
        let request = RangeRequest {
            key: key_bytes(key),
        };
        let answer = self
            .call(key, async move { state.range(&request).await })
            .await?;
        Ok(answer.kvs.into_iter().next().map(entry))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let state = Arc::clone(&self.state);
        let request = TxnRequest::compare_and_swap(key_bytes(key), expected, value);
        let answer = self
            .call(key, async move { state.txn(&request).await })
            .await?;
        Ok(cas_outcome(answer))
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<Entry>, KvError> {
        let deadline = Instant::now() + timeout;
        let state = Arc::clone(&self.state);
        // The stand-in forgets old changes, but the newest value is always at hand.
        let request = WatchCreateRequest {
            key: key_bytes(key),
            start_revision: 0,
        };
        let mut watch = self
            .call(key, async move { state.watch(request).await })
            .await?;
        let newest = self
            .state
            .store()
            .range(&key_bytes(key))
            .kvs
            .into_iter()
            .next()
            .map(entry);
        if let Some(newest) = newest.filter(|newest| newest.version > after) {
            return Ok(Some(newest));
        }
        let news = async {
            while let Some(result) = watch.next().await {
                self.network.wait_for(|fault| !fault.hang).await;
                if let Some(entry) = last_put(result) {
                    return Some(entry);
                }
            }
            None
        };
        tokio::select! {
            () = self.refused() => Err(unavailable(key, "the connection closed")),
            news = timeout_at(deadline, news) => Ok(news.unwrap_or(None)),
        }
    }
}

fn unavailable(key: &str, detail: &str) -> KvError {
    KvError::Unavailable {
        key: key.to_owned(),
        detail: detail.to_owned(),
    }
}

fn key_bytes(key: &str) -> Bytes {
    Bytes::copy_from_slice(key.as_bytes())
}

fn entry(stored: StoredKey) -> Entry {
    Entry {
        value: stored.value,
        version: stored.mod_revision,
    }
}

fn last_put(result: WatchResult) -> Option<Entry> {
    let mut events = result.events.into_iter().rev();
    events
        .find(|event| event.kind == WatchEventKind::Put)
        .map(|event| entry(event.kv))
}

fn cas_outcome(answer: TxnResponse) -> CasOutcome {
    if answer.succeeded {
        return CasOutcome::Written(answer.header.revision);
    }
    let current = answer
        .responses
        .into_iter()
        .find_map(|response| match response {
            TxnOperationResponse::ResponseRange(range) => range.kvs.into_iter().next(),
            TxnOperationResponse::ResponsePut(_) => None,
        });
    CasOutcome::Conflict(current.map(entry))
}
