//! An in-memory key-value service with faults.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bytes::Bytes;
use tokio::{sync::Notify, time::timeout};

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// Nothing goes wrong.
    None,
    /// The write never arrives and no answer comes.
    Lost,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
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

/// The fake service.
#[derive(Debug, Default)]
pub struct FakeKv {
    state: Mutex<State>,
    changed: Notify,
}

impl FakeKv {
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Sets what happens to the next writes of the head record.
    pub fn next_head_writes(&self, faults: &[WriteFault]) {
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

    /// Size of the head record in bytes.
    pub fn head_bytes(&self) -> usize {
        let state = self.lock();
        let head = state.entries.iter().find(|(key, _)| key.ends_with("/head"));
        head.map_or(0, |(_, entry)| entry.value.len())
    }

    /// Damages every stored value whose key contains `part`.
    pub fn damage(&self, part: &str) {
        for (key, entry) in &mut self.lock().entries {
            if key.contains(part) {
                entry.value = Bytes::from_static(b"damaged");
            }
        }
    }

    /// Largest stored value in bytes.
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
            .expect("no test panics while it holds the lock")
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
            WriteFault::None | WriteFault::AnswerLost => {}
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
        if fault == WriteFault::AnswerLost {
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
