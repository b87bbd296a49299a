//! Estimates of service times and queueing delays.

use std::time::Duration;

use bulrushward_protocol::WorkUnits;

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Upper limit of all estimates.
const MAX_ESTIMATE: Duration = Duration::from_hours(24);

/// Estimates how long a backend server needs for an amount of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEstimator {
    seconds_per_unit: Option<f64>,
}

impl ServiceTimeEstimator {
    /// Records the work and duration of a finished attempt.
    pub fn record(&mut self, work: WorkUnits, elapsed: Duration) {
        if work == 0 {
            return;
        }
        let sample = elapsed.as_secs_f64() / work as f64;
        let average = self
            .seconds_per_unit
            .map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old));
        self.seconds_per_unit = Some(average);
    }

    /// Returns whether any attempt has finished yet.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.seconds_per_unit.is_some()
    }

    /// Estimates the time for work in one slot; zero until an attempt has finished.
    #[must_use]
    pub fn estimate(&self, work: f64) -> Duration {
        let seconds = self.seconds_per_unit.unwrap_or_default() * work.max(0.0);
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_ESTIMATE)
            .min(MAX_ESTIMATE)
    }

    /// Estimates the wait for a free slot, given the remaining work of each busy slot and the
    /// queued work that starts first.
    ///
    /// Distributes `work_ahead` over the slots that are free first, so that these end up with equal
    /// amounts of work; the wait is the time for this amount.
    #[must_use]
    pub fn estimated_wait(&self, mut busy: Vec<WorkUnits>, work_ahead: f64) -> Duration {
        busy.sort_unstable();
        let mut level = busy.first().copied().unwrap_or_default() as f64;
        let mut unassigned = work_ahead;
        for (count, next) in busy.iter().enumerate().skip(1) {
            let capacity = (*next as f64 - level) * count as f64;
            if capacity >= unassigned {
                return self.estimate(level + unassigned / count as f64);
            }
            unassigned -= capacity;
            level = *next as f64;
        }
        self.estimate(level + unassigned / busy.len().max(1) as f64)
    }
}
