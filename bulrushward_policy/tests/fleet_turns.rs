//! Turns that follow one another at bounded intervals.

use std::time::Duration;

use bulrushward_policy::fleet_turns::FleetTurns;
use proptest::{collection::hash_set, prelude::*};

const INTERVAL: u64 = 400;
const TURNS: FleetTurns = FleetTurns::new(Duration::from_millis(INTERVAL));

proptest! {
    // Guards against gaps without a bound, as turns have that each router draws.
    #[test]
    fn some_router_has_its_turn_in_each_interval(
        routers in hash_set(any::<u64>(), 1..50),
        gone in 0_usize..3,
        now_ms in 0_u64..10_000_000,
    ) {
        let routers: Vec<_> = routers.into_iter().collect();
        let alive = &routers[gone.min(routers.len() - 1)..];
        let now = Duration::from_millis(now_ms);
        let next = alive.iter().map(|own| TURNS.until_next(*own, &routers, now)).min();
        let skipped = (routers.len() - alive.len()) as u64;
        prop_assert!(next <= Some(Duration::from_millis(INTERVAL * (skipped + 1))));
    }

    #[test]
    fn a_router_has_one_turn_in_a_cycle(
        routers in hash_set(any::<u64>(), 1..50),
        now_ms in 0_u64..10_000_000,
    ) {
        let routers: Vec<_> = routers.into_iter().collect();
        let cycle = Duration::from_millis(INTERVAL * routers.len() as u64);
        let now = Duration::from_millis(now_ms);
        for own in &routers {
            let first = TURNS.until_next(*own, &routers, now);
            prop_assert!(!first.is_zero());
            prop_assert_eq!(TURNS.until_next(*own, &routers, now + first), cycle);
        }
    }
}
