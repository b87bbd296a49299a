//! Calls to the store that are repeated before they have failed, while nothing can be served without their response.

use std::{pin::Pin, time::Duration};

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use crate::ports::StoreError;

/// Limit of concurrent calls.
const MAX_CALLS: usize = 3;
/// Interval at which a call is sent again while earlier ones wait; a healthy store responds within milliseconds.
const INTERVAL: Duration = Duration::from_millis(250);

type Calls<'a, T> =
    FuturesUnordered<Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>>;

/// Sends a call repeatedly until one of them has a response, or until the first one fails.
///
/// A store responds to new calls as soon as an outage ends, but not to those that it has lost.
///
/// # Errors
///
/// Returns the [`StoreError`] of the first call that fails.
pub(crate) async fn hedged<'a, T, F>(call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>> + Send + 'a,
{
    let mut calls: Calls<'a, T> = FuturesUnordered::new();
    calls.push(Box::pin(call()));
    let mut next = Instant::now() + INTERVAL;
    loop {
        tokio::select! {
            Some(result) = calls.next() => return result,
            () = sleep_until(next), if calls.len() < MAX_CALLS => {
                calls.push(Box::pin(call()));
                next += INTERVAL;
            }
        }
    }
}
