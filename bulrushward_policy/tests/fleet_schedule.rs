//! The rate of saves in a fleet.

use std::time::Duration;

use bulrushward_policy::fleet_schedule::FleetSchedule;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const INTERVAL: Duration = Duration::from_secs(4);
const SECONDS: u32 = 1_200;

/// Simulates a fleet and returns the second of each save.
fn saves(routers: u32, seed: u64) -> Vec<u32> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut fleet: Vec<_> = (0..routers)
        .map(|_| FleetSchedule::new(INTERVAL, &mut rng))
        .collect();
    let mut saves = Vec::new();
    for second in 0..SECONDS {
        for schedule in &mut fleet {
            if schedule.advance(CHECK_INTERVAL, routers, &mut rng) {
                saves.push(second);
            }
        }
    }
    saves
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn a_fleet_of_any_size_saves_at_the_rate_of_one_router(routers in 1_u32..200, seed: u64) {
        let count = saves(routers, seed).len() as u32;
        let expected = SECONDS / INTERVAL.as_secs() as u32;
        prop_assert!(count.abs_diff(expected) <= expected / 4, "{count} saves");
    }

    #[test]
    fn a_single_router_saves_within_one_and_a_half_intervals(seed: u64) {
        let saves = saves(1, seed);
        let gaps = saves.windows(2).map(|pair| pair[1] - pair[0]);
        prop_assert!(gaps.max().is_some_and(|gap| gap <= 6));
        prop_assert!(saves[0] <= 4);
    }
}

#[test]
fn zero_known_routers_count_as_one() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut schedule = FleetSchedule::new(INTERVAL, &mut rng);
    assert!((0..5).any(|_| schedule.advance(CHECK_INTERVAL, 0, &mut rng)));
}
