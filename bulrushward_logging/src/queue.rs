//! A bounded queue of log lines that a thread writes, so that slow output never blocks a caller.
//!
//! Warnings and errors are urgent: they are flushed sooner and dropped later than normal lines.

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tracing::{Level, Metadata, warn};
use tracing_subscriber::fmt::MakeWriter;

/// Queued bytes beyond which normal lines are dropped; holds a few seconds of a busy router's lines.
const NORMAL_LIMIT_BYTES: usize = 512 << 10;
/// Queued bytes beyond which urgent lines are dropped as well.
const URGENT_LIMIT_BYTES: usize = 2 * NORMAL_LIMIT_BYTES;
/// Longest time for which [`LogQueue::close`] waits until the last lines are written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffer capacity kept between writes; a buffer that grew larger in a busy period is shrunk to it.
const KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Pauses after a write, during which lines are collected for the next one.
///
/// Without them, wake-ups and writes would cost a router more than formatting all lines.
#[derive(Clone, Copy, Debug)]
pub struct FlushIntervals {
    /// Pause while no urgent line is queued.
    pub normal: Duration,
    /// Pause even if urgent lines are queued; at most `normal`.
    pub urgent: Duration,
}

impl Default for FlushIntervals {
    fn default() -> Self {
        Self {
            normal: Duration::from_millis(500),
            urgent: Duration::from_millis(100),
        }
    }
}

#[derive(Debug, Default)]
struct QueueState {
    bytes: Vec<u8>,
    has_urgent: bool,
    is_closing: bool,
    writer_has_ended: bool,
}

/// A queue of log lines; clones share the same queue.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<QueueState>,
    lines_queued: Condvar,
    /// Ends the pause after a write early: an urgent line was queued, or the queue is closing.
    flush_requested: Condvar,
    writer_ended: Condvar,
    dropped: AtomicU64,
}

impl LogQueue {
    /// Creates a queue and starts a thread that writes the queued lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread cannot be started.
    pub fn start(
        out: impl Write + Send + 'static,
        flush_intervals: FlushIntervals,
    ) -> io::Result<Self> {
        let queue = Self::default();
        let writer_queue = queue.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer_queue.write_lines(out, flush_intervals))?;
        Ok(queue)
    }

    /// Queues one line, or drops and counts it if the queue is full.
    pub fn push(&self, line: &[u8], is_urgent: bool) {
        let limit_bytes = if is_urgent {
            URGENT_LIMIT_BYTES
        } else {
            NORMAL_LIMIT_BYTES
        };
        let mut state = self.lock();
        if state.bytes.len() + line.len() > limit_bytes {
            self.count_dropped(1);
            return;
        }
        let is_first = state.bytes.is_empty();
        state.bytes.extend_from_slice(line);
        let is_first_urgent = is_urgent && !state.has_urgent;
        state.has_urgent |= is_urgent;
        drop(state);
        if is_first {
            self.shared.lines_queued.notify_one();
        }
        if is_first_urgent {
            self.shared.flush_requested.notify_one();
        }
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Writes the queued lines, within a bounded time, and ends the thread.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_closing = true;
        self.shared.lines_queued.notify_one();
        self.shared.flush_requested.notify_one();
        let is_running = |state: &mut QueueState| !state.writer_has_ended;
        let _result = self
            .shared
            .writer_ended
            .wait_timeout_while(state, CLOSE_TIMEOUT, is_running);
    }

    fn write_lines(&self, mut out: impl Write, flush_intervals: FlushIntervals) {
        let mut bytes = Vec::new();
        let mut reported = 0;
        while self.take_lines(&mut bytes) {
            let written = out.write_all(&bytes).and_then(|()| out.flush());
            if written.is_err() {
                let lines = bytes.split_inclusive(|byte| *byte == b'\n').count();
                self.count_dropped(lines as u64);
            }
            let dropped = self.dropped_lines();
            if dropped > reported {
                warn!(event = "log-lines-dropped", total = dropped);
                reported = dropped;
            }
            self.wait_flush_interval(flush_intervals);
        }
        self.lock().writer_has_ended = true;
        self.shared.writer_ended.notify_all();
    }

    /// Waits for queued lines and moves them into `bytes`.
    ///
    /// Returns `false` once the queue is closing and empty.
    fn take_lines(&self, bytes: &mut Vec<u8>) -> bool {
        bytes.clear();
        bytes.shrink_to(KEPT_BUFFER_BYTES);
        let is_idle = |state: &mut QueueState| state.bytes.is_empty() && !state.is_closing;
        let mut state = self
            .shared
            .lines_queued
            .wait_while(self.lock(), is_idle)
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(bytes, &mut state.bytes);
        state.has_urgent = false;
        !bytes.is_empty()
    }

    fn wait_flush_interval(&self, flush_intervals: FlushIntervals) {
        self.pause_while(flush_intervals.urgent, |state| !state.is_closing);
        self.pause_while(
            flush_intervals
                .normal
                .saturating_sub(flush_intervals.urgent),
            |state| !state.is_closing && !state.has_urgent,
        );
    }

    fn pause_while(&self, time: Duration, may_pause: impl Fn(&QueueState) -> bool) {
        // A poisoned lock ends the pause early, which is harmless.
        let _result = self
            .shared
            .flush_requested
            .wait_timeout_while(self.lock(), time, |state| may_pause(state));
    }

    fn count_dropped(&self, lines: u64) {
        self.shared.dropped.fetch_add(lines, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues each write as one line.
#[derive(Debug)]
pub struct LineWriter<'a> {
    queue: &'a LogQueue,
    is_urgent: bool,
}

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queue.push(line, self.is_urgent);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LineWriter {
            queue: self,
            is_urgent: false,
        }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Self::Writer {
        LineWriter {
            queue: self,
            is_urgent: *meta.level() <= Level::WARN,
        }
    }
}
