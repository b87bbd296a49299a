//! Sends a load to one target: in an open loop at a rate or in a closed loop with a concurrency.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time::sleep_until};

use crate::{
    arrivals::Arrival,
    bounds::{self, BoundError},
    client::{Client, Outcome, Sample, Work},
    results::Results,
    target::Target,
};

/// When requests are sent: open loop or closed loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Each request is sent at its arrival time, whether or not earlier requests have finished.
    Open,
    /// A fixed number of requests is in progress; each one that ends is followed by the next.
    Closed {
        /// Number of requests in progress.
        concurrency: usize,
    },
}

/// Sends a load for at most `time` and returns its results.
///
/// # Errors
///
/// Returns [`BoundError`] if the concurrency of a closed loop is zero or too large.
pub async fn run(
    client: &Client,
    target: &Target,
    work: Work,
    arrivals: Vec<Arrival>,
    pace: Pace,
    time: Duration,
) -> Result<Results, BoundError> {
    let started = Instant::now();
    let load = Arc::new(Load {
        client: client.clone(),
        target: target.clone(),
        work,
        arrivals,
        started,
        end: started + time,
        results: Mutex::default(),
    });
    match pace {
        Pace::Open => open_loop(&load).await,
        Pace::Closed { concurrency } => {
            closed_loop(&load, bounds::check_concurrency(concurrency)?).await;
        }
    }
    let mut results = load.take_results();
    results.elapsed = started.elapsed();
    Ok(results)
}

struct Load {
    client: Client,
    target: Target,
    work: Work,
    arrivals: Vec<Arrival>,
    started: Instant,
    end: Instant,
    results: Mutex<Results>,
}

impl Load {
    async fn send(&self, arrival: &Arrival) {
        let sample = send_until(&self.client, &self.target, self.work, arrival, self.end).await;
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.record(&sample);
    }

    fn record_lag(&self, lag: Duration) {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.record_lag(lag);
    }

    fn take_results(&self) -> Results {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *results)
    }
}

async fn open_loop(load: &Arc<Load>) {
    let mut requests = JoinSet::new();
    for index in 0..load.arrivals.len() {
        let at = load.started + load.arrivals[index].at;
        if at >= load.end {
            break;
        }
        sleep_until(at.into()).await;
        load.record_lag(at.elapsed());
        let load = Arc::clone(load);
        requests.spawn(async move { load.send(&load.arrivals[index]).await });
    }
    requests.join_all().await;
}

async fn closed_loop(load: &Arc<Load>, concurrency: usize) {
    let next = Arc::new(AtomicUsize::new(0));
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        let (load, next) = (Arc::clone(load), Arc::clone(&next));
        workers.spawn(async move {
            while Instant::now() < load.end {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(arrival) = load.arrivals.get(index) else {
                    return;
                };
                load.send(arrival).await;
            }
        });
    }
    workers.join_all().await;
}

/// Sends one request and cancels it at the end of the load.
pub(crate) async fn send_until(
    client: &Client,
    target: &Target,
    work: Work,
    arrival: &Arrival,
    end: Instant,
) -> Sample {
    let started = Instant::now();
    let sending = client.send(target, work, arrival);
    match tokio::time::timeout_at(end.into(), sending).await {
        Ok(sample) => sample,
        Err(_elapsed) => Sample {
            outcome: Outcome::Unfinished,
            first_byte: None,
            gaps: Vec::new(),
            total_time: started.elapsed(),
        },
    }
}
