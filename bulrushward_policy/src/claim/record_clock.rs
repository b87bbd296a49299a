//! A clock for retention that needs no agreement between the clocks of VMs.

use std::time::Duration;

/// Follows a record's clock from the readings that one process made of it.
///
/// The record's clock only moves forward by time that some process measured on its own monotonic
/// clock since it read the record. It can thus fall behind real time, when no process watches, but
/// never run ahead of it, so that no entry is dropped early, whatever time of day a VM believes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordClock {
    /// The reading that gives the latest time: the record's milliseconds and the local time then.
    best: Option<(u64, Duration)>,
}

impl RecordClock {
    /// Takes in the clock of a record that was read at a local monotonic time.
    ///
    /// `now` must be a time at which the record was surely written already.
    pub fn observe(&mut self, record_ms: u64, now: Duration) {
        let is_later = self.best.is_none() || record_ms > self.reading_ms(now);
        if is_later {
            self.best = Some((record_ms, now));
        }
    }

    /// Returns the record's time in milliseconds at a local monotonic time.
    #[must_use]
    pub fn reading_ms(&self, now: Duration) -> u64 {
        let Some((record_ms, then)) = self.best else {
            return 0;
        };
        let elapsed = now.saturating_sub(then);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        record_ms.saturating_add(elapsed_ms)
    }
}
