//! Finding an organisation by the hash of an API key.

use crate::rule::{KeyHash, hash_key};

/// Hashes of API keys in order, each with the place of its organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyIndex {
    entries: Box<[(KeyHash, u32)]>,
}

impl KeyIndex {
    /// Builds the index; of equal hashes the first one counts.
    pub(crate) fn new(mut entries: Vec<(KeyHash, u32)>) -> Self {
        entries.sort_unstable();
        entries.dedup_by_key(|(hash, _)| *hash);
        let entries = entries.into_boxed_slice();
        Self { entries }
    }

    /// Returns the place of the organisation with an API key.
    pub(crate) fn find(&self, api_key: &str) -> Option<usize> {
        let hash = hash_key(api_key);
        let found = self.entries.binary_search_by_key(&hash, |(hash, _)| *hash);
        Some(self.entries[found.ok()?].1 as usize)
    }
}
