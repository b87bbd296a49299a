//! Judges whether responses that look complete are whole, and whether whole ones arrive.

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::{
    Execution, ResumedStream, event_count, plain_body, stream_text,
};
use bulrushward_soak::{Attempt, AttemptResult, Kind, ReceivedResponse, incomplete, is_lost};
use hyper::Version;
use rstest::rstest;

const ID: &str = "1-1";
const SERVER: &str = "engines-1";
/// Last event that the caller of a resumed stream has.
const AFTER: u32 = 3;

fn last() -> u32 {
    event_count(ID)
}

fn response(status: u16, body: String) -> ReceivedResponse {
    ReceivedResponse {
        status,
        is_signed: true,
        signature: Some((SERVER.to_owned(), ID.to_owned())),
        body,
    }
}

/// An attempt that is sent at second 0 and ends at second 1.
fn attempt(start: Instant, kind: Kind, result: AttemptResult) -> Attempt {
    Attempt {
        id: ID.to_owned(),
        kind,
        router: 0,
        version: Version::HTTP_11,
        sent: start,
        ended: start + Duration::from_secs(1),
        time_limit: Duration::from_secs(8),
        result,
        resumed: None,
    }
}

fn complete(kind: Kind, status: u16, body: String) -> Attempt {
    let result = AttemptResult::Complete(response(status, body));
    attempt(Instant::now(), kind, result)
}

fn resumed(body: String) -> Attempt {
    Attempt {
        id: "1-2".to_owned(),
        resumed: Some(ResumedStream {
            began_as: ID.to_owned(),
            after: AFTER,
        }),
        ..complete(Kind::Resumable, 200, body)
    }
}

fn events(after: u32, until: u32) -> String {
    let all = stream_text(after, last(), "v1");
    all.split_inclusive("\n\n")
        .take((until - after) as usize)
        .collect()
}

/// Guards against soaks that pass while callers take cut responses for complete ones.
#[rstest]
#[case::stream_cut_between_events(complete(Kind::Stream, 200, events(0, last() - 1)))]
#[case::stream_without_events(complete(Kind::Stream, 200, String::new()))]
#[case::stream_cut_within_an_event(complete(Kind::Stream, 200, events(0, last() - 1) + "id: 9\nda"))]
#[case::bytes_after_the_last_event(complete(Kind::Resumable, 200, events(0, last()) + "id: 9\nda"))]
#[case::event_twice(complete(Kind::Resumable, 200, events(0, 2) + &events(1, last())))]
#[case::event_missing(complete(Kind::Resumable, 200, events(0, 2) + &events(3, last())))]
#[case::out_of_order(complete(Kind::Stream, 200, events(1, 2) + &events(0, 1) + &events(2, last())))]
#[case::rest_cut_between_events(resumed(events(AFTER, last() - 1)))]
#[case::rest_from_the_first_event(resumed(events(0, last())))]
#[case::plain_cut(complete(Kind::Action, 200, plain_body(ID, SERVER)[..4].to_owned()))]
#[case::error_cut(complete(Kind::Lookup, 500, "bro".to_owned()))]
fn a_cut_response_that_looks_complete_is_reported(#[case] attempt: Attempt) {
    assert!(incomplete(&attempt).is_some(), "{attempt:?}");
}

#[rstest]
#[case::stream(complete(Kind::Stream, 200, events(0, last())))]
#[case::rest(resumed(events(AFTER, last())))]
#[case::plain(complete(Kind::Lookup, 200, plain_body(ID, SERVER)))]
#[case::error(complete(Kind::Action, 500, "broken".to_owned()))]
#[case::response_of_a_router(complete(Kind::Stream, 503, "{}".to_owned()))]
#[case::stream_that_looks_cut(attempt(
    Instant::now(),
    Kind::Stream,
    AttemptResult::Truncated(response(200, events(0, 1)))
))]
fn a_whole_response_is_not_reported(#[case] attempt: Attempt) {
    assert_eq!(incomplete(&attempt), None);
}

/// Judges an attempt that a server has responded to completely at second 0.9; starts of executions are in seconds.
fn is_lost_with(result: AttemptResult, time_limit: f64, executions: &[f64]) -> bool {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let attempt = Attempt {
        time_limit: Duration::from_secs_f64(time_limit),
        ..attempt(start, Kind::Resumable, result)
    };
    let executions: Vec<_> = executions
        .iter()
        .map(|started| Execution {
            server: SERVER.to_owned(),
            started: at(*started),
            ended: Some(at(0.9)),
            organisation: Some("org-1".to_owned()),
            method_and_path: "POST /stream/resume/x".to_owned(),
            expected_server: Some(SERVER.to_owned()),
            is_broken_off: false,
        })
        .collect();
    is_lost(&attempt, &executions, at(0.9))
}

fn whole() -> AttemptResult {
    AttemptResult::Complete(response(200, events(0, last())))
}

fn cut() -> AttemptResult {
    AttemptResult::Truncated(response(200, events(0, last())))
}

/// Guards against routers that take the end of a living server's connection for a cut.
#[rstest]
#[case::cut(cut(), 8.0, &[0.1])]
#[case::no_response(AttemptResult::NoResponse, 8.0, &[0.1])]
#[case::sent_again_after_the_end(whole(), 8.0, &[0.1, 0.95])]
fn a_whole_response_that_is_lost_or_repeated_is_reported(
    #[case] result: AttemptResult,
    #[case] time_limit: f64,
    #[case] executions: &[f64],
) {
    assert!(is_lost_with(result, time_limit, executions));
}

#[rstest]
#[case::complete(whole(), 8.0, &[0.1])]
#[case::abandoned(AttemptResult::Abandoned, 8.0, &[0.1])]
#[case::timed_out(cut(), 1.4, &[0.1])]
#[case::sent_to_two_servers_before_the_end(whole(), 8.0, &[0.1, 0.5])]
fn a_whole_response_that_arrives_is_not_reported(
    #[case] result: AttemptResult,
    #[case] time_limit: f64,
    #[case] executions: &[f64],
) {
    assert!(!is_lost_with(result, time_limit, executions));
}
