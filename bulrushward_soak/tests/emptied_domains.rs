//! Judges whether a router has to know that a failure domain was emptied.
//!
//! Guards against excusing routers that could learn of the order from others, and against blaming those that could not.

use std::time::{Duration, Instant};

use bulrushward_soak::{Outage, OutagePlace, has_to_know};
use rstest::rstest;

/// Router that is judged and the number of all routers.
const ROUTER: usize = 0;
const ROUTERS: usize = 3;

/// Judges at `moment`, in seconds after the order; outages have a place, a start and an end.
fn has_to_know_at(moment: f64, outages: Vec<(OutagePlace, f64, f64)>) -> bool {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let outages: Vec<_> = outages
        .into_iter()
        .map(|(place, from, until)| Outage {
            place,
            from: at(from),
            until: Some(at(until)),
        })
        .collect();
    has_to_know(&outages, ROUTER, ROUTERS, at(0.0), at(moment))
}

#[rstest]
#[case::undisturbed(2.1, vec![])]
#[case::before_the_store_was_out(4.0, vec![(OutagePlace::Store, 2.1, 4.0)])]
#[case::after_the_store_was_out(6.2, vec![(OutagePlace::Store, 0.0, 4.0)])]
#[case::told_by_others(2.1, vec![(OutagePlace::StoreLink(ROUTER), 0.0, 4.0)])]
#[case::told_before_it_restarted(3.0, vec![(OutagePlace::RouterProcess(ROUTER), 2.2, 2.9)])]
#[case::outage_of_another_router(2.1, vec![(OutagePlace::Router(1), 0.0, 4.0)])]
fn a_router_that_was_informed_has_to_know(
    #[case] moment: f64,
    #[case] outages: Vec<(OutagePlace, f64, f64)>,
) {
    assert!(has_to_know_at(moment, outages));
}

#[rstest]
#[case::too_early(1.9, vec![])]
#[case::paused(4.0, vec![(OutagePlace::Router(ROUTER), 1.0, 3.0)])]
#[case::store_out(4.0, vec![(OutagePlace::Store, 1.0, 3.0)])]
#[case::nobody_can_tell(4.0, vec![
    (OutagePlace::StoreLink(ROUTER), 0.0, 4.0),
    (OutagePlace::Router(1), 0.0, 4.0),
    (OutagePlace::RouterProcess(2), 0.0, 4.0),
])]
fn a_router_that_was_cut_off_is_excused(
    #[case] moment: f64,
    #[case] outages: Vec<(OutagePlace, f64, f64)>,
) {
    assert!(!has_to_know_at(moment, outages));
}
