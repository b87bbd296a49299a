//! Rate limits per organisation.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::OrganisationId;

/// Size of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Smallest size of a token bucket in requests, so that a low rate still admits single requests.
const MIN_BURST: f64 = 1.0;
/// Lowest effective rate in requests per second.
const MIN_RATE: f64 = 1e-6;

/// Token bucket of one organisation.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    last_refill: Instant,
}

impl Bucket {
    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(MIN_BURST)
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now
            .saturating_duration_since(self.last_refill)
            .as_secs_f64();
        self.tokens = (self.tokens + seconds * self.rate).min(self.burst());
        self.last_refill = self.last_refill.max(now);
    }
}

/// Token buckets of the organisations that have a limit.
#[derive(Debug, Default)]
pub struct OrganisationLimits {
    buckets: HashMap<OrganisationId, Bucket>,
}

impl OrganisationLimits {
    /// Replaces the rates, in requests per second.
    ///
    /// Organisations that already had a limit keep their tokens, up to the size of their new
    /// bucket.
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
                last_refill: now,
            };
            if let Some(mut previous) = old.remove(&organisation) {
                previous.refill(now);
                bucket.tokens = previous.tokens;
            }
            bucket.refill(now);
            self.buckets.insert(organisation, bucket);
        }
    }

    /// Takes a token for one request of an organisation; one without a limit needs none.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available if there is none now.
    pub fn take(&mut self, organisation: &str, now: Instant) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return Ok(());
        };
        bucket.refill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - bucket.tokens) / bucket.rate;
        // Rounded up, so that a request after exactly this time is admitted.
        Err(Duration::from_secs_f64(seconds) + Duration::from_micros(1))
    }
}
