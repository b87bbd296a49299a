//! Saves session locations in the platform's store, for the case that all routers of a fleet restart at once.

use std::{sync::Arc, time::Duration};

use bulrushward_policy::{
    fleet_schedule::FleetSchedule, server_registry::StoreRevision, version_history::HistoryReport,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{debug, info};

use crate::{
    call::UNOBSERVED, fleet_state::FleetState, location_updates::SessionLocation,
    metrics::StoreCall, shared::Shared,
};

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
/// Largest number of restores of the saved history of versions.
const MAX_RESTORES: u32 = 5;
/// Interval at which a starting router checks whether it knows the servers.
const HISTORY_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Serialize, Deserialize)]
struct SavedSessions {
    format: u8,
    /// Session locations, the most recently used first.
    session_locations: Vec<SessionLocation>,
}

/// Second part of the saved data, which routers of earlier versions neither write nor read.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SavedHistory {
    /// Software versions of the servers.
    versions: HistoryReport,
    /// Store revision of the servers up to which they are known.
    revision: StoreRevision,
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
pub(crate) async fn run(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    restore(&shared).await;
    let mut saved_changes = None;
    let mut schedule = FleetSchedule::new(SAVE_INTERVAL, &mut rand::rng());
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let changes = shared.location_changes();
        let is_turn = schedule.advance(CHECK_INTERVAL, shared.routers(), &mut rand::rng());
        if saved_changes != Some(changes)
            && is_turn
            && shared.store_state.is_available()
            && save(&shared, &fleet_state).await
        {
            saved_changes = Some(changes);
        }
    }
}

async fn restore(shared: &Shared) {
    loop {
        let saved = shared.store.read_saved().await;
        shared.metrics.record_store_call(StoreCall::Saved, &saved);
        match saved {
            Ok(saved) => {
                let history = saved.as_ref().map(|bytes| apply(shared, bytes));
                restore_history(shared, history).await;
                return;
            }
            Err(error) => {
                debug!(event = "saved-sessions-not-read", %error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies saved sessions; returns the saved history of versions.
fn apply(shared: &Shared, bytes: &Bytes) -> SavedHistory {
    match decode(bytes) {
        Ok((saved, history)) => {
            shared.merge_session_locations(&saved.session_locations);
            let placements = saved.session_locations.len();
            info!(event = "saved-sessions-learnt", placements);
            history
        }
        Err(error) => {
            info!(event = "saved-sessions-refused", %error);
            SavedHistory::default()
        }
    }
}

/// Continues the history of versions of a router that died, if the store has the changes since.
///
/// Without saved data the history is known only if the fleet starts for the first time. Snapshots of peers that have just
/// started as well shorten the history again, so it is restored until it stays.
async fn restore_history(shared: &Shared, saved: Option<SavedHistory>) {
    while !shared.has_servers() {
        tokio::time::sleep(HISTORY_PAUSE).await;
    }
    let origins = &shared.stream_origins;
    let Some(saved) = saved else {
        let is_first_start = shared.settings().first_start;
        info!(event = "saved-versions-absent", is_first_start);
        if is_first_start {
            origins.begin_fleet();
        }
        return;
    };
    for _ in 0..MAX_RESTORES {
        let missed = shared
            .store
            .next_servers(saved.revision, Duration::ZERO, UNOBSERVED)
            .await;
        shared
            .metrics
            .record_store_call(StoreCall::ServerChanges, &missed);
        match missed {
            Ok(missed) => {
                origins.observe_servers(missed.records());
                origins.restore_history(&saved.versions);
                let changes = missed.changes.len();
                info!(event = "saved-versions-learnt", changes);
            }
            Err(error) => info!(event = "saved-versions-refused", %error),
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !origins.has_shorter_history_than(&saved.versions) {
            return;
        }
    }
}

fn decode(bytes: &[u8]) -> Result<(SavedSessions, SavedHistory), SavedError> {
    let (format, _rest) = postcard::take_from_bytes::<u8>(bytes).context(UnreadableSnafu)?;
    ensure!(format == FORMAT, FormatSnafu { format });
    let (saved, history) = postcard::take_from_bytes(bytes).context(UnreadableSnafu)?;
    Ok((saved, postcard::from_bytes(history).unwrap_or_default()))
}

/// Saves the session locations; returns whether the store acknowledged it.
async fn save(shared: &Shared, fleet_state: &FleetState) -> bool {
    // Read first, so that the history is not older.
    let revision = fleet_state.servers_revision();
    let servers = shared.servers.load();
    let registered = servers.all().map(|server| &server.record);
    let history = SavedHistory {
        versions: shared.stream_origins.history(registered),
        revision,
    };
    let sessions = SavedSessions {
        format: FORMAT,
        session_locations: shared.latest_session_locations(),
    };
    let bytes = match postcard::to_stdvec(&(&sessions, &history)) {
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
