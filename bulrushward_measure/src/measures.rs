//! Measures cache reuse, load skew, time to first token and refusals.

use std::{
    sync::{
        Mutex, OnceLock, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use bulrushward_policy::load_bound::LoadBound;
use strum::VariantArray;

use crate::{Arrival, Case, Figure, PolicyName, Results, Size, generate, run};

/// Number of threads that run the model.
const THREADS: usize = 4;
/// Maximum load divided by the mean load.
const SKEW_TARGET: f64 = 1.25;
/// Minimum reuse relative to the oracle when nothing fails.
const STEADY_REUSE_TARGET: f64 = 0.95;
/// Minimum reuse relative to the oracle under churn.
const CHURN_REUSE_TARGET: f64 = 0.85;

/// Reported quantiles of the skew with the suffixes of their measure names.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("max", 1.0)];

/// The requests of one fleet size in one case, generated once for all policies.
struct Workload<'a> {
    size: &'a Size,
    case: Case,
    arrivals: OnceLock<Vec<Arrival>>,
}

/// Runs every policy in every case at every size and returns the figures.
///
/// # Panics
///
/// Panics if a run of the model panics.
#[must_use]
pub fn measure_runs(sizes: &[Size], bound: LoadBound, seed: u64) -> Vec<Figure> {
    let workloads: Vec<Workload<'_>> = sizes
        .iter()
        .flat_map(|size| {
            let workload = |&case| Workload {
                size,
                case,
                arrivals: OnceLock::new(),
            };
            Case::VARIANTS.iter().map(workload)
        })
        .collect();
    let results = run_all(&workloads, bound, seed);
    workloads
        .iter()
        .zip(results.chunks(PolicyName::VARIANTS.len()))
        .flat_map(|(workload, results)| case_figures(workload, results))
        .collect()
}

/// Runs all workloads under all policies; the results of each workload are adjacent.
fn run_all(workloads: &[Workload<'_>], bound: LoadBound, seed: u64) -> Vec<Results> {
    let policies = PolicyName::VARIANTS;
    let count = workloads.len() * policies.len();
    // The largest fleets are at the end of the list and run first, so that no thread runs a long
    // one alone at the end.
    let next = AtomicUsize::new(count);
    let done = Mutex::new(vec![Results::default(); count]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Ok(remaining) =
                    next.try_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                        remaining.checked_sub(1)
                    })
                {
                    let index = remaining - 1;
                    let Workload {
                        size,
                        case,
                        arrivals,
                    } = &workloads[index / policies.len()];
                    let arrivals = arrivals.get_or_init(|| generate(size, *case, seed));
                    let policy = policies[index % policies.len()].create(size.routers);
                    let results = run(size, *case, arrivals, policy, bound, seed);
                    done.lock().unwrap_or_else(PoisonError::into_inner)[index] = results;
                }
            });
        }
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn case_figures(workload: &Workload<'_>, results: &[Results]) -> Vec<Figure> {
    let by_policy = || PolicyName::VARIANTS.iter().copied().zip(results);
    let oracle = by_policy().find(|(name, _)| *name == PolicyName::Oracle);
    let oracle_reuse = oracle.map_or(1.0, |(_, results)| results.reuse());
    let meets_skew_target = |results: &Results| {
        results
            .skew_above_floor(1.0)
            .is_none_or(|skew| skew <= SKEW_TARGET)
    };
    let best_baseline = by_policy()
        .filter(|(name, results)| name.is_baseline() && meets_skew_target(results))
        .map(|(_, results)| results.reuse() / oracle_reuse)
        .fold(0.0, f64::max);
    let mut figures = Vec::new();
    for (policy, results) in by_policy() {
        let relative = results.reuse() / oracle_reuse;
        let reuse_target = match workload.case {
            Case::Steady => Some(STEADY_REUSE_TARGET),
            Case::Churn => Some(CHURN_REUSE_TARGET),
            Case::Surge => None,
        };
        let is_product = policy == PolicyName::Product;
        let reuse_met = reuse_target
            .filter(|_| is_product)
            .map(|target| relative >= target && relative > best_baseline);
        let skew_met = |skew: f64| is_product.then_some(skew <= SKEW_TARGET);
        let mut add = |measure: String, value: f64, unit, target_met| {
            figures.push(Figure {
                measure,
                policy: policy.to_string(),
                size: workload.size.name.to_owned(),
                case: workload.case.to_string(),
                value,
                unit,
                target_met,
            });
        };
        add("reuse".into(), results.reuse(), "share", None);
        add("reuse-of-oracle".into(), relative, "ratio", reuse_met);
        // Without admissions above the floor there is no skew to report.
        for (name, quantile) in QUANTILES {
            if let Some(skew) = results.skew_above_floor(quantile) {
                let met = skew_met(skew).filter(|_| quantile >= 1.0);
                add(format!("skew-{name}"), skew, "ratio", met);
            }
        }
        let above = results.above_floor_share();
        add("admissions-above-floor".into(), above, "share", None);
        for (name, quantile) in QUANTILES {
            add(
                format!("skew-with-floor-{name}"),
                results.skew(quantile),
                "ratio",
                None,
            );
        }
        for (kind, p95) in results.first_token_p95() {
            add(
                format!("first-token-p95-{kind}"),
                p95.as_secs_f64() * 1e3,
                "ms",
                None,
            );
        }
        add("refused".into(), results.refused_share(), "share", None);
        for ((kind, reason), count) in &results.refusals {
            add(
                format!("refused-{kind}-{reason}"),
                *count as f64,
                "requests",
                None,
            );
        }
    }
    figures
}
