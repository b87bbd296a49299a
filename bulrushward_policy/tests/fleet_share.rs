//! Shares of an allowance add up to no more than it, in fleets of any size.

use std::time::{Duration, Instant};

use bulrushward_policy::fleet_share::{FleetSize, whole_share};
use rstest::rstest;

#[rstest]
#[case::one(540.0, 1)]
#[case::few(540.0, 5)]
#[case::tens(540.0, 68)]
#[case::as_many_as_units(540.0, 540)]
#[case::more_than_units(540.0, 1_000)]
#[case::far_more_than_units(7.5, 1_000)]
fn shares_add_up_to_the_total_at_most(#[case] total: f64, #[case] members: u32) {
    let draws = (0..members).map(|index| (f64::from(index) + 0.5) / f64::from(members));
    let sum: u32 = draws.map(|draw| whole_share(total, members, draw)).sum();
    assert!(f64::from(sum) <= total.ceil());
    assert!(f64::from(sum) >= total.floor());
}

#[test]
fn a_higher_count_holds_at_once_and_a_lower_one_after_it_has_lasted() {
    let start = Instant::now();
    let mut size = FleetSize::new(4);
    assert_eq!(size.observe(1, start), 4);
    assert_eq!(size.observe(68, start), 68);
    // A partition hides most of the fleet for a while.
    assert_eq!(size.observe(10, start + Duration::from_secs(1)), 68);
    assert_eq!(size.observe(30, start + Duration::from_secs(20)), 68);
    assert_eq!(size.observe(68, start + Duration::from_secs(25)), 68);
    assert_eq!(size.observe(12, start + Duration::from_secs(40)), 68);
    assert_eq!(size.observe(14, start + Duration::from_mins(1)), 68);
    assert_eq!(size.observe(13, start + Duration::from_secs(71)), 14);
}
