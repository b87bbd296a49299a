//! Tests of responses that end with their connection, as a complete one does and one of a process that was killed.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    TestRouter, config, metric,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, chunk, complete_stream, event, events, ok_response, send_text,
        stream_head,
    },
    wait_until,
};

type Script = fn(&Received) -> Vec<Step>;

/// Longest time by which the end of a complete response may be delayed.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// Returns a head without a length, whose body ends with the connection.
fn unframed_head(req: &Received, content_type: &str) -> Step {
    let id = req.header("request").unwrap_or_default();
    send_text(&format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: {content_type}\r\nConnection: close\r\n\r\n"
    ))
}

/// Sends the events after the last one of the request up to `last`, and ends with `end`.
fn unframed_stream(req: &Received, last: u32, end: Step) -> Vec<Step> {
    let after = req.header("last-event").and_then(|id| id.parse().ok());
    let mut steps = vec![unframed_head(req, "text/event-stream")];
    for id in after.unwrap_or(0) + 1..=last {
        steps.push(send_text(&event(id)));
        steps.push(Step::Pause(Duration::from_millis(10)));
    }
    steps.push(end);
    steps
}

fn unframed_body(req: &Received, body: &str, end: Step) -> Vec<Step> {
    vec![unframed_head(req, "text/plain"), send_text(body), end]
}

/// Returns the first script for requests that begin, and the second for streams that go on.
fn first_then(first: Script, then: Script) -> impl Fn(&Received) -> Vec<Step> + Copy {
    move |req| match req.header("last-event") {
        None => first(req),
        Some(_) => then(req),
    }
}

fn router_with_two(
    service: &str,
    script: impl Fn(&Received) -> Vec<Step> + Copy + Send + Sync + 'static,
) -> (TestRouter, [TestServer; 2]) {
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_servers(service, &[&servers[0], &servers[1]]);
    (router, servers)
}

fn arrivals(servers: &[TestServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}

const KILLED: Script = |req| unframed_stream(req, 3, Step::CrashQuietly);
const RESTARTED: Script = |req| unframed_stream(req, 3, Step::Restart);
const RESET: Script = |req| unframed_stream(req, 3, Step::Reset);

/// A stream of a server that was killed between two events was complete for its caller.
#[rstest]
#[case::killed(KILLED)]
#[case::reset(RESET)]
#[case::killed_and_back_at_once(RESTARTED)]
fn a_stream_without_framing_that_is_cut_is_no_complete_one(#[case] script: Script) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 3), false)
    );
}

/// As above for a stream that another server may continue.
#[rstest]
#[case::killed(KILLED)]
#[case::reset(RESET)]
#[case::killed_and_back_at_once(RESTARTED)]
fn a_stream_without_framing_that_is_cut_goes_on_at_another_server(#[case] script: Script) {
    let (router, servers) = router_with_two("engines", first_then(script, complete_stream));
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 6), true)
    );
    assert_eq!(arrivals(&servers), 2);
}

/// A server that lives and ends its stream with its connection was run twice, or its caller waited.
#[rstest]
#[case::not_resumable("stream")]
#[case::resumable("resumable")]
fn a_stream_without_framing_of_a_living_server_is_complete(#[case] route: &str) {
    let (router, servers) = router_with_two("engines", |req: &Received| {
        unframed_stream(req, 6, Step::Close)
    });
    let begun = Instant::now();
    let response = router.send(&request("POST", route, "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 6), true)
    );
    assert_eq!(arrivals(&servers), 1);
    let time = begun.elapsed();
    assert!(time < Duration::from_millis(60) + MAX_DELAY, "{time:?}");
}

/// A body of a server that was killed was passed on as if it were whole.
#[rstest]
#[case::safe("lookup", 502)]
#[case::unsafe_("action", 502)]
fn a_body_without_framing_that_is_cut_is_no_success(#[case] route: &str, #[case] status: u16) {
    let server = TestServer::start("s-1", |req| unframed_body(req, "who", Step::CrashQuietly));
    let router = router_with_servers("plain", &[&server]);
    let response = router.send(&request("POST", route, "r-1", ""));
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(
        response.header("x-bulrushward-outcome"),
        Some("unknown"),
        "it may have run"
    );
    assert_eq!(server.received().len(), 1);
}

/// A body of a living server that ends with its connection is whole and runs once.
#[rstest]
#[case::safe("lookup")]
#[case::unsafe_("action")]
fn a_body_without_framing_of_a_living_server_is_whole(#[case] route: &str) {
    let (router, servers) = router_with_two("plain", |req: &Received| {
        unframed_body(req, "whole", Step::Close)
    });
    let begun = Instant::now();
    let response = router.send(&request("POST", route, "r-1", ""));
    assert_eq!(
        (response.status, response.text()),
        (200, "whole".to_owned())
    );
    assert_eq!(arrivals(&servers), 1);
    assert!(begun.elapsed() < MAX_DELAY, "{:?}", begun.elapsed());
}

/// Sends events 1 to 3, then breaks off.
const BREAKS: Script = |req| {
    vec![
        stream_head(req),
        chunk(&events(1, 3)),
        Step::Pause(Duration::from_millis(20)),
        Step::Reset,
    ]
};
const SKIPS_ONE: Script = |req| {
    vec![
        stream_head(req),
        chunk(&events(5, 6)),
        send_text("0\r\n\r\n"),
    ]
};

/// A stream went on with a gap, and was complete though an event of it was missing.
#[test]
fn a_stream_whose_events_are_adjacent_does_not_go_on_with_a_gap() {
    let (router, servers) = router_with_two("engines", first_then(BREAKS, SKIPS_ONE));
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 3), false)
    );
    assert_eq!(arrivals(&servers), 2);
}

fn pause(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn router_with_limit(service: &str, limit: u32, server: &TestServer) -> TestRouter {
    let mut config = config(1);
    for service in &mut config.services {
        service.connection_limit = limit;
    }
    let store = MemoryStore::with(config);
    store.put(&server.id, record(service, server.address));
    let router = TestRouter::start(&store);
    wait_until("the router knows the server", || {
        metric(&router, "servers") == Some(1)
    });
    router
}

/// Returns an event of over a kilobyte.
fn long_event(id: u32) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(1_000))
}

/// A stream was complete if its end was read only after a replacement of the killed server had accepted a connection.
#[rstest]
fn a_cut_stream_whose_end_is_read_late_is_no_complete_one(#[values(100, 500, 2_000)] len: u32) {
    let server = TestServer::start("s-1", move |req| {
        let body: String = (1..=len).map(long_event).collect();
        let head = unframed_head(req, "text/event-stream");
        vec![head, pause(100), send_text(&body), Step::Restart]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert!(!response.is_complete);
}

/// With few connections the whole response of a living server was taken for a cut one.
#[rstest]
#[case::stream("engines", "stream")]
#[case::body("plain", "action")]
fn a_response_without_framing_needs_one_connection(#[case] service: &str, #[case] route: &str) {
    let server = TestServer::start("s-1", |req| {
        vec![
            unframed_head(req, "text/event-stream"),
            send_text(&events(1, 3)),
            pause(50),
            Step::Close,
        ]
    });
    let router = router_with_limit(service, 2, &server);
    let response = router.send(&request("POST", route, "r-1", ""));
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 3), true)
    );
}

/// The connection that shows whether a server lives took the place of another request.
#[test]
fn other_requests_have_the_last_connection() {
    let server = TestServer::start("s-1", |req| match req.header("request") {
        Some("r-2") => vec![ok_response(req, "second")],
        _ => vec![
            unframed_head(req, "text/plain"),
            send_text("first"),
            pause(600),
            Step::Close,
        ],
    });
    let router = router_with_limit("plain", 4, &server);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| router.send(&request("POST", "action", "r-1", "")));
        wait_until("the first request arrives", || {
            !server.received().is_empty()
        });
        std::thread::sleep(Duration::from_millis(100));
        let second = router.send(&request("POST", "action", "r-2", ""));
        let first = first.join().expect("the caller does not panic");
        assert_eq!((first.status, second.status), (200, 200));
    });
}

/// A request was refused as the connections that show whether a server lives had taken the others.
#[test]
fn requests_make_connections_that_carry_nothing_give_way() {
    let server = TestServer::start("s-1", |req| {
        vec![
            unframed_head(req, "text/plain"),
            send_text("body"),
            pause(600),
            Step::Close,
        ]
    });
    // Two routers would share the eight connections.
    let router = router_with_limit("plain", 8, &server);
    let statuses = std::thread::scope(|scope| {
        let callers = [1, 2, 3, 4].map(|index| {
            std::thread::sleep(Duration::from_millis(60));
            let router = &router;
            scope.spawn(move || {
                let sent = request("POST", "action", &format!("r-{index}"), "");
                router.send(&sent).status
            })
        });
        callers.map(|caller| caller.join().expect("the caller does not panic"))
    });
    assert_eq!(statuses, [200; 4]);
}

/// A lost packet while a server was asked whether it lives made its whole stream a cut one.
#[test]
fn a_server_that_does_not_answer_is_not_known_to_be_gone() {
    let server = TestServer::start("s-1", |req| {
        vec![
            unframed_head(req, "text/event-stream"),
            send_text(&events(1, 3)),
            pause(400),
            send_text(&events(4, 6)),
            Step::Close,
        ]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = std::thread::scope(|scope| {
        let response = scope.spawn(|| router.send(&request("POST", "stream", "r-1", "")));
        wait_until("the request arrives", || !server.received().is_empty());
        std::thread::sleep(Duration::from_millis(200));
        server.cut_off();
        response.join().expect("the caller does not panic")
    });
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 6), true)
    );
}

/// A response that was cut by a server that lives had its content barred.
#[test]
fn a_response_that_a_living_server_may_have_cut_is_no_evidence_against_its_content() {
    let servers: Vec<_> = (0..8)
        .map(|index| {
            TestServer::start(&format!("s-{index}"), |req| {
                // The connection that shows whether the server lives is open by then.
                let mut steps = unframed_body(req, "half", pause(100));
                steps.push(Step::Restart);
                steps
            })
        })
        .collect();
    let router = router_with_servers("plain", &servers.iter().collect::<Vec<_>>());
    let statuses = [1, 2, 3, 4, 5].map(|index| {
        let response = router.send(&request("POST", "action", &format!("r-{index}"), "same"));
        std::thread::sleep(Duration::from_millis(600));
        response.status
    });
    assert_eq!(statuses, [502; 5]);
    assert_eq!(arrivals(&servers), 5);
}
