//! Counts of a claim store for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Why a claim store called the key-value service.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum KvCallReason {
    /// Reads or writes the number of records.
    Layout,
    /// Reads a record that is not cached.
    Load,
    /// Reads a record that other stores write too, before it is written.
    Refresh,
    /// Reads a record before a claim is refused because of another holder.
    Confirm,
    /// Reads a record after a write without an answer.
    ReadBack,
    /// Writes a record.
    Commit,
    /// Writes a record again after a conflict or a write without an answer.
    Recommit,
    /// Finds out whether the service answers again.
    Probe,
}

impl KvCallReason {
    /// Tells whether the call writes; a layout call counts as a read.
    #[must_use]
    pub fn is_write(self) -> bool {
        matches!(self, Self::Commit | Self::Recommit)
    }
}

/// Counts of a claim store since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimCounters {
    /// Calls to the key-value service by cause.
    pub calls: Vec<(KvCallReason, u64)>,
    /// Writes that met another version.
    pub conflicts: u64,
    /// Calls without a usable answer in time.
    pub unavailable: u64,
    /// Bytes of all values sent.
    pub bytes_written: u64,
    /// Changes that were committed.
    pub changes: u64,
}

/// Live counts, shared by the tasks of a store.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters {
    calls: [AtomicU64; KvCallReason::COUNT],
    pub(crate) conflicts: AtomicU64,
    pub(crate) unavailable: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    pub(crate) changes: AtomicU64,
}

impl LiveCounters {
    pub(crate) fn count_call(&self, cause: KvCallReason) {
        add(&self.calls[cause as usize], 1);
    }

    pub(crate) fn snapshot(&self) -> ClaimCounters {
        ClaimCounters {
            calls: KvCallReason::iter()
                .map(|cause| (cause, read(&self.calls[cause as usize])))
                .collect(),
            conflicts: read(&self.conflicts),
            unavailable: read(&self.unavailable),
            bytes_written: read(&self.bytes_written),
            changes: read(&self.changes),
        }
    }
}

pub(crate) fn add(counter: &AtomicU64, n: u64) {
    counter.fetch_add(n, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
