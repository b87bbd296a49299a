//! The key-value service as the fleet sees it.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// Version of a key: grows with every write; 0 stands for an absent key.
pub type Version = i64;

/// A stored value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Bytes,
    /// The version of the key that holds it.
    pub version: Version,
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written and has this version now.
    Written(Version),
    /// The key had another version; this is its current entry, or `None` if it is absent.
    Conflict(Option<Entry>),
}

/// A call to the key-value service that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum KvError {
    /// No usable answer arrived; a write may have taken effect all the same.
    #[snafu(display("the key-value service gave no usable answer for key {key:?}: {detail}"))]
    Unavailable {
        /// Key of the call.
        key: String,
        /// What was seen.
        detail: String,
    },
    /// The service refused the call; it had no effect.
    #[snafu(display("the key-value service refused the call for key {key:?}: {detail}"))]
    Refused {
        /// Key of the call.
        key: String,
        /// What the service said.
        detail: String,
    },
}

/// The platform's key-value service.
#[async_trait]
pub trait KeyValue: Debug + Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns [`KvError`] if the service does not answer or refuses.
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError>;

    /// Writes a key if it still has the expected version, 0 for an absent key.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::Unavailable`] if it is not known whether the write took effect, and
    /// [`KvError::Refused`] if it did not.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError>;

    /// Waits until a key has a version above `after` and returns it, or `None` after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`KvError`] if the service does not answer or refuses.
    async fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<Entry>, KvError>;
}
