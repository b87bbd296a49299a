//! Threads that compete with the routers for processor time.

use std::{
    hint::spin_loop,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

/// Busy threads that stop when this is dropped.
#[derive(Debug)]
pub(crate) struct BusyThreads {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    pub(crate) fn start(count: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|_| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    spin_loop();
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_over,
        }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a busy thread does not panic");
        }
    }
}
