//! Immutable, content-addressed values in the key-value service.

use std::{sync::Arc, time::Duration};

use bulrushward_clients::{CasOutcome, KeyValue, KvError};
use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    RevisionsError,
    chunks::{Digest, digest, format_digest},
};

/// Prefix of the keys of immutable values.
const BLOB_PREFIX: &str = "bulrushward/config/blob/";
/// Maximum number of attempts of a call that gets no response.
pub(crate) const MAX_ATTEMPTS: u32 = 4;
/// Backoff before the second attempt, doubled before each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Reads and writes immutable values.
#[derive(Clone, Debug)]
pub(crate) struct BlobStore {
    kv: Arc<dyn KeyValue>,
}

impl BlobStore {
    pub(crate) fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv }
    }

    /// Reads a value and verifies its digest.
    pub(crate) async fn read(&self, expected: &Digest) -> Result<Bytes, RevisionsError> {
        let key = key(expected);
        let entry = retry(|| self.kv.get(&key))
            .await
            .map_err(|source| RevisionsError::Read { source })?;
        let Some(entry) = entry else {
            let detail = "the key does not exist".to_owned();
            return Err(RevisionsError::Damaged { key, detail });
        };
        let found = digest(&entry.value);
        if found != *expected {
            let detail = format!("the digest of its content is {}", format_digest(&found));
            return Err(RevisionsError::Damaged { key, detail });
        }
        Ok(entry.value)
    }

    /// Writes a value unless it exists already, and returns its digest.
    pub(crate) async fn write(&self, value: Bytes) -> Result<Digest, RevisionsError> {
        let digest = digest(&value);
        let key = key(&digest);
        let outcome = retry(|| self.kv.compare_and_swap(&key, 0, value.clone()))
            .await
            .map_err(|source| RevisionsError::NotAccepted { source })?;
        match outcome {
            CasOutcome::Conflict(Some(entry)) if entry.value != value => {
                let detail = "another value has this digest".to_owned();
                Err(RevisionsError::Damaged { key, detail })
            }
            _ => Ok(digest),
        }
    }
}

fn key(digest: &Digest) -> String {
    format!("{BLOB_PREFIX}{}", format_digest(digest))
}

/// Retries an idempotent call that gets no response.
pub(crate) async fn retry<T, F: Future<Output = Result<T, KvError>>>(
    mut call: impl FnMut() -> F,
) -> Result<T, KvError> {
    for attempt in 1.. {
        match call().await {
            Err(KvError::Unavailable { .. }) if attempt < MAX_ATTEMPTS => backoff(attempt).await,
            result => return result,
        }
    }
    unreachable!("the last attempt returns from the loop")
}

/// Waits after attempt number `attempt`, before the next one.
pub(crate) async fn backoff(attempt: u32) {
    sleep(INITIAL_BACKOFF * 2_u32.pow(attempt.saturating_sub(1))).await;
}
