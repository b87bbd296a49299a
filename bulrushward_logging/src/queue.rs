//! Lines of the log on their way to a writer that may be slow: bounded, never waited for, failures first.

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

/// Bytes that wait from which on ordinary lines are dropped; a few seconds of a busy router.
const ORDINARY_BYTES: usize = 512 << 10;
/// Bytes that wait from which on failures are dropped as well.
const ALL_BYTES: usize = 2 * ORDINARY_BYTES;
/// Time for which the end of the process waits for the last lines.
const LAST_LINES: Duration = Duration::from_secs(1);
/// Buffer that is kept between writes, in bytes; a larger one of a busy time is given back.
const KEPT_BYTES: usize = 64 << 10;

/// Times for which lines are gathered after a write; wake-ups and writes cost a router more than the
/// formatting of all lines.
#[derive(Clone, Copy, Debug)]
pub struct FlushIntervals {
    /// Time for ordinary lines.
    pub normal: Duration,
    /// Time for failures; at most that for ordinary lines.
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
struct Waiting {
    bytes: Vec<u8>,
    has_urgent: bool,
    is_closing: bool,
    has_ended: bool,
}

/// A queue of lines; copies share it.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    has_lines: Condvar,
    /// Something must not wait until ordinary lines are written.
    hurry: Condvar,
    ended: Condvar,
    dropped: AtomicU64,
}

impl LogQueue {
    /// Starts a thread that writes what is queued.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if no thread can be started.
    pub fn start(
        out: impl Write + Send + 'static,
        flush_intervals: FlushIntervals,
    ) -> io::Result<Self> {
        let queue = Self::default();
        let for_thread = queue.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || for_thread.write_all(out, flush_intervals))?;
        Ok(queue)
    }

    /// Queues one line, or drops and counts it if too much waits.
    pub fn push(&self, line: &[u8], is_urgent: bool) {
        let most = if is_urgent { ALL_BYTES } else { ORDINARY_BYTES };
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > most {
            self.count_dropped(1);
            return;
        }
        let is_first = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        let is_hurry = is_urgent && !waiting.has_urgent;
        waiting.has_urgent |= is_urgent;
        drop(waiting);
        if is_first {
            self.shared.has_lines.notify_one();
        }
        if is_hurry {
            self.shared.hurry.notify_one();
        }
    }

    /// Returns the lines that were dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Writes the lines that wait, within a bounded time, and ends the thread.
    pub fn close(&self) {
        let mut waiting = self.lock();
        waiting.is_closing = true;
        self.shared.has_lines.notify_one();
        self.shared.hurry.notify_one();
        let is_running = |waiting: &mut Waiting| !waiting.has_ended;
        let _waited = self
            .shared
            .ended
            .wait_timeout_while(waiting, LAST_LINES, is_running);
    }

    fn write_all(&self, mut out: impl Write, flush_intervals: FlushIntervals) {
        let mut bytes = Vec::new();
        let mut told = 0;
        while self.take(&mut bytes) {
            let written = out.write_all(&bytes).and_then(|()| out.flush());
            if written.is_err() {
                let lines = bytes.split_inclusive(|byte| *byte == b'\n').count();
                self.count_dropped(lines as u64);
            }
            let dropped = self.dropped_lines();
            if dropped > told {
                warn!(event = "log-lines-dropped", total = dropped);
                told = dropped;
            }
            self.gather(flush_intervals);
        }
        self.lock().has_ended = true;
        self.shared.ended.notify_all();
    }

    /// Waits for lines and swaps them in; returns whether there are any or may be more.
    fn take(&self, bytes: &mut Vec<u8>) -> bool {
        bytes.clear();
        bytes.shrink_to(KEPT_BYTES);
        let has_none = |waiting: &mut Waiting| waiting.bytes.is_empty() && !waiting.is_closing;
        let mut waiting = self
            .shared
            .has_lines
            .wait_while(self.lock(), has_none)
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(bytes, &mut waiting.bytes);
        waiting.has_urgent = false;
        !bytes.is_empty()
    }

    fn gather(&self, flush_intervals: FlushIntervals) {
        self.pause(flush_intervals.urgent, |waiting| !waiting.is_closing);
        self.pause(
            flush_intervals
                .normal
                .saturating_sub(flush_intervals.urgent),
            |waiting| !waiting.is_closing && !waiting.has_urgent,
        );
    }

    fn pause(&self, time: Duration, may_wait: impl Fn(&Waiting) -> bool) {
        // A poisoned lock ends the wait early, which does no harm.
        let _waited = self
            .shared
            .hurry
            .wait_timeout_while(self.lock(), time, |waiting| may_wait(waiting));
    }

    fn count_dropped(&self, lines: u64) {
        self.shared.dropped.fetch_add(lines, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.shared
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writer of one line.
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
