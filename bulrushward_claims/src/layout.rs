//! The number of shards of a service, which all its agents must agree on.

use std::num::NonZeroU32;

use bulrushward_clients::CasOutcome;
use bytes::Bytes;
use tracing::{error, warn};

use crate::{
    ClaimSettings, KvCallReason,
    kv_client::{CallError, KvClient},
};

/// Returns the key that holds the number of shards of a service.
pub(crate) fn layout_key(service: &str) -> String {
    format!("claims/{service}/layout")
}

/// Returns the key that holds the record of one shard.
pub(crate) fn shard_key(service: &str, shard: u32) -> String {
    format!("claims/{service}/{shard}")
}

/// Reads the number of shards, or writes the configured number if none is stored yet.
///
/// Agents with different numbers would look for the same action in different records, so the stored
/// number takes precedence over the setting. Returns `None` if the number could not be read or
/// written.
pub(crate) async fn load_or_create_shard_count(
    kv_client: &KvClient,
    settings: &ClaimSettings,
) -> Option<NonZeroU32> {
    let key = layout_key(&settings.service);
    let stored = match kv_client.get(&key, KvCallReason::Layout).await.ok()? {
        Some(entry) => entry.value,
        None => create(kv_client, &key, settings.shards).await.ok()??,
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

/// Writes the number of shards; returns the stored value, which another agent may have written.
async fn create(
    kv_client: &KvClient,
    key: &str,
    shards: NonZeroU32,
) -> Result<Option<Bytes>, CallError> {
    let value = Bytes::from(shards.to_string());
    let outcome = kv_client
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
