//! Judges attempts around planned stops.

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::Execution;
use bulrushward_soak::{
    Attempt, AttemptResult, Kind, ReceivedResponse, RouterHistory, violated_stop,
};
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
    Case {
        sent: STOP_S - 1.0,
        ended: STOP_S + 1.0,
        time_limit: 8.0,
        result: AttemptResult::Truncated(partial_response()),
        executions: vec![(STOP_S - 1.0, Some(STOP_S + 1.0), false)],
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
            sent: at(self.sent),
            ended: at(self.ended),
            time_limit: Duration::from_secs_f64(self.time_limit),
            result: self.result,
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
#[case::truncated_right_at_the_stop(Case { ended: STOP_S, ..truncated() })]
#[case::sent_during_the_stop(Case { sent: 11.0, ended: 12.0, executions: vec![(11.0, Some(12.0), false)], ..truncated() })]
#[case::sent_late_and_cut_at_the_end_of_the_grace_period(Case {
    sent: 13.1, ended: 15.7, executions: vec![(13.1, Some(15.7), false)], ..truncated()
})]
#[case::sent_in_the_second_after_the_grace_period(Case {
    sent: 16.9, ended: 17.9, executions: vec![(16.9, Some(17.9), false)], ..truncated()
})]
#[case::cut_before_the_last_sixth_of_the_grace_period(Case {
    sent: 10.5, ended: 14.9, executions: vec![(10.5, Some(14.9), false)], ..truncated()
})]
#[case::disturbance_more_than_three_seconds_before(Case { unplanned: vec![5.9], ..truncated() })]
#[case::disturbance_after_the_end(Case { unplanned: vec![11.1], ..truncated() })]
#[case::time_limit_nearly_reached(Case { time_limit: 2.1, ..truncated() })]
#[case::earlier_server_broke_off(Case {
    executions: vec![(9.0, Some(9.5), true), (9.6, Some(11.0), false)], ..truncated()
})]
fn an_incomplete_response_is_a_violation(#[case] case: Case) {
    assert_eq!(case.judge(), Some(STOP_S));
}

#[rstest]
#[case::complete(Case { result: AttemptResult::Complete(partial_response()), ..truncated() })]
#[case::abandoned(Case { result: AttemptResult::Abandoned, ..truncated() })]
#[case::not_executed(Case { executions: Vec::new(), ..truncated() })]
#[case::no_stop(Case { stops: Vec::new(), ..truncated() })]
#[case::ended_before_the_stop(Case { ended: 9.9, ..truncated() })]
#[case::sent_more_than_a_second_after_the_grace_period(Case {
    sent: 17.1, ended: 18.0, executions: vec![(17.1, Some(18.0), false)], ..truncated()
})]
#[case::disturbance_just_before(Case { unplanned: vec![6.1], ..truncated() })]
#[case::disturbance_in_progress(Case { unplanned: vec![10.9], ..truncated() })]
#[case::server_broke_off(Case { executions: vec![(9.0, Some(11.0), true)], ..truncated() })]
#[case::last_server_broke_off(Case {
    executions: vec![(9.0, Some(9.5), false), (9.6, Some(11.0), true)], ..truncated()
})]
#[case::time_limit_reached(Case { time_limit: 2.0, ..truncated() })]
#[case::executed_in_the_last_sixth_of_the_grace_period(Case {
    sent: 13.0, ended: 15.7, executions: vec![(13.0, Some(15.7), false)], ..truncated()
})]
#[case::still_executed(Case {
    ended: 16.0, executions: vec![(9.0, None, false)], ..truncated()
})]
#[case::executed_at_the_end_of_an_overlapping_stop(Case {
    sent: 14.5, ended: 19.7, executions: vec![(14.5, Some(19.7), false)], stops: vec![STOP_S, 14.0], ..truncated()
})]
fn an_excused_or_complete_response_is_no_violation(#[case] case: Case) {
    assert_eq!(case.judge(), None);
}
