//! Claims records, which prevent a non-idempotent action from running twice.
//!
//! A record is one value in the key-value service and is changed by compare-and-swap only, so all
//! changes of a record are totally ordered. The functions here compute the result of a change. They
//! are idempotent, so a change whose write got no response can be applied again to the value that
//! is read back.

mod action_key;
mod entry;
mod record_clock;
mod retention;

use bulrushward_protocol::{ActionKey, AttemptId};

pub use action_key::{ActionKeySource, action_from_content, action_from_key, action_key_source};
pub use entry::{
    ClaimChange, ClaimDecision, ClaimEntry, ClaimNonce, ClaimState, ENTRY_SIZE, NONCE_SIZE,
    RECORD_HEADER_SIZE, RecordSecond,
};
pub use record_clock::RecordClock;
pub use retention::Retention;

/// Part of a record that is reserved for tombstones, as a divisor of its size limit.
const TOMBSTONE_RESERVE_DIVISOR: usize = 16;

/// Returns the index of the record that holds an action if there are `shards` records.
///
/// # Panics
///
/// Panics if `shards` is 0.
#[must_use]
pub fn shard_of(action: ActionKey, shards: usize) -> usize {
    (action % shards as u128) as usize
}

/// All entries of one record, sorted by action and attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The record's own clock in milliseconds.
    clock_ms: u64,
    entries: Vec<ClaimEntry>,
    /// Encoded size of all entries in bytes.
    size: usize,
    changed: bool,
}

impl ClaimRecord {
    /// Creates a record from its stored parts; `None` if the entries are not in strict order.
    #[must_use]
    pub fn from_parts(clock_ms: u64, entries: Vec<ClaimEntry>) -> Option<Self> {
        let sorted = entries.windows(2).all(|pair| pair[0].key() < pair[1].key());
        if !sorted {
            return None;
        }
        let size = entries.iter().map(|entry| entry.state.entry_size()).sum();
        Some(Self {
            clock_ms,
            entries,
            size,
            changed: false,
        })
    }

    /// Returns the record's own clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the entries, sorted by action and attempt.
    #[must_use]
    pub fn entries(&self) -> &[ClaimEntry] {
        &self.entries
    }

    /// Returns the size of the encoded record in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        RECORD_HEADER_SIZE + self.size
    }

    /// Returns whether the record changed since the last call and has to be written.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Advances the record's clock; an earlier time is ignored.
    pub fn advance_clock(&mut self, clock_ms: u64) {
        self.clock_ms = self.clock_ms.max(clock_ms);
    }

    /// Removes the entries whose retention has ended by the record's clock.
    ///
    /// Returns how many of them were claims that were neither finished nor released.
    pub fn prune(&mut self, retention: &Retention) -> usize {
        let now = self.clock_second();
        let mut expired_claims = 0;
        let size = &mut self.size;
        self.entries.retain(|entry| {
            let is_kept = !retention.is_expired(entry, now);
            if !is_kept {
                *size -= entry.state.entry_size();
                expired_claims += usize::from(matches!(entry.state, ClaimState::Claimed { .. }));
            }
            is_kept
        });
        expired_claims
    }

    /// Applies a change to the record, whose encoded size may grow to `limit` bytes.
    pub fn apply(
        &mut self,
        action: ActionKey,
        attempt: AttemptId,
        change: ClaimChange,
        limit: usize,
    ) -> ClaimDecision {
        match change {
            ClaimChange::Claim { nonce } => self.claim(action, attempt, nonce, limit),
            ClaimChange::Finish => self.set_state(action, attempt, ClaimState::Finished, limit),
            ClaimChange::Release { nonce } => self.release(action, attempt, nonce, limit),
            ClaimChange::Bar => self.bar(action, attempt, limit),
        }
    }

    fn claim(
        &mut self,
        action: ActionKey,
        attempt: AttemptId,
        nonce: ClaimNonce,
        limit: usize,
    ) -> ClaimDecision {
        if let Some(decision) = self.existing_decision(action, attempt, nonce) {
            return decision;
        }
        let limit = limit - limit / TOMBSTONE_RESERVE_DIVISOR;
        match self.set_state(action, attempt, ClaimState::Claimed { nonce }, limit) {
            ClaimDecision::Recorded => ClaimDecision::Won,
            other => other,
        }
    }

    /// Returns why the action cannot be claimed, or `Won` if this call already claimed it.
    fn existing_decision(
        &self,
        action: ActionKey,
        attempt: AttemptId,
        nonce: ClaimNonce,
    ) -> Option<ClaimDecision> {
        let own = self.state(action, attempt);
        if own == Some(ClaimState::Claimed { nonce }) {
            return Some(ClaimDecision::Won);
        }
        let holder = self
            .entries_of(action)
            .iter()
            .find_map(ClaimEntry::blocking_decision);
        let barred = (own == Some(ClaimState::Barred)).then_some(ClaimDecision::Barred);
        barred.or(holder)
    }

    fn release(
        &mut self,
        action: ActionKey,
        attempt: AttemptId,
        nonce: ClaimNonce,
        limit: usize,
    ) -> ClaimDecision {
        match self.state(action, attempt) {
            Some(ClaimState::Claimed { nonce: stored }) if stored != nonce => {
                ClaimDecision::Held { holder: attempt }
            }
            Some(ClaimState::Finished) => ClaimDecision::Ran { holder: attempt },
            _ => self.set_barred(action, attempt, limit),
        }
    }

    fn bar(&mut self, action: ActionKey, attempt: AttemptId, limit: usize) -> ClaimDecision {
        match self.state(action, attempt) {
            Some(ClaimState::Claimed { .. }) => ClaimDecision::Held { holder: attempt },
            Some(ClaimState::Finished) => ClaimDecision::Ran { holder: attempt },
            Some(ClaimState::Barred) | None => self.set_barred(action, attempt, limit),
        }
    }

    fn set_barred(&mut self, action: ActionKey, attempt: AttemptId, limit: usize) -> ClaimDecision {
        match self.set_state(action, attempt, ClaimState::Barred, limit) {
            ClaimDecision::Recorded => ClaimDecision::Barred,
            other => other,
        }
    }

    /// Sets the state of an attempt; a known attempt always fits, since its entry never grows.
    fn set_state(
        &mut self,
        action: ActionKey,
        attempt: AttemptId,
        state: ClaimState,
        limit: usize,
    ) -> ClaimDecision {
        let entry = ClaimEntry {
            action,
            attempt,
            state,
            changed: self.clock_second(),
        };
        match self.position(action, attempt) {
            Ok(index) => self.replace(index, entry),
            Err(_) if self.encoded_size() + state.entry_size() > limit => {
                return ClaimDecision::Full;
            }
            Err(index) => self.insert(index, entry),
        }
        ClaimDecision::Recorded
    }

    fn replace(&mut self, index: usize, entry: ClaimEntry) {
        let stored = &mut self.entries[index];
        if stored.state == entry.state {
            return;
        }
        self.size = self.size + entry.state.entry_size() - stored.state.entry_size();
        *stored = entry;
        self.changed = true;
    }

    fn insert(&mut self, index: usize, entry: ClaimEntry) {
        self.size += entry.state.entry_size();
        self.entries.insert(index, entry);
        self.changed = true;
    }

    fn clock_second(&self) -> RecordSecond {
        RecordSecond::try_from(self.clock_ms / 1_000).unwrap_or(RecordSecond::MAX)
    }

    fn state(&self, action: ActionKey, attempt: AttemptId) -> Option<ClaimState> {
        let index = self.position(action, attempt).ok()?;
        Some(self.entries[index].state)
    }

    fn position(&self, action: ActionKey, attempt: AttemptId) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(action, attempt), ClaimEntry::key)
    }

    fn entries_of(&self, action: ActionKey) -> &[ClaimEntry] {
        let start = self.entries.partition_point(|entry| entry.action < action);
        let rest = &self.entries[start..];
        let len = rest.partition_point(|entry| entry.action == action);
        &rest[..len]
    }
}
