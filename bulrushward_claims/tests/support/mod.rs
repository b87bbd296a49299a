//! In-memory key-value service with injected faults.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_claims::encode_record;
use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bulrushward_policy::claim::ClaimRecord;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::sleep;

/// Fault of one write of a record.
#[derive(Clone, Copy, Debug)]
pub enum WriteFault {
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The write never arrives.
    LoseRequest,
    /// The write arrives after a delay, and its response never arrives.
    DelayRequest(Duration),
    /// Another writer rewrites the stored value just before, so that the write conflicts.
    ConcurrentWrite,
    /// The service refuses the write.
    Refuse,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<String, Entry>,
    faults: VecDeque<WriteFault>,
    is_unavailable: bool,
    latency: Duration,
    fault_rng: Option<Pcg64>,
    reads: u64,
    writes: u64,
}

impl State {
    fn call_conditions(&mut self) -> (Duration, bool) {
        let Some(rng) = &mut self.fault_rng else {
            return (self.latency, self.is_unavailable);
        };
        let max_latency_ms = if rng.random_ratio(1, 16) { 1_000 } else { 5 };
        let latency = Duration::from_millis(rng.random_range(1..=max_latency_ms));
        (latency, self.is_unavailable)
    }

    fn next_fault(&mut self) -> Option<WriteFault> {
        let Some(rng) = &mut self.fault_rng else {
            return self.faults.pop_front();
        };
        let delay = Duration::from_millis(rng.random_range(1..5_000));
        match rng.random_range(0..16) {
            0 | 1 => Some(WriteFault::LoseResponse),
            2 => Some(WriteFault::LoseRequest),
            3 => Some(WriteFault::DelayRequest(delay)),
            4 => Some(WriteFault::ConcurrentWrite),
            5 => Some(WriteFault::Refuse),
            _ => None,
        }
    }
}

/// Fake key-value service; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct MemoryKv {
    state: Arc<Mutex<State>>,
}

impl MemoryKv {
    pub fn set_latency(&self, latency: Duration) {
        self.state.lock().unwrap().latency = latency;
    }

    /// Randomizes the latency of all further calls and the faults of writes; `None` stops that.
    pub fn set_random_faults(&self, seed: Option<u64>) {
        self.state.lock().unwrap().fault_rng = seed.map(Pcg64::seed_from_u64);
    }

    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state.lock().unwrap().is_unavailable = is_unavailable;
    }

    /// Queues faults for the next writes of records, in order.
    pub fn push_faults(&self, faults: impl IntoIterator<Item = WriteFault>) {
        self.state.lock().unwrap().faults.extend(faults);
    }

    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.state.lock().unwrap().entries.get(key).cloned()
    }

    /// Stores a value unconditionally, as another program would.
    pub fn put(&self, key: &str, value: Bytes) {
        let version = self.entry(key).map_or(0, |entry| entry.version);
        self.write(key, version, value);
    }

    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }

    pub fn writes(&self) -> u64 {
        self.state.lock().unwrap().writes
    }

    fn write(&self, key: &str, expected: Version, value: Bytes) -> CasOutcome {
        let mut state = self.state.lock().unwrap();
        let current = state.entries.get(key).cloned();
        let version = current.as_ref().map_or(0, |entry| entry.version);
        if version != expected {
            return CasOutcome::Conflict(current);
        }
        let version = version + 1;
        state.entries.insert(key.into(), Entry { value, version });
        CasOutcome::Written(version)
    }

    async fn deliver_call(&self, key: &str) -> Result<(), KvError> {
        let (latency, is_unavailable) = self.state.lock().unwrap().call_conditions();
        if !latency.is_zero() {
            sleep(latency).await;
        }
        if is_unavailable {
            return no_response(key);
        }
        Ok(())
    }
}

#[async_trait]
impl KeyValue for MemoryKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        self.state.lock().unwrap().reads += 1;
        self.deliver_call(key).await?;
        Ok(self.entry(key))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        self.state.lock().unwrap().writes += 1;
        self.deliver_call(key).await?;
        if key.ends_with("layout") {
            return Ok(self.write(key, expected, value));
        }
        let fault = self.state.lock().unwrap().next_fault();
        match fault {
            None => Ok(self.write(key, expected, value)),
            Some(WriteFault::LoseResponse) => {
                self.write(key, expected, value);
                no_response(key)
            }
            Some(WriteFault::LoseRequest) => no_response(key),
            Some(WriteFault::DelayRequest(delay)) => {
                let (kv, key) = (self.clone(), key.to_owned());
                tokio::spawn(async move {
                    sleep(delay).await;
                    kv.write(&key, expected, value);
                });
                std::future::pending().await
            }
            Some(WriteFault::ConcurrentWrite) => {
                let stored = self.entry(key).map(|entry| entry.value);
                self.put(key, stored.unwrap_or_else(empty_record));
                Ok(self.write(key, expected, value))
            }
            Some(WriteFault::Refuse) => Err(KvError::Refused {
                key: key.into(),
                detail: "refused by the test".into(),
            }),
        }
    }

    async fn watch(
        &self,
        key: &str,
        _after: Version,
        _timeout: Duration,
    ) -> Result<Option<Entry>, KvError> {
        self.get(key).await
    }
}

fn empty_record() -> Bytes {
    encode_record(&ClaimRecord::default()).expect("an empty record can be encoded")
}

fn no_response<T>(key: &str) -> Result<T, KvError> {
    Err(KvError::Unavailable {
        key: key.into(),
        detail: "no response in this test".into(),
    })
}
