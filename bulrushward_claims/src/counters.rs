//! Counters of a claim store.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Reason for a call to the key-value service.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum KvCallReason {
    /// Reads or writes the number of shards.
    Layout,
    /// Reads a record that is not cached.
    Load,
    /// Reads a record that other stores also write, before this store writes it.
    Refresh,
    /// Reads a record to confirm that another attempt holds a claim, before the claim is refused.
    Confirm,
    /// Reads a record after a write without a response.
    ReadBack,
    /// Writes a record.
    Commit,
    /// Writes a record again after a conflict or a write without a response.
    Recommit,
    /// Checks whether the service is available again.
    Probe,
}

impl KvCallReason {
    /// Returns whether the call writes a record; a layout call counts as a read.
    #[must_use]
    pub fn is_write(self) -> bool {
        matches!(self, Self::Commit | Self::Recommit)
    }
}

/// Counters of a claim store since it started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Calls to the key-value service, by reason.
    pub calls: Vec<(KvCallReason, u64)>,
    /// Writes that failed because the key had another version.
    pub conflicts: u64,
    /// Calls that timed out or had no usable response.
    pub unavailable: u64,
    /// Total size of all values sent.
    pub bytes_written: u64,
    /// Changes whose decision is final: committed, or confirmed without a write.
    pub changes: u64,
}

/// Counters shared by all tasks of a store.
#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    calls: [AtomicU64; KvCallReason::COUNT],
    pub(crate) conflicts: AtomicU64,
    pub(crate) unavailable: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    pub(crate) changes: AtomicU64,
}

impl AtomicCounters {
    pub(crate) fn count_call(&self, reason: KvCallReason) {
        add(&self.calls[reason as usize], 1);
    }

    pub(crate) fn snapshot(&self) -> ClaimCounters {
        ClaimCounters {
            calls: KvCallReason::iter()
                .map(|reason| (reason, load(&self.calls[reason as usize])))
                .collect(),
            conflicts: load(&self.conflicts),
            unavailable: load(&self.unavailable),
            bytes_written: load(&self.bytes_written),
            changes: load(&self.changes),
        }
    }
}

pub(crate) fn add(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
