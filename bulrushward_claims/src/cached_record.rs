//! A shard's local copy of its claims record, to which groups of changes are applied.

use bulrushward_clients::{Entry, Version};
use bulrushward_policy::claim::{ClaimDecision, ClaimRecord, Retention};
use tracing::warn;

use crate::{ClaimSettings, RecordError, pending::PendingChange, record_codec::decode_record};

/// A record as last read or written.
#[derive(Debug)]
pub(crate) struct CachedRecord {
    pub(crate) record: ClaimRecord,
    pub(crate) version: Version,
    /// Whether the record was read while the current group was being committed.
    pub(crate) is_fresh: bool,
}

impl CachedRecord {
    /// Decodes the value of a key; an absent key counts as an empty record.
    pub(crate) fn from_entry(entry: Option<Entry>) -> Result<Self, RecordError> {
        let (record, version) = match entry {
            None => (ClaimRecord::default(), 0),
            Some(entry) => (decode_record(&entry.value)?, entry.version),
        };
        Ok(Self {
            record,
            version,
            is_fresh: true,
        })
    }

    /// Applies a group of changes to the copy and returns one decision per change.
    pub(crate) fn apply_group(
        &mut self,
        group: &[PendingChange],
        now_ms: u64,
        settings: &ClaimSettings,
        retention: &Retention,
    ) -> Vec<ClaimDecision> {
        let record = &mut self.record;
        record.advance_clock(now_ms);
        let unfinished = record.prune(retention);
        if unfinished > 0 {
            warn!(event = "claims-unfinished-expired", count = unfinished);
        }
        let apply = |pending: &PendingChange| {
            record.apply(
                pending.action,
                pending.attempt,
                pending.change,
                settings.value_limit,
            )
        };
        group.iter().map(apply).collect()
    }

    /// Returns whether decisions that left the record unchanged are valid without reading it again.
    pub(crate) fn are_conclusive(&self, decisions: &[ClaimDecision]) -> bool {
        self.is_fresh || decisions.iter().all(is_final)
    }
}

/// Returns whether a decision is correct even if it was based on an outdated record.
///
/// A finished action and a barred attempt stay so, whereas a held claim may have been released and a
/// full record may have lost expired entries in the meantime.
fn is_final(decision: &ClaimDecision) -> bool {
    match decision {
        ClaimDecision::Ran { .. } | ClaimDecision::Barred | ClaimDecision::Recorded => true,
        ClaimDecision::Won | ClaimDecision::Held { .. } | ClaimDecision::Full => false,
    }
}
