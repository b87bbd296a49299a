//! History of all loads, from which routers and agents read delayed load reports.

use std::{collections::VecDeque, time::Duration};

use bulrushward_policy::membership::LoadReport;
use bulrushward_protocol::WorkUnits;
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which all loads are sampled.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Recent loads of all slots.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    rows: VecDeque<Vec<WorkUnits>>,
    max_rows: usize,
    lag: Duration,
}

impl LoadHistory {
    /// Creates a history that covers ages up to `lag`.
    pub(crate) fn new(lag: Duration) -> Self {
        let max_rows = lag.as_millis() / SAMPLE_INTERVAL.as_millis() + 2;
        Self {
            rows: VecDeque::new(),
            max_rows: max_rows as usize,
            lag,
        }
    }

    /// Adds a sample of the current loads.
    pub(crate) fn push(&mut self, loads: Vec<WorkUnits>) {
        self.rows.push_front(loads);
        self.rows.truncate(self.max_rows);
    }

    /// Returns the latest load report of a slot that has reached a process at `now`.
    pub(crate) fn latest_report(
        &self,
        observer: usize,
        slot: usize,
        now: Duration,
    ) -> Option<LoadReport> {
        let age = self.lag.mul_f64(lag_fraction(observer, slot, now));
        let row = age.as_millis() / SAMPLE_INTERVAL.as_millis();
        let row = self.rows.get(row as usize).or(self.rows.back())?;
        let load = row[slot];
        Some(LoadReport { load, age })
    }
}

/// Returns the delay of a slot's reports to a process as a fraction of the maximum lag.
///
/// The fraction is a hash of its arguments, uniform between 0 and 1.
pub(crate) fn lag_fraction(observer: usize, slot: usize, now: Duration) -> f64 {
    let mut buf = [0; 24];
    buf[..8].copy_from_slice(&observer.to_le_bytes());
    buf[8..16].copy_from_slice(&slot.to_le_bytes());
    buf[16..].copy_from_slice(&now.as_secs().to_le_bytes());
    (xxh3_64(&buf) >> 11) as f64 / (1_u64 << 53) as f64
}
