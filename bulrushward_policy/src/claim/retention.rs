//! Retention of the entries of a claims record.

use std::time::Duration;

use super::{ActionKeySource, ClaimEntry, ClaimState, RecordSecond, action_key_source};

/// How long entries are kept after their last change, by state and source of the action key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Retention of a finished action with an idempotency key.
    pub finished_key: Duration,
    /// Retention of a finished action that is identified by its content.
    pub finished_content: Duration,
    /// Retention of an unfinished claim, whose holder may still be paused before the start.
    pub claimed: Duration,
    /// Retention of a tombstone, since a late copy of the barred attempt may still arrive.
    pub barred: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            finished_key: Duration::from_hours(24),
            finished_content: Duration::from_mins(2),
            claimed: Duration::from_hours(7 * 24),
            barred: Duration::from_hours(24),
        }
    }
}

impl Retention {
    /// Returns whether an entry may be removed at a time of the record's clock.
    #[must_use]
    pub(crate) fn is_expired(&self, entry: &ClaimEntry, now: RecordSecond) -> bool {
        let retention = match entry.state {
            ClaimState::Claimed { .. } => self.claimed,
            ClaimState::Barred => self.barred,
            ClaimState::Finished => match action_key_source(entry.action) {
                ActionKeySource::IdempotencyKey => self.finished_key,
                ActionKeySource::Content => self.finished_content,
            },
        };
        // Both times are rounded down to seconds, so the true age may be up to one second less.
        let age = now.saturating_sub(entry.changed).saturating_sub(1);
        u64::from(age) >= retention.as_secs()
    }
}
