//! Tests of servers that respond with errors to a stream that goes on.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    TestRouter, config, metric,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, chunk, complete_stream, event, events, response, send_text,
        stream_head,
    },
    wait_until,
};

/// Sends three events and the beginning of another one, then breaks off.
fn breaks(req: &Received) -> Vec<Step> {
    vec![
        stream_head(req),
        chunk(&events(1, 3)),
        chunk("id: 4\ndata: wo"),
        Step::Pause(Duration::from_millis(30)),
        Step::Reset,
    ]
}

fn last_chunk() -> Step {
    send_text("0\r\n\r\n")
}

fn success_without_events(req: &Received) -> Vec<Step> {
    let body = "{\"error\": \"out of memory\"}\n\n{}\n\n";
    let headers = "Signed: s\r\nContent-Type: application/json\r\n";
    vec![response(req, "200 OK", headers, body)]
}

fn error_event(req: &Received) -> Vec<Step> {
    let error = "event: error\ndata: out of memory\n\n";
    vec![stream_head(req), chunk(error), last_chunk()]
}

fn comments_and_error_event(req: &Received) -> Vec<Step> {
    let mut steps = error_event(req);
    steps.insert(1, chunk(": still here\n\n"));
    steps
}

fn head_of_an_error_as_event(req: &Received) -> Vec<Step> {
    let head = "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\n";
    vec![stream_head(req), chunk(head), chunk("oops"), last_chunk()]
}

fn empty_stream(req: &Received) -> Vec<Step> {
    vec![stream_head(req), last_chunk()]
}

fn only_comments(req: &Received) -> Vec<Step> {
    vec![stream_head(req), chunk(": still here\n\n"), last_chunk()]
}

fn from_the_beginning(req: &Received) -> Vec<Step> {
    vec![stream_head(req), chunk(&events(1, 6)), last_chunk()]
}

fn the_last_event_again(req: &Received) -> Vec<Step> {
    vec![stream_head(req), chunk(&events(3, 6)), last_chunk()]
}

fn error(req: &Received) -> Vec<Step> {
    vec![response(
        req,
        "500 Oops",
        "Signed: s\r\n",
        "id: 4\ndata: oops\n\n",
    )]
}

fn error_without_end(req: &Received) -> Vec<Step> {
    let id = req.header("request").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 500 Oops\r\nRequest: {id}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    vec![send_text(&head), chunk("oops"), Step::Hang]
}

fn copy_of_another_response(_req: &Received) -> Vec<Step> {
    let copy = "HTTP/1.1 200 OK\r\nRequest: r-0\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    vec![send_text(copy), chunk(&events(4, 6)), last_chunk()]
}

fn first_or(req: &Received, script: fn(&Received) -> Vec<Step>) -> Vec<Step> {
    match req.header("last-event") {
        None => breaks(req),
        Some(_) => script(req),
    }
}

/// Starts a router with two servers; whichever gets a stream first breaks off, and the other one responds by `script`.
fn router_with_two(script: fn(&Received) -> Vec<Step>) -> (TestRouter, [TestServer; 2]) {
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, move |req| first_or(req, script)));
    let router = router_with_servers("engines", &[&servers[0], &servers[1]]);
    (router, servers)
}

/// The text of an error stood in the middle of a stream, or the stream ended as if it were complete.
#[rstest]
#[case::success_of_another_type(success_without_events)]
#[case::error_event(error_event)]
#[case::comments_and_error_event(comments_and_error_event)]
#[case::head_of_an_error_as_event(head_of_an_error_as_event)]
#[case::empty_stream(empty_stream)]
#[case::only_comments(only_comments)]
#[case::from_the_beginning(from_the_beginning)]
#[case::the_last_event_again(the_last_event_again)]
#[case::error(error)]
#[case::error_without_end(error_without_end)]
#[case::copy_of_another_response(copy_of_another_response)]
fn a_stream_is_cut_if_the_next_server_responds_with_an_error(
    #[case] script: fn(&Received) -> Vec<Step>,
) {
    let (router, servers) = router_with_two(script);
    let begun = Instant::now();
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(response.status, 200);
    // Comments are no part of what was streamed.
    let text = response.text().replace(": still here\n\n", "");
    assert_eq!((text, response.is_complete), (events(1, 3), false));
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    let received = servers.iter().map(|server| server.received().len());
    assert_eq!(received.collect::<Vec<_>>(), [1, 1]);
}

/// As above for a stream that its caller takes up itself, which ends with an error or a failed response then.
#[rstest]
#[case::success_of_another_type(success_without_events)]
#[case::error_event(error_event)]
#[case::comments_and_error_event(comments_and_error_event)]
#[case::head_of_an_error_as_event(head_of_an_error_as_event)]
#[case::empty_stream(empty_stream)]
#[case::only_comments(only_comments)]
#[case::from_the_beginning(from_the_beginning)]
#[case::the_last_event_again(the_last_event_again)]
#[case::copy_of_another_response(copy_of_another_response)]
fn a_stream_that_its_caller_takes_up_does_not_go_on_with_an_error(
    #[case] script: fn(&Received) -> Vec<Step>,
) {
    let (router, _servers) = router_with_two(script);
    let resumed = request("POST", "resumable", "r-2", "")
        .replace("Key:", "Resumes: r-1\r\nLast-Event: 3\r\nKey:");
    assert!(
        !router
            .send(&request("POST", "resumable", "r-1", ""))
            .is_complete
    );
    let response = router.send(&resumed);
    assert!(
        response.status >= 500,
        "{} {}",
        response.status,
        response.text()
    );
}

/// A server that responded with an error ended the stream though another one could go on.
#[rstest]
#[case::success_of_another_type(success_without_events)]
#[case::error_event(error_event)]
#[case::empty_stream(empty_stream)]
#[case::error_without_end(error_without_end)]
fn a_stream_goes_on_at_a_server_after_the_one_that_responded_with_an_error(
    #[case] script: fn(&Received) -> Vec<Step>,
) {
    let has_failed = Arc::new(AtomicBool::new(false));
    let servers = ["s-1", "s-2", "s-3"].map(|id| {
        let has_failed = Arc::clone(&has_failed);
        TestServer::start(id, move |req| {
            let resumes = req.header("last-event").is_some();
            if resumes && has_failed.swap(true, Ordering::SeqCst) {
                return complete_stream(req);
            }
            first_or(req, script)
        })
    });
    let mut config = config(1);
    for route in &mut config.routes {
        route.max_servers = 3;
    }
    let store = MemoryStore::with(config);
    for server in &servers {
        store.put(&server.id, record("engines", server.address));
    }
    let router = TestRouter::start(&store);
    wait_until("the router knows the servers", || {
        metric(&router, "servers") == Some(3)
    });
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 6), true)
    );
}

/// A stream may end with events without an id, and its ids need not be numbers.
#[rstest]
#[case::end_without_id(|req: &Received| {
    let end = "data: [DONE]\n\n";
    vec![stream_head(req), chunk(&events(4, 6)), chunk(end), last_chunk()]
})]
#[case::texts(|req: &Received| {
    let texts = "id: 6-a\ndata: x\n\nid: 6-b\ndata: y\n\n";
    vec![stream_head(req), chunk(texts), last_chunk()]
})]
fn a_stream_goes_on_with_events_after_its_last_one(#[case] script: fn(&Received) -> Vec<Step>) {
    let (router, _servers) = router_with_two(script);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete, "{}", response.text());
}

/// Sends events whose ids have gaps, then breaks off.
fn breaks_with_gaps(req: &Received) -> Vec<Step> {
    vec![
        stream_head(req),
        chunk(&[event(1), event(5), event(8)].concat()),
        Step::Pause(Duration::from_millis(30)),
        Step::Reset,
    ]
}

/// A stream whose ids had gaps before may continue with such gaps, and with no larger one.
#[rstest]
#[case::gaps_as_before(12, true)]
#[case::larger_gap(13, false)]
fn a_stream_continues_with_gaps_as_it_had_before(#[case] next: u32, #[case] is_complete: bool) {
    let servers = ["s-1", "s-2"].map(|id| {
        TestServer::start(id, move |req| match req.header("last-event") {
            None => breaks_with_gaps(req),
            Some(_) => vec![
                stream_head(req),
                chunk(&event(next)),
                chunk(&event(next + 4)),
                last_chunk(),
            ],
        })
    });
    let router = router_with_servers("engines", &[&servers[0], &servers[1]]);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(response.is_complete, is_complete, "{}", response.text());
}
