//! Judges whether servers received requests that were given up.

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::Execution;
use bulrushward_soak::{
    Attempt, AttemptResult, Kind, Outage, OutagePlace, ReceivedResponse, is_delivered_late,
};
use hyper::Version;
use rstest::rstest;

const ROUTER: usize = 0;

fn refused() -> AttemptResult {
    AttemptResult::Complete(ReceivedResponse {
        status: 502,
        is_signed: false,
        signature: None,
        body: String::new(),
    })
}

/// Judges an attempt that ends at second 11 and is received at second `received`.
fn is_late(result: AttemptResult, received: f64, outage: Option<(OutagePlace, f64)>) -> bool {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let attempt = Attempt {
        id: "1-1".to_owned(),
        kind: Kind::Lookup,
        router: ROUTER,
        version: Version::HTTP_11,
        sent: at(10.0),
        ended: at(11.0),
        time_limit: Duration::from_secs(8),
        result,
        resumed: None,
    };
    let execution = Execution {
        server: "plain-1".to_owned(),
        started: at(received),
        ended: Some(at(received)),
        organisation: Some("org-1".to_owned()),
        method_and_path: "GET /lookup/x".to_owned(),
        expected_server: Some("plain-1".to_owned()),
        is_broken_off: false,
    };
    let outages = outage.map(|(place, until)| Outage {
        place,
        from: at(10.5),
        until: Some(at(until)),
    });
    is_delivered_late(&attempt, &[execution], outages.as_slice())
}

#[rstest]
#[case::after_a_response(refused(), 11.6, None)]
#[case::after_the_caller_left(AttemptResult::Abandoned, 11.6, None)]
#[case::after_a_response_of_a_router_that_paused(refused(), 11.6, Some((OutagePlace::Router(ROUTER), 12.0)))]
#[case::after_a_cut_of_its_server(refused(), 13.0, Some((OutagePlace::Server("plain-1".to_owned()), 12.9)))]
#[case::long_after_a_pause(AttemptResult::Abandoned, 12.6, Some((OutagePlace::Router(ROUTER), 12.0)))]
fn a_request_that_was_given_up_is_late(
    #[case] result: AttemptResult,
    #[case] received: f64,
    #[case] outage: Option<(OutagePlace, f64)>,
) {
    assert!(is_late(result, received, outage));
}

#[rstest]
#[case::before_the_end(refused(), 10.9, None)]
#[case::on_its_way(refused(), 11.4, None)]
#[case::router_paused(AttemptResult::Abandoned, 12.4, Some((OutagePlace::Router(ROUTER), 12.0)))]
fn a_request_is_in_time_until_the_router_knows_of_its_end(
    #[case] result: AttemptResult,
    #[case] received: f64,
    #[case] outage: Option<(OutagePlace, f64)>,
) {
    assert!(!is_late(result, received, outage));
}
