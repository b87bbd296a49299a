//! Tests of servers that are stalled although they send something now and then, and of sound ones that look like them.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    request, router_with_servers,
    server::{
        Received, Step, TestServer, chunk, complete_stream, event, events, ok_response, send_text,
        stream_head,
    },
};

/// Time between two signs of life that are no progress.
const TRICKLE: Duration = Duration::from_millis(100);
/// Time within which a response must end; callers wait for 2.5 s, as `request` says.
const LIMIT: Duration = Duration::from_millis(3_200);

/// Sends a text now and then for longer than any caller waits.
fn trickle(text: &str) -> Vec<Step> {
    (0..100)
        .flat_map(|_| [send_text(text), Step::Pause(TRICKLE)])
        .collect()
}

// Guards against taking comments or parts of an event for progress of a stream.
#[rstest]
#[case::comments_before_the_first_event("", "4\r\n:x\n\n\r\n")]
#[case::comments_within_the_stream("id: 1\ndata: word-1\n\n", "4\r\n:x\n\n\r\n")]
#[case::comment_lines_within_an_event("id: 1\ndata: word-1\n\n", "3\r\n:x\n\r\n")]
#[case::bytes_of_an_event("id: 1\ndata: word-1\n\n", "1\r\nd\r\n")]
#[case::empty_lines("id: 1\ndata: word-1\n\n", "2\r\n\n\n\r\n")]
fn a_stalled_stream_is_resumed_whatever_its_server_sends_now_and_then(
    #[case] first: &'static str,
    #[case] pattern: &'static str,
) {
    let stalled = move |req: &Received| {
        let mut steps = vec![stream_head(req)];
        if !first.is_empty() {
            steps.push(chunk(first));
        }
        steps.extend(trickle(pattern));
        steps
    };
    let (one, two) = (
        TestServer::start("s-1", stalled),
        TestServer::start("s-2", complete_stream),
    );
    let router = router_with_servers("engines", &[&one, &two]);
    for index in 0..50 {
        let response = router.send(&request("POST", "resumable", &format!("r-{index}"), ""));
        assert_eq!(response.status, 200);
        assert!(response.is_complete, "{}", response.text());
        let text = response.text();
        let lines = text.lines().filter(|line| line.starts_with("data: word-"));
        assert_eq!(lines.count(), 6, "{text}");
        if !one.received().is_empty() {
            return;
        }
    }
    panic!("no stream was sent to the stalled server");
}

// Guards against cutting a slow stream, and against swallowing what its server sends to keep connections open.
#[test]
fn a_slow_stream_is_passed_on_with_its_comments() {
    let server = TestServer::start("s-1", |req| {
        let mut steps = vec![stream_head(req), chunk(":first\n\n")];
        for id in 1..=3 {
            steps.extend([Step::Pause(6 * TRICKLE), chunk(&event(id)), chunk(":x\n\n")]);
        }
        steps.push(send_text("0\r\n\r\n"));
        steps
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert!(response.is_complete);
    let expected = format!(
        ":first\n\n{}:x\n\n{}:x\n\n{}:x\n\n",
        event(1),
        event(2),
        event(3)
    );
    assert_eq!(response.text(), expected);
}

// Guards against responses that never end, as their servers send a byte now and then.
#[rstest]
#[case::head("action", "HTTP/1.1 200 OK\r\nSigned: s\r\nA: ", "b", 504)]
#[case::interim_responses("action", "", "HTTP/1.1 102 Processing\r\n\r\n", 504)]
#[case::body(
    "action",
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSigned: s\r\n\r\n",
    "b",
    504
)]
#[case::body_of_an_idempotent_request(
    "lookup",
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSigned: s\r\n\r\n",
    "b",
    504
)]
#[case::event(
    "stream",
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSigned: s\r\n\r\n",
    "b",
    504
)]
#[case::comments(
    "stream",
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSigned: s\r\n\r\n",
    ":x\n\n",
    504
)]
#[case::comments_after_an_event(
    "stream",
    "HTTP/1.1 200 OK\r\nRequest: r-1\r\nSigned: s\r\n\r\ndata: x\n\n",
    ":x\n\n",
    200
)]
fn a_response_that_trickles_ends_at_the_deadline(
    #[case] route: &str,
    #[case] head: &'static str,
    #[case] pattern: &'static str,
    #[case] status: u16,
) {
    let server = TestServer::start("s-1", move |_| {
        let mut steps = vec![send_text(head)];
        steps.extend(trickle(pattern));
        steps
    });
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let router = router_with_servers(service, &[&server]);
    let start = Instant::now();
    let response = router.send(&request("POST", route, "r-1", ""));
    let took = start.elapsed();
    assert_eq!(response.status, status);
    assert!(status != 200 || !response.is_complete);
    assert!(took < LIMIT, "{took:?}");
}

// Guards against a slow body that is cut although its server goes on.
#[test]
fn a_slow_body_is_complete() {
    let server = TestServer::start("s-1", |req| {
        let Step::Send(bytes) = ok_response(req, &events(1, 6)) else {
            return Vec::new();
        };
        let parts = bytes.chunks(bytes.len() / 15);
        parts
            .flat_map(|part| [Step::Send(part.to_vec()), Step::Pause(TRICKLE)])
            .collect()
    });
    let router = router_with_servers("plain", &[&server]);
    for route in ["action", "lookup"] {
        let response = router.send(&request("POST", route, "r-1", ""));
        assert_eq!((response.status, response.text()), (200, events(1, 6)));
    }
}
