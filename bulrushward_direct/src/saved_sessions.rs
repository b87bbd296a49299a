//! Saves session locations in the platform's store, for the case that all routers of a fleet restart at once.

use std::{sync::Arc, time::Duration};

use bulrushward_policy::fleet_schedule::FleetSchedule;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{debug, info};

use crate::{location_updates::SessionLocation, metrics::StoreCall, shared::Shared};

/// Version of the encoding; data with another version is ignored.
const FORMAT: u8 = 1;
/// Interval at which a router checks whether it is its turn to save.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Average interval at which some router of the fleet saves.
///
/// Each save costs a store call. If all routers restart, the prompts of sessions that moved since the last save
/// are prefilled again.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call to read the saved sessions.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct SavedSessions {
    format: u8,
    /// Session locations, the most recently used first.
    session_locations: Vec<SessionLocation>,
}

/// Reason why saved sessions were ignored.
#[derive(Debug, Snafu)]
enum SavedError {
    #[snafu(display("unreadable: {source}"))]
    Unreadable { source: postcard::Error },
    #[snafu(display("unknown format {format}"))]
    Format { format: u8 },
}

/// Restores the saved session locations, and saves the current ones from then on until cancelled.
pub(crate) async fn run(shared: Arc<Shared>) {
    restore(&shared).await;
    let mut saved_changes = 0;
    let mut schedule = FleetSchedule::new(SAVE_INTERVAL, &mut rand::rng());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let changes = shared.location_changes();
        let is_turn = schedule.advance(CHECK_INTERVAL, shared.routers(), &mut rand::rng());
        if changes != saved_changes
            && is_turn
            && shared.store_state.is_available()
            && save(&shared).await
        {
            saved_changes = changes;
        }
    }
}

async fn restore(shared: &Shared) {
    loop {
        let saved = shared.store.read_saved().await;
        shared.metrics.record_store_call(StoreCall::Saved, &saved);
        match saved {
            Ok(saved) => {
                if let Some(bytes) = saved {
                    apply(shared, &bytes);
                }
                return;
            }
            Err(error) => {
                debug!(event = "saved-sessions-not-read", %error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply(shared: &Shared, bytes: &Bytes) {
    match decode(bytes) {
        Ok(saved) => {
            shared.merge_session_locations(&saved.session_locations);
            let placements = saved.session_locations.len();
            info!(event = "saved-sessions-learnt", placements);
        }
        Err(error) => info!(event = "saved-sessions-refused", %error),
    }
}

fn decode(bytes: &[u8]) -> Result<SavedSessions, SavedError> {
    let (format, _rest) = postcard::take_from_bytes::<u8>(bytes).context(UnreadableSnafu)?;
    ensure!(format == FORMAT, FormatSnafu { format });
    postcard::from_bytes(bytes).context(UnreadableSnafu)
}

/// Saves the session locations; returns whether the store acknowledged it.
async fn save(shared: &Shared) -> bool {
    let sessions = SavedSessions {
        format: FORMAT,
        session_locations: shared.latest_session_locations(),
    };
    let bytes = match postcard::to_stdvec(&sessions) {
        Ok(bytes) => bytes,
        Err(error) => {
            info!(event = "sessions-not-saved", %error);
            return false;
        }
    };
    let acknowledged = shared.store.save(&bytes).await;
    shared
        .metrics
        .record_store_call(StoreCall::Save, &acknowledged);
    match acknowledged {
        Ok(()) => {
            debug!(event = "sessions-saved", bytes = bytes.len());
            true
        }
        Err(error) => {
            info!(event = "sessions-not-saved", %error);
            false
        }
    }
}
