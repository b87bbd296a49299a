//! A shard's copy of its record, on which groups of changes are decided.

use bulrushward_clients::{Entry, Version};
use bulrushward_policy::claim::{ClaimDecision, ClaimRecord, Retention};
use tracing::warn;

use crate::{ClaimSettings, RecordError, pending::Pending, record_codec::decode_record};

/// A record as last read or written.
#[derive(Debug)]
pub(crate) struct CachedRecord {
    pub(crate) record: ClaimRecord,
    pub(crate) version: Version,
    /// Whether the record was read for the group at hand.
    pub(crate) is_fresh: bool,
}

impl CachedRecord {
    /// Decodes what a key holds; an absent key is an empty record.
    pub(crate) fn read(entry: Option<Entry>) -> Result<Self, RecordError> {
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

    /// Applies a group of changes.
    pub(crate) fn decide(
        &mut self,
        group: &[Pending],
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
        let apply = |pending: &Pending| {
            record.apply(
                pending.action,
                pending.attempt,
                pending.change,
                settings.value_limit,
            )
        };
        group.iter().map(apply).collect()
    }

    /// Tells whether decisions that changed nothing hold without another look at the record.
    pub(crate) fn holds(&self, decisions: &[ClaimDecision]) -> bool {
        self.is_fresh || decisions.iter().all(is_final)
    }
}

/// Tells whether a decision stays true however old the record is that it was made on.
fn is_final(decision: &ClaimDecision) -> bool {
    match decision {
        ClaimDecision::Ran { .. } | ClaimDecision::Barred | ClaimDecision::Recorded => true,
        ClaimDecision::Won | ClaimDecision::Held { .. } | ClaimDecision::Full => false,
    }
}
