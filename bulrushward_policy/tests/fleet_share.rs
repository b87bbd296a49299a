//! Shares of an allowance add up to no more than it, in fleets of any size.

use std::time::{Duration, Instant};

use bulrushward_policy::fleet_share::{FleetMembers, FleetSize, whole_share};
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

/// A router that restarts does not yet know the others, and its process before has just taken its share.
#[test]
fn a_starting_member_takes_no_share_until_it_stops_discovering_others() {
    let start = Instant::now();
    let mut fleet = FleetMembers::new(0, start);
    let mut settled_at = |count: u32, ms: u64| {
        fleet.observe(0..count, start + Duration::from_millis(ms));
        fleet.is_settled()
    };
    let rounds = [
        (1, 0),
        (8, 250),
        (16, 500),
        (16, 750),
        (16, 1_000),
        (40, 1_250),
        (42, 1_500),
    ];
    for (count, ms) in rounds {
        assert!(!settled_at(count, ms), "after {ms} ms");
    }
    assert!(settled_at(42, 2_250));
    let mut alone = FleetMembers::new(0, start);
    for (ms, is_settled) in [(0, false), (600, false), (1_000, false), (1_200, true)] {
        alone.observe([0], start + Duration::from_millis(ms));
        assert_eq!(alone.is_settled(), is_settled, "after {ms} ms");
    }
}

/// Routers that are cut off from each other still send to the same servers.
#[test]
fn a_lost_member_keeps_its_share_for_long() {
    let start = Instant::now();
    let mut fleet = FleetMembers::new(0, start);
    fleet.observe([0, 1, 2], start);
    fleet.observe([0, 1], start + Duration::from_secs(599));
    assert_eq!(fleet.members(), [0, 1, 2]);
    fleet.observe([0, 1], start + Duration::from_secs(601));
    assert_eq!(fleet.members(), [0, 1]);
}
