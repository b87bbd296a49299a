//! Positions in the history of a store that may return from a copy of an earlier state.
//!
//! Handles: revisions that go back and are given out again; responses and peers of different eras in any order.

use std::time::Duration;

/// Position in the history of the store.
///
/// It consists of an era, which begins with each return from a copy, and a revision within it. Every position of an era is
/// greater than those of earlier ones.
pub type StoreRevision = u64;

/// Number of an era; 0 for stores that name none.
pub type StoreEra = u32;

/// Latest era that can be distinguished from earlier ones.
pub const MAX_ERA: StoreEra = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Time after the beginning of an era in which what the copy lacks is written again.
///
/// Servers write their entries about every second, and the store removes those of silent ones after some four.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Number of bits of the revision within an era.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// Returns the position of a revision within an era.
#[must_use]
pub fn position(era: StoreEra, revision: u64) -> StoreRevision {
    u64::from(era.min(MAX_ERA)) << REVISION_BITS | revision.min(REVISION_MASK)
}

/// Returns the era of a position.
#[must_use]
pub fn era(position: StoreRevision) -> StoreEra {
    (position >> REVISION_BITS) as StoreEra
}

/// Returns the revision of a position within its era.
#[must_use]
pub fn revision_in_era(position: StoreRevision) -> u64 {
    position & REVISION_MASK
}
