//! Places of a scarce service go to the requests that can use them best.
//!
//! Pattern: many routers send to a plain service of few places, each has less than one of its own, and more is asked
//! for than the servers can run.

mod lender;
mod simulation;

use rstest::rstest;
use simulation::{Mode, Run, play};

fn with_and_without(run: &Run) -> (simulation::Outcome, simulation::Outcome) {
    let today = play(&Run {
        mode: Mode::Today,
        ..run.clone()
    });
    let lent = play(run);
    for (name, outcome) in [("lent", &lent), ("today", &today)] {
        println!(
            "{name} worth {:.3}, served {:.3}, others {:.3}, large {:.3}, by kind {:.3} {:.3}, {outcome:?}",
            outcome.worth(),
            outcome.served(),
            outcome.others_served(),
            outcome.organisation_served(simulation::LARGE),
            outcome.kind_served(0),
            outcome.kind_served(1),
        );
    }
    assert_eq!(lent.run_twice, 0);
    assert_eq!(lent.overdue, 0);
    (lent, today)
}

#[rstest]
#[case::one_router(1, 3, 6.0)]
#[case::few_routers(5, 3, 10.0)]
#[case::tens(31, 3, 10.0)]
#[case::tens_for_long(31, 3, 18.0)]
#[case::hundreds(300, 3, 10.0)]
#[case::a_thousand(1_000, 3, 10.0)]
#[case::tens_of_servers(31, 20, 4.0)]
#[case::hundreds_of_servers(60, 150, 1.5)]
fn a_crowd_is_served_as_far_as_it_can_be(
    #[case] routers: usize,
    #[case] servers: usize,
    #[case] crowd_s: f64,
) {
    let warm_up_s = crowd_s.min(2.0);
    let (lent, today) = with_and_without(&Run {
        routers,
        servers,
        crowd_s: (warm_up_s, warm_up_s + crowd_s),
        end_s: warm_up_s * 2.0 + crowd_s,
        ..Run::default()
    });
    assert!(lent.kind_served(0) >= 0.9);
    assert!(lent.refused_by_kind[0] * 10 < lent.by_kind[0].0);
    assert!(lent.worth() > today.worth());
    // Full servers get few requests to reject.
    assert!(lent.rejected * 4 < today.rejected);
}

#[rstest]
#[case::equal_organisations(1.0, 14.0)]
#[case::one_is_large(12.0, 30.0)]
fn the_organisation_that_sends_many_times_its_usual_pays_for_it(
    #[case] large: f64,
    #[case] hot: f64,
) {
    let (lent, _) = with_and_without(&Run {
        usual_load: 0.8,
        crowd: 1.0,
        hot,
        large,
        ..Run::default()
    });
    assert!(lent.others_served() >= 0.95);
    assert!(lent.organisation_served(simulation::LARGE) >= 0.95);
}

#[test]
fn a_less_urgent_kind_is_served_less_but_not_starved() {
    let (lent, _) = with_and_without(&Run {
        lookups: 0.2,
        crowd: 6.0,
        crowd_s: (1.0, 20.0),
        ..Run::default()
    });
    assert!(lent.kind_served(1) <= lent.kind_served(0));
    assert!(lent.kind_served(1) >= 0.25 * lent.served());
}

#[rstest]
#[case::killed_lender(Run { kill_s: Some(8.0), ..Run::default() })]
#[case::two_lenders(Run { is_split: true, ..Run::default() })]
#[case::lost_and_late_messages(Run { loss: 0.1, delay_ms: 20.0, ..Run::default() })]
#[case::slow_server(Run { slow: 4.0, ..Run::default() })]
#[case::cold_server(Run { cold_slots: 2, ..Run::default() })]
#[case::callers_that_leave(Run { leavers: 0.3, ..Run::default() })]
fn trouble_costs_no_more_than_without_lent_places(#[case] run: Run) {
    let (lent, today) = with_and_without(&run);
    assert!(lent.worth() > today.worth());
}

#[test]
fn a_service_with_free_places_is_served_without_a_message() {
    let (lent, _) = with_and_without(&Run {
        usual_load: 0.3,
        crowd: 1.0,
        ..Run::default()
    });
    assert_eq!(lent.messages, 0);
    assert_eq!(lent.refused, 0);
}
