//! How long a record remembers an attempt.

use std::time::Duration;

use super::{ActionKeySource, ClaimEntry, ClaimState, RecordSecond, action_key_source};

/// How long each kind of entry is remembered after it was last changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// A finished action that the caller named by an idempotency key.
    pub finished_key: Duration,
    /// A finished action that is known by its content.
    pub finished_content: Duration,
    /// A claim that nobody finished or released; its holder may still be paused before the start.
    pub claimed: Duration,
    /// A barred attempt, of which a late copy may still arrive.
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
    /// Tells whether an entry may be dropped at a second of the record's clock.
    #[must_use]
    pub(crate) fn is_over(&self, entry: &ClaimEntry, now: RecordSecond) -> bool {
        let retention = match entry.state {
            ClaimState::Claimed { .. } => self.claimed,
            ClaimState::Barred => self.barred,
            ClaimState::Finished => match action_key_source(entry.action) {
                ActionKeySource::IdempotencyKey => self.finished_key,
                ActionKeySource::Content => self.finished_content,
            },
        };
        // Both seconds are cut off, so the true age is at least one second less.
        let age = now.saturating_sub(entry.changed).saturating_sub(1);
        u64::from(age) >= retention.as_secs()
    }
}
