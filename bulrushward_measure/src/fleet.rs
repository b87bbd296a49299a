//! Runs the requests of a workload through routers, agents and engines in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use bulrushward_policy::load_bound::LoadBound;
use bulrushward_protocol::{RefusalReason, WorkUnits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Case, Size,
    engine::{Engine, Progress},
    policies::{Policy, Seen, View},
    results::Results,
    views::{LoadHistory, SAMPLE_INTERVAL},
    workload::Arrival,
};

/// One-way delay within a failure domain.
const NEAR: Duration = Duration::from_micros(200);
/// One-way delay between callers and routers.
const TO_CALLER: Duration = Duration::from_millis(1);
/// How often routers and agents take in what they heard.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its start in which a router has no load reports.
const ROUTER_BLIND: Duration = Duration::from_secs(2);
/// Share of engines and of routers that churn replaces each minute.
const CHURN_PER_MINUTE: f64 = 0.1;
/// Seed of choices that routers make, apart from the workload.
const CHOICE_STREAM: u64 = 0x5eed;

/// What is due at a moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Sample,
    ReplaceEngine,
    ReplaceRouter,
    Wake { engine: usize, generation: u64 },
    Attempt { request: usize, engine: usize },
    Arrive { request: usize },
}

/// What a router has in memory.
#[derive(Clone, Debug, Default)]
struct Router {
    started: Duration,
    refreshed: Option<Duration>,
    seen: Vec<Seen>,
}

/// The mean load that an agent last worked out.
#[derive(Clone, Copy, Debug, Default)]
struct AgentMean {
    refreshed: Option<Duration>,
    mean_of_others: f64,
}

/// A fleet in the middle of a run.
pub struct Fleet<'a> {
    size: &'a Size,
    arrivals: &'a [Arrival],
    policy: Box<dyn Policy>,
    bound: LoadBound,
    rng: Pcg64Mcg,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    engines: Vec<Engine>,
    /// The engine of each slot, and the one before it.
    slots: Vec<(usize, Option<usize>)>,
    slot_of: Vec<usize>,
    routers: Vec<Router>,
    means: Vec<AgentMean>,
    history: LoadHistory,
    holders: HashMap<u64, Vec<usize>>,
    /// Engines still to be tried for a request.
    remaining: HashMap<usize, Vec<usize>>,
    total_load: WorkUnits,
    results: Results,
}

impl std::fmt::Debug for Fleet<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet")
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

/// Runs a workload under a policy and returns what was measured after the warm-up.
#[must_use]
pub fn run(
    size: &Size,
    case: Case,
    arrivals: &[Arrival],
    policy: Box<dyn Policy>,
    bound: LoadBound,
    seed: u64,
) -> Results {
    let mut fleet = Fleet::new(size, arrivals, policy, bound, seed);
    fleet.schedule_start(case);
    fleet.run_to_end();
    fleet.finish()
}

impl<'a> Fleet<'a> {
    fn new(
        size: &'a Size,
        arrivals: &'a [Arrival],
        policy: Box<dyn Policy>,
        bound: LoadBound,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            size,
            arrivals,
            policy,
            bound,
            rng: Pcg64Mcg::seed_from_u64(seed ^ CHOICE_STREAM),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            engines: Vec::new(),
            slots: Vec::new(),
            slot_of: Vec::new(),
            routers: vec![Router::default(); size.routers],
            means: Vec::new(),
            history: LoadHistory::new(size.view_lag),
            holders: HashMap::new(),
            remaining: HashMap::new(),
            total_load: 0,
            results: Results::default(),
        };
        for slot in 0..size.engines {
            let engine = fleet.add_engine(slot);
            fleet.slots.push((engine, None));
        }
        fleet
    }

    fn add_engine(&mut self, slot: usize) -> usize {
        let index = self.engines.len();
        let name: Arc<str> = format!("engine-{index}").into();
        self.engines
            .push(Engine::new(name, self.size.cache_tokens, self.now));
        self.slot_of.push(slot);
        self.means.push(AgentMean::default());
        index
    }

    fn schedule_start(&mut self, case: Case) {
        self.schedule(Duration::ZERO, Event::Sample);
        if !self.arrivals.is_empty() {
            self.schedule(self.arrivals[0].at, Event::Arrive { request: 0 });
        }
        if case == Case::Churn {
            self.schedule(churn_interval(self.size.engines), Event::ReplaceEngine);
            self.schedule(churn_interval(self.size.routers), Event::ReplaceRouter);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn run_to_end(&mut self) {
        while let Some(Reverse((at, event))) = self.events.pop()
            && at < self.size.duration
        {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sample => self.sample(),
            Event::ReplaceEngine => self.replace_engine(),
            Event::ReplaceRouter => self.replace_router(),
            Event::Wake { engine, generation } => {
                if self.engines[engine].generation == generation {
                    self.step(engine);
                }
            }
            Event::Attempt { request, engine } => self.attempt(request, engine),
            Event::Arrive { request } => self.arrive(request),
        }
    }

    fn sample(&mut self) {
        let loads = self
            .slots
            .iter()
            .map(|(engine, _)| self.engines[*engine].load)
            .collect();
        self.history.push(loads);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
    }

    fn replace_engine(&mut self) {
        let slot = self.rng.random_range(0..self.slots.len());
        let old = self.slots[slot].0;
        let new = self.add_engine(slot);
        self.slots[slot] = (new, Some(old));
        self.engines[old].left = Some(self.now);
        self.total_load -= self.engines[old].load;
        self.schedule(churn_interval(self.size.engines), Event::ReplaceEngine);
    }

    fn replace_router(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        self.routers[router] = Router {
            started: self.now,
            ..Router::default()
        };
        self.schedule(churn_interval(self.size.routers), Event::ReplaceRouter);
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.arrivals.get(request + 1) {
            let at = next.at;
            self.events.push(Reverse((
                at,
                Event::Arrive {
                    request: request + 1,
                },
            )));
        }
        let arrival = self.arrivals[request];
        self.refresh_router(arrival.router);
        let view = View {
            router: arrival.router,
            seen: &self.routers[arrival.router].seen,
            bound: self.bound,
            engines: &self.engines,
            holders: &self.holders,
        };
        let mut order = self.policy.order(&view, &arrival, &mut self.rng);
        order.reverse();
        self.remaining.insert(request, order);
        self.results.arrived += 1;
        self.try_next(request, RefusalReason::NoBackend, Duration::ZERO);
    }

    /// Sends a request to its next candidate, or refuses it for the reason of the last one.
    fn try_next(&mut self, request: usize, reason: RefusalReason, delay: Duration) {
        let Some(engine) = self.remaining.get_mut(&request).and_then(Vec::pop) else {
            self.remaining.remove(&request);
            let arrival = &self.arrivals[request];
            self.results
                .refuse(arrival.kind, reason, self.is_measured(arrival));
            return;
        };
        let delay = delay + self.one_way(self.arrivals[request].router, engine);
        self.schedule(delay, Event::Attempt { request, engine });
    }

    fn attempt(&mut self, request: usize, engine: usize) {
        let arrival = self.arrivals[request];
        self.step(engine);
        if let Some(reason) = self.refusal(&arrival, engine) {
            let back = self.one_way(arrival.router, engine);
            self.try_next(request, reason, back);
            return;
        }
        self.remaining.remove(&request);
        self.engines[engine].admit(request, arrival.kind, arrival.work());
        self.total_load += arrival.work();
        self.results.admitted += 1;
        let load = self.engines[engine].load;
        if self.is_measured(&arrival) {
            let mean = self.total_load as f64 / self.slots.len() as f64;
            self.results.record_skew(load, mean, self.bound.floor);
        }
        self.step(engine);
    }

    fn refusal(&mut self, arrival: &Arrival, engine: usize) -> Option<RefusalReason> {
        if self.engines[engine].left.is_some() {
            return Some(RefusalReason::Draining);
        }
        if self.policy.is_unlimited() {
            return None;
        }
        if !self.engines[engine].has_room() {
            return Some(RefusalReason::QueueFull);
        }
        let load = self.engines[engine].load;
        if !self.policy.is_bounded() {
            return None;
        }
        let mean = self.agent_mean(engine);
        let is_admitted = self.bound.admits(load, arrival.work(), mean);
        (!is_admitted).then_some(RefusalReason::LoadBound)
    }

    /// Lets an engine make progress, starts what waits beside it and schedules its next step.
    fn step(&mut self, engine: usize) {
        for progress in self.engines[engine].advance(self.now) {
            match progress {
                Progress::FirstToken(request) => self.first_token(request, engine),
                Progress::Finished(request) => self.finished(request, engine),
            }
        }
        for (request, found) in self.engines[engine].start_waiting(self.arrivals) {
            let arrival = &self.arrivals[request];
            let ran_on = self.holders.entry(arrival.conversation).or_default();
            if !ran_on.contains(&engine) {
                ran_on.push(engine);
            }
            let measured = self.is_measured(arrival);
            self.results
                .record_prompt(found, arrival.prompt(), measured);
        }
        let generation = self.engines[engine].generation;
        if let Some(at) = self.engines[engine].next_step() {
            self.events
                .push(Reverse((at, Event::Wake { engine, generation })));
        }
    }

    fn first_token(&mut self, request: usize, engine: usize) {
        let arrival = &self.arrivals[request];
        let way = 2 * TO_CALLER + self.one_way(arrival.router, engine);
        let elapsed = self.now.saturating_sub(arrival.at) + way;
        self.results
            .record_first_token(arrival.kind, elapsed, self.is_measured(arrival));
    }

    fn finished(&mut self, request: usize, engine: usize) {
        let work = self.arrivals[request].work();
        self.engines[engine].load -= work;
        if self.engines[engine].left.is_none() {
            self.total_load -= work;
        }
        self.results.finished += 1;
    }

    fn refresh_router(&mut self, router: usize) {
        let state = &self.routers[router];
        if state
            .refreshed
            .is_some_and(|at| self.now.saturating_sub(at) < REFRESH_INTERVAL)
        {
            return;
        }
        let is_blind =
            self.now.saturating_sub(state.started) < ROUTER_BLIND && !state.started.is_zero();
        let seen = (0..self.slots.len())
            .map(|slot| {
                let engine = self.seen_engine(router, slot);
                let report = self.history.reported(router, slot, self.now);
                let load = report.filter(|_| !is_blind);
                Seen {
                    engine,
                    name: Arc::clone(&self.engines[engine].name),
                    load,
                }
            })
            .collect();
        self.routers[router].seen = seen;
        self.routers[router].refreshed = Some(self.now);
    }

    /// Returns the engine of a slot that a router believes in: the one before, until it hears.
    fn seen_engine(&self, router: usize, slot: usize) -> usize {
        let (current, previous) = self.slots[slot];
        let age = self.history.age(router, slot, self.now);
        let has_heard = self.now.saturating_sub(self.engines[current].joined) >= age;
        if has_heard {
            current
        } else {
            previous.unwrap_or(current)
        }
    }

    /// Returns the mean load as an agent knows it: its own exactly, others' by late reports.
    fn agent_mean(&mut self, engine: usize) -> f64 {
        let own = self.slot_of[engine];
        let known = self.means[engine];
        let is_fresh = known
            .refreshed
            .is_some_and(|at| self.now.saturating_sub(at) < REFRESH_INTERVAL);
        let count = self.slots.len();
        if !is_fresh {
            let viewer = self.size.routers + own;
            let others = (0..count).filter(|slot| *slot != own);
            let sum: WorkUnits = others
                .filter_map(|slot| self.history.reported(viewer, slot, self.now))
                .sum();
            self.means[engine] = AgentMean {
                refreshed: Some(self.now),
                mean_of_others: sum as f64 / (count - 1).max(1) as f64,
            };
        }
        let others = self.means[engine].mean_of_others * (count - 1) as f64;
        (others + self.engines[engine].load as f64) / count as f64
    }

    fn one_way(&self, router: usize, engine: usize) -> Duration {
        let is_near = router % 3 == self.slot_of[engine] % 3;
        if is_near { NEAR } else { self.size.one_way }
    }

    fn is_measured(&self, arrival: &Arrival) -> bool {
        arrival.at >= self.size.warm_up
    }

    fn finish(mut self) -> Results {
        self.results.unfinished =
            self.remaining.len() as u64 + self.engines.iter().map(Engine::unfinished).sum::<u64>();
        let fullest = self.engines.iter().map(|engine| engine.cache.used()).max();
        self.results.fullest_cache = fullest.unwrap_or(0);
        self.results
    }
}

fn churn_interval(count: usize) -> Duration {
    Duration::from_mins(1).div_f64(CHURN_PER_MINUTE * count as f64)
}
