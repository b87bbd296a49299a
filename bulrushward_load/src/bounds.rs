//! Limits of a load, which no argument can lift.

use std::time::Duration;

use snafu::Snafu;

/// Largest number of requests in one run.
const MAX_COUNT: usize = 200_000;
/// Longest run.
const MAX_TIME: Duration = Duration::from_mins(2);
/// Largest number of requests in progress.
const MAX_CONCURRENCY: usize = 2_000;
/// Highest rate in requests per second.
const MAX_RATE: f64 = 50_000.0;

/// A load that is too large.
#[derive(Debug, PartialEq, Snafu)]
pub enum BoundError {
    /// There are none or too many requests.
    #[snafu(display("count is {count} and should be between 1 and {MAX_COUNT} requests"))]
    Count {
        /// Requests asked for.
        count: usize,
    },
    /// The run is too short or too long.
    #[snafu(display(
        "time is {} s and should be above 0 s and at most {} s",
        time.as_secs_f64(),
        MAX_TIME.as_secs()
    ))]
    Time {
        /// Time asked for.
        time: Duration,
    },
    /// There are none or too many requests in progress.
    #[snafu(display(
        "concurrency is {concurrency} and should be between 1 and {MAX_CONCURRENCY} requests"
    ))]
    Concurrency {
        /// Requests in progress asked for.
        concurrency: usize,
    },
    /// The rate is not a positive number or is too high.
    #[snafu(display("rate is {rate} and should be above 0 and at most {MAX_RATE} requests/s"))]
    Rate {
        /// Requests per second asked for.
        rate: f64,
    },
}

/// Count and time of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Number of requests after which the load ends.
    pub count: usize,
    /// Time after which the load ends.
    pub time: Duration,
}

impl Bounds {
    /// Checks a count and a time.
    ///
    /// # Errors
    ///
    /// Returns [`BoundError`] if one of them is too small or too large.
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
/// Returns [`BoundError`] if the rate is too low or too high.
pub fn check_rate(rate: f64) -> Result<f64, BoundError> {
    // The negated form also refuses what is not a number.
    if !(rate > 0.0 && rate <= MAX_RATE) {
        return RateSnafu { rate }.fail();
    }
    Ok(rate)
}
