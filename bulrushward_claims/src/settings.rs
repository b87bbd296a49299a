//! Settings of a claim store.

use std::{num::NonZeroU32, time::Duration};

use bulrushward_policy::claim::Retention;
use bulrushward_protocol::ServiceId;

/// Settings of a [`ClaimStore`](crate::ClaimStore).
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Service whose actions are claimed; all its agents share the records.
    pub service: ServiceId,
    /// Number of records of a service that has none yet; later the stored number goes first.
    pub shards: NonZeroU32,
    /// Least time between two commits of one record by this store.
    pub commit_interval: Duration,
    /// Most writes a second that this store makes, first tries and repeats together.
    pub writes_per_second: NonZeroU32,
    /// How long the record of a finished action may wait for a commit to join.
    pub finish_delay: Duration,
    /// How long a claim may take before it is given up.
    pub claim_timeout: Duration,
    /// How long one call to the key-value service may take.
    pub call_timeout: Duration,
    /// Time between two probes while the key-value service does not answer.
    pub probe_interval: Duration,
    /// How long the entries of a record are kept until [`ClaimStore::set_retention`]
    /// changes it.
    ///
    /// [`ClaimStore::set_retention`]: crate::ClaimStore::set_retention
    pub retention: Retention,
    /// Bytes that a value of the key-value service may have.
    pub value_limit: usize,
    /// Seed of nonces and jitter; must differ between processes.
    pub seed: u64,
}

impl ClaimSettings {
    /// Number of records of a service.
    pub const DEFAULT_SHARDS: NonZeroU32 = NonZeroU32::new(64).expect("64 is not 0");
    /// Writes a second of one store; three agents of a service then make 300 at most.
    pub const DEFAULT_WRITES_PER_SECOND: NonZeroU32 = NonZeroU32::new(100).expect("100 is not 0");
    /// Bytes that a value of the key-value service may have.
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
