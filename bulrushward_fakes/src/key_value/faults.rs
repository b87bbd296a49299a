//! Faults and counters of the key-value service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::http::ResponseFault;

/// Faults of a running key-value service, in addition to network faults.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Delay before a call is executed; a change of this value ends the wait.
    ///
    /// A write takes effect even if its caller has disconnected.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Number of upcoming writes that take effect but receive no response.
    pub lose_answers: u32,
    /// Keeps the connection open after a lost response, instead of closing it.
    pub hang_lost_answers: bool,
    /// Rejects every write without effect, like a service that is out of space.
    pub refuse_writes: bool,
    /// Fails every call without effect, with an error that leaves open whether it took effect.
    pub unavailable: bool,
    /// Corrupts every response.
    pub answer: Option<ResponseFault>,
}

/// Numbers of calls that a key-value service has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCounters {
    /// Reads.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches, each counted once when it starts.
    pub watches: u64,
    /// Watches that are open at present.
    pub watches_open: u64,
    /// Leases that were granted.
    pub lease_grants: u64,
    /// Leases that were kept alive.
    pub lease_keepalives: u64,
    /// Leases that were revoked.
    pub lease_revokes: u64,
}
