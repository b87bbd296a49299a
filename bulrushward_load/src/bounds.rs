//! Limits of a load that no argument can raise.

use std::time::Duration;

use snafu::Snafu;

/// Maximum number of requests in one run.
const MAX_COUNT: usize = 200_000;
/// Maximum duration of a run.
const MAX_TIME: Duration = Duration::from_mins(2);
/// Maximum number of requests in progress.
const MAX_CONCURRENCY: usize = 2_000;
/// Maximum rate in requests per second.
const MAX_RATE: f64 = 50_000.0;

/// A setting of the load that is outside its limits.
#[derive(Debug, PartialEq, Snafu)]
pub enum BoundError {
    /// The number of requests is zero or too large.
    #[snafu(display("count is {count} and should be between 1 and {MAX_COUNT} requests"))]
    Count {
        /// The requested number of requests.
        count: usize,
    },
    /// The duration is zero or too long.
    #[snafu(display(
        "time is {} s and should be above 0 s and at most {} s",
        time.as_secs_f64(),
        MAX_TIME.as_secs()
    ))]
    Time {
        /// The requested duration.
        time: Duration,
    },
    /// The number of requests in progress is zero or too large.
    #[snafu(display(
        "concurrency is {concurrency} and should be between 1 and {MAX_CONCURRENCY} requests"
    ))]
    Concurrency {
        /// The requested number of requests in progress.
        concurrency: usize,
    },
    /// The rate is not a positive number or is too high.
    #[snafu(display("rate is {rate} and should be above 0 and at most {MAX_RATE} requests/s"))]
    Rate {
        /// The requested rate in requests per second.
        rate: f64,
    },
}

/// Number of requests and duration of a load, within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests.
    pub count: usize,
    /// Maximum duration.
    pub time: Duration,
}

impl Bounds {
    /// Checks a number of requests and a duration.
    ///
    /// # Errors
    ///
    /// Returns [`BoundError`] if one of them is zero or exceeds its limit.
    pub fn new(count: usize, time: Duration) -> Result<Self, BoundError> {
        if count == 0 || count > MAX_COUNT {
            return CountSnafu { count }.fail();
        }
        if time.is_zero() || time > MAX_TIME {
            return TimeSnafu { time }.fail();
        }
        Ok(Self { count, time })
    }
}

/// Checks a number of requests in progress.
pub(crate) fn check_concurrency(concurrency: usize) -> Result<usize, BoundError> {
    if concurrency == 0 || concurrency > MAX_CONCURRENCY {
        return ConcurrencySnafu { concurrency }.fail();
    }
    Ok(concurrency)
}

/// Checks a rate in requests per second.
///
/// # Errors
///
/// Returns [`BoundError`] if the rate is not positive or exceeds its limit.
pub fn check_rate(rate: f64) -> Result<f64, BoundError> {
    // The negated comparison also rejects NaN.
    if !(rate > 0.0 && rate <= MAX_RATE) {
        return RateSnafu { rate }.fail();
    }
    Ok(rate)
}
