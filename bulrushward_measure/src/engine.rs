//! Model of an inference engine: continuous batching with a bounded prefix cache.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use bulrushward_protocol::WorkUnits;

use crate::{
    prefix_cache::PrefixCache,
    workload::{Arrival, PROMPT_TOKENS_PER_UNIT},
};

/// Tokens per second of one stream on an engine that is not saturated.
const STREAM_RATE: f64 = 1_000.0 / 39.0;
/// Maximum tokens per second of all streams of an engine together.
const ENGINE_RATE: f64 = 2_900.0;
/// Number of integer steps per token in which thresholds are stored.
const STEPS_PER_TOKEN: f64 = 1e6;
/// First prefix id of the organisations' templates, above the ids of all conversations.
const TEMPLATE_IDS: u64 = 1 << 48;

/// An event of a request on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EngineEvent {
    /// The first token of a request was generated.
    FirstToken(usize),
    /// The request finished.
    Finished(usize),
}

/// Progress of an engine at which a request reaches its first or last token.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Threshold {
    steps: u64,
    request: usize,
    is_end: bool,
}

/// A model of an inference engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// Cached prefixes.
    pub(crate) cache: PrefixCache,
    /// Number of changes of the batch; identifies outdated wake-ups, scheduled before a change.
    pub(crate) generation: u64,
    /// Tokens that a stream would have generated if it had run since the start.
    progress: f64,
    updated: Duration,
    thresholds: BinaryHeap<Reverse<Threshold>>,
    /// Progress at the last report, by running request.
    running: BTreeMap<usize, f64>,
}

impl Engine {
    /// Creates an idle engine with an empty cache of `cache_tokens`.
    pub(crate) fn new(cache_tokens: u64, now: Duration) -> Self {
        Self {
            cache: PrefixCache::new(cache_tokens),
            generation: 0,
            progress: 0.0,
            updated: now,
            thresholds: BinaryHeap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the number of prompt tokens of a request that are cached.
    pub(crate) fn cached_tokens(&self, arrival: &Arrival) -> u64 {
        let template = self.cache.tokens(template_id(arrival));
        if template == 0 {
            return 0;
        }
        template + self.cache.tokens(arrival.conversation).min(arrival.history)
    }

    /// Starts a request and returns the number of its prompt tokens that were cached.
    pub(crate) fn start(&mut self, request: usize, arrival: &Arrival) -> u64 {
        let cached = self.cached_tokens(arrival);
        let prefill = (arrival.prompt() - cached) as f64 / PROMPT_TOKENS_PER_UNIT as f64;
        let first = self.progress + prefill + 1.0;
        let end = first + arrival.output.saturating_sub(1) as f64;
        for (at, is_end) in [(first, false), (end, true)] {
            let steps = to_steps(at);
            self.thresholds.push(Reverse(Threshold {
                steps,
                request,
                is_end,
            }));
        }
        self.running.insert(request, self.progress);
        let history = arrival.history + arrival.input + arrival.output;
        self.cache.insert(arrival.conversation, history);
        self.cache.insert(template_id(arrival), arrival.template());
        self.generation += 1;
        cached
    }

    /// Advances the time to `now` and returns the events up to then.
    pub(crate) fn advance(&mut self, now: Duration) -> Vec<EngineEvent> {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.progress += elapsed * self.stream_rate();
        self.updated = now;
        let reached = to_steps(self.progress);
        let mut events = Vec::new();
        while let Some(Reverse(next)) = self.thresholds.peek().copied()
            && next.steps <= reached
        {
            self.thresholds.pop();
            if next.is_end {
                self.running.remove(&next.request);
                self.generation += 1;
                events.push(EngineEvent::Finished(next.request));
            } else {
                events.push(EngineEvent::FirstToken(next.request));
            }
        }
        events
    }

    /// Returns the work that each running request has completed since the last call, rounded down
    /// to complete units.
    pub(crate) fn take_progress(&mut self) -> Vec<(usize, WorkUnits)> {
        let progress = self.progress;
        let take = |(&request, reported): (&usize, &mut f64)| {
            let tokens = (progress - *reported).floor();
            *reported += tokens;
            (request, tokens as WorkUnits)
        };
        self.running.iter_mut().map(take).collect()
    }

    /// Returns when the next event is due if the batch does not change.
    pub(crate) fn next_event_time(&self) -> Option<Duration> {
        let Reverse(next) = self.thresholds.peek()?;
        let remaining = (next.steps as f64 / STEPS_PER_TOKEN - self.progress).max(0.0);
        let wait = Duration::from_secs_f64(remaining / self.stream_rate());
        // The added microsecond ensures that rounding never schedules the wake-up too early.
        Some(self.updated + wait + Duration::from_micros(1))
    }

    fn stream_rate(&self) -> f64 {
        STREAM_RATE.min(ENGINE_RATE / self.running.len().max(1) as f64)
    }
}

fn template_id(arrival: &Arrival) -> u64 {
    TEMPLATE_IDS + arrival.organisation as u64
}

fn to_steps(progress: f64) -> u64 {
    (progress * STEPS_PER_TOKEN) as u64
}
