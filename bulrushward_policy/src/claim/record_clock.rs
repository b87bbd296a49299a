//! The clock of a claims record, which does not depend on synchronised clocks of VMs.

use std::time::Duration;

/// Tracks a record's clock from the values that one process has read.
///
/// The record's clock advances only by time that some process measured on its own monotonic clock
/// since it read the record. It falls behind real time while no process reads the record, but never
/// runs ahead of it, so that no entry is removed too early, even if the wall clock of a VM is
/// wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordClock {
    /// A record's time in milliseconds and the local time at which it was read; of all values read,
    /// the one that implies the latest current time.
    latest: Option<(u64, Duration)>,
}

impl RecordClock {
    /// Records the clock value of a record that was read at a local monotonic time.
    ///
    /// `now` must not be earlier than the write of the record.
    pub fn observe(&mut self, record_ms: u64, now: Duration) {
        let is_later = self.latest.is_none() || record_ms > self.reading_ms(now);
        if is_later {
            self.latest = Some((record_ms, now));
        }
    }

    /// Returns the record's time in milliseconds at a local monotonic time.
    #[must_use]
    pub fn reading_ms(&self, now: Duration) -> u64 {
        let Some((record_ms, read_at)) = self.latest else {
            return 0;
        };
        let elapsed = now.saturating_sub(read_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        record_ms.saturating_add(elapsed_ms)
    }
}
