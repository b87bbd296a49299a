//! How fast the chunks of one stream are read.
//!
//! Handles: servers that endlessly send events faster than these could be generated, so that one stream takes the
//! processor time of the others.

use std::time::{Duration, Instant};

/// Chunks that may be read at once, such as those that have arrived during a pause.
const BURST_CHUNKS: f64 = 1_024.0;
/// Chunks that may be read in each second beyond these.
const CHUNKS_PER_SECOND: f64 = 400.0;
/// Chunks of a throttled stream that are read and passed on together.
const BATCH_CHUNKS: f64 = 20.0;

/// Pace of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamPace {
    chunks: f64,
    updated: Instant,
    is_held_back: bool,
}

impl StreamPace {
    /// Begins a stream.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            chunks: BURST_CHUNKS,
            updated: now,
            is_held_back: false,
        }
    }

    /// Records a chunk that was read.
    pub fn record_chunk(&mut self, now: Instant) {
        self.refill(now);
        self.chunks -= 1.0;
        self.is_held_back |= self.chunks < 1.0;
    }

    /// Returns whether the stream is throttled, so that its chunks are passed on in batches.
    #[must_use]
    pub fn is_held_back(&self) -> bool {
        self.is_held_back
    }

    /// Returns the time to wait before the next chunk is read.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        if !self.is_held_back || self.chunks >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((BATCH_CHUNKS - self.chunks) / CHUNKS_PER_SECOND)
    }

    fn refill(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.chunks = (self.chunks + time.as_secs_f64() * CHUNKS_PER_SECOND).min(BURST_CHUNKS);
        self.is_held_back &= self.chunks < BURST_CHUNKS;
    }
}
