//! Estimate of the mean load of a service's backend servers.

use std::time::Duration;

use bulrushward_protocol::WorkUnits;

use crate::membership::LoadReport;

/// How far reports are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLoadSettings {
    /// Age up to which a report counts in full.
    pub grace: Duration,
    /// Time in which a report beyond the grace loses half of its value.
    pub half_life: Duration,
    /// Standard errors that the estimate stays below the mean of a sample.
    pub margin: f64,
}

impl Default for MeanLoadSettings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(3),
            half_life: Duration::from_secs(20),
            margin: 2.0,
        }
    }
}

/// Estimates the mean load from the reports of peers, on the low side.
///
/// A low estimate refuses work that another backend server takes; a high one would break the load
/// bound. Reports lose value with age, so that the bound falls to its floor when news stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanLoad {
    settings: MeanLoadSettings,
}

impl MeanLoad {
    /// Creates an estimator.
    #[must_use]
    pub fn new(settings: MeanLoadSettings) -> Self {
        Self { settings }
    }

    /// Estimates the mean over the own load and the `members` other backend servers of the
    /// service, of which `reports` are known.
    #[must_use]
    pub fn estimate(&self, own: WorkUnits, reports: &[LoadReport], members: usize) -> f64 {
        let loads: Vec<f64> = reports
            .iter()
            .map(|report| report.load as f64 * self.trust(report.age))
            .collect();
        let members = members.max(loads.len()) as f64;
        let known = loads.len() as f64;
        if known == 0.0 {
            // Alone, the own load is the mean; cut off from others, nothing is known.
            return if members == 0.0 { own as f64 } else { 0.0 };
        }
        let mean = loads.iter().sum::<f64>() / known;
        let peers = (mean - self.margin(&loads, mean, members)).max(0.0);
        (own as f64 + peers * members) / (members + 1.0)
    }

    /// Returns the share of a report that still counts, from 0 to 1.
    fn trust(&self, age: Duration) -> f64 {
        let beyond = age.saturating_sub(self.settings.grace).as_secs_f64();
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-beyond / half_life).exp2()
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
