//! Agreement of all agents of a service on the number of its records.

use std::num::NonZeroU32;

use bulrushward_clients::CasOutcome;
use bytes::Bytes;
use tracing::{error, warn};

use crate::{
    ClaimSettings, KvCallReason,
    gateway::{CallError, Gateway},
};

/// Returns the key that holds the number of records of a service.
pub(crate) fn layout_key(service: &str) -> String {
    format!("claims/{service}/layout")
}

/// Returns the key of one record.
pub(crate) fn shard_key(service: &str, shard: u32) -> String {
    format!("claims/{service}/{shard}")
}

/// Reads the number of records, or writes the own one if there is none yet.
///
/// Two agents with different numbers would look for one action in two records, so the stored
/// number goes before the setting. `None` means that the number is not known yet.
pub(crate) async fn agree_on_shards(
    gateway: &Gateway,
    settings: &ClaimSettings,
) -> Option<NonZeroU32> {
    let key = layout_key(&settings.service);
    let stored = match gateway.get(&key, KvCallReason::Layout).await.ok()? {
        Some(entry) => entry.value,
        None => create(gateway, &key, settings.shards).await.ok()??,
    };
    let Some(shards) = parse(&stored) else {
        error!(event = "claims-layout-unreadable", key);
        return None;
    };
    if shards != settings.shards {
        warn!(
            event = "claims-layout-differs",
            stored = shards.get(),
            setting = settings.shards.get()
        );
    }
    Some(shards)
}

/// Writes the number of records; returns what is stored then, if it is known.
async fn create(
    gateway: &Gateway,
    key: &str,
    shards: NonZeroU32,
) -> Result<Option<Bytes>, CallError> {
    let value = Bytes::from(shards.to_string());
    let outcome = gateway
        .compare_and_swap(key, 0, value.clone(), KvCallReason::Layout)
        .await?;
    Ok(match outcome {
        CasOutcome::Written(_) => Some(value),
        CasOutcome::Conflict(entry) => entry.map(|entry| entry.value),
    })
}

fn parse(value: &[u8]) -> Option<NonZeroU32> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
