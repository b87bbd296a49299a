//! How much memory all responses that are still incomplete may take together.
//!
//! Handles: many servers that send a body or an event without end at the same time, each of them within the limit of
//! a single response.

/// Bytes that each buffer may have whatever the others have, so that ordinary responses always fit.
const FREE_BYTES: usize = 64 << 10;
/// Bytes that all buffers may have beyond these.
const SHARED_BYTES: usize = 32 << 20;

/// Memory of the buffers of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct BufferBudget {
    /// Bytes in use beyond the free ones.
    shared: usize,
}

impl BufferBudget {
    /// Changes the size of a buffer from `old` to `new` bytes; returns whether the budget allows it.
    ///
    /// A buffer may always shrink.
    #[must_use]
    pub fn resize(&mut self, old: usize, new: usize) -> bool {
        let without = self.shared.saturating_sub(old.saturating_sub(FREE_BYTES));
        let with = without.saturating_add(new.saturating_sub(FREE_BYTES));
        let is_allowed = new <= old.max(FREE_BYTES) || with <= SHARED_BYTES;
        if is_allowed {
            self.shared = with;
        }
        is_allowed
    }
}
