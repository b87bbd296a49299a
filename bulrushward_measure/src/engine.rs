//! A stand-in for a model engine: continuous batching over a bounded prefix cache.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use bulrushward_protocol::WorkUnits;

use crate::{
    prefix_cache::PrefixCache,
    workload::{Arrival, Kind, PROMPT_TOKENS_PER_UNIT},
};

/// Generated tokens a second of one stream on an engine that is not busy.
const STREAM_RATE: f64 = 1_000.0 / 39.0;
/// Generated tokens a second of all streams of an engine.
pub(crate) const ENGINE_RATE: f64 = 2_900.0;
/// Streams that an engine batches.
const BATCH: usize = 160;
/// Requests that wait beside an engine.
const QUEUE: usize = 160;
/// Prefix ids of organisations' templates start here, above all conversations.
const TEMPLATE_IDS: u64 = 1 << 48;

/// A step of a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The first token of a request was generated.
    FirstToken(usize),
    /// The request finished.
    Finished(usize),
}

/// A threshold of an engine's progress, ordered by it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Threshold {
    /// Progress in millionths of a token.
    progress: u64,
    request: usize,
    is_end: bool,
}

/// A model engine with the requests that its agent admitted.
#[derive(Debug)]
pub struct Engine {
    /// Name, new with every replacement.
    pub name: Arc<str>,
    /// Cached prefixes.
    pub cache: PrefixCache,
    /// When it joined.
    pub joined: Duration,
    /// When it began to leave, if it did.
    pub left: Option<Duration>,
    /// Estimated work of all admitted, unfinished requests.
    pub load: WorkUnits,
    /// Counts changes of the batch, to tell stale wake-ups.
    pub generation: u64,
    progress: f64,
    updated: Duration,
    running: usize,
    thresholds: BinaryHeap<Reverse<Threshold>>,
    waiting: BinaryHeap<(u8, Reverse<usize>)>,
}

impl Engine {
    /// Creates an idle engine with an empty cache of `cache_tokens`.
    #[must_use]
    pub fn new(name: Arc<str>, cache_tokens: u64, now: Duration) -> Self {
        Self {
            name,
            cache: PrefixCache::new(cache_tokens),
            joined: now,
            left: None,
            load: 0,
            generation: 0,
            progress: 0.0,
            updated: now,
            running: 0,
            thresholds: BinaryHeap::new(),
            waiting: BinaryHeap::new(),
        }
    }

    /// Returns whether another request finds a place in the batch or the queue.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.running < BATCH || self.waiting.len() < QUEUE
    }

    /// Returns the requests that run or wait.
    #[must_use]
    pub fn unfinished(&self) -> u64 {
        (self.running + self.waiting.len()) as u64
    }

    /// Returns the prompt tokens of a request that the cache holds.
    #[must_use]
    pub fn cached_tokens(&self, arrival: &Arrival) -> u64 {
        let template = self.cache.tokens(template_id(arrival));
        if template == 0 {
            return 0;
        }
        template + self.cache.tokens(arrival.conversation).min(arrival.history)
    }

    /// Takes a request in and counts its estimated work.
    pub fn admit(&mut self, request: usize, kind: Kind, work: WorkUnits) {
        self.load += work;
        self.waiting.push((kind.priority(), Reverse(request)));
    }

    /// Moves time forward and returns what happened up to `now`.
    pub fn advance(&mut self, now: Duration) -> Vec<Progress> {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.progress += elapsed * self.stream_rate();
        self.updated = now;
        let reached = to_fixed(self.progress);
        let mut steps = Vec::new();
        while let Some(Reverse(next)) = self.thresholds.peek().copied()
            && next.progress <= reached
        {
            self.thresholds.pop();
            if next.is_end {
                self.running -= 1;
                steps.push(Progress::Finished(next.request));
            } else {
                steps.push(Progress::FirstToken(next.request));
            }
        }
        steps
    }

    /// Starts waiting requests while the batch has room.
    ///
    /// Returns the started requests with the prompt tokens found in the cache.
    pub fn start_waiting(&mut self, arrivals: &[Arrival]) -> Vec<(usize, u64)> {
        let mut started = Vec::new();
        while self.running < BATCH
            && let Some((_, Reverse(request))) = self.waiting.pop()
        {
            started.push((request, self.start(request, &arrivals[request])));
        }
        self.generation += 1;
        started
    }

    /// Returns when the next step is due, given no change of the batch.
    #[must_use]
    pub fn next_step(&self) -> Option<Duration> {
        let Reverse(next) = self.thresholds.peek()?;
        let missing = (next.progress as f64 / 1e6 - self.progress).max(0.0);
        // One microsecond more than needed, so that rounding never wakes an engine too early.
        let wait = Duration::from_secs_f64(missing / self.stream_rate());
        Some(self.updated + wait + Duration::from_micros(1))
    }

    fn start(&mut self, request: usize, arrival: &Arrival) -> u64 {
        let found = self.cached_tokens(arrival);
        let prefill = (arrival.prompt() - found) as f64 / PROMPT_TOKENS_PER_UNIT as f64;
        let first = self.progress + prefill + 1.0;
        let end = first + arrival.output.saturating_sub(1) as f64;
        self.running += 1;
        for (at, is_end) in [(first, false), (end, true)] {
            let progress = to_fixed(at);
            self.thresholds.push(Reverse(Threshold {
                progress,
                request,
                is_end,
            }));
        }
        let history = arrival.history + arrival.input + arrival.output;
        self.cache.insert(arrival.conversation, history);
        self.cache.insert(template_id(arrival), arrival.template());
        found
    }

    fn stream_rate(&self) -> f64 {
        STREAM_RATE.min(ENGINE_RATE / self.running.max(1) as f64)
    }
}

fn template_id(arrival: &Arrival) -> u64 {
    TEMPLATE_IDS + arrival.organisation as u64
}

fn to_fixed(progress: f64) -> u64 {
    (progress * 1e6) as u64
}
