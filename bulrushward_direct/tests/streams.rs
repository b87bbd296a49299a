//! Tests of streams: events arrive immediately and once, and a truncated stream never looks complete.

mod support;

use std::{
    io::{Read, Write},
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    CALLERS_PORT, HOST, KEY, TestRouter, caller, config, log,
    platform::MemoryStore,
    request, router_with_servers,
    server::{
        Received, Step, TestServer, broken_stream, chunk, complete_stream, event, events, response,
        send_text, stream_head,
    },
    wait_until,
};

type Script = fn(&Received) -> Vec<Step>;

const HANGS: Script = |_| vec![Step::Hang];
const CLOSES: Script = |_| vec![Step::Close];
const REFUSES: Script = |req| vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];

#[test]
fn events_are_forwarded_immediately() {
    let server = TestServer::start("s-1", |req| {
        vec![stream_head(req), chunk(&event(1)), Step::Hang]
    });
    let router = router_with_servers("engines", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "stream", "r-1", "");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    let mut seen = String::new();
    wait_until("the first event arrives", || {
        let mut buf = [0; 1_024];
        let len = stream.read(&mut buf).expect("the stream is open");
        seen.push_str(&String::from_utf8_lossy(&buf[..len]));
        seen.contains("word-1\n\n")
    });
    drop(stream);
    wait_until("the connection to the server is closed", || {
        server.disconnects() == 1
    });
}

#[test]
fn a_stream_is_forwarded_completely() {
    let server = TestServer::start("s-1", complete_stream);
    let router = router_with_servers("engines", &[&server]);
    for route in ["stream", "resumable"] {
        let response = router.send(&request("POST", route, "r-1", ""));
        assert_eq!(response.status, 200);
        assert!(response.is_complete);
        assert_eq!(response.text(), events(1, 6));
        assert_eq!(response.header("signed"), Some("s"));
    }
}

#[test]
fn a_broken_stream_that_may_not_be_resumed_is_aborted() {
    let (one, two) = (
        TestServer::start("s-1", broken_stream),
        TestServer::start("s-2", broken_stream),
    );
    let router = router_with_servers("engines", &[&one, &two]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert_eq!(response.status, 200);
    assert!(!response.is_complete);
    assert_eq!(response.text(), events(1, 3));
    assert_eq!(one.received().len() + two.received().len(), 1);
}

#[test]
fn a_resumable_stream_is_resumed_after_its_last_complete_event() {
    // Each server breaks a stream from the start and completes a resumed one.
    let script = |req: &Received| match req.header("last-event") {
        Some(_) => complete_stream(req),
        None => broken_stream(req),
    };
    let (one, two) = (
        TestServer::start("s-1", script),
        TestServer::start("s-2", script),
    );
    let router = router_with_servers("engines", &[&one, &two]);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
    let received = [one.received(), two.received()].concat();
    assert_eq!(received.len(), 2);
    let resumed: Vec<_> = received
        .iter()
        .filter_map(|req| req.header("last-event"))
        .collect();
    assert_eq!(resumed, ["3"]);
}

#[test]
fn a_stream_resumes_at_no_more_servers_than_its_route_allows() {
    let servers: Vec<_> = (0..4)
        .map(|index| TestServer::start(&format!("s-{index}"), broken_stream))
        .collect();
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(!response.is_complete);
    let arrivals: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(arrivals, 2);
}

#[test]
fn a_stream_resumed_by_the_caller_starts_after_the_last_event_id() {
    let server = TestServer::start("s-1", complete_stream);
    let router = router_with_servers("engines", &[&server]);
    let begun = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(begun.text(), events(1, 6));
    let resumes = "Resumes: r-1\r\nLast-Event: 4\r\nKey:";
    let sent = request("POST", "resumable", "r-2", "").replace("Key:", resumes);
    assert_eq!(router.send(&sent).text(), events(5, 6));
}

#[test]
fn a_stream_that_breaks_before_its_first_event_is_an_error() {
    let server = TestServer::start("s-1", |req| vec![stream_head(req), Step::Close]);
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
}

#[test]
fn a_resumable_stream_is_resumed_when_its_server_hangs() {
    let (one, two) = (
        TestServer::start("s-1", |req| {
            if req.header("last-event").is_some() {
                return complete_stream(req);
            }
            vec![stream_head(req), chunk(&events(1, 2)), Step::Hang]
        }),
        TestServer::start("s-2", complete_stream),
    );
    let router = router_with_servers("engines", &[&one, &two]);
    for index in 0..6 {
        let start = Instant::now();
        let response = router.send(&request("POST", "resumable", &format!("r-{index}"), ""));
        assert_eq!(response.text(), events(1, 6));
        assert!(start.elapsed() < Duration::from_secs(2));
    }
    wait_until("the hanging requests end", || {
        let hanging = one
            .received()
            .iter()
            .filter(|req| req.header("last-event").is_none())
            .count();
        one.disconnects() == hanging
    });
}

#[test]
fn a_long_pause_does_not_end_a_stream_that_may_not_be_resumed() {
    let server = TestServer::start("s-1", |req| {
        vec![
            stream_head(req),
            chunk(&event(1)),
            Step::Pause(Duration::from_millis(1_600)),
            chunk(&event(2)),
            send_text("0\r\n\r\n"),
        ]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 2));
}

/// Streams two events, pauses beyond the read timeout of a resumable stream, and completes the stream; a resumed
/// stream is handled by `resumed`.
fn pausing_stream(req: &Received, resumed: Script) -> Vec<Step> {
    if req.header("last-event").is_some() {
        return resumed(req);
    }
    vec![
        stream_head(req),
        chunk(&events(1, 2)),
        Step::Pause(Duration::from_millis(1_600)),
        chunk(&events(3, 6)),
        send_text("0\r\n\r\n"),
    ]
}

// Guards against cutting a stream whose server pauses although no other server can continue it.
#[test]
fn a_pausing_server_keeps_a_stream_that_no_other_server_can_continue() {
    let server = TestServer::start("s-1", |req| pausing_stream(req, complete_stream));
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
    assert_eq!(server.received().len(), 1);
}

// Guards against cutting the streams of pausing servers once the retry budget is used up.
#[test]
fn pausing_servers_keep_their_streams_when_the_retry_budget_is_used_up() {
    let script = |req: &Received| pausing_stream(req, complete_stream);
    let servers = [
        TestServer::start("s-1", script),
        TestServer::start("s-2", script),
    ];
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    let responses: Vec<_> = std::thread::scope(|scope| {
        let router = &router;
        let send =
            |index| move || router.send(&request("POST", "resumable", &format!("r-{index}"), ""));
        let callers: Vec<_> = (0..24).map(|index| scope.spawn(send(index))).collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller does not panic"))
            .collect()
    });
    let truncated = responses
        .iter()
        .filter(|response| !response.is_complete || response.text() != events(1, 6));
    assert_eq!(truncated.count(), 0);
}

// Guards against cutting a stream whose server pauses if the server that was to continue it fails.
#[rstest]
#[case::hangs(HANGS)]
#[case::closes(CLOSES)]
#[case::refuses(REFUSES)]
fn a_pausing_server_keeps_a_stream_that_the_next_server_does_not_continue(#[case] resumed: Script) {
    let servers =
        ["s-1", "s-2"].map(|id| TestServer::start(id, move |req| pausing_stream(req, resumed)));
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
}

// Guards against asking more servers than the route allows each time that a stream pauses.
#[test]
fn a_stream_that_pauses_repeatedly_reaches_no_more_servers_than_its_route_allows() {
    let script = |req: &Received| {
        if req.header("last-event").is_some() {
            return HANGS(req);
        }
        let pause = Step::Pause(Duration::from_millis(1_200));
        let mut steps = vec![stream_head(req)];
        steps.extend((1..=4).flat_map(|id| [chunk(&event(id)), pause.clone()]));
        steps.push(send_text("0\r\n\r\n"));
        steps
    };
    let servers = ["s-1", "s-2", "s-3", "s-4"].map(|id| TestServer::start(id, script));
    let mut config = config(1);
    config.routes[3].timeout = Duration::from_secs(10);
    let store = MemoryStore::with(config);
    for server in &servers {
        store.put(&server.id, support::record("engines", server.address));
    }
    let router = TestRouter::start(&store);
    let sent = request("POST", "resumable", "r-1", "").replace("2500", "10000");
    let response = router.send(&sent);
    assert_eq!(response.text(), events(1, 4));
    assert!(response.is_complete);
    let arrivals: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(arrivals, 2);
}

// Guards against an error response to a stream request whose server is slow to start and the only one.
#[test]
fn a_slow_server_keeps_a_stream_request_that_no_other_server_can_take() {
    let server = TestServer::start("s-1", |req| {
        let mut steps = vec![Step::Pause(Duration::from_millis(700))];
        steps.extend(complete_stream(req));
        steps
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(response.status, 200);
    assert_eq!(response.text(), events(1, 6));
}

#[test]
fn a_caller_that_does_not_read_occupies_its_server_only_until_the_deadline() {
    let server = TestServer::start("s-1", |req| {
        let large = format!("id: 1\ndata: {}\n\n", "x".repeat(60_000));
        let bytes = format!("{:x}\r\n{large}\r\n", large.len());
        vec![stream_head(req), Step::SendForever(bytes.into_bytes())]
    });
    let router = router_with_servers("engines", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "stream", "r-1", "").replace("2500", "800");
    let start = Instant::now();
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("the server is released", || server.disconnects() == 1);
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(800), "{took:?}");
    assert!(took < Duration::from_millis(1_600), "{took:?}");
}

#[test]
fn a_stream_that_ends_within_an_event_is_reported_as_truncated() {
    let server = TestServer::start("s-1", |req| {
        let partial_event = "id: 2\ndata: wo";
        vec![
            stream_head(req),
            chunk(&event(1)),
            chunk(partial_event),
            send_text("0\r\n\r\n"),
        ]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert!(!response.is_complete);
    assert_eq!(response.text(), event(1));
}

#[test]
fn an_error_response_to_a_stream_request_is_forwarded() {
    let server = TestServer::start("s-1", |req| {
        vec![response(req, "400 Bad", "Signed: s\r\n", "no")]
    });
    let router = router_with_servers("engines", &[&server]);
    let response = router.send(&request("POST", "stream", "r-1", ""));
    assert_eq!((response.status, response.text().as_str()), (400, "no"));
}

/// Sends a request in a session and returns the id of the server that responded.
fn send_in_session(router: &TestRouter, session: u64, id: &str) -> String {
    let sent = format!(
        "POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: {id}\r\nKey: {KEY}\r\n\
         Prompt: 1:500,{session}:10000,999:100\r\nContent-Length: 0\r\n\r\n"
    );
    let response = router.send(&sent);
    assert!(response.is_complete, "{}", response.status);
    response
        .header("by")
        .expect("the response names its server")
        .to_owned()
}

/// Sends a request in each of thirty sessions and returns the ids of the servers, in order.
fn session_servers(router: &TestRouter, round: &str) -> Vec<String> {
    (10..40)
        .map(|session| send_in_session(router, session, &format!("{round}-{session}")))
        .collect()
}

/// Registers further servers in the store of a router.
fn register(router: &TestRouter, servers: &[TestServer]) {
    for server in servers {
        let record = support::record("engines", server.address);
        router.store.put(&server.id, record);
    }
}

/// Starts a server that streams one event and names itself in a header.
fn self_naming_server(id: &'static str) -> TestServer {
    TestServer::start(id, move |req| {
        let request = req.header("request").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest: {request}\r\nSigned: s\r\nBy: {id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        vec![send_text(&head), chunk(&event(1)), send_text("0\r\n\r\n")]
    })
}

#[test]
fn a_session_stays_at_its_server_when_other_servers_join() {
    let first = [
        self_naming_server("s-1"),
        self_naming_server("s-2"),
        self_naming_server("s-3"),
    ];
    let later = [
        self_naming_server("s-4"),
        self_naming_server("s-5"),
        self_naming_server("s-6"),
    ];
    let router = router_with_servers("engines", &first.iter().collect::<Vec<_>>());
    let initial_servers = session_servers(&router, "a");
    register(&router, &later);
    wait_until("the new servers receive new sessions", || {
        let new =
            (100..130).map(|session| send_in_session(&router, session, &format!("n-{session}")));
        new.filter(|server_id| ["s-4", "s-5", "s-6"].contains(&server_id.as_str()))
            .count()
            > 3
    });
    assert_eq!(session_servers(&router, "b"), initial_servers);
}

#[test]
fn the_prompt_of_a_session_is_copied_from_its_leaving_server() {
    let servers = [self_naming_server("s-1"), self_naming_server("s-2")];
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    let server_id = send_in_session(&router, 7, "r-1");
    let (leaving_server, other_server) = if server_id == "s-1" {
        (&servers[0], &servers[1])
    } else {
        (&servers[1], &servers[0])
    };
    let mut leaving = support::record("engines", leaving_server.address);
    leaving.is_leaving = true;
    router.store.put(&leaving_server.id, leaving);
    let mut attempts = 0;
    wait_until("the session moves", || {
        attempts += 1;
        send_in_session(&router, 7, &format!("m-{attempts}")) == other_server.id
    });
    let received = other_server.received();
    let source = received[0].header("copy-from").map(str::to_owned);
    assert_eq!(source, Some(leaving_server.address.to_string()));
    assert_eq!(send_in_session(&router, 7, "r-9"), other_server.id);
    let last = other_server
        .received()
        .pop()
        .expect("the server has received a request");
    assert_eq!(last.header("copy-from"), None);
}

#[test]
fn a_restarted_router_fetches_session_locations_from_a_peer() {
    let first = [
        self_naming_server("s-1"),
        self_naming_server("s-2"),
        self_naming_server("s-3"),
    ];
    let later = [
        self_naming_server("s-4"),
        self_naming_server("s-5"),
        self_naming_server("s-6"),
    ];
    let router = router_with_servers("engines", &first.iter().collect::<Vec<_>>());
    let initial_servers = session_servers(&router, "a");
    register(&router, &later);
    let fresh = TestRouter::start_at(support::unique_loopback_ip(), &router.store, &[router.ip]);
    fresh.wait_ready();
    wait_for_sessions(&fresh, 30);
    assert_eq!(session_servers(&fresh, "b"), initial_servers);
}

/// Waits until a router knows the locations of this many sessions.
fn wait_for_sessions(router: &TestRouter, sessions: usize) {
    let line = format!("bulrushward_direct_sessions {sessions}\n");
    wait_until("the router knows the sessions", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        metrics.is_some_and(|response| response.text().contains(&line))
    });
}

#[test]
fn a_completely_restarted_fleet_restores_session_locations_from_the_store() {
    let first = [
        self_naming_server("s-1"),
        self_naming_server("s-2"),
        self_naming_server("s-3"),
    ];
    let later = [
        self_naming_server("s-4"),
        self_naming_server("s-5"),
        self_naming_server("s-6"),
    ];
    let mut router = router_with_servers("engines", &first.iter().collect::<Vec<_>>());
    let initial_servers = session_servers(&router, "a");
    router.store.set_saved(None);
    send_in_session(&router, 40, "a-40");
    wait_until("the sessions are saved", || {
        router.store.saved_bytes().is_some()
    });
    router.stop();
    router.join();
    register(&router, &later);
    let fresh = TestRouter::start(&router.store);
    wait_for_sessions(&fresh, 31);
    assert_eq!(session_servers(&fresh, "b"), initial_servers);
}

#[rstest]
#[case::nothing(b"")]
#[case::another_format(b"\x07more")]
#[case::truncated(b"\x01\xff\xff\xff\xff\xff\xff")]
fn unreadable_saved_sessions_are_ignored(#[case] garbage: &[u8]) {
    log::capture();
    let server = self_naming_server("s-1");
    let router = router_with_servers("engines", &[&server]);
    router.store.set_saved(Some(garbage.to_vec().into()));
    let fresh = TestRouter::start(&router.store);
    assert_eq!(send_in_session(&fresh, 10, "r-1"), "s-1");
    log::wait_for_line("event=saved-sessions-refused error");
}
