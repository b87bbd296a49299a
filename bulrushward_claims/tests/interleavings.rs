//! Checks that an action starts at most once when several stores claim it under random faults.
//!
//! The faults are slow and lost calls, killed processes, cancelled requests and attempts that are
//! sent more than once.

#[expect(
    dead_code,
    reason = "other test files use the rest of the support module"
)]
mod support;

use std::{
    collections::{HashMap, HashSet},
    num::NonZeroU32,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_claims::{ClaimOutcome, ClaimSettings, ClaimStore, Claims};
use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bulrushward_protocol::{ActionKey, AttemptId};
use bytes::Bytes;
use proptest::{prelude::*, strategy::ValueTree, test_runner::RngSeed};
use support::MemoryKv;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

const CASES: u32 = 2_000;
const AGENTS: usize = 3;
const ACTIONS: u128 = 3;
const ATTEMPTS: u128 = 5;
const MAX_STEPS: usize = 60;
/// Attempt that no generated step uses.
const FRESH_ATTEMPT: AttemptId = 1_000;

/// The key-value service of one process; calls of a killed process never complete.
#[derive(Debug)]
struct ProcessKv {
    kv: MemoryKv,
    is_dead: Arc<AtomicBool>,
}

impl ProcessKv {
    async fn hang_if_dead(&self) {
        if self.is_dead.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

#[async_trait]
impl KeyValue for ProcessKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        self.hang_if_dead().await;
        self.kv.get(key).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        self.hang_if_dead().await;
        self.kv.compare_and_swap(key, expected, value).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<Entry>, KvError> {
        self.kv.watch(key, after, timeout).await
    }
}

/// What the callers of one case observed.
#[derive(Debug, Default)]
struct Observations {
    starts: HashMap<ActionKey, Vec<AttemptId>>,
    not_run: HashSet<(ActionKey, AttemptId)>,
    outcomes: HashMap<&'static str, u32>,
}

impl Observations {
    fn violation(&self) -> Option<String> {
        let mut starts = self.starts.iter();
        let started_twice = starts.find(|(_, attempts)| attempts.len() > 1);
        let mut not_run = self.not_run.iter();
        let false_not_run = not_run.find(|(action, attempt)| {
            let attempts = self.starts.get(action);
            attempts.is_some_and(|attempts| attempts.contains(attempt))
        });
        (started_twice.is_some() || false_not_run.is_some())
            .then(|| format!("{started_twice:?} {false_not_run:?}"))
    }

    fn count(&mut self, name: &'static str) {
        *self.outcomes.entry(name).or_default() += 1;
    }
}

type SharedObservations = Arc<Mutex<Observations>>;

struct Process {
    store: Arc<ClaimStore>,
    is_dead: Arc<AtomicBool>,
    requests: JoinSet<()>,
}

impl Process {
    fn start(kv: &MemoryKv, seed: u64) -> Self {
        let is_dead = Arc::new(AtomicBool::new(false));
        let kv = ProcessKv {
            kv: kv.clone(),
            is_dead: Arc::clone(&is_dead),
        };
        let settings = ClaimSettings {
            shards: NonZeroU32::MIN,
            seed,
            ..ClaimSettings::new("registry")
        };
        Self {
            store: ClaimStore::start(Arc::new(kv), settings),
            is_dead,
            requests: JoinSet::new(),
        }
    }

    fn kill(&mut self) {
        self.is_dead.store(true, Ordering::Relaxed);
        self.requests.abort_all();
    }
}

/// Claims an action and then, depending on `random`, runs and finishes it, or releases it.
///
/// A fifth of the requests are cancelled if the claim takes more than 3 ms.
async fn request(
    store: Arc<ClaimStore>,
    observed: SharedObservations,
    action: ActionKey,
    attempt: AttemptId,
    random: u64,
) {
    let timeout_ms = if random.is_multiple_of(5) { 3 } else { 10_000 };
    let claim = store.claim(action, attempt);
    let Ok(outcome) = timeout(Duration::from_millis(timeout_ms), claim).await else {
        return observed.lock().unwrap().count("cancelled");
    };
    observed.lock().unwrap().count(name(outcome));
    if outcome != ClaimOutcome::Won {
        return;
    }
    sleep(Duration::from_millis(random % 7_000)).await;
    if random.is_multiple_of(3) {
        observed.lock().unwrap().not_run.insert((action, attempt));
        return store.release(action, attempt);
    }
    let mut starts = observed
        .lock()
        .unwrap()
        .starts
        .remove(&action)
        .unwrap_or_default();
    starts.push(attempt);
    observed.lock().unwrap().starts.insert(action, starts);
    sleep(Duration::from_millis(random % 900)).await;
    store.finish(action, attempt);
}

async fn bar(
    store: Arc<ClaimStore>,
    observed: SharedObservations,
    action: ActionKey,
    attempt: AttemptId,
) {
    if store.bar(action, attempt).await {
        let mut observed = observed.lock().unwrap();
        observed.count("bar");
        observed.not_run.insert((action, attempt));
    }
}

fn name(outcome: ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Won => "won",
        ClaimOutcome::Held { .. } => "held",
        ClaimOutcome::Ran { .. } => "ran",
        ClaimOutcome::Barred => "barred",
        ClaimOutcome::Full => "full",
        ClaimOutcome::Unavailable => "unavailable",
    }
}

/// Runs one case; returns the observations and the actions that could not be claimed at the end.
async fn run_case(case_seed: u64, raw_steps: Vec<u32>) -> (Observations, Vec<ActionKey>) {
    let kv = MemoryKv::default();
    kv.set_random_faults(Some(case_seed));
    let observed = SharedObservations::default();
    let mut next_seed = case_seed;
    let mut new_process = || {
        next_seed = next_seed.wrapping_add(1);
        Process::start(&kv, next_seed)
    };
    let mut processes: Vec<_> = (0..AGENTS).map(|_| new_process()).collect();
    let mut any_killed = false;
    for raw in raw_steps {
        let random = u64::from(raw / 32);
        let action = u128::from(random) % ACTIONS;
        let attempt = u128::from(random / 3) % ATTEMPTS;
        let process = &mut processes[(random / 15) as usize % AGENTS];
        let (store, observed) = (Arc::clone(&process.store), Arc::clone(&observed));
        match raw % 32 {
            0..16 => drop(
                process
                    .requests
                    .spawn(request(store, observed, action, attempt, random)),
            ),
            16..22 => drop(
                process
                    .requests
                    .spawn(bar(store, observed, action, attempt)),
            ),
            22 => {
                any_killed = true;
                process.kill();
                *process = new_process();
            }
            23 => kv.set_unavailable(random.is_multiple_of(2)),
            _ => sleep(Duration::from_millis(random % 2_000)).await,
        }
    }
    sleep(Duration::from_secs(20)).await;
    kv.set_unavailable(false);
    kv.set_random_faults(None);
    sleep(Duration::from_mins(1)).await;
    let stuck = if any_killed {
        Vec::new()
    } else {
        stuck_actions(&processes[0], &observed).await
    };
    drop(processes);
    let observed = std::mem::take(&mut *observed.lock().unwrap());
    (observed, stuck)
}

/// Returns the actions that never started but cannot be claimed either.
async fn stuck_actions(process: &Process, observed: &SharedObservations) -> Vec<ActionKey> {
    let mut stuck = Vec::new();
    for action in 0..ACTIONS {
        let has_started = observed.lock().unwrap().starts.contains_key(&action);
        let outcome = process.store.claim(action, FRESH_ATTEMPT).await;
        if !has_started && outcome != ClaimOutcome::Won {
            stuck.push(action);
        }
    }
    stuck
}

fn run(seed: u64, raw_steps: Vec<u32>) -> (Observations, Vec<ActionKey>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built")
        .block_on(run_case(seed, raw_steps))
}

fn case() -> impl Strategy<Value = (u64, Vec<u32>)> {
    let steps = prop::collection::vec(any::<u32>(), 1..MAX_STEPS);
    (any::<u64>(), steps)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_action_starts_at_most_once_and_never_gets_stuck((seed, raw_steps) in case()) {
        let (observed, stuck) = run(seed, raw_steps);
        prop_assert_eq!(observed.violation(), None);
        prop_assert_eq!(stuck, Vec::<ActionKey>::new());
    }
}

#[test]
fn the_generated_cases_reach_every_outcome() {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    });
    let mut total: HashMap<&'static str, u32> = HashMap::new();
    for _ in 0..300 {
        let (seed, raw_steps) = case()
            .new_tree(&mut runner)
            .expect("a case can be generated")
            .current();
        for (outcome, n) in run(seed, raw_steps).0.outcomes {
            *total.entry(outcome).or_default() += n;
        }
    }
    for outcome in [
        "won",
        "held",
        "ran",
        "barred",
        "unavailable",
        "cancelled",
        "bar",
    ] {
        assert!(total.get(outcome).is_some_and(|n| *n > 50), "{total:?}");
    }
}
