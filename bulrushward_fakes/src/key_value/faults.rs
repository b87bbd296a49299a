//! Faults and counters of the key-value service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::http::ResponseFault;

/// Faults of a key-value service that runs; the network's faults stand beside them.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Time before a call is carried out, or until this changes.
    ///
    /// A write takes effect even if its caller has gone.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Number of writes that take effect and get no answer.
    pub lose_answers: u32,
    /// Lets the caller of a lost answer wait, in place of closing its connection.
    pub hang_lost_answers: bool,
    /// Refuses every write without effect, as a service that is out of space.
    pub refuse_writes: bool,
    /// Fails every call without effect, with an answer that doesn't tell so.
    pub unavailable: bool,
    /// Damages every answer.
    pub answer: Option<ResponseFault>,
}

/// Calls that a key-value service received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCounters {
    /// Reads.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Watches that wait now.
    pub watches_open: u64,
    /// Leases that were granted.
    pub lease_grants: u64,
    /// Leases that were kept alive.
    pub lease_keepalives: u64,
    /// Leases that were revoked.
    pub lease_revokes: u64,
}
