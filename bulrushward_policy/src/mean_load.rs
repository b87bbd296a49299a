//! Estimate of the mean load of a service's backend servers.

use std::time::{Duration, Instant};

use bulrushward_protocol::WorkUnits;

use crate::membership::LoadReport;

/// Time over which the trend of the mean is averaged.
const TREND_WINDOW: Duration = Duration::from_secs(2);
/// Shortest time between two points of the trend.
const TREND_STEP: Duration = Duration::from_millis(200);

/// How far reports are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLoadSettings {
    /// Age beyond which a report does not count.
    pub max_age: Duration,
    /// Time in which a report loses half of its value.
    pub half_life: Duration,
    /// Standard errors that the estimate stays below the mean of a sample.
    pub margin: f64,
}

impl Default for MeanLoadSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(10),
            half_life: Duration::from_secs(20),
            margin: 2.0,
        }
    }
}

/// Estimates the mean load from the reports of peers, on the low side.
///
/// A low estimate refuses work that another backend server takes; a high one would break the load
/// bound. Reports lose value with age, so that the bound falls to its floor when news stops, and
/// a falling mean is carried on over the age of the reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoadEstimator {
    settings: MeanLoadSettings,
    /// Time and mean of the reports at the last point of the trend.
    last: Option<(Instant, f64)>,
    /// Change of the mean in work units a second.
    trend: f64,
}

impl MeanLoadEstimator {
    /// Creates an estimator.
    #[must_use]
    pub fn new(settings: MeanLoadSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Estimates the mean over the own load and the `members` other backend servers of the
    /// service, of which `reports` are known.
    ///
    /// For an admission, `own` includes the work that asks for it: the bound is on the loads after
    /// the admission. Without that, a service of one or two evenly loaded backend servers could
    /// not take the next request.
    pub fn estimate(
        &mut self,
        own: WorkUnits,
        reports: &[LoadReport],
        members: usize,
        now: Instant,
    ) -> f64 {
        let members = members.max(reports.len()) as f64;
        if members == 0.0 {
            return own as f64;
        }
        let fresh: Vec<_> = reports
            .iter()
            .filter(|report| report.age <= self.settings.max_age)
            .collect();
        let known = fresh.len() as f64;
        if known == 0.0 {
            // Cut off from others, nothing is known of them.
            self.last = None;
            return 0.0;
        }
        let fall = self.fall(&fresh, now);
        let loads: Vec<f64> = fresh
            .iter()
            .map(|report| report.load as f64 * self.trust(report.age))
            .collect();
        let mean = loads.iter().sum::<f64>() / known;
        let peers = (mean - self.margin(&loads, mean, members) - fall).max(0.0);
        (own as f64 + peers * members) / (members + 1.0)
    }

    /// Returns how far the mean has fallen since the reports were made if it falls on as before.
    ///
    /// A straight line errs on the low side for loads that fall ever more slowly.
    fn fall(&mut self, reports: &[&LoadReport], now: Instant) -> f64 {
        let known = reports.len() as f64;
        let mean = reports.iter().map(|report| report.load as f64).sum::<f64>() / known;
        let age = reports
            .iter()
            .map(|report| report.age.as_secs_f64())
            .sum::<f64>()
            / known;
        let (before, earlier) = *self.last.get_or_insert((now, mean));
        let step = now.saturating_duration_since(before);
        if step >= TREND_STEP {
            let slope = (mean - earlier) / step.as_secs_f64();
            let weight = 1.0 - (-step.as_secs_f64() / TREND_WINDOW.as_secs_f64()).exp();
            self.trend += weight * (slope - self.trend);
            self.last = Some((now, mean));
        }
        (-self.trend * age).max(0.0)
    }

    /// Returns the share of a report that still counts, from 0 to 1.
    fn trust(&self, age: Duration) -> f64 {
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-age.as_secs_f64() / half_life).exp2()
    }

    /// Returns the standard error of a sample mean, times the margin; zero if all peers report.
    fn margin(&self, loads: &[f64], mean: f64, members: f64) -> f64 {
        let known = loads.len() as f64;
        let unseen = (members - known) / (members - 1.0).max(1.0);
        if unseen <= 0.0 {
            return 0.0;
        }
        if known < 2.0 {
            // One report says nothing about the spread.
            return mean;
        }
        let squares = loads.iter().map(|load| (load - mean).powi(2));
        let variance = squares.sum::<f64>() / (known - 1.0);
        self.settings.margin * (variance / known * unseen).sqrt()
    }
}
