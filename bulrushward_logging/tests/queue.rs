//! Tests of the queue between the log and its writer.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use bulrushward_logging::{FlushIntervals, LogQueue};

/// Time for which a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
/// A line of a kilobyte.
const LINE: [u8; 1 << 10] = {
    let mut line = [b'x'; 1 << 10];
    line[line.len() - 1] = b'\n';
    line
};
/// Lines of that size that are more than the queue holds.
const TOO_MANY: usize = 4_096;

/// A reader of the log that can stall.
#[derive(Clone, Default)]
struct Reader(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    is_stalled: bool,
    is_broken: bool,
    writes: usize,
}

impl Reader {
    fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.0.lock().expect("no test panics with it"));
        self.0.1.notify_all();
    }

    fn wait(&self, condition: impl Fn(&State) -> bool) {
        let (state, changed) = &*self.0;
        let waited = changed
            .wait_timeout_while(state.lock().expect("it is whole"), PATIENCE, |state| {
                !condition(state)
            })
            .expect("it is whole");
        assert!(!waited.1.timed_out(), "nothing came within {PATIENCE:?}");
    }

    fn text(&self) -> String {
        let state = self.0.0.lock().expect("it is whole");
        String::from_utf8_lossy(&state.bytes).into_owned()
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let mut state = changed
            .wait_while(state.lock().expect("it is whole"), |state| state.is_stalled)
            .expect("it is whole");
        if state.is_broken {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        state.bytes.extend_from_slice(bytes);
        state.writes += 1;
        changed.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn started(reader: &Reader) -> LogQueue {
    LogQueue::start(reader.clone(), FlushIntervals::default()).expect("a thread starts")
}

#[test]
fn lines_come_in_order_whether_they_are_failures_or_not() {
    let reader = Reader::default();
    let queue = started(&reader);
    for index in 0..100 {
        queue.push(format!("line {index}\n").as_bytes(), index % 7 == 0);
    }
    queue.close();
    let lines: Vec<_> = (0..100).map(|index| format!("line {index}")).collect();
    assert_eq!(reader.text().lines().collect::<Vec<_>>(), lines);
    assert_eq!(queue.dropped_lines(), 0);
}

#[test]
fn a_reader_that_stalls_holds_nobody_up_and_what_is_dropped_is_counted() {
    let reader = Reader::default();
    reader.set(|state| state.is_stalled = true);
    let queue = started(&reader);
    let start = Instant::now();
    for _line in 0..TOO_MANY {
        queue.push(&LINE, false);
    }
    assert!(start.elapsed() < Duration::from_secs(1));
    let dropped = queue.dropped_lines();
    assert!(dropped > 0);
    reader.set(|state| state.is_stalled = false);
    let all = (TOO_MANY - dropped as usize) * LINE.len();
    reader.wait(|state| state.bytes.len() == all);
    assert_eq!(queue.dropped_lines(), dropped);
}

#[test]
fn failures_find_room_when_ordinary_lines_are_dropped() {
    let reader = Reader::default();
    reader.set(|state| state.is_stalled = true);
    let queue = started(&reader);
    for _line in 0..TOO_MANY {
        queue.push(&LINE, false);
    }
    let dropped = queue.dropped_lines();
    queue.push(b"event=refused\n", true);
    assert_eq!(queue.dropped_lines(), dropped);
    reader.set(|state| state.is_stalled = false);
    reader.wait(|state| state.bytes.ends_with(b"event=refused\n"));
}

#[test]
fn failures_are_bounded_too() {
    let reader = Reader::default();
    reader.set(|state| state.is_stalled = true);
    let queue = started(&reader);
    for _line in 0..TOO_MANY {
        queue.push(&LINE, true);
    }
    assert!(queue.dropped_lines() > 0);
    reader.set(|state| state.is_stalled = false);
}

#[test]
fn ordinary_lines_are_gathered_and_a_failure_does_not_wait_for_that() {
    let reader = Reader::default();
    let flush_intervals = FlushIntervals {
        normal: PATIENCE * 100,
        urgent: Duration::ZERO,
    };
    let queue = LogQueue::start(reader.clone(), flush_intervals).expect("a thread starts");
    queue.push(b"first\n", false);
    reader.wait(|state| state.writes == 1);
    for _line in 0..50 {
        queue.push(b"ordinary\n", false);
    }
    queue.push(b"failure\n", true);
    reader.wait(|state| state.bytes.ends_with(b"failure\n"));
    reader.wait(|state| state.writes == 2);
}

#[test]
fn lines_that_cannot_be_written_are_counted() {
    let reader = Reader::default();
    reader.set(|state| state.is_broken = true);
    let queue = started(&reader);
    queue.push(b"one\n", false);
    queue.push(b"two\n", true);
    queue.close();
    assert_eq!(queue.dropped_lines(), 2);
}
