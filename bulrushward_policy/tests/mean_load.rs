//! The estimate of the mean load errs on the low side.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    load_bound::LoadBound,
    mean_load::{MeanLoadEstimator, MeanLoadSettings},
    membership::LoadReport,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

/// Estimates once with a new estimator, which has no trend yet.
fn estimate(own: u64, known: &[LoadReport], members: usize) -> f64 {
    MeanLoadEstimator::default().estimate(own, known, members, Instant::now())
}

fn reports(loads: &[u64], age: Duration) -> Vec<LoadReport> {
    loads.iter().map(|&load| LoadReport { load, age }).collect()
}

#[test]
fn fresh_reports_of_all_peers_give_the_exact_mean() {
    let known = reports(&[100, 200, 300], Duration::ZERO);
    let mean = estimate(400, &known, 3);
    assert!((mean - 250.0).abs() < 1e-9, "{mean}");
    assert!((estimate(400, &[], 0) - 400.0).abs() < 1e-9);
}

#[test]
fn the_bound_falls_to_its_floor_when_reports_stop() {
    let bound = LoadBound {
        multiple: 1.25,
        floor: 500,
    };
    let limit = |age| {
        let known = reports(&[4_000; 9], Duration::from_secs(age));
        bound.limit(estimate(0, &known, 9))
    };
    assert_eq!(limit(0), 4_500);
    assert!(limit(10) < limit(5));
    assert_eq!(limit(11), 500);
    assert_eq!(bound.limit(estimate(9_000, &[], 9)), 500);
}

#[test]
fn a_single_report_from_many_members_is_not_trusted() {
    let known = reports(&[9_000], Duration::ZERO);
    let mean = estimate(0, &known, 9);
    assert!(mean < 1e-9, "{mean}");
}

#[test]
fn one_or_two_evenly_loaded_backend_servers_admit_the_next_request() {
    let bound = LoadBound {
        multiple: 1.25,
        floor: 1_000,
    };
    let alone = estimate(5_000 + 2_000, &[], 0);
    assert!(bound.admits(5_000, 2_000, alone));
    let known = reports(&[5_000], Duration::ZERO);
    let even = estimate(5_000 + 2_000, &known, 1);
    assert!(bound.admits(5_000, 2_000, even));
    let uneven = estimate(7_000 + 2_000, &known, 1);
    assert!(!bound.admits(7_000, 2_000, uneven));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(46),
        ..ProptestConfig::default()
    })]

    /// Each peer's load has changed since its report, halving at most once per half-life.
    #[test]
    fn the_bound_holds_while_loads_fall_no_faster_than_report_weights(
        peers in proptest::collection::vec((0..50_000_u64, 0..10_000_u64, 0.0..3.0_f64), 1..40),
        own in 0..50_000_u64,
        work in 1..5_000_u64,
    ) {
        let settings = MeanLoadSettings::default();
        let known: Vec<_> = peers
            .iter()
            .map(|&(load, age, _)| LoadReport { load, age: Duration::from_millis(age) })
            .collect();
        let now = peers.iter().zip(&known).map(|(&(load, _, change), report)| {
            let least = (-report.age.as_secs_f64() / settings.half_life.as_secs_f64()).exp2();
            load as f64 * (least + change * (1.0 - least))
        });
        let count = peers.len() as f64;
        let true_mean = (now.sum::<f64>() + (own + work) as f64) / (count + 1.0);
        let estimate = estimate(own + work, &known, peers.len());
        prop_assert!(estimate <= true_mean * (1.0 + 1e-9), "{estimate} above {true_mean}");
        let bound = LoadBound { multiple: 1.25, floor: 1_000 };
        if bound.admits(own, work, estimate) {
            let limit = 1_000.0_f64.max((1.25 * true_mean).ceil());
            prop_assert!((own + work) as f64 <= limit + 1e-6);
        }
    }

    #[test]
    fn age_and_missing_reports_never_raise_the_estimate(
        loads in proptest::collection::vec(0..50_000_u64, 2..40),
        own in 0..50_000_u64,
        age in 0..15_u64,
        older in 0..15_u64,
    ) {
        let at = |seconds| {
            let known = reports(&loads, Duration::from_secs(seconds));
            estimate(own, &known, loads.len())
        };
        prop_assert!(at(age + older) <= at(age) + 1e-9);
    }
}

/// Of 1,000 random samples of 20 among 600 loads, at most 5% may estimate above the true mean.
#[test]
fn a_sample_rarely_estimates_above_the_mean() {
    let mut rng = Pcg64::seed_from_u64(49);
    let loads: Vec<u64> = (0..600).map(|_| rng.random_range(5_000..7_500)).collect();
    let true_mean = loads.iter().sum::<u64>() as f64 / 600.0;
    let mut above = 0;
    let mut lowest = f64::INFINITY;
    for _ in 0..1_000 {
        let sample: Vec<_> = loads.sample(&mut rng, 20).copied().collect();
        let known = reports(&sample, Duration::ZERO);
        let mean = estimate(true_mean as u64, &known, 599);
        above += u32::from(mean > true_mean);
        lowest = lowest.min(mean / true_mean);
    }
    assert!(above <= 50, "{above} of 1000 estimates above the mean");
    assert!(lowest > 0.85, "the lowest estimate is {lowest} of the mean");
}

/// All loads fall by a fifth per second, faster than report weights do, and then stay constant.
#[test]
fn a_rapid_decline_is_extrapolated_over_the_age_of_the_reports() {
    let start = Instant::now();
    let load = |seconds: f64| 20_000.0 * 0.8_f64.powf((seconds - 5.0).clamp(0.0, 7.0));
    let mut mean_load = MeanLoadEstimator::default();
    let mut last = 0.0;
    for tick in 0..125_u32 {
        let seconds = f64::from(tick) * 0.2;
        let known = reports(&[load(seconds - 2.0) as u64; 9], Duration::from_secs(2));
        let now = start + Duration::from_secs_f64(seconds);
        last = mean_load.estimate(load(seconds) as u64, &known, 9, now);
        // The decline appears in the reports after 2 s and in the trend after 2 s more.
        if seconds > 9.0 {
            let truth = load(seconds);
            assert!(last <= truth, "{last} of {truth} at {seconds} s");
        }
    }
    assert!(last >= 0.9 * load(25.0), "{last} long after the decline");
}
