//! An in-memory key-value service with fault injection.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bytes::Bytes;
use tokio::{sync::Notify, time::timeout};

/// Fault of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The write succeeds.
    None,
    /// The write is lost before it takes effect, and there is no response.
    Lost,
    /// The write takes effect, but the response is lost.
    ResponseLost,
    /// The service refuses the write.
    Refused,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<String, Entry>,
    head_faults: VecDeque<WriteFault>,
    down: bool,
    reads: usize,
    writes: usize,
    written_bytes: usize,
}

/// The fake key-value service.
#[derive(Debug, Default)]
pub struct FakeKv {
    state: Mutex<State>,
    changed: Notify,
}

impl FakeKv {
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Adds faults that the next writes of the head record consume in order.
    pub fn set_head_write_faults(&self, faults: &[WriteFault]) {
        self.lock().head_faults.extend(faults);
    }

    pub fn reads(&self) -> usize {
        self.lock().reads
    }

    pub fn writes(&self) -> usize {
        self.lock().writes
    }

    pub fn written_bytes(&self) -> usize {
        self.lock().written_bytes
    }

    /// Returns the size of the head record in bytes.
    pub fn head_bytes(&self) -> usize {
        let state = self.lock();
        let head = state.entries.iter().find(|(key, _)| key.ends_with("/head"));
        head.map_or(0, |(_, entry)| entry.value.len())
    }

    /// Overwrites every stored value whose key contains `part` with invalid bytes.
    pub fn damage(&self, part: &str) {
        for (key, entry) in &mut self.lock().entries {
            if key.contains(part) {
                entry.value = Bytes::from_static(b"damaged");
            }
        }
    }

    /// Returns the size of the largest stored value in bytes.
    pub fn largest_value(&self) -> usize {
        let state = self.lock();
        state
            .entries
            .values()
            .map(|e| e.value.len())
            .max()
            .unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while holding the lock")
    }

    fn read(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let mut state = self.lock();
        state.reads += 1;
        if state.down {
            return Err(unavailable(key));
        }
        Ok(state.entries.get(key).cloned())
    }
}

fn unavailable(key: &str) -> KvError {
    KvError::Unavailable {
        key: key.to_owned(),
        detail: "connection refused".to_owned(),
    }
}

#[async_trait]
impl KeyValue for FakeKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        self.read(key)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let mut state = self.lock();
        state.writes += 1;
        state.written_bytes += value.len();
        if state.down {
            return Err(unavailable(key));
        }
        let fault = if key.ends_with("/head") {
            state.head_faults.pop_front().unwrap_or(WriteFault::None)
        } else {
            WriteFault::None
        };
        match fault {
            WriteFault::Lost => return Err(unavailable(key)),
            WriteFault::Refused => {
                let key = key.to_owned();
                let detail = "too many writes".to_owned();
                return Err(KvError::Refused { key, detail });
            }
            WriteFault::None | WriteFault::ResponseLost => {}
        }
        let found = state.entries.get(key).cloned();
        let version = found.as_ref().map_or(0, |entry| entry.version);
        if version != expected {
            return Ok(CasOutcome::Conflict(found));
        }
        let version = version + 1;
        state
            .entries
            .insert(key.to_owned(), Entry { value, version });
        self.changed.notify_waiters();
        if fault == WriteFault::ResponseLost {
            return Err(unavailable(key));
        }
        Ok(CasOutcome::Written(version))
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        limit: Duration,
    ) -> Result<Option<Entry>, KvError> {
        let wait = async {
            loop {
                let changed = self.changed.notified();
                if let Some(entry) = self.read(key)?
                    && entry.version > after
                {
                    return Ok(Some(entry));
                }
                changed.await;
            }
        };
        timeout(limit, wait).await.unwrap_or(Ok(None))
    }
}
