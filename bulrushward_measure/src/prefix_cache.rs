//! Model of an engine's prompt prefix cache: limited capacity with LRU eviction.

use std::collections::{BTreeMap, HashMap};

/// Identifies a cached prefix: the history of one conversation or the template of an organisation.
pub type PrefixId = u64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u64,
    last_use: u64,
}

/// A cache of prompt prefixes with a limited capacity in tokens.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    entries: HashMap<PrefixId, Entry>,
    by_use: BTreeMap<u64, PrefixId>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            used: 0,
            clock: 0,
            entries: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of cached tokens of a prefix; this does not count as a use.
    #[must_use]
    pub fn tokens(&self, prefix: PrefixId) -> u64 {
        self.entries.get(&prefix).map_or(0, |entry| entry.tokens)
    }

    /// Returns the total number of cached tokens.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Stores a prefix as the most recently used one and evicts the least recently used as needed.
    ///
    /// A prefix that exceeds the capacity is truncated to it.
    pub fn insert(&mut self, prefix: PrefixId, tokens: u64) {
        self.remove(prefix);
        let tokens = tokens.min(self.capacity);
        while self.used + tokens > self.capacity {
            let Some((_, &oldest)) = self.by_use.first_key_value() else {
                break;
            };
            self.remove(oldest);
        }
        self.clock += 1;
        let last_use = self.clock;
        self.entries.insert(prefix, Entry { tokens, last_use });
        self.by_use.insert(last_use, prefix);
        self.used += tokens;
    }

    /// Drops a prefix.
    pub fn remove(&mut self, prefix: PrefixId) {
        let Some(entry) = self.entries.remove(&prefix) else {
            return;
        };
        self.by_use.remove(&entry.last_use);
        self.used -= entry.tokens;
    }
}
