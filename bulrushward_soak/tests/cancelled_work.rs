//! Judges the end of a server's work after its caller has disconnected.

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::Execution;
use bulrushward_soak::{Attempt, AttemptResult, Kind, Outage, OutagePlace, is_cancelled_late};
use hyper::Version;
use rstest::rstest;

/// Server of the execution, and another one.
const SERVER: &str = "engines-1";
const OTHER_SERVER: &str = "engines-2";

/// Index of the attempt's router.
const ROUTER: usize = 0;

/// Place of an outage, its start and its end in seconds after the start.
type OutageCase = (OutagePlace, f64, Option<f64>);

fn server(id: &str) -> OutagePlace {
    OutagePlace::Server(id.to_owned())
}

/// Judges an attempt that is sent at second 10 and abandoned at second 11; its server works until `ended`.
fn is_late(ended: Option<f64>, outages: Vec<OutageCase>) -> bool {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let attempt = Attempt {
        id: "1-1".to_owned(),
        kind: Kind::Stream,
        router: ROUTER,
        version: Version::HTTP_11,
        sent: at(10.0),
        ended: at(11.0),
        time_limit: Duration::from_secs(8),
        result: AttemptResult::Abandoned,
        resumed: None,
    };
    let execution = Execution {
        server: SERVER.to_owned(),
        started: at(10.0),
        ended: ended.map(at),
        organisation: Some("org-1".to_owned()),
        method_and_path: "POST /stream/once/x".to_owned(),
        expected_server: Some(SERVER.to_owned()),
        is_broken_off: false,
    };
    let outages: Vec<_> = outages
        .into_iter()
        .map(|(place, from, until)| Outage {
            place,
            from: at(from),
            until: until.map(at),
        })
        .collect();
    is_cancelled_late(&attempt, &[execution], &outages)
}

#[rstest]
#[case::no_outage(Some(12.6), vec![])]
#[case::endless_work(None, vec![])]
#[case::stall_before_the_connection_was_used(Some(12.6), vec![(server(SERVER), 9.9, None)])]
#[case::stall_of_another_link(Some(12.6), vec![(server(OTHER_SERVER), 10.5, None)])]
#[case::stall_after_the_work_should_have_ended(Some(14.0), vec![(server(SERVER), 12.6, None)])]
#[case::outage_before_the_disconnect(Some(12.6), vec![(server(SERVER), 10.0, Some(10.9))])]
#[case::work_long_after_an_outage(Some(13.6), vec![(server(SERVER), 10.5, Some(12.0))])]
#[case::pause_of_another_router(Some(12.6), vec![(OutagePlace::Router(ROUTER + 1), 10.5, Some(12.0))])]
#[case::work_long_after_a_pause(Some(13.6), vec![(OutagePlace::Router(ROUTER), 10.5, Some(12.0))])]
#[case::stall_before_the_request_was_sent(Some(12.6), vec![(OutagePlace::Router(ROUTER), 9.9, None)])]
#[case::endless_work_after_an_outage(None, vec![(server(SERVER), 10.5, Some(12.0))])]
fn work_that_goes_on_is_late(#[case] ended: Option<f64>, #[case] outages: Vec<OutageCase>) {
    assert!(is_late(ended, outages));
}

#[rstest]
#[case::work_that_ends_soon(Some(12.4), vec![])]
#[case::permanent_stall_in_progress(None, vec![(server(SERVER), 10.5, None)])]
#[case::permanent_stall_before_the_disconnect_arrives(None, vec![(server(SERVER), 11.5, None)])]
#[case::work_that_ends_soon_after_an_outage(Some(13.4), vec![(server(SERVER), 10.5, Some(12.0))])]
#[case::work_that_ends_soon_after_a_pause(Some(13.4), vec![(OutagePlace::Router(ROUTER), 10.5, Some(12.0))])]
#[case::permanent_stall_of_the_caller(None, vec![(OutagePlace::Router(ROUTER), 10.5, None)])]
fn work_is_in_time_after_the_disconnect_arrives(
    #[case] ended: Option<f64>,
    #[case] outages: Vec<OutageCase>,
) {
    assert!(!is_late(ended, outages));
}
