//! Estimation of the mean load of a service's backend servers.

use std::time::{Duration, Instant};

use bulrushward_protocol::WorkUnits;

use crate::membership::LoadReport;

/// Time constant of the moving average over the trend of the mean.
const TREND_WINDOW: Duration = Duration::from_secs(2);
/// Shortest time between two samples of the trend.
const MIN_TREND_INTERVAL: Duration = Duration::from_millis(200);

/// How far load reports are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLoadSettings {
    /// Age beyond which a report is ignored.
    pub max_age: Duration,
    /// Age at which a report counts for half of its load.
    pub half_life: Duration,
    /// Standard errors by which the estimate stays below the mean of a sample.
    pub margin_standard_errors: f64,
}

impl Default for MeanLoadSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(10),
            half_life: Duration::from_secs(20),
            margin_standard_errors: 2.0,
        }
    }
}

/// Estimates the mean load from the load reports of peers, erring on the low side.
///
/// An estimate that is too low refuses work that another backend server can take; one that is too
/// high would violate the load bound. Reports count for less as they age, so that the bound falls
/// to its floor when reports stop, and a falling mean is extrapolated over the age of the reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoadEstimator {
    settings: MeanLoadSettings,
    /// Time and mean of the reports at the last sample of the trend.
    last_trend_point: Option<(Instant, f64)>,
    /// Change of the mean in work units per second.
    trend: f64,
}

impl MeanLoadEstimator {
    /// Creates an estimator without any samples.
    #[must_use]
    pub fn new(settings: MeanLoadSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Estimates the mean of `own_load` and the loads of the `members` other backend servers of
    /// the service, for which `reports` were received.
    ///
    /// For an admission decision, `own_load` includes the work to be admitted, because the bound
    /// applies to the loads after the admission. Otherwise a service of one or two evenly loaded
    /// backend servers could not admit the next request.
    pub fn estimate(
        &mut self,
        own_load: WorkUnits,
        reports: &[LoadReport],
        members: usize,
        now: Instant,
    ) -> f64 {
        let members = members.max(reports.len()) as f64;
        if members == 0.0 {
            return own_load as f64;
        }
        let recent: Vec<_> = reports
            .iter()
            .filter(|report| report.age <= self.settings.max_age)
            .collect();
        let reporting = recent.len() as f64;
        if reporting == 0.0 {
            // This process is cut off from its peers, so it knows nothing about their loads.
            self.last_trend_point = None;
            return 0.0;
        }
        let expected_decrease = self.expected_decrease(&recent, now);
        let loads: Vec<f64> = recent
            .iter()
            .map(|report| report.load as f64 * self.report_weight(report.age))
            .collect();
        let mean = loads.iter().sum::<f64>() / reporting;
        let peer_mean =
            (mean - self.sampling_margin(&loads, mean, members) - expected_decrease).max(0.0);
        (own_load as f64 + peer_mean * members) / (members + 1.0)
    }

    /// Extrapolates how far the mean has fallen since the reports were made.
    ///
    /// The extrapolation is linear, which is too low for loads whose decline slows down.
    fn expected_decrease(&mut self, reports: &[&LoadReport], now: Instant) -> f64 {
        let reporting = reports.len() as f64;
        let mean = reports.iter().map(|report| report.load as f64).sum::<f64>() / reporting;
        let age = reports
            .iter()
            .map(|report| report.age.as_secs_f64())
            .sum::<f64>()
            / reporting;
        let (previous_time, previous_mean) = *self.last_trend_point.get_or_insert((now, mean));
        let elapsed = now.saturating_duration_since(previous_time);
        if elapsed >= MIN_TREND_INTERVAL {
            let slope = (mean - previous_mean) / elapsed.as_secs_f64();
            let weight = 1.0 - (-elapsed.as_secs_f64() / TREND_WINDOW.as_secs_f64()).exp();
            self.trend += weight * (slope - self.trend);
            self.last_trend_point = Some((now, mean));
        }
        (-self.trend * age).max(0.0)
    }

    /// Returns the weight of a report of this age, from 0 to 1.
    fn report_weight(&self, age: Duration) -> f64 {
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-age.as_secs_f64() / half_life).exp2()
    }

    /// Returns the configured multiple of the standard error; zero if all peers report.
    fn sampling_margin(&self, loads: &[f64], mean: f64, members: f64) -> f64 {
        let reporting = loads.len() as f64;
        let finite_population_correction = (members - reporting) / (members - 1.0).max(1.0);
        if finite_population_correction <= 0.0 {
            return 0.0;
        }
        if reporting < 2.0 {
            // The variance cannot be estimated from a single report.
            return mean;
        }
        let squares = loads.iter().map(|load| (load - mean).powi(2));
        let variance = squares.sum::<f64>() / (reporting - 1.0);
        self.settings.margin_standard_errors
            * (variance / reporting * finite_population_correction).sqrt()
    }
}
