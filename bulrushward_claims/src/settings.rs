//! Settings of a claim store.

use std::{num::NonZeroU32, time::Duration};

use bulrushward_policy::claim::Retention;
use bulrushward_protocol::ServiceId;

/// Settings of a [`ClaimStore`](crate::ClaimStore).
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Service whose actions are claimed; all its agents share the same records.
    pub service: ServiceId,
    /// Number of records of a new service; once a number is stored, it takes precedence.
    pub shards: NonZeroU32,
    /// Minimum time between two commits of the same record by this store.
    pub commit_interval: Duration,
    /// Maximum rate of this store's writes, retries included.
    pub writes_per_second: NonZeroU32,
    /// Maximum delay before a finished action is recorded, so that it can share a commit.
    pub finish_delay: Duration,
    /// Time after which a claim fails as unavailable.
    pub claim_timeout: Duration,
    /// Timeout of one call to the key-value service.
    pub call_timeout: Duration,
    /// Interval between probes while the key-value service is unavailable.
    pub probe_interval: Duration,
    /// Initial retention of a record's entries; [`ClaimStore::set_retention`] changes it later.
    ///
    /// [`ClaimStore::set_retention`]: crate::ClaimStore::set_retention
    pub retention: Retention,
    /// Maximum size in bytes of a value in the key-value service.
    pub value_limit: usize,
    /// Seed of the nonces and the jitter; must differ between processes.
    pub seed: u64,
}

impl ClaimSettings {
    /// Default number of records of a service.
    pub const DEFAULT_SHARDS: NonZeroU32 = NonZeroU32::new(64).expect("64 is not 0");
    /// Default maximum of writes per second; three agents of a service then make at most 300.
    pub const DEFAULT_WRITES_PER_SECOND: NonZeroU32 = NonZeroU32::new(100).expect("100 is not 0");
    /// Default maximum size in bytes of a value in the key-value service.
    pub const DEFAULT_VALUE_LIMIT: usize = 1_000_000;

    /// Returns the default settings for a service, with a random seed.
    #[must_use]
    pub fn new(service: impl Into<ServiceId>) -> Self {
        Self {
            service: service.into(),
            shards: Self::DEFAULT_SHARDS,
            commit_interval: Duration::from_millis(20),
            writes_per_second: Self::DEFAULT_WRITES_PER_SECOND,
            finish_delay: Duration::from_secs(5),
            claim_timeout: Duration::from_millis(1_500),
            call_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_secs(1),
            retention: Retention::default(),
            value_limit: Self::DEFAULT_VALUE_LIMIT,
            seed: rand::random(),
        }
    }
}
