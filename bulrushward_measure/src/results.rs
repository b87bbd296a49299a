//! Results of one run of the model.

use std::{collections::BTreeMap, time::Duration};

use bulrushward_protocol::{RefusalReason, WorkUnits};
use hdrhistogram::Histogram;

use crate::workload::Kind;

/// Number of recorded integer steps per unit of skew.
const SKEW_STEPS: f64 = 10_000.0;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Largest value that the histograms record: a skew of 100,000 or, in milliseconds, 11 days.
const LARGEST: u64 = 1_000_000_000;

/// Counts and distributions of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    /// Number of requests that reached a router in the entire run.
    pub arrived: u64,
    /// Number of requests that an agent admitted in the entire run.
    pub admitted: u64,
    /// Number of requests that finished in the entire run.
    pub finished: u64,
    /// Number of requests that were finally refused in the entire run.
    pub refused: u64,
    /// Number of requests in progress when the run ended.
    pub unfinished: u64,
    /// Number of tokens in the fullest prefix cache when the run ended.
    pub max_cache_tokens: u64,
    /// Number of refusals after the warm-up, by kind of work and last reason.
    pub refusals: BTreeMap<(String, String), u64>,
    /// Number of prompt tokens after the warm-up.
    pub prompt_tokens: u64,
    /// Number of prompt tokens after the warm-up that were cached.
    pub cached_tokens: u64,
    skew: Histogram<u64>,
    skew_above_floor: Histogram<u64>,
    first_token_ms: BTreeMap<String, Histogram<u64>>,
}

impl Default for Results {
    fn default() -> Self {
        Self {
            arrived: 0,
            admitted: 0,
            finished: 0,
            refused: 0,
            unfinished: 0,
            max_cache_tokens: 0,
            refusals: BTreeMap::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            skew: histogram(),
            skew_above_floor: histogram(),
            first_token_ms: BTreeMap::new(),
        }
    }
}

impl Results {
    /// Returns the share of prompt tokens that were cached.
    #[must_use]
    pub fn reuse(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns a quantile of the skew at admissions above the load floor, if there were any.
    ///
    /// The skew is the load of the admitting backend server divided by the mean load.
    #[must_use]
    pub fn skew_above_floor(&self, quantile: f64) -> Option<f64> {
        let skew = self.skew_above_floor.value_at_quantile(quantile) as f64 / SKEW_STEPS;
        (!self.skew_above_floor.is_empty()).then_some(skew)
    }

    /// Returns the share of admissions after which the load was above the load floor.
    #[must_use]
    pub fn above_floor_share(&self) -> f64 {
        self.skew_above_floor.len() as f64 / self.skew.len().max(1) as f64
    }

    /// Returns a quantile of the skew at all admissions.
    #[must_use]
    pub fn skew(&self, quantile: f64) -> f64 {
        self.skew.value_at_quantile(quantile) as f64 / SKEW_STEPS
    }

    /// Returns the 95th percentile of the time until the first token, by kind of work.
    #[must_use]
    pub fn first_token_p95(&self) -> BTreeMap<String, Duration> {
        let p95 = |h: &Histogram<u64>| Duration::from_millis(h.value_at_quantile(0.95));
        self.first_token_ms
            .iter()
            .map(|(kind, h)| (kind.clone(), p95(h)))
            .collect()
    }

    /// Returns the share of measured requests that were refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let refused: u64 = self.refusals.values().sum();
        let with_first_token: u64 = self.first_token_ms.values().map(Histogram::len).sum();
        refused as f64 / (refused + with_first_token).max(1) as f64
    }

    pub(crate) fn record_refusal(&mut self, kind: Kind, reason: RefusalReason, is_measured: bool) {
        self.refused += 1;
        if is_measured {
            let key = (kind.to_string(), reason.to_string());
            *self.refusals.entry(key).or_default() += 1;
        }
    }

    pub(crate) fn record_skew(&mut self, load: WorkUnits, mean: f64, floor: WorkUnits) {
        let skew = (load as f64 / mean * SKEW_STEPS).round() as u64;
        self.skew.saturating_record(skew);
        if load > floor {
            self.skew_above_floor.saturating_record(skew);
        }
    }

    pub(crate) fn record_prompt(&mut self, cached: u64, prompt: u64, is_measured: bool) {
        if is_measured {
            self.prompt_tokens += prompt;
            self.cached_tokens += cached;
        }
    }

    pub(crate) fn record_first_token(&mut self, kind: Kind, elapsed: Duration, is_measured: bool) {
        if is_measured {
            let times = self
                .first_token_ms
                .entry(kind.to_string())
                .or_insert_with(histogram);
            times.saturating_record(elapsed.as_millis() as u64);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST, DIGITS).expect("bounds and precision are valid")
}
