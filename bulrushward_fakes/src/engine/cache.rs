//! Prefix cache of prompt blocks with least-recently-used eviction.

use std::num::NonZeroUsize;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Hash of a block and all blocks before it.
pub(crate) type BlockHash = u64;

/// Prefix cache with a bounded number of blocks.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    block_tokens: usize,
    blocks: LruCache<BlockHash, ()>,
}

/// Blocks that were stored and evicted.
#[derive(Debug, Default)]
pub(crate) struct CacheChange {
    pub(crate) stored: Vec<BlockHash>,
    pub(crate) removed: Vec<BlockHash>,
}

impl PrefixCache {
    pub(crate) fn new(block_tokens: usize, blocks: usize) -> Self {
        let size = NonZeroUsize::new(blocks).unwrap_or(NonZeroUsize::MIN);
        Self {
            block_tokens: block_tokens.max(1),
            blocks: LruCache::new(size),
        }
    }

    /// Returns the number of cached tokens at the start of a prompt.
    pub(crate) fn cached_tokens(&self, prompt: &str) -> usize {
        let hashes = self.hashes(prompt);
        let cached = hashes
            .iter()
            .take_while(|hash| self.blocks.contains(hash))
            .count();
        cached * self.block_tokens
    }

    /// Stores the complete blocks of a prompt as the most recently used.
    pub(crate) fn store(&mut self, prompt: &str) -> CacheChange {
        let mut change = CacheChange::default();
        // The start of a prompt is more useful than its end, so blocks are pushed from last to first
        // and the start is evicted last.
        for hash in self.hashes(prompt).into_iter().rev() {
            match self.blocks.push(hash, ()) {
                Some((old, ())) if old == hash => {}
                Some((old, ())) => {
                    change.removed.push(old);
                    change.stored.push(hash);
                }
                None => change.stored.push(hash),
            }
        }
        change
    }

    /// Removes all blocks and returns their hashes.
    pub(crate) fn clear(&mut self) -> Vec<BlockHash> {
        let removed = self.blocks.iter().map(|(hash, ())| *hash).collect();
        self.blocks.clear();
        removed
    }

    fn hashes(&self, prompt: &str) -> Vec<BlockHash> {
        let blocks = prompt
            .as_bytes()
            .chunks_exact(self.block_tokens * BYTES_PER_TOKEN);
        let hashes = blocks.scan(0, |prefix, block| {
            *prefix = xxh3_64_with_seed(block, *prefix);
            Some(*prefix)
        });
        hashes.collect()
    }
}
