//! Judges attempts around planned stops.

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::Execution;
use bulrushward_soak::{
    Attempt, AttemptResult, Kind, ReceivedResponse, RouterHistory, violated_stop,
};
use hyper::Version;
use rstest::rstest;

/// Time of SIGTERM in each case, in seconds after the start; the grace period is six seconds.
const STOP_S: f64 = 10.0;

/// An attempt, its executions and its router's history; times are in seconds after the start.
struct Case {
    sent: f64,
    ended: f64,
    time_limit: f64,
    result: AttemptResult,
    /// Starts, ends and whether the server broke off.
    executions: Vec<(f64, Option<f64>, bool)>,
    stops: Vec<f64>,
    unplanned: Vec<f64>,
}

/// A stream that is truncated one second after SIGTERM while its server goes on.
fn truncated() -> Case {
    truncated_between(STOP_S - 1.0, STOP_S + 1.0)
}

/// A stream that is sent and truncated at the given times while its server goes on.
fn truncated_between(sent: f64, ended: f64) -> Case {
    Case {
        sent,
        ended,
        time_limit: 8.0,
        result: AttemptResult::Truncated(partial_response()),
        executions: vec![(sent, Some(ended), false)],
        stops: vec![STOP_S],
        unplanned: Vec::new(),
    }
}

fn partial_response() -> ReceivedResponse {
    ReceivedResponse {
        status: 200,
        is_signed: true,
        signature: Some(("engines-1".to_owned(), "1-1".to_owned())),
        body: "id: 1\ndata: word-1\n\n".to_owned(),
    }
}

impl Case {
    /// Returns the violated stop, in seconds after the start.
    fn judge(self) -> Option<f64> {
        let start = Instant::now();
        let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
        let attempt = Attempt {
            id: "1-1".to_owned(),
            kind: Kind::Resumable,
            router: 0,
            version: Version::HTTP_11,
            sent: at(self.sent),
            ended: at(self.ended),
            time_limit: Duration::from_secs_f64(self.time_limit),
            result: self.result,
            resumed: None,
        };
        let executions: Vec<_> = self
            .executions
            .into_iter()
            .map(|(started, ended, is_broken_off)| Execution {
                server: "engines-1".to_owned(),
                started: at(started),
                ended: ended.map(at),
                organisation: Some("org-1".to_owned()),
                method_and_path: "POST /stream/resume/x".to_owned(),
                expected_server: Some("engines-1".to_owned()),
                is_broken_off,
            })
            .collect();
        let history = RouterHistory {
            stops: self.stops.into_iter().map(at).collect(),
            unplanned: self.unplanned.into_iter().map(at).collect(),
        };
        violated_stop(&attempt, &executions, &history).map(|stop| (stop - start).as_secs_f64())
    }
}

#[rstest]
#[case::truncated_in_progress(truncated())]
#[case::no_response(Case { result: AttemptResult::NoResponse, ..truncated() })]
#[case::truncated_right_at_the_stop(truncated_between(9.0, STOP_S))]
#[case::sent_during_the_stop(truncated_between(11.0, 12.0))]
#[case::sent_late_and_cut_at_the_end_of_the_grace_period(truncated_between(13.1, 15.7))]
#[case::sent_in_the_second_after_the_grace_period(truncated_between(16.9, 17.9))]
#[case::cut_before_the_last_sixth_of_the_grace_period(truncated_between(10.5, 14.9))]
#[case::disturbance_more_than_three_seconds_before(Case { unplanned: vec![5.9], ..truncated() })]
#[case::disturbance_after_the_end(Case { unplanned: vec![11.1], ..truncated() })]
#[case::time_limit_nearly_reached(Case { time_limit: 2.1, ..truncated() })]
#[case::earlier_server_broke_off(Case {
    executions: vec![(9.0, Some(9.5), true), (9.6, Some(11.0), false)],
    ..truncated()
})]
fn an_incomplete_response_is_a_violation(#[case] case: Case) {
    assert_eq!(case.judge(), Some(STOP_S));
}

#[rstest]
#[case::complete(Case { result: AttemptResult::Complete(partial_response()), ..truncated() })]
#[case::abandoned(Case { result: AttemptResult::Abandoned, ..truncated() })]
#[case::not_executed(Case { executions: Vec::new(), ..truncated() })]
#[case::no_stop(Case { stops: Vec::new(), ..truncated() })]
#[case::ended_before_the_stop(truncated_between(9.0, 9.9))]
#[case::sent_more_than_a_second_after_the_grace_period(truncated_between(17.1, 18.0))]
#[case::disturbance_just_before(Case { unplanned: vec![6.1], ..truncated() })]
#[case::disturbance_in_progress(Case { unplanned: vec![10.9], ..truncated() })]
#[case::server_broke_off(Case { executions: vec![(9.0, Some(11.0), true)], ..truncated() })]
#[case::last_server_broke_off(Case {
    executions: vec![(9.0, Some(9.5), false), (9.6, Some(11.0), true)],
    ..truncated()
})]
#[case::time_limit_reached(Case { time_limit: 2.0, ..truncated() })]
#[case::executed_in_the_last_sixth_of_the_grace_period(truncated_between(13.0, 15.7))]
#[case::still_executed(Case { executions: vec![(9.0, None, false)], ..truncated_between(9.0, 16.0) })]
#[case::executed_at_the_end_of_an_overlapping_stop(Case {
    stops: vec![STOP_S, 14.0],
    ..truncated_between(14.5, 19.7)
})]
fn an_excused_or_complete_response_is_no_violation(#[case] case: Case) {
    assert_eq!(case.judge(), None);
}
