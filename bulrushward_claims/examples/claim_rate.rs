//! Measures the writes and latency of claims at several rates and numbers of shards and agents.
//!
//! Sharded records are compared with one key per claim. Time is tokio's paused clock, so that
//! latencies only include the calls; CPU time is measured separately, on the real clock. `--quick`
//! skips the largest cases.

#[expect(dead_code, reason = "the tests use the rest of the support module")]
#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    fmt::Display,
    num::NonZeroU32,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_claims::{
    ClaimOutcome, ClaimSettings, ClaimStore, Claims, decode_record, encode_record,
};
use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError, Version};
use bulrushward_policy::claim::{ClaimChange, ClaimRecord, shard_of};
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::MemoryKv;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

const SEED: u64 = 1;
/// Claims per second of all agents together.
const RATES: [u32; 5] = [10, 50, 200, 500, 2_000];
/// Numbers of agents of the service.
const AGENTS: [usize; 3] = [3, 20, 600];
/// Numbers of shards of the service.
const SHARDS: [u32; 3] = [16, 64, 256];
/// Writes per second that all agents share equally, with a minimum per agent.
const FLEET_WRITES_PER_SECOND: usize = 300;
/// Minimum writes per second of an agent.
const MIN_WRITES_PER_AGENT: usize = 5;
/// Time during which claims arrive in each case.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Time for which an action runs.
const RUN_TIME: Duration = Duration::from_millis(100);
/// One-way delay between an agent and the key-value service, in microseconds.
const ONE_WAY_MICROS: std::ops::Range<u64> = 1_000..2_500;

/// Fake key-value service with a network delay.
#[derive(Clone, Debug)]
struct RemoteKv {
    kv: MemoryKv,
    rng: Arc<Mutex<Pcg64>>,
}

impl RemoteKv {
    fn new() -> Self {
        Self {
            kv: MemoryKv::default(),
            rng: Arc::new(Mutex::new(Pcg64::seed_from_u64(SEED))),
        }
    }

    async fn one_way_delay(&self) {
        let micros = self
            .rng
            .lock()
            .expect("the lock is not poisoned")
            .random_range(ONE_WAY_MICROS);
        sleep(Duration::from_micros(micros)).await;
    }
}

#[async_trait]
impl KeyValue for RemoteKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        self.one_way_delay().await;
        let response = self.kv.get(key).await;
        self.one_way_delay().await;
        response
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        self.one_way_delay().await;
        let response = self.kv.compare_and_swap(key, expected, value).await;
        self.one_way_delay().await;
        response
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

/// Claims with one key each: one write to claim and one to finish.
#[derive(Debug)]
struct KeyPerClaim {
    kv: RemoteKv,
}

#[async_trait]
impl Claims for KeyPerClaim {
    async fn claim(&self, action: u128, attempt: u128) -> ClaimOutcome {
        let value = Bytes::copy_from_slice(&attempt.to_le_bytes());
        let key = action.to_string();
        match self.kv.compare_and_swap(&key, 0, value).await {
            Ok(CasOutcome::Written(_)) => ClaimOutcome::Won,
            _ => ClaimOutcome::Unavailable,
        }
    }

    fn finish(&self, action: u128, attempt: u128) {
        let kv = self.kv.clone();
        let value = Bytes::copy_from_slice(&attempt.to_be_bytes());
        tokio::spawn(async move {
            drop(kv.compare_and_swap(&action.to_string(), 1, value).await);
        });
    }

    fn release(&self, _action: u128, _attempt: u128) {}

    async fn bar(&self, _action: u128, _attempt: u128) -> bool {
        false
    }
}

/// How routers choose the agent of an action.
#[derive(Clone, Copy)]
enum Placement {
    /// A random agent for each action.
    Any,
    /// The same agent for all actions of a shard.
    ByShard { shards: u32 },
}

/// Measurements of one case.
struct Figures {
    latency_micros: Histogram<u64>,
    refused: u64,
    writes_per_second: f64,
    reads_per_second: f64,
}

/// Makes claims at random times and waits until all have finished.
async fn make_claims(
    kv: &RemoteKv,
    agents: &[Arc<dyn Claims>],
    placement: Placement,
    rate: u32,
) -> Figures {
    // Agents are long-lived, so their start is excluded from the measurements.
    sleep(Duration::from_secs(1)).await;
    let (reads, writes) = (kv.kv.reads(), kv.kv.writes());
    let mut rng = Pcg64::seed_from_u64(SEED);
    let start = Instant::now();
    let mut claims = JoinSet::new();
    let mut at = Duration::ZERO;
    for attempt in 0_u128.. {
        at += Duration::from_secs_f64(-f64::ln(1.0 - rng.random::<f64>()) / f64::from(rate));
        if at > LOAD_TIME {
            break;
        }
        let action = rng.random();
        let agent = match placement {
            Placement::Any => rng.random_range(0..agents.len()),
            Placement::ByShard { shards } => shard_of(action, shards as usize) % agents.len(),
        };
        let agent = Arc::clone(&agents[agent]);
        claims.spawn(claim_and_run(agent, action, attempt, start + at));
    }
    let mut latency_micros = Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
    let mut refused = 0;
    while let Some(claim) = claims.join_next().await {
        match claim.expect("the claim does not panic") {
            Some(latency) => latency_micros.saturating_record(latency.as_micros() as u64),
            None => refused += 1,
        }
    }
    sleep(Duration::from_secs(10)).await;
    let per_second = |n: u64| n as f64 / LOAD_TIME.as_secs_f64();
    Figures {
        latency_micros,
        refused,
        writes_per_second: per_second(kv.kv.writes() - writes),
        reads_per_second: per_second(kv.kv.reads() - reads),
    }
}

async fn claim_and_run(
    agent: Arc<dyn Claims>,
    action: u128,
    attempt: u128,
    at: Instant,
) -> Option<Duration> {
    sleep_until(at).await;
    let outcome = agent.claim(action, attempt).await;
    let latency = at.elapsed();
    if outcome != ClaimOutcome::Won {
        return None;
    }
    sleep(RUN_TIME).await;
    agent.finish(action, attempt);
    Some(latency)
}

fn report(measure: &str, policy: &str, agents: usize, case: &str, value: impl Display, unit: &str) {
    println!(
        "measure={measure} policy={policy} size={agents} case={case} value={value} unit={unit}"
    );
}

fn report_figures(policy: &str, agents: usize, case: &str, figures: &Figures) {
    let line = |measure, value: f64, unit| {
        report(
            measure,
            policy,
            agents,
            case,
            format_args!("{value:.2}"),
            unit,
        );
    };
    let millis = |quantile| figures.latency_micros.value_at_quantile(quantile) as f64 / 1_000.0;
    line("claim-writes", figures.writes_per_second, "1/s");
    line("claim-reads", figures.reads_per_second, "1/s");
    line("claim-latency-p50", millis(0.5), "ms");
    line("claim-latency-p99", millis(0.99), "ms");
    line("claim-refused", figures.refused as f64, "1");
}

fn writes_per_agent(agents: usize) -> NonZeroU32 {
    let writes_per_agent = (FLEET_WRITES_PER_SECOND / agents).max(MIN_WRITES_PER_AGENT);
    NonZeroU32::new(writes_per_agent as u32).expect("the number is not 0")
}

async fn measure_sharded(agents: usize, shards: u32, placement: Placement, rate: u32) {
    let kv = RemoteKv::new();
    let start = |seed: usize| -> Arc<dyn Claims> {
        let settings = ClaimSettings {
            shards: NonZeroU32::new(shards).expect("the number is not 0"),
            writes_per_second: writes_per_agent(agents),
            seed: seed as u64,
            ..ClaimSettings::new("registry")
        };
        ClaimStore::start(Arc::new(kv.clone()), settings)
    };
    let stores: Vec<_> = (0..agents).map(start).collect();
    let figures = make_claims(&kv, &stores, placement, rate).await;
    let case = format!("rate-{rate}-shards-{shards}");
    let policy = match placement {
        Placement::Any => "sharded-records",
        Placement::ByShard { .. } => "sharded-records-placed",
    };
    report_figures(policy, agents, &case, &figures);
}

async fn measure_key_per_claim(agents: usize, rate: u32) {
    let kv = RemoteKv::new();
    let start = |_| -> Arc<dyn Claims> { Arc::new(KeyPerClaim { kv: kv.clone() }) };
    let stores: Vec<_> = (0..agents).map(start).collect();
    let figures = make_claims(&kv, &stores, Placement::Any, rate).await;
    report_figures("key-per-claim", agents, &format!("rate-{rate}"), &figures);
}

/// Runs one case on its own runtime, so that its tasks do not affect the next case.
fn run_on_paused_clock(case: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built")
        .block_on(case);
}

/// Measures the CPU time of a commit for several numbers of entries.
fn measure_cpu_time() {
    const REPEATS: u32 = 20;
    for entries in [100_u128, 1_000, 10_000, 25_000] {
        let mut rng = Pcg64::seed_from_u64(SEED);
        let mut record = ClaimRecord::default();
        for _ in 0..entries {
            record.apply(rng.random(), 1, ClaimChange::Finish, usize::MAX);
        }
        let value = encode_record(&record).expect("the record can be encoded");
        let case = format!("entries-{entries}");
        let time = |measure: &str, mut work: Box<dyn FnMut() + '_>| {
            let start = std::time::Instant::now();
            (0..REPEATS).for_each(|_| work());
            let micros = start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
            report(
                measure,
                "sharded-records",
                1,
                &case,
                format_args!("{micros:.1}"),
                "us",
            );
        };
        let mut changed = record.clone();
        let claim = ClaimChange::Claim { nonce: 1 };
        time(
            "record-apply",
            Box::new(|| {
                changed.prune(&bulrushward_policy::claim::Retention::default());
                changed.apply(rng.random(), 1, claim, usize::MAX);
            }),
        );
        time("record-encode", Box::new(|| drop(encode_record(&record))));
        time("record-decode", Box::new(|| drop(decode_record(&value))));
        report("record-size", "sharded-records", 1, &case, value.len(), "B");
        let memory = record.entries().len() * size_of_val(&record.entries()[0]);
        report("record-memory", "sharded-records", 1, &case, memory, "B");
    }
}

fn main() {
    let is_quick = std::env::args().any(|arg| arg == "--quick");
    measure_cpu_time();
    for agents in AGENTS {
        for rate in RATES {
            if is_quick && (agents > 20 || rate > 500) {
                continue;
            }
            run_on_paused_clock(measure_key_per_claim(agents, rate));
            for shards in SHARDS {
                run_on_paused_clock(measure_sharded(agents, shards, Placement::Any, rate));
                let placement = Placement::ByShard { shards };
                run_on_paused_clock(measure_sharded(agents, shards, placement, rate));
            }
        }
    }
}
