//! Index of organisations by the hashes of their API keys.

use crate::rule::{KeyHash, hash_key};

/// Sorted hashes of API keys, each with the index of its organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyIndex {
    entries: Box<[(KeyHash, u32)]>,
}

impl KeyIndex {
    /// Builds the index; for equal hashes, the organisation with the lowest index is kept.
    pub(crate) fn new(mut entries: Vec<(KeyHash, u32)>) -> Self {
        entries.sort_unstable();
        entries.dedup_by_key(|(hash, _)| *hash);
        let entries = entries.into_boxed_slice();
        Self { entries }
    }

    /// Returns the index of the organisation that an API key belongs to.
    pub(crate) fn find(&self, api_key: &str) -> Option<usize> {
        let hash = hash_key(api_key);
        let found = self.entries.binary_search_by_key(&hash, |(hash, _)| *hash);
        Some(self.entries[found.ok()?].1 as usize)
    }
}
