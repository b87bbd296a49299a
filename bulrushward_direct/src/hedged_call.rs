//! Reads of the configuration that are repeated before they have failed, while nothing can be served without it.

use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{
    call::OnResponse,
    ports::{ConfigUpdate, FleetStore, StoreError},
};

/// Limit of concurrent calls.
const MAX_CALLS: usize = 3;
/// Interval at which a call is sent again while earlier ones wait; a healthy store responds within milliseconds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Reads the configuration by repeated calls until one of them has a response, or until the first one fails.
///
/// A store responds to new calls as soon as an outage ends, but not to those that it has lost. Once a response begins to
/// arrive, the other calls end, as their responses would share the link.
///
/// # Errors
///
/// Returns the [`StoreError`] of the first call that fails.
pub(crate) async fn hedged_config(
    store: &dyn FleetStore,
    on_response: OnResponse<'_>,
) -> Result<ConfigUpdate, StoreError> {
    let first = watch::Sender::new(None);
    let call = async |index: usize| {
        let claim_first = || {
            first.send_if_modified(|first| {
                let is_first = first.is_none();
                first.get_or_insert(index);
                is_first
            });
            on_response();
        };
        tokio::select! {
            biased;
            () = overtaken(first.subscribe(), index) => None,
            result = store.config(&claim_first) => Some(result),
        }
    };
    let mut calls = FuturesUnordered::from_iter([call(0)]);
    let mut next = Instant::now() + INTERVAL;
    loop {
        let is_waiting = calls.len() < MAX_CALLS && first.borrow().is_none();
        tokio::select! {
            biased;
            Some(result) = calls.next() => if let Some(result) = result {
                return result;
            },
            () = sleep_until(next), if is_waiting => {
                calls.push(call(calls.len()));
                next = Instant::now() + INTERVAL;
            }
        }
    }
}

/// Waits until another call has the first response.
async fn overtaken(mut first: watch::Receiver<Option<usize>>, index: usize) {
    let is_other = |first: &Option<usize>| first.is_some_and(|first| first != index);
    if first.wait_for(is_other).await.is_err() {
        // The sender lives as long as the calls.
        std::future::pending::<()>().await;
    }
}
