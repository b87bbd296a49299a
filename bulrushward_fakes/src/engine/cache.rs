//! Prefix cache: blocks of prompts, the least recently used of which go first.

use std::num::NonZeroUsize;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Hash of a block and of all blocks before it.
pub(crate) type BlockHash = u64;

/// Prefix cache of bounded size.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    block_tokens: usize,
    blocks: LruCache<BlockHash, ()>,
}

/// Blocks that came and went.
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

    /// Returns the number of tokens at a prompt's start that are cached.
    pub(crate) fn cached_tokens(&self, prompt: &str) -> usize {
        let hashes = self.hashes(prompt);
        let cached = hashes
            .iter()
            .take_while(|hash| self.blocks.contains(hash))
            .count();
        cached * self.block_tokens
    }

    /// Stores the whole blocks of a prompt as the most recently used.
    pub(crate) fn store(&mut self, prompt: &str) -> CacheChange {
        let mut change = CacheChange::default();
        // The end of a prompt is of less use than its start, so it is dropped earlier.
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

    /// Drops all blocks and returns them.
    pub(crate) fn clear(&mut self) -> Vec<BlockHash> {
        let removed = self.blocks.iter().map(|(hash, ())| *hash).collect();
        self.blocks.clear();
        removed
    }

    fn hashes(&self, prompt: &str) -> Vec<BlockHash> {
        let blocks = prompt
            .as_bytes()
            .chunks_exact(self.block_tokens * BYTES_PER_TOKEN);
        let hashes = blocks.scan(0, |before, block| {
            *before = xxh3_64_with_seed(block, *before);
            Some(*before)
        });
        hashes.collect()
    }
}
