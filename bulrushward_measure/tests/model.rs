//! Tests the invariants of the model that its figures rely on.

use std::time::Duration;

use bulrushward_measure::{Arrival, Case, PolicyName, PrefixCache, Results, Size, generate, run};
use bulrushward_policy::load_bound::LoadBound;
use proptest::{prelude::*, test_runner::RngSeed};
use strum::VariantArray;

const SEED: u64 = 7;
const BOUND: LoadBound = LoadBound {
    multiple: 1.25,
    floor: 4_096,
};

fn small_size() -> Size {
    let mut size = Size::all(true).remove(0);
    size.warm_up = Duration::from_mins(1);
    size.duration = Duration::from_mins(3);
    size.cache_tokens = 100_000;
    size
}

fn results(size: &Size, case: Case, policy: PolicyName, seed: u64) -> Results {
    let arrivals = generate(size, case, seed);
    let policy = policy.create(size.routers);
    run(size, case, &arrivals, policy, BOUND, seed)
}

fn every_run() -> impl Iterator<Item = (Case, PolicyName)> {
    let policies = |&case| {
        PolicyName::VARIANTS
            .iter()
            .map(move |&policy| (case, policy))
    };
    Case::VARIANTS.iter().flat_map(policies)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_cache_never_exceeds_its_capacity(
        capacity in 1_u64..5_000,
        inserts in prop::collection::vec((0_u64..40, 0_u64..2_000), 1..200),
    ) {
        let mut cache = PrefixCache::new(capacity);
        for (prefix, tokens) in inserts {
            cache.insert(prefix, tokens);
            prop_assert!(cache.used() <= capacity);
            prop_assert_eq!(cache.tokens(prefix), tokens.min(capacity));
            let sum: u64 = (0..40).map(|prefix| cache.tokens(prefix)).sum();
            prop_assert_eq!(sum, cache.used());
        }
    }
}

#[test]
fn a_cache_evicts_the_least_recent_prefix() {
    let mut cache = PrefixCache::new(30);
    cache.insert(1, 10);
    cache.insert(2, 10);
    cache.insert(1, 10);
    cache.insert(3, 20);
    assert_eq!([1, 2, 3].map(|prefix| cache.tokens(prefix)), [10, 0, 20]);
}

#[test]
fn every_request_ends_exactly_once() {
    let size = small_size();
    for (case, policy) in every_run() {
        let results = results(&size, case, policy, SEED);
        let accounted = results.finished + results.refused + results.unfinished;
        assert_eq!(results.arrived, accounted, "{case} {policy}");
        assert!(results.admitted >= results.finished, "{case} {policy}");
        assert!(results.finished > 0, "{case} {policy}");
    }
}

#[test]
fn caches_stay_within_their_capacity_in_runs() {
    let size = small_size();
    for (case, policy) in every_run() {
        let results = results(&size, case, policy, SEED);
        assert!(
            results.max_cache_tokens > size.cache_tokens / 2,
            "{case} {policy}"
        );
        assert!(
            results.max_cache_tokens <= size.cache_tokens,
            "{case} {policy}"
        );
    }
}

#[test]
fn equal_seeds_give_equal_results_and_different_seeds_do_not() {
    let size = small_size();
    for (case, policy) in every_run() {
        let first = results(&size, case, policy, SEED);
        assert_eq!(first, results(&size, case, policy, SEED), "{case} {policy}");
        assert_ne!(
            first,
            results(&size, case, policy, SEED + 1),
            "{case} {policy}"
        );
    }
}

#[test]
fn three_organisations_send_four_fifths_of_the_traffic_in_a_surge() {
    let size = small_size();
    let surge = size.surge();
    let arrivals = generate(&size, Case::Surge, SEED);
    let in_surge = arrivals
        .iter()
        .filter(|arrival| surge.contains(&arrival.at));
    let (large, small): (Vec<&Arrival>, Vec<&Arrival>) =
        in_surge.partition(|arrival| arrival.organisation < 3);
    let share = large.len() as f64 / (large.len() + small.len()) as f64;
    assert!((share - 0.8).abs() < 0.02, "share {share}");
}

#[test]
fn prompts_grow_with_every_turn_of_their_chat() {
    let mut size = small_size();
    size.duration = Duration::from_mins(6);
    let arrivals = generate(&size, Case::Steady, SEED);
    let mut histories = std::collections::HashMap::new();
    let mut returns = 0;
    for arrival in &arrivals {
        let next = arrival.history + arrival.input + arrival.output;
        let before = histories.insert(arrival.conversation, next).unwrap_or(0);
        assert_eq!(arrival.history, before);
        returns += u64::from(before > 0);
    }
    assert!(returns * 2 > arrivals.len() as u64, "{returns} returns");
}
