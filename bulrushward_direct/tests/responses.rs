//! Tests of the responses to callers: complete and from the right server, or a local response with the outcome.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    HOST, KEY, TestRouter, caller, config,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{Received, Step, TestServer, ok_response, response, send_text},
    unique_loopback_ip, wait_until,
};

#[test]
fn a_request_and_its_response_pass_through_unchanged() {
    let server = TestServer::start("s-1", |req| {
        vec![response(
            req,
            "201 Created",
            "Signed: s\r\nOther: 1\r\n",
            "done",
        )]
    });
    let router = router_with_servers("plain", &[&server]);
    let response = router.send(&request("POST", "action", "r-1", "the body"));
    assert_eq!((response.status, response.text().as_str()), (201, "done"));
    assert_eq!(response.header("signed"), Some("s"));
    assert_eq!(response.header("other"), Some("1"));
    assert_eq!(response.header("content-encoding"), None);
    let received = server.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].line, "POST /action/x?y=1 HTTP/1.1");
    assert_eq!(received[0].body, b"the body");
    assert_eq!(received[0].header("host"), Some(HOST));
    assert_eq!(received[0].header("request"), Some("r-1"));
    assert_eq!(received[0].header("server"), Some("s-1"));
    assert_eq!(received[0].header("organisation"), Some("org-1"));
    assert_eq!(received[0].header("key"), None);
    let left = received[0]
        .header("patience-ms")
        .and_then(|ms| ms.parse().ok());
    assert!(
        left.is_some_and(|left: u32| (2_000..=2_500).contains(&left)),
        "{left:?}"
    );
}

#[test]
fn reserved_and_hop_by_hop_headers_are_not_forwarded() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let sent = format!(
        "GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\nKey: {KEY}\r\nServer: other\r\n\
         Organisation: other\r\nConnection: keep-alive, secret\r\nSecret: 1\r\nTe: trailers\r\n\
         Kept: 1\r\n\r\n"
    );
    assert_eq!(router.send(&sent).status, 200);
    let received = &server.received()[0];
    assert_eq!(received.header("server"), Some("s-1"));
    assert_eq!(received.header("organisation"), Some("org-1"));
    for name in ["secret", "te", "connection", "key"] {
        assert_eq!(received.header(name), None, "{name}");
    }
    assert_eq!(received.header("kept"), Some("1"));
}

#[test]
fn a_chunked_body_is_forwarded() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let sent = format!(
        "POST /action/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\nKey: {KEY}\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    assert_eq!(router.send(&sent).status, 200);
    assert_eq!(server.received()[0].body, b"abcde");
}

#[rstest]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde")]
#[case::bad_length("Content-Length: x\r\n\r\nabc")]
#[case::coding_that_does_not_end_in_chunks("Transfer-Encoding: chunked, gzip\r\n\r\nabc")]
#[case::bad_chunk("Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n")]
fn a_request_with_ambiguous_length_reaches_no_server(#[case] rest: &str) {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let sent =
        format!("POST /action/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\nKey: {KEY}\r\n{rest}");
    assert_eq!(router.send(&sent).status, 400);
    assert!(server.received().is_empty());
}

#[test]
fn a_request_smuggled_in_a_body_is_not_run() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let hidden = request("POST", "action", "hidden", "");
    let sent = format!(
        "POST /action/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\nKey: {KEY}\r\n\
         Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        hidden.len(),
        hidden.len()
    );
    let _response = router.send(&sent);
    let ids: Vec<_> = server
        .received()
        .iter()
        .filter_map(|req| req.header("request").map(str::to_owned))
        .collect();
    assert!(!ids.contains(&"hidden".to_owned()), "{ids:?}");
}

#[rstest]
#[case::unknown_path(format!("GET /none/x HTTP/1.1\r\nHost: {HOST}\r\nKey: {KEY}\r\n\r\n"), 404)]
#[case::unknown_host(format!("GET /lookup/x HTTP/1.1\r\nHost: other\r\nKey: {KEY}\r\n\r\n"), 404)]
#[case::unknown_key(format!("GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nKey: no\r\n\r\n"), 401)]
#[case::no_key(format!("GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n\r\n"), 401)]
fn a_request_without_matching_route_or_valid_key_is_refused(
    #[case] sent: String,
    #[case] status: u16,
) {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(router.send(&sent).status, status);
    assert!(server.received().is_empty());
}

#[test]
fn a_body_above_the_limit_is_refused() {
    let store = MemoryStore::default();
    let mut limited = config(1);
    limited.limits.body_bytes = 100;
    store.set_config(limited);
    let router = TestRouter::start(&store.into());
    let response = router.send(&request("POST", "action", "r-1", &"x".repeat(200)));
    assert_eq!(response.status, 413);
}

#[test]
fn without_a_configuration_the_router_is_not_ready_and_sends_retry_after() {
    let store = MemoryStore::default().into();
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the router listens", || router.readiness() == 503);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    store.set_config(config(1));
    router.wait_ready();
}

#[test]
fn a_request_refused_by_a_server_is_sent_to_another() {
    let full = |req: &Received| vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
    let (one, two) = (TestServer::start("s-1", full), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one, &two]);
    for index in 0..10 {
        let response = router.send(&request("POST", "action", &format!("r-{index}"), ""));
        assert_eq!((response.status, response.text().as_str()), (200, "s-2"));
    }
}

#[test]
fn a_request_refused_by_all_servers_is_reported_as_not_run_with_retry_after() {
    let full = |req: &Received| vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
    let (one, two) = (
        TestServer::start("s-1", full),
        TestServer::start("s-2", full),
    );
    let router = router_with_servers("plain", &[&one, &two]);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 503);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    assert!(response.header("retry-after").is_some());
    assert_eq!(response.header("signed"), None);
}

#[test]
fn a_request_to_a_replaced_server_is_sent_to_another() {
    let other = |req: &Received| vec![response(req, "421 Misdirected", "", "")];
    let (one, two) = (TestServer::start("s-1", other), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one, &two]);
    for index in 0..6 {
        let response = router.send(&request("POST", "action", &format!("r-{index}"), ""));
        assert_eq!((response.status, response.text().as_str()), (200, "s-2"));
    }
}

#[test]
fn an_overloaded_service_refuses_a_part_of_the_requests_at_once() {
    let server = TestServer::start("s-1", |req| {
        vec![
            Step::Pause(Duration::from_millis(200)),
            ok_response(req, "slow"),
        ]
    });
    let router = router_with_servers("plain", &[&server]);
    let refused = (0..60).find_map(|index| {
        let id = format!("r-{index}");
        let start = Instant::now();
        let response = router.send(&request("GET", "lookup", &id, ""));
        (response.status == 503).then(|| (id, response, start.elapsed()))
    });
    let (id, response, elapsed) = refused.expect("a request is refused");
    assert!(elapsed < Duration::from_millis(100));
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    assert!(response.header("retry-after").is_some());
    let received = server.received();
    assert!(
        received
            .iter()
            .all(|req| req.header("request") != Some(&id))
    );
}

type Failure = (&'static str, fn(&Received) -> Vec<Step>);

/// Number of requests in the test of the retry budget.
const REQUESTS: usize = 150;

/// Returns ways in which a server fails a request that it may have run.
fn failures() -> Vec<Failure> {
    vec![
        ("closes", |_| vec![Step::Close]),
        ("resets", |_| vec![Step::Reset]),
        ("truncates the body", |_| {
            vec![
                send_text("HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 10\r\n\r\nabc"),
                Step::Close,
            ]
        }),
        ("resets a body without length", |req| {
            let id = req.header("request").unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\n\r\nabc");
            vec![
                send_text(&head),
                Step::Pause(Duration::from_millis(50)),
                Step::Reset,
            ]
        }),
        ("sends no valid response", |_| {
            vec![send_text("nonsense\r\n\r\n"), Step::Close]
        }),
        ("responds to another request", |_| {
            vec![send_text(
                "HTTP/1.1 200 OK\r\nRequest: other\r\nSigned: s\r\nContent-Length: 3\r\n\r\nabc",
            )]
        }),
        ("does not sign the response", |req| {
            vec![response(req, "200 OK", "", "abc")]
        }),
        (
            "responds with 503 without stating that the request has not run",
            |req| vec![response(req, "503 Error", "Signed: s\r\n", "")],
        ),
        ("responds with 408", |req| {
            vec![response(req, "408 Timeout", "Signed: s\r\n", "")]
        }),
    ]
}

#[rstest]
fn a_non_idempotent_request_that_may_have_run_is_sent_once_and_reported_as_unknown(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8)] index: usize,
) {
    let (failure, script) = failures()[index];
    let (one, two) = (
        TestServer::start("s-1", script),
        TestServer::start("s-2", script),
    );
    let router = router_with_servers("plain", &[&one, &two]);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 502, "{failure}");
    assert_eq!(response.header("signed"), None, "{failure}");
    assert_eq!(
        response.header("x-bulrushward-outcome"),
        Some("unknown"),
        "{failure}"
    );
    assert_eq!(one.received().len() + two.received().len(), 1, "{failure}");
}

#[rstest]
fn an_idempotent_request_is_retried_at_another_server_after_any_failure(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8)] index: usize,
) {
    let (failure, script) = failures()[index];
    let (one, two) = (TestServer::start("s-1", script), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one, &two]);
    for request_index in 0..4 {
        let response = router.send(&request("GET", "lookup", &format!("r-{request_index}"), ""));
        assert_eq!(
            (response.status, response.text().as_str()),
            (200, "s-2"),
            "{failure}"
        );
    }
}

#[test]
fn a_signed_error_response_is_forwarded_unchanged() {
    let server = TestServer::start("s-1", |req| {
        vec![response(req, "500 Error", "Signed: s\r\n", "broken")]
    });
    let router = router_with_servers("plain", &[&server]);
    for route in ["action", "lookup"] {
        let response = router.send(&request("POST", route, "r-1", ""));
        assert_eq!((response.status, response.text().as_str()), (500, "broken"));
        assert_eq!(response.header("signed"), Some("s"));
    }
}

#[test]
fn a_body_delimited_by_connection_close_is_complete() {
    let server = TestServer::start("s-1", |req| {
        let id = req.header("request").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\n\r\nabc");
        vec![send_text(&head), Step::Close]
    });
    let router = router_with_servers("plain", &[&server]);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!((response.status, response.text().as_str()), (200, "abc"));
}

#[test]
fn bytes_after_a_response_are_discarded() {
    let server = TestServer::start("s-1", |req| {
        let extra = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nextra";
        vec![ok_response(req, "mine"), send_text(extra)]
    });
    let router = router_with_servers("plain", &[&server]);
    for index in 0..20 {
        let response = router.send(&request("GET", "lookup", &format!("r-{index}"), ""));
        assert_ne!(response.text(), "extra");
        assert!(
            response.status == 200 || response.status == 502,
            "{}",
            response.status
        );
    }
}

#[test]
fn a_response_without_request_id_is_rejected() {
    let extra = "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nextra";
    let server = TestServer::start("s-1", move |req| {
        vec![send_text(extra), ok_response(req, "mine")]
    });
    let router = router_with_servers("plain", &[&server]);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
}

#[test]
fn a_request_to_a_hanging_server_times_out_at_its_deadline() {
    let server = TestServer::start("s-1", |_| vec![Step::Hang]);
    let router = router_with_servers("plain", &[&server]);
    let sent = request("POST", "action", "r-1", "").replace("2500", "600");
    let start = Instant::now();
    let response = router.send(&sent);
    assert_eq!(response.status, 504);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(550), "{took:?}");
    assert!(took < Duration::from_millis(1_100), "{took:?}");
    wait_until("the connection to the server is closed", || {
        server.disconnects() == 1
    });
}

#[test]
fn an_idempotent_request_is_retried_when_its_server_hangs() {
    let (one, two) = (
        TestServer::start("s-1", |_| vec![Step::Hang]),
        TestServer::echo("s-2"),
    );
    let router = router_with_servers("plain", &[&one, &two]);
    for index in 0..4 {
        let response = router.send(&request("GET", "lookup", &format!("r-{index}"), ""));
        assert_eq!((response.status, response.text().as_str()), (200, "s-2"));
    }
    wait_until("the connection to the server is closed", || {
        one.disconnects() == one.received().len()
    });
}

// Guards against an error response to an idempotent request although a slow server would still have answered it.
#[rstest]
#[case::the_only_server(1)]
#[case::both_servers_that_the_route_allows(2)]
fn an_idempotent_request_waits_for_slow_servers_if_no_other_can_take_it(#[case] servers: usize) {
    let servers: Vec<_> = (0..servers)
        .map(|index| {
            TestServer::start(&format!("s-{index}"), |req| {
                vec![
                    Step::Pause(Duration::from_millis(700)),
                    ok_response(req, "slow"),
                ]
            })
        })
        .collect();
    let router = router_with_servers("plain", &servers.iter().collect::<Vec<_>>());
    let response = router.send(&request("GET", "lookup", "r-1", ""));
    assert_eq!((response.status, response.text().as_str()), (200, "slow"));
}

#[test]
fn the_request_is_cancelled_at_the_server_when_the_caller_leaves() {
    let server = TestServer::start("s-1", |_| vec![Step::Hang]);
    let router = router_with_servers("plain", &[&server]);
    let mut stream = caller::connect(router.address(support::CALLERS_PORT));
    let sent = request("POST", "action", "r-1", "");
    std::io::Write::write_all(&mut stream, sent.as_bytes()).expect("the request can be sent");
    wait_until("the request arrives", || server.received().len() == 1);
    let left = Instant::now();
    drop(stream);
    wait_until("the connection to the server is closed", || {
        server.disconnects() == 1
    });
    assert!(left.elapsed() < Duration::from_millis(500));
}

#[test]
fn a_router_stays_within_its_share_of_a_servers_connections() {
    let server = TestServer::start("s-1", |req| {
        vec![
            Step::Pause(Duration::from_millis(400)),
            ok_response(req, "done"),
        ]
    });
    let store = MemoryStore::default();
    let mut limited = config(1);
    limited.services[0].connection_limit = 4;
    store.set_config(limited);
    store.put("s-1", record("plain", server.address));
    let router = TestRouter::start(&store.into());
    let responses: Vec<_> = std::thread::scope(|scope| {
        let send = |index| {
            let router = &router;
            scope.spawn(move || router.send(&request("POST", "action", &format!("r-{index}"), "")))
        };
        let threads: Vec<_> = (0..6).map(send).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no caller panics"))
            .collect()
    });
    // The share is computed for one router more than known, so it is half of the four connections.
    let succeeded = responses
        .iter()
        .filter(|response| response.status == 200)
        .count();
    assert_eq!(succeeded, 2);
    let refused = responses.iter().filter(|response| response.status == 503);
    for response in refused.clone() {
        assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(refused.count(), 4);
    assert_eq!(server.received().len(), 2);
}

#[test]
fn an_unreachable_server_fails_no_request() {
    let gone = TestServer::echo("s-1");
    let two = TestServer::echo("s-2");
    let router = router_with_servers("plain", &[&two]);
    let unused =
        std::net::TcpListener::bind("127.0.0.1:0").expect("an ephemeral port can be bound");
    let address = unused.local_addr().expect("the listener is bound");
    drop(unused);
    router.store.put(&gone.id, record("plain", address));
    for index in 0..20 {
        let response = router.send(&request("POST", "action", &format!("r-{index}"), ""));
        assert_eq!((response.status, response.text().as_str()), (200, "s-2"));
    }
}

#[test]
fn retries_stay_within_their_budget_when_all_servers_fail() {
    let broken = |_: &Received| vec![Step::Close];
    let (one, two) = (
        TestServer::start("s-1", broken),
        TestServer::start("s-2", broken),
    );
    let router = router_with_servers("plain", &[&one, &two]);
    for index in 0..REQUESTS {
        let response = router.send(&request("GET", "lookup", &format!("r-{index}"), ""));
        assert_eq!(response.status, 502);
    }
    let arrivals = one.received().len() + two.received().len();
    // Retries of a fifth of the requests, plus this router's share of the 50 extra retries.
    assert!(arrivals - REQUESTS <= REQUESTS / 5 + 13, "{arrivals}");
    assert!(arrivals > REQUESTS, "some retries are sent");
}
