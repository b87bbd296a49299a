//! Captures the log lines of all routers in a test process.

use std::{
    io::{self, Write},
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
};

use tracing_subscriber::{filter::LevelFilter, layer::SubscriberExt, util::SubscriberInitExt};

use super::wait_until;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineWriter;

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        lock().push(String::from_utf8_lossy(line).trim_end().to_owned());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock() -> MutexGuard<'static, Vec<String>> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Captures all log lines from now on, including those of libraries and of trace level.
pub fn capture() {
    static STARTED: OnceLock<()> = OnceLock::new();
    STARTED.get_or_init(|| {
        tracing_subscriber::registry()
            .with(LevelFilter::TRACE)
            .with(tracing_logfmt::builder().layer().with_writer(|| LineWriter))
            .init();
    });
}

/// Returns the lines captured so far.
pub fn lines() -> Vec<String> {
    lock().clone()
}

/// Waits until one line has all of these fields; a field without a value matches any value.
pub fn wait_for_line(fields: &str) {
    let has = |line: &str, field: &str| {
        line.split(' ').any(|token| {
            let name = token.split_once('=').map_or("", |(name, _)| name);
            token == field || name == field
        })
    };
    wait_until(&format!("a line with {fields}"), || {
        let lines = lock();
        let all = |line: &String| fields.split(' ').all(|field| has(line, field));
        lines.iter().any(all)
    });
}
