//! Interface to the platform's key-value service.

use std::{fmt::Debug, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

/// Version of a key, which grows with every write; an absent key has version 0.
pub type Version = i64;

/// A stored value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Bytes,
    /// The version of the key.
    pub version: Version,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written and the key now has this version.
    Written(Version),
    /// The key had another version; holds its current entry, or `None` if it is absent.
    Conflict(Option<Entry>),
}

/// A failed call to the key-value service.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum KvError {
    /// No usable response arrived; a write may have taken effect nevertheless.
    #[snafu(display("no usable response from the key-value service for key {key:?}: {detail}"))]
    Unavailable {
        /// Key of the call.
        key: String,
        /// What went wrong.
        detail: String,
    },
    /// The service refused the call; it had no effect.
    #[snafu(display("the key-value service refused the call for key {key:?}: {detail}"))]
    Refused {
        /// Key of the call.
        key: String,
        /// Message of the service.
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
    /// Returns [`KvError`] if the service gives no usable response or refuses the call.
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

    /// Waits until a key has a version above `after` and returns its entry.
    ///
    /// Returns `None` if that does not happen within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`KvError`] if the service gives no usable response or refuses the call.
    async fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<Entry>, KvError>;
}
