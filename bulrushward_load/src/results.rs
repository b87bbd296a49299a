//! Latency histograms and outcome counts of a load.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    client::{Outcome, Sample},
    figure::Figure,
};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histograms record, in microseconds: one hour.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Reported quantiles with the suffixes of their measure names.
pub(crate) const QUANTILES: [(&str, f64); 2] = [("p50", 0.5), ("p99", 0.99)];

/// Outcomes and times of all requests of a load.
#[derive(Clone, Debug)]
pub struct Results {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Duration of the load.
    pub elapsed: Duration,
    pub(crate) first_byte: Histogram<u64>,
    pub(crate) between_chunks: Histogram<u64>,
    pub(crate) total_time: Histogram<u64>,
    send_lag: Histogram<u64>,
}

impl Default for Results {
    fn default() -> Self {
        let new = || {
            Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
                .expect("bounds and digits are valid")
        };
        Self {
            outcomes: BTreeMap::new(),
            elapsed: Duration::ZERO,
            first_byte: new(),
            between_chunks: new(),
            total_time: new(),
            send_lag: new(),
        }
    }
}

impl Results {
    /// Records one request; only complete responses count towards the times.
    pub fn record(&mut self, sample: &Sample) {
        *self.outcomes.entry(sample.outcome).or_default() += 1;
        if sample.outcome != Outcome::Complete {
            return;
        }
        record(&mut self.total_time, sample.total_time);
        if let Some(first_byte) = sample.first_byte {
            record(&mut self.first_byte, first_byte);
        }
        for gap in &sample.gaps {
            record(&mut self.between_chunks, *gap);
        }
    }

    /// Records how long after its arrival time a request was sent.
    pub fn record_lag(&mut self, lag: Duration) {
        record(&mut self.send_lag, lag);
    }

    /// Returns the number of complete responses.
    #[must_use]
    pub fn complete_responses(&self) -> u64 {
        self.outcomes.get(&Outcome::Complete).copied().unwrap_or(0)
    }

    /// Returns a quantile of the time until a complete response.
    #[must_use]
    pub fn total_time_at(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.total_time.value_at_quantile(quantile))
    }

    /// Returns the number of complete responses per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.complete_responses() as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns all figures of the load.
    #[must_use]
    pub fn figures(&self, size: &str, case: &str) -> Vec<Figure> {
        let figure = |measure: String, value: f64, unit: &'static str| Figure {
            measure,
            size: size.to_owned(),
            case: case.to_owned(),
            value,
            unit,
            target_met: None,
        };
        let mut figures = vec![figure("rate".to_owned(), self.rate(), "requests/s")];
        for (outcome, count) in &self.outcomes {
            let measure = format!("outcome-{outcome}");
            figures.push(figure(measure, *count as f64, "requests"));
        }
        // The printed names say `tokens` for chunks and `whole` for the total time.
        let histograms = [
            ("first-byte", &self.first_byte),
            ("between-tokens", &self.between_chunks),
            ("whole", &self.total_time),
            ("send-lag", &self.send_lag),
        ];
        for (name, histogram) in histograms {
            for (suffix, quantile) in QUANTILES {
                if !histogram.is_empty() {
                    let value = milliseconds(histogram, quantile);
                    figures.push(figure(format!("{name}-{suffix}"), value, "ms"));
                }
            }
        }
        figures
    }
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
pub(crate) fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}
