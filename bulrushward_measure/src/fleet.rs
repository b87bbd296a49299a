//! Simulates the requests of a workload in routers, agents and engines in virtual time.

mod request_path;
mod views;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    admission::AdmissionSettings, attempt::RequestProgress, load_bound::LoadBound,
    mean_load::MeanLoadEstimator, membership::LoadReport, placement::PlacementTable,
    retry_budget::RetryBudget,
};
use bulrushward_protocol::{AttemptId, WorkUnits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Case, Size,
    backend::{Backend, admission_settings},
    load_history::{LoadHistory, SAMPLE_INTERVAL},
    policies::{KnownBackend, Policy},
    results::Results,
    workload::Arrival,
};

/// Number of failure domains of each fleet.
const FAILURE_DOMAINS: usize = 3;
/// One-way delay within a failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(200);
/// One-way delay between callers and routers.
const CALLER_DELAY: Duration = Duration::from_millis(1);
/// Interval at which routers and agents refresh their view of the loads.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time during which a new router has no load reports; the initial routers have them at once.
const ROUTER_WITHOUT_REPORTS: Duration = Duration::from_secs(2);
/// Share of engines and of routers that churn replaces each minute.
const CHURN_PER_MINUTE: f64 = 0.1;
/// Retry budget of routers as a fraction of requests; the default of the configuration text.
const RETRY_FRACTION: f64 = 0.1;
/// Value that separates the seed of the routers' choices from that of the workload.
const CHOICE_SEED: u64 = 0x5eed;

/// An event of the simulation; simultaneous events are handled in the order of the variants.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Sample,
    ReplaceEngine,
    ReplaceRouter,
    Report,
    Wake { backend: usize, generation: u64 },
    Attempt { request: usize, backend: usize },
    Arrive { request: usize },
}

/// State of a router.
#[derive(Clone, Debug)]
struct Router {
    started: Duration,
    refreshed: Option<Duration>,
    known: Vec<KnownBackend>,
    table: PlacementTable,
    budget: RetryBudget,
}

impl Router {
    fn new(now: Duration) -> Self {
        Self {
            started: now,
            refreshed: None,
            known: Vec::new(),
            table: PlacementTable::default(),
            budget: RetryBudget::new(RETRY_FRACTION),
        }
    }
}

/// A request that no agent has admitted yet.
#[derive(Debug)]
struct Pending {
    candidates: Vec<usize>,
    progress: RequestProgress,
}

/// An agent's view of the loads: the reports that it had at its last refresh and its estimator.
#[derive(Clone, Debug, Default)]
struct AgentLoadView {
    refreshed: Option<Duration>,
    reports: Vec<LoadReport>,
    mean: MeanLoadEstimator,
}

/// State of a fleet during a run.
pub struct Fleet<'a> {
    size: &'a Size,
    arrivals: &'a [Arrival],
    policy: Box<dyn Policy>,
    bound: LoadBound,
    settings: AdmissionSettings,
    rng: Pcg64Mcg,
    /// Start of virtual time.
    epoch: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    backends: Vec<Backend>,
    /// Current and previous backend server of each slot.
    slots: Vec<(usize, Option<usize>)>,
    routers: Vec<Router>,
    load_views: Vec<AgentLoadView>,
    history: LoadHistory,
    /// Backend servers that have run each conversation.
    holders: HashMap<u64, Vec<usize>>,
    pending: HashMap<usize, Pending>,
    /// Total load of the backend servers that are not leaving.
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

/// Runs a workload under a policy and returns its results.
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
        let settings = admission_settings(policy.limits(), bound);
        let mut fleet = Self {
            size,
            arrivals,
            policy,
            bound,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed ^ CHOICE_SEED),
            epoch: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            backends: Vec::new(),
            slots: Vec::new(),
            routers: vec![Router::new(Duration::ZERO); size.routers],
            load_views: Vec::new(),
            history: LoadHistory::new(size.view_lag),
            holders: HashMap::new(),
            pending: HashMap::new(),
            total_load: 0,
            results: Results::default(),
        };
        for slot in 0..size.engines {
            let backend = fleet.add_backend(slot);
            fleet.slots.push((backend, None));
        }
        fleet
    }

    fn add_backend(&mut self, slot: usize) -> usize {
        let index = self.backends.len();
        let settings = self.settings.clone();
        let backend = Backend::new(index, slot, self.size.cache_tokens, settings, self.now);
        self.backends.push(backend);
        self.load_views.push(AgentLoadView::default());
        index
    }

    fn schedule_start(&mut self, case: Case) {
        self.schedule(Duration::ZERO, Event::Sample);
        self.schedule(REFRESH_INTERVAL, Event::Report);
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
            Event::Report => self.report_progress(),
            Event::Wake {
                backend,
                generation,
            } => {
                if self.backends[backend].engine.generation == generation {
                    self.advance_engine(backend);
                }
            }
            Event::Attempt { request, backend } => self.handle_attempt(request, backend),
            Event::Arrive { request } => self.handle_arrival(request),
        }
    }

    fn sample(&mut self) {
        let loads = self
            .slots
            .iter()
            .map(|(backend, _)| self.backends[*backend].load());
        self.history.push(loads.collect());
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
    }

    /// Replaces an engine gracefully: the old one finishes its work, the new one has another name.
    fn replace_engine(&mut self) {
        let slot = self.rng.random_range(0..self.slots.len());
        let old = self.slots[slot].0;
        let new = self.add_backend(slot);
        self.slots[slot] = (new, Some(old));
        self.total_load -= self.backends[old].load();
        self.backends[old].is_leaving = true;
        self.backends[old].admission.drain();
        self.schedule(churn_interval(self.size.engines), Event::ReplaceEngine);
    }

    fn replace_router(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        self.routers[router] = Router::new(self.now);
        self.schedule(churn_interval(self.size.routers), Event::ReplaceRouter);
    }

    /// Reports the progress of running requests to their agents.
    fn report_progress(&mut self) {
        for backend in 0..self.backends.len() {
            if self.backends[backend].unfinished() == 0 {
                continue;
            }
            self.advance_engine(backend);
            self.update_load(backend, |backend| {
                for (request, tokens) in backend.engine.take_progress() {
                    backend.admission.progress(request as AttemptId, tokens);
                }
            });
        }
        self.schedule(REFRESH_INTERVAL, Event::Report);
    }

    fn one_way_delay(&self, router: usize, backend: usize) -> Duration {
        let is_same_domain =
            router % FAILURE_DOMAINS == self.backends[backend].slot % FAILURE_DOMAINS;
        if is_same_domain {
            SAME_DOMAIN_DELAY
        } else {
            self.size.one_way_delay
        }
    }

    fn deadline(&self, arrival: &Arrival) -> Instant {
        self.epoch + arrival.at + arrival.kind.deadline()
    }

    fn is_measured(&self, arrival: &Arrival) -> bool {
        arrival.at >= self.size.warm_up
    }

    fn finish(mut self) -> Results {
        let unfinished: u64 = self.backends.iter().map(Backend::unfinished).sum();
        self.results.unfinished = self.pending.len() as u64 + unfinished;
        let caches = self
            .backends
            .iter()
            .map(|backend| backend.engine.cache.used());
        self.results.max_cache_tokens = caches.max().unwrap_or(0);
        self.results
    }
}

fn churn_interval(count: usize) -> Duration {
    Duration::from_mins(1).div_f64(CHURN_PER_MINUTE * count as f64)
}
