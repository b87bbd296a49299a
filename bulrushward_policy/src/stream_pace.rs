//! How fast one stream is read, by the work that it causes.
//!
//! Handles: servers that endlessly send events faster than these could be generated, in chunks of any size, so that one
//! stream takes the processor time of the others.

use std::time::{Duration, Instant};

/// Work that may be done at once, such as for what has arrived during a pause; a small chunk with an event is 1.
const BURST_WORK: f64 = 1_024.0;
/// Work that may be done in each second beyond this.
const WORK_PER_SECOND: f64 = 400.0;
/// Work for chunks of a throttled stream that are read and passed on together.
const BATCH_WORK: f64 = 20.0;
/// Bytes that take as much work as a chunk.
const BYTES_PER_WORK: f64 = 4_096.0;
/// Events that take as much work as a chunk.
const EVENTS_PER_WORK: f64 = 32.0;

/// Pace of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamPace {
    /// Work that may still be done at once.
    work: f64,
    updated: Instant,
    is_held_back: bool,
}

impl StreamPace {
    /// Begins a stream.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            work: BURST_WORK,
            updated: now,
            is_held_back: false,
        }
    }

    /// Records a chunk that was read, with the events that it completed.
    pub fn record_chunk(&mut self, bytes: usize, events: usize, now: Instant) {
        self.refill(now);
        self.work -= 1.0 + bytes as f64 / BYTES_PER_WORK + events as f64 / EVENTS_PER_WORK;
        self.is_held_back |= self.work < 1.0;
    }

    /// Returns whether the stream is throttled, so that its chunks are passed on in batches.
    #[must_use]
    pub fn is_held_back(&self) -> bool {
        self.is_held_back
    }

    /// Returns the time to wait before the next chunk is read.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        if !self.is_held_back || self.work >= 1.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((BATCH_WORK - self.work) / WORK_PER_SECOND)
    }

    fn refill(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.work = (self.work + time.as_secs_f64() * WORK_PER_SECOND).min(BURST_WORK);
        self.is_held_back &= self.work < BURST_WORK;
    }
}
