//! Limit on the memory that all incomplete responses take together.
//!
//! Handles: many servers that send an endless body or event at the same time, each within the limit of a single
//! response.

/// Bytes that each buffer may always have, so that ordinary responses fit.
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
