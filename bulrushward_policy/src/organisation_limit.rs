//! Limits of requests a second for each organisation.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::OrganisationId;

/// Seconds of its rate that an organisation may save up.
const BURST_SECONDS: f64 = 1.0;
/// Least burst in requests, so that a slow rate still lets single requests through.
const MIN_BURST: f64 = 1.0;
/// Lowest rate in requests a second; lower ones count as this.
const MIN_RATE: f64 = 1e-6;

/// The requests that an organisation may send now.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(MIN_BURST)
    }

    fn fill(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + seconds * self.rate).min(self.burst());
        self.filled = self.filled.max(now);
    }
}

/// Token buckets of the organisations that have a limit.
#[derive(Debug, Default)]
pub struct OrganisationLimits {
    buckets: HashMap<OrganisationId, Bucket>,
}

impl OrganisationLimits {
    /// Replaces the rates, in requests a second; organisations that keep a limit keep what they
    /// saved, up to their new burst.
    pub fn reconfigure(
        &mut self,
        rates: impl IntoIterator<Item = (OrganisationId, f64)>,
        now: Instant,
    ) {
        let mut old = std::mem::take(&mut self.buckets);
        for (organisation, rate) in rates {
            let mut bucket = Bucket {
                rate: rate.max(MIN_RATE),
                tokens: f64::INFINITY,
                filled: now,
            };
            if let Some(mut earlier) = old.remove(&organisation) {
                earlier.fill(now);
                bucket.tokens = earlier.tokens;
            }
            bucket.fill(now);
            self.buckets.insert(organisation, bucket);
        }
    }

    /// Counts one request of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request would be let through if this one is not.
    pub fn take(&mut self, organisation: &str, now: Instant) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Ok(());
        };
        bucket.fill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - bucket.tokens) / bucket.rate;
        // Rounded up, so that who waits exactly so long is let through.
        Err(Duration::from_secs_f64(seconds) + Duration::from_micros(1))
    }
}
