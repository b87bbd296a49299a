//! Running average of service time, and the waiting time that follows from it.

use std::time::Duration;

use bulrushward_protocol::WorkUnits;

/// Weight of the newest sample in the running average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Longest time that is estimated; longer ones count as this.
const MAX_ESTIMATE: Duration = Duration::from_hours(24);

/// Estimates how long a backend server takes for work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    seconds_per_unit: Option<f64>,
}

impl ServiceRate {
    /// Takes in one finished attempt.
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

    /// Returns whether an attempt has finished yet.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.seconds_per_unit.is_some()
    }

    /// Estimates the time for work on one place; zero until an attempt has finished.
    #[must_use]
    pub fn time_for(&self, work: f64) -> Duration {
        let seconds = self.seconds_per_unit.unwrap_or_default() * work.max(0.0);
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_ESTIMATE)
            .min(MAX_ESTIMATE)
    }

    /// Estimates the wait for a place, given the work left on each busy place and the work that
    /// goes first.
    ///
    /// Finds the time until which the busy places can take in `ahead` besides their own work.
    #[must_use]
    pub fn wait(&self, mut busy: Vec<WorkUnits>, ahead: f64) -> Duration {
        busy.sort_unstable();
        let mut level = busy.first().copied().unwrap_or_default() as f64;
        let mut left = ahead;
        for (count, next) in busy.iter().enumerate().skip(1) {
            let capacity = (*next as f64 - level) * count as f64;
            if capacity >= left {
                return self.time_for(level + left / count as f64);
            }
            left -= capacity;
            level = *next as f64;
        }
        self.time_for(level + left / busy.len().max(1) as f64)
    }
}
