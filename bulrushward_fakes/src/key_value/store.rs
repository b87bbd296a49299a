//! Keys, revisions and history of the fake key-value services.

use std::collections::{BTreeMap, VecDeque};

use bulrushward_clients::gateway::{
    Compare, Header, PutRequest, PutResponse, RangeResponse, StoredKey, TxnOperation,
    TxnOperationResponse, TxnRequest, TxnResponse, WatchEvent, WatchEventKind,
};
use bytes::Bytes;

/// Number of past changes that a watch can still replay.
const MAX_HISTORY_EVENTS: usize = 256;

/// Stored keys and the history of their changes.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: i64,
    keys: BTreeMap<Bytes, StoredKey>,
    history: VecDeque<WatchEvent>,
    /// Newest revision that the history no longer holds.
    compacted_revision: i64,
}

impl Store {
    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    pub(crate) fn range(&self, key: &Bytes) -> RangeResponse {
        let kvs = self.keys.get(key).cloned().into_iter().collect();
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    pub(crate) fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        if operations
            .iter()
            .any(|operation| matches!(operation, TxnOperation::RequestPut(_)))
        {
            self.revision += 1;
        }
        let responses = operations
            .iter()
            .map(|operation| self.apply(operation))
            .collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    /// Deletes every key that is attached to a lease.
    pub(crate) fn delete_leased(&mut self, lease: i64) {
        let keys: Vec<Bytes> = self
            .keys
            .values()
            .filter(|stored| stored.lease == lease)
            .map(|stored| stored.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.keys.remove(&key);
            let kv = StoredKey {
                key,
                mod_revision: self.revision,
                ..StoredKey::default()
            };
            self.push_history(WatchEvent {
                kind: WatchEventKind::Delete,
                kv,
            });
        }
    }

    /// Returns the changes of a key from a revision on.
    ///
    /// # Errors
    ///
    /// Returns the oldest revision in the history if `from` is older.
    pub(crate) fn changes(&self, key: &Bytes, from: i64) -> Result<Vec<WatchEvent>, i64> {
        if from <= self.compacted_revision {
            return Err(self.compacted_revision + 1);
        }
        let changes = self
            .history
            .iter()
            .filter(|event| event.kv.key == *key && event.kv.mod_revision >= from)
            .cloned()
            .collect();
        Ok(changes)
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let mod_revision = self
            .keys
            .get(&compare.key)
            .map_or(0, |stored| stored.mod_revision);
        mod_revision == compare.mod_revision
    }

    fn apply(&mut self, operation: &TxnOperation) -> TxnOperationResponse {
        match operation {
            TxnOperation::RequestRange(range) => {
                TxnOperationResponse::ResponseRange(self.range(&range.key))
            }
            TxnOperation::RequestPut(put) => {
                self.put(put);
                TxnOperationResponse::ResponsePut(PutResponse {
                    header: self.header(),
                })
            }
        }
    }

    fn put(&mut self, put: &PutRequest) {
        let old = self.keys.get(&put.key);
        let stored = StoredKey {
            key: put.key.clone(),
            create_revision: old.map_or(self.revision, |old| old.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |old| old.version + 1),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), stored.clone());
        self.push_history(WatchEvent {
            kind: WatchEventKind::Put,
            kv: stored,
        });
    }

    fn push_history(&mut self, event: WatchEvent) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.kv.mod_revision;
        }
    }
}
