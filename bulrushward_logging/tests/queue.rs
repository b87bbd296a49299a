//! Tests of the queue between the log and its output.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use bulrushward_logging::{FlushIntervals, LogQueue};

/// Time limit for a condition to hold.
const TIMEOUT: Duration = Duration::from_secs(10);
/// A line of one KiB.
const LINE: [u8; 1 << 10] = {
    let mut line = [b'x'; 1 << 10];
    line[line.len() - 1] = b'\n';
    line
};
/// Number of such lines that exceeds the queue's limits.
const TOO_MANY: usize = 4_096;

/// An output that records what is written and can stall or fail.
#[derive(Clone, Default)]
struct FakeOutput(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    is_stalled: bool,
    is_broken: bool,
    writes: usize,
}

impl FakeOutput {
    fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.0.lock().expect("not poisoned"));
        self.0.1.notify_all();
    }

    fn wait(&self, condition: impl Fn(&State) -> bool) {
        let (state, changed) = &*self.0;
        let wait_result = changed
            .wait_timeout_while(state.lock().expect("not poisoned"), TIMEOUT, |state| {
                !condition(state)
            })
            .expect("not poisoned");
        assert!(
            !wait_result.1.timed_out(),
            "the condition did not hold within {TIMEOUT:?}"
        );
    }

    fn text(&self) -> String {
        let state = self.0.0.lock().expect("not poisoned");
        String::from_utf8_lossy(&state.bytes).into_owned()
    }
}

impl Write for FakeOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let mut state = changed
            .wait_while(state.lock().expect("not poisoned"), |state| {
                state.is_stalled
            })
            .expect("not poisoned");
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

fn start_queue(output: &FakeOutput) -> LogQueue {
    LogQueue::start(output.clone(), FlushIntervals::default()).expect("the thread starts")
}

#[test]
fn lines_are_written_in_order_whether_urgent_or_not() {
    let output = FakeOutput::default();
    let queue = start_queue(&output);
    for index in 0..100 {
        queue.push(format!("line {index}\n").as_bytes(), index % 7 == 0);
    }
    queue.close();
    let lines: Vec<_> = (0..100).map(|index| format!("line {index}")).collect();
    assert_eq!(output.text().lines().collect::<Vec<_>>(), lines);
    assert_eq!(queue.dropped_lines(), 0);
}

#[test]
fn a_stalled_output_blocks_no_caller_and_dropped_lines_are_counted() {
    let output = FakeOutput::default();
    output.set(|state| state.is_stalled = true);
    let queue = start_queue(&output);
    let start = Instant::now();
    for _line in 0..TOO_MANY {
        queue.push(&LINE, false);
    }
    assert!(start.elapsed() < Duration::from_secs(1));
    let dropped = queue.dropped_lines();
    assert!(dropped > 0);
    output.set(|state| state.is_stalled = false);
    let expected_bytes = (TOO_MANY - dropped as usize) * LINE.len();
    output.wait(|state| state.bytes.len() == expected_bytes);
    assert_eq!(queue.dropped_lines(), dropped);
}

#[test]
fn urgent_lines_are_queued_while_normal_lines_are_dropped() {
    let output = FakeOutput::default();
    output.set(|state| state.is_stalled = true);
    let queue = start_queue(&output);
    for _line in 0..TOO_MANY {
        queue.push(&LINE, false);
    }
    let dropped = queue.dropped_lines();
    queue.push(b"event=refused\n", true);
    assert_eq!(queue.dropped_lines(), dropped);
    output.set(|state| state.is_stalled = false);
    output.wait(|state| state.bytes.ends_with(b"event=refused\n"));
}

#[test]
fn urgent_lines_are_bounded_too() {
    let output = FakeOutput::default();
    output.set(|state| state.is_stalled = true);
    let queue = start_queue(&output);
    for _line in 0..TOO_MANY {
        queue.push(&LINE, true);
    }
    assert!(queue.dropped_lines() > 0);
    output.set(|state| state.is_stalled = false);
}

#[test]
fn normal_lines_are_batched_and_an_urgent_line_is_not_delayed() {
    let output = FakeOutput::default();
    let flush_intervals = FlushIntervals {
        normal: TIMEOUT * 100,
        urgent: Duration::ZERO,
    };
    let queue = LogQueue::start(output.clone(), flush_intervals).expect("the thread starts");
    queue.push(b"first\n", false);
    output.wait(|state| state.writes == 1);
    for _line in 0..50 {
        queue.push(b"normal\n", false);
    }
    queue.push(b"urgent\n", true);
    output.wait(|state| state.bytes.ends_with(b"urgent\n"));
    output.wait(|state| state.writes == 2);
}

#[test]
fn lines_that_cannot_be_written_are_counted_as_dropped() {
    let output = FakeOutput::default();
    output.set(|state| state.is_broken = true);
    let queue = start_queue(&output);
    queue.push(b"one\n", false);
    queue.push(b"two\n", true);
    queue.close();
    assert_eq!(queue.dropped_lines(), 2);
}
