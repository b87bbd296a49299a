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
/// Times that a call without an answer is made.
pub(crate) const ATTEMPTS: u32 = 4;
/// Pause before the second attempt; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Reads and writes immutable values.
#[derive(Clone, Debug)]
pub(crate) struct Blobs {
    kv: Arc<dyn KeyValue>,
}

impl Blobs {
    pub(crate) fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv }
    }

    /// Reads a value and checks it against its digest.
    pub(crate) async fn read(&self, wanted: &Digest) -> Result<Bytes, RevisionsError> {
        let key = key(wanted);
        let entry = retry(|| self.kv.get(&key))
            .await
            .map_err(|source| RevisionsError::Read { source })?;
        let Some(entry) = entry else {
            let detail = "the key does not exist".to_owned();
            return Err(RevisionsError::Damaged { key, detail });
        };
        let found = digest(&entry.value);
        if found != *wanted {
            let detail = format!("its content has the digest {}", format_digest(&found));
            return Err(RevisionsError::Damaged { key, detail });
        }
        Ok(entry.value)
    }

    /// Writes a value; one that is there already is left as it is.
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

/// Repeats an idempotent call that gets no answer.
pub(crate) async fn retry<T, F: Future<Output = Result<T, KvError>>>(
    mut call: impl FnMut() -> F,
) -> Result<T, KvError> {
    for attempt in 1.. {
        match call().await {
            Err(KvError::Unavailable { .. }) if attempt < ATTEMPTS => pause(attempt).await,
            result => return result,
        }
    }
    unreachable!("the last attempt returns")
}

/// Waits before the attempt that follows attempt number `attempt`.
pub(crate) async fn pause(attempt: u32) {
    sleep(FIRST_PAUSE * 2_u32.pow(attempt.saturating_sub(1))).await;
}
