//! Follows the configuration and the registered servers in the platform's store.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tracing::{info, warn};

use crate::{
    knowledge::{Knowledge, Source},
    metrics::StoreCall,
    ports::{FleetStore, StoreError},
    shared::{Shared, View},
};

/// Time for which one call waits for changes; calls are priced, stores keep their history for longer, and
/// probes of the system notice a connection that went silent sooner.
const WAIT: Duration = Duration::from_secs(12);
/// Share of the time in which a change must be known for which further ones are gathered, so that a series of
/// them takes few calls; the rest is for the call, its repeat and requests on their way.
pub(crate) const GATHERING_SHARE: f64 = 0.4;
/// Pause after the first failed call; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between calls while the store does not answer.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Pauses between failed calls.
#[derive(Debug, Default)]
struct Pauses {
    failures: u32,
}

impl Pauses {
    async fn pause(&mut self) {
        let longest = (FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(8))).min(LONGEST_PAUSE);
        self.failures += 1;
        // Routers that lost the store together do not return to it together.
        let pause = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Follows the configuration for ever.
pub(crate) async fn config(shared: Arc<Shared>, knowledge: Arc<Knowledge>) {
    let mut pauses = Pauses::default();
    let mut after = None;
    loop {
        let (call, reading) = match after {
            None => (StoreCall::Config, shared.store.config().await),
            Some(after) => {
                let reading = shared.store.next_config(after, WAIT).await;
                (StoreCall::ConfigChanges, reading)
            }
        };
        shared.metrics.store_call(call, &reading);
        match reading {
            Ok(reading) => {
                note_answer(&shared, View::Config);
                pauses = Pauses::default();
                after = Some(reading.revision);
                if let Some(config) = reading.config {
                    knowledge.adopt(config, Source::Store);
                    gather(shared.settings().config_known).await;
                }
            }
            Err(error) => {
                after = None;
                note_failure(&shared, &error);
                pauses.pause().await;
            }
        }
    }
}

/// Follows the registered servers for ever.
pub(crate) async fn servers(shared: Arc<Shared>, knowledge: Arc<Knowledge>) {
    let mut pauses = Pauses::default();
    let mut is_listed = false;
    loop {
        let store = shared.store.as_ref();
        let (call, done) = if is_listed {
            let done = next_servers(store, &knowledge).await;
            (StoreCall::ServerChanges, done)
        } else {
            let done = list_servers(store, &knowledge).await;
            (StoreCall::Servers, done)
        };
        shared.metrics.store_call(call, &done);
        match done {
            Ok(has_changes) => {
                note_answer(&shared, View::Servers);
                pauses = Pauses::default();
                if is_listed && has_changes {
                    gather(shared.settings().leaving_known).await;
                }
                is_listed = true;
            }
            Err(error) => {
                is_listed = false;
                if !matches!(error, StoreError::HistoryGone { .. }) {
                    knowledge.store_failed();
                }
                note_failure(&shared, &error);
                pauses.pause().await;
            }
        }
    }
}

/// Pauses after changes that must be known within a time.
async fn gather(known: Duration) {
    tokio::time::sleep(known.mul_f64(GATHERING_SHARE)).await;
}

fn note_answer(shared: &Shared, view: View) {
    if shared.store_confirmed(view) {
        info!(event = "store-regained");
    }
}

fn note_failure(shared: &Shared, error: &StoreError) {
    if matches!(error, StoreError::HistoryGone { .. }) {
        info!(event = "store-history-gone", %error);
    } else if shared.store_failed() {
        warn!(event = "store-lost", %error);
    }
}

async fn list_servers(store: &dyn FleetStore, knowledge: &Knowledge) -> Result<bool, StoreError> {
    let listing = store.servers().await?;
    knowledge.store_answered();
    knowledge.replace_servers(listing);
    Ok(true)
}

/// Waits for changes; returns whether there were any.
async fn next_servers(store: &dyn FleetStore, knowledge: &Knowledge) -> Result<bool, StoreError> {
    let after = knowledge.servers_as_of();
    let changes = store.next_servers(after, WAIT).await?;
    let has_changes = !changes.changes.is_empty();
    knowledge.store_answered();
    knowledge.change_servers(after, &changes);
    Ok(has_changes)
}
