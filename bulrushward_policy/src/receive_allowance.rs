//! How many bytes a sender may send for the content that it delivers.
//!
//! Handles: servers, stores and peers that endlessly send bytes without content, such as heads, interim
//! responses, chunks that are almost empty, and blank lines or comments instead of events.

/// Bytes that need no content: the largest head, or chunk headers, and what is read ahead with them.
const OVERHEAD_BYTES: u64 = 80 << 10;
/// Largest allowance; content beyond it earns nothing.
const MAX_BYTES: u64 = 2 * OVERHEAD_BYTES;
/// Part of the content, as a divisor, that chunk headers may have in addition to [`OVERHEAD_BYTES`].
const OVERHEAD_DIVISOR: u64 = 8;
/// Bytes of overhead that each complete event earns.
const EVENT_OVERHEAD_BYTES: u64 = 64;

/// Bytes that may still be received on one connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveAllowance {
    bytes: u64,
}

impl Default for ReceiveAllowance {
    fn default() -> Self {
        Self {
            bytes: OVERHEAD_BYTES,
        }
    }
}

impl ReceiveAllowance {
    /// Begins the head or the body of a response.
    pub fn begin(&mut self) {
        *self = Self::default();
    }

    /// Records received bytes; returns whether they were allowed.
    #[must_use]
    pub fn receive(&mut self, bytes: usize) -> bool {
        let left = self.bytes.checked_sub(bytes as u64);
        self.bytes = left.unwrap_or(0);
        left.is_some()
    }

    /// Records received content, which allows as much again and its overhead.
    pub fn record_content(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.earn(bytes + bytes / OVERHEAD_DIVISOR);
    }

    /// Takes back what bytes earned as content that hold none; returns whether they were allowed.
    #[must_use]
    pub fn take_back(&mut self, bytes: usize) -> bool {
        self.receive(bytes + bytes / OVERHEAD_DIVISOR as usize)
    }

    /// Records that parts of the content were complete events.
    pub fn record_events(&mut self, events: usize) {
        self.earn(EVENT_OVERHEAD_BYTES * events as u64);
    }

    fn earn(&mut self, bytes: u64) {
        self.bytes = (self.bytes + bytes).min(MAX_BYTES);
    }
}
