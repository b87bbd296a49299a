//! Where sessions are, kept in the platform's store for a fleet whose routers all start again at once.

use std::{sync::Arc, time::Duration};

use bulrushward_policy::save_schedule::SaveSchedule;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{debug, info};

use crate::{metrics::StoreCall, news::Placement, shared::Shared};

/// Number of the format; others are not read.
const FORMAT: u8 = 1;
/// Time between two looks whether it is this router's turn.
const CHECK: Duration = Duration::from_secs(1);
/// Time in which one router of the fleet saves, on average: each save is a priced call, and prompts that moved
/// after the last one are read again after a start of all routers.
const INTERVAL: Duration = Duration::from_secs(2);
/// Pause before the saved sessions are asked for again after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Serialize, Deserialize)]
struct SavedSessions {
    format: u8,
    /// The latest first.
    placements: Vec<Placement>,
}

/// Why saved sessions were not taken in.
#[derive(Debug, Snafu)]
enum SavedError {
    #[snafu(display("unreadable: {source}"))]
    Unreadable { source: postcard::Error },
    #[snafu(display("format {format} is not known"))]
    Format { format: u8 },
}

/// Learns where sessions were before the start, and saves where they are from then on.
pub(crate) async fn keep(shared: Arc<Shared>) {
    learn(&shared).await;
    let mut saved = 0;
    let mut turns = SaveSchedule::new(INTERVAL, &mut rand::rng());
    loop {
        tokio::time::sleep(CHECK).await;
        let change = shared.homes_change();
        let is_turn = turns.advance(CHECK, shared.routers(), &mut rand::rng());
        if change != saved && is_turn && shared.store_answers() && save(&shared).await {
            saved = change;
        }
    }
}

async fn learn(shared: &Shared) {
    loop {
        let saved = shared.store.saved().await;
        shared.metrics.store_call(StoreCall::Saved, &saved);
        match saved {
            Ok(saved) => {
                if let Some(bytes) = saved {
                    take_in(shared, &bytes);
                }
                return;
            }
            Err(error) => {
                debug!(event = "saved-sessions-not-read", %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn take_in(shared: &Shared, bytes: &Bytes) {
    match decode(bytes) {
        Ok(saved) => {
            shared.learn_placements(&saved.placements);
            let placements = saved.placements.len();
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

/// Saves where sessions are; returns whether that was acknowledged.
async fn save(shared: &Shared) -> bool {
    let sessions = SavedSessions {
        format: FORMAT,
        placements: shared.placements(),
    };
    let bytes = match postcard::to_stdvec(&sessions) {
        Ok(bytes) => bytes,
        Err(error) => {
            info!(event = "sessions-not-saved", %error);
            return false;
        }
    };
    let acknowledged = shared.store.save(&bytes).await;
    shared.metrics.store_call(StoreCall::Save, &acknowledged);
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
