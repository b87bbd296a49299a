//! Tests of streams: events as they come, each once, and never an end that is none.

mod support;

use std::{
    io::{Read, Write},
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    CALLERS_PORT, HOST, KEY, TestRouter, caller, log, request, router_before,
    server::{
        Received, Step, TestServer, broken, chunk, event, events, response, stream_head, text,
        whole,
    },
    wait_until,
};

#[test]
fn events_arrive_as_they_come() {
    let server = TestServer::start("s-1", |req| {
        vec![stream_head(req), chunk(&event(1)), Step::Hang]
    });
    let router = router_before("engines", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "stream", "r-1", "");
    stream.write_all(sent.as_bytes()).expect("the router reads");
    let mut seen = String::new();
    wait_until("the first event arrives", || {
        let mut buf = [0; 1_024];
        let len = stream.read(&mut buf).expect("the stream is open");
        seen.push_str(&String::from_utf8_lossy(&buf[..len]));
        seen.contains("word-1\n\n")
    });
    drop(stream);
    wait_until("the server is told", || server.disconnects() == 1);
}

#[test]
fn a_stream_comes_whole() {
    let server = TestServer::start("s-1", whole);
    let router = router_before("engines", &[&server]);
    for route in ["stream", "resumable"] {
        let response = router.ask(&request("POST", route, "r-1", ""));
        assert_eq!(response.status, 200);
        assert!(response.is_whole);
        assert_eq!(response.text(), events(1, 6));
        assert_eq!(response.header("signed"), Some("s"));
    }
}

#[test]
fn a_broken_stream_that_may_not_be_resumed_is_cut_visibly() {
    let (one, two) = (
        TestServer::start("s-1", broken),
        TestServer::start("s-2", broken),
    );
    let router = router_before("engines", &[&one, &two]);
    let response = router.ask(&request("POST", "stream", "r-1", ""));
    assert_eq!(response.status, 200);
    assert!(!response.is_whole);
    assert_eq!(response.text(), events(1, 3));
    assert_eq!(one.received().len() + two.received().len(), 1);
}

#[test]
fn a_resumable_stream_goes_on_after_its_last_whole_event() {
    // Each server breaks the first run that it gets and serves a resumed one.
    let script = |req: &Received| match req.header("last-event") {
        Some(_) => whole(req),
        None => broken(req),
    };
    let (one, two) = (
        TestServer::start("s-1", script),
        TestServer::start("s-2", script),
    );
    let router = router_before("engines", &[&one, &two]);
    let response = router.ask(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_whole);
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
        .map(|index| TestServer::start(&format!("s-{index}"), broken))
        .collect();
    let router = router_before("engines", &servers.iter().collect::<Vec<_>>());
    let response = router.ask(&request("POST", "resumable", "r-1", ""));
    assert!(!response.is_whole);
    let arrivals: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(arrivals, 2);
}

#[test]
fn a_stream_that_a_caller_resumes_itself_starts_after_its_event() {
    let server = TestServer::start("s-1", whole);
    let router = router_before("engines", &[&server]);
    let sent = request("POST", "resumable", "r-2", "").replace("Key:", "Last-Event: 4\r\nKey:");
    assert_eq!(router.ask(&sent).text(), events(5, 6));
}

#[test]
fn a_stream_that_breaks_before_its_first_event_is_an_error() {
    let server = TestServer::start("s-1", |req| vec![stream_head(req), Step::Close]);
    let router = router_before("engines", &[&server]);
    let response = router.ask(&request("POST", "stream", "r-1", ""));
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
}

#[test]
fn a_resumable_stream_leaves_a_server_that_fell_silent() {
    let (one, two) = (
        TestServer::start("s-1", |req| {
            if req.header("last-event").is_some() {
                return whole(req);
            }
            vec![stream_head(req), chunk(&events(1, 2)), Step::Hang]
        }),
        TestServer::start("s-2", whole),
    );
    let router = router_before("engines", &[&one, &two]);
    for index in 0..6 {
        let start = Instant::now();
        let response = router.ask(&request("POST", "resumable", &format!("r-{index}"), ""));
        assert_eq!(response.text(), events(1, 6));
        assert!(start.elapsed() < Duration::from_secs(2));
    }
    wait_until("the silent runs end", || {
        let silent = one
            .received()
            .iter()
            .filter(|req| req.header("last-event").is_none())
            .count();
        one.disconnects() == silent
    });
}

#[test]
fn a_long_pause_is_no_reason_to_end_a_stream_that_may_not_be_resumed() {
    let server = TestServer::start("s-1", |req| {
        vec![
            stream_head(req),
            chunk(&event(1)),
            Step::Pause(Duration::from_millis(1_600)),
            chunk(&event(2)),
            text("0\r\n\r\n"),
        ]
    });
    let router = router_before("engines", &[&server]);
    let response = router.ask(&request("POST", "stream", "r-1", ""));
    assert!(response.is_whole);
    assert_eq!(response.text(), events(1, 2));
}

#[test]
fn a_caller_that_does_not_read_holds_its_server_no_longer_than_its_time() {
    let server = TestServer::start("s-1", |req| {
        let large = format!("id: 1\ndata: {}\n\n", "x".repeat(60_000));
        let bytes = format!("{:x}\r\n{large}\r\n", large.len());
        vec![stream_head(req), Step::SendForever(bytes.into_bytes())]
    });
    let router = router_before("engines", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "stream", "r-1", "").replace("2500", "800");
    let start = Instant::now();
    stream.write_all(sent.as_bytes()).expect("the router reads");
    wait_until("the server is freed", || server.disconnects() == 1);
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(800), "{took:?}");
    assert!(took < Duration::from_millis(1_600), "{took:?}");
}

#[test]
fn a_stream_that_ends_within_an_event_does_not_look_complete() {
    let server = TestServer::start("s-1", |req| {
        let cut = "id: 2\ndata: wo";
        vec![
            stream_head(req),
            chunk(&event(1)),
            chunk(cut),
            text("0\r\n\r\n"),
        ]
    });
    let router = router_before("engines", &[&server]);
    let response = router.ask(&request("POST", "stream", "r-1", ""));
    assert!(!response.is_whole);
    assert_eq!(response.text(), event(1));
}

#[test]
fn an_error_in_place_of_a_stream_comes_back() {
    let server = TestServer::start("s-1", |req| {
        vec![response(req, "400 Bad", "Signed: s\r\n", "no")]
    });
    let router = router_before("engines", &[&server]);
    let response = router.ask(&request("POST", "stream", "r-1", ""));
    assert_eq!((response.status, response.text().as_str()), (400, "no"));
}

fn ask_session(router: &TestRouter, session: u64, id: &str) -> String {
    let sent = format!(
        "POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: {id}\r\nKey: {KEY}\r\n\
         Prompt: 1:500,{session}:10000,999:100\r\nContent-Length: 0\r\n\r\n"
    );
    let response = router.ask(&sent);
    assert!(response.is_whole, "{}", response.status);
    response
        .header("by")
        .expect("the server names itself")
        .to_owned()
}

/// Asks for thirty sessions and returns where they are served, in order.
fn homes(router: &TestRouter, round: &str) -> Vec<String> {
    (10..40)
        .map(|session| ask_session(router, session, &format!("{round}-{session}")))
        .collect()
}

/// Registers further servers in the store that a router follows.
fn register(router: &TestRouter, servers: &[TestServer]) {
    for server in servers {
        let record = support::record("engines", server.address);
        router.store.put(&server.id, record);
    }
}

/// Streams one event and names the server in a header.
fn named(id: &'static str) -> TestServer {
    TestServer::start(id, move |req| {
        let request = req.header("request").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest: {request}\r\nSigned: s\r\nBy: {id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        vec![text(&head), chunk(&event(1)), text("0\r\n\r\n")]
    })
}

#[test]
fn a_session_returns_to_its_server_after_others_joined() {
    let first = [named("s-1"), named("s-2"), named("s-3")];
    let later = [named("s-4"), named("s-5"), named("s-6")];
    let router = router_before("engines", &first.iter().collect::<Vec<_>>());
    let homes = homes(&router, "a");
    register(&router, &later);
    wait_until("the others get new sessions", || {
        let new = (100..130).map(|session| ask_session(&router, session, &format!("n-{session}")));
        new.filter(|home| ["s-4", "s-5", "s-6"].contains(&home.as_str()))
            .count()
            > 3
    });
    assert_eq!(self::homes(&router, "b"), homes);
}

#[test]
fn a_session_whose_server_leaves_is_copied_from_it() {
    let servers = [named("s-1"), named("s-2")];
    let router = router_before("engines", &servers.iter().collect::<Vec<_>>());
    let home = ask_session(&router, 7, "r-1");
    let (left, other) = if home == "s-1" {
        (&servers[0], &servers[1])
    } else {
        (&servers[1], &servers[0])
    };
    let mut leaving = support::record("engines", left.address);
    leaving.is_leaving = true;
    router.store.put(&left.id, leaving);
    let mut asked = 0;
    wait_until("the session moves", || {
        asked += 1;
        ask_session(&router, 7, &format!("m-{asked}")) == other.id
    });
    let received = other.received();
    let source = received[0].header("copy-from").map(str::to_owned);
    assert_eq!(source, Some(left.address.to_string()));
    assert_eq!(ask_session(&router, 7, "r-9"), other.id);
    let last = other.received().pop().expect("it was asked");
    assert_eq!(last.header("copy-from"), None);
}

#[test]
fn a_router_that_starts_again_learns_where_sessions_are() {
    let first = [named("s-1"), named("s-2"), named("s-3")];
    let later = [named("s-4"), named("s-5"), named("s-6")];
    let router = router_before("engines", &first.iter().collect::<Vec<_>>());
    let homes = homes(&router, "a");
    register(&router, &later);
    let fresh = TestRouter::start_at(support::own_ip(), &router.store, &[router.ip]);
    fresh.wait_ready();
    wait_sessions(&fresh, 30);
    assert_eq!(self::homes(&fresh, "b"), homes);
}

/// Waits until a router remembers this many sessions.
fn wait_sessions(router: &TestRouter, sessions: usize) {
    let line = format!("bulrushward_direct_sessions {sessions}\n");
    wait_until("it has learnt", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        metrics.is_some_and(|response| response.text().contains(&line))
    });
}

#[test]
fn a_fleet_that_starts_again_as_a_whole_learns_where_sessions_are() {
    let first = [named("s-1"), named("s-2"), named("s-3")];
    let later = [named("s-4"), named("s-5"), named("s-6")];
    let mut router = router_before("engines", &first.iter().collect::<Vec<_>>());
    let homes = homes(&router, "a");
    router.store.set_saved(None);
    ask_session(&router, 40, "a-40");
    wait_until("it is saved", || router.store.saved_bytes().is_some());
    router.stop();
    router.ended();
    register(&router, &later);
    let fresh = TestRouter::start(&router.store);
    wait_sessions(&fresh, 31);
    assert_eq!(self::homes(&fresh, "b"), homes);
}

#[rstest]
#[case::nothing(b"")]
#[case::another_format(b"\x07more")]
#[case::broken(b"\x01\xff\xff\xff\xff\xff\xff")]
fn saved_sessions_that_cannot_be_read_are_passed_over(#[case] garbage: &[u8]) {
    log::keep();
    let server = named("s-1");
    let router = router_before("engines", &[&server]);
    router.store.set_saved(Some(garbage.to_vec().into()));
    let fresh = TestRouter::start(&router.store);
    assert_eq!(ask_session(&fresh, 10, "r-1"), "s-1");
    log::wait_line("event=saved-sessions-refused error");
}
