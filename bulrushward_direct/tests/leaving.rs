//! Tests of servers that announce in their responses that they are leaving.

mod support;

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_direct::ServerRecord;
use rstest::rstest;
use support::{
    TestRouter, caller, config, lender_and_borrower, metric,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{Received, Step, TestServer, complete_stream, ok_response, response, send_text},
    wait_until,
};

/// Returns a response that announces that its server is leaving.
fn leaving_response(req: &Received, status: &str, headers: &str) -> Vec<Step> {
    vec![response(
        req,
        status,
        &format!("Leaving: 1\r\n{headers}"),
        "",
    )]
}

/// Announces in the head of a complete stream that its server is leaving.
fn leaving_stream(req: &Received) -> Vec<Step> {
    let mut steps = complete_stream(req);
    let id = req.header("request").unwrap_or_default();
    steps[0] = send_text(&format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    ));
    steps
}

#[rstest]
#[case::in_a_response("lookup", |req: &Received| leaving_response(req, "200 OK", "Signed: s\r\n"))]
#[case::in_an_error("lookup", |req: &Received| leaving_response(req, "500 Oops", "Signed: s\r\n"))]
#[case::in_a_rejection("lookup", |req: &Received| leaving_response(req, "503 Full", "Not-Run: 1\r\n"))]
#[case::in_the_head_of_a_stream("stream", leaving_stream)]
fn a_server_that_announces_its_leaving_gets_no_further_request(
    #[case] route: &str,
    #[case] script: fn(&Received) -> Vec<Step>,
) {
    let leaving = TestServer::start("s-1", script);
    let other = TestServer::start("s-2", |req| match req.header("request") {
        Some(_) if req.line.contains("stream") => complete_stream(req),
        _ => vec![support::server::ok_response(req, "s-2")],
    });
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let router = router_with_servers(service, &[&leaving, &other]);
    let mut requests = 0;
    wait_until("the server announces its leaving", || {
        requests += 1;
        router.send(&request("GET", route, &format!("a-{requests}"), ""));
        !leaving.received().is_empty()
    });
    // Another entry of the server, which the store still lists as ready.
    let entry = record(service, leaving.address);
    router.store.put("s-1", ServerRecord { slots: 7, ..entry });
    for index in 0..20 {
        let response = router.send(&request("GET", route, &format!("b-{index}"), ""));
        assert_eq!(response.status, 200);
    }
    assert_eq!(leaving.received().len(), 1);
}

#[test]
fn a_new_incarnation_of_a_server_that_was_leaving_is_used() {
    let is_leaving = Arc::new(AtomicBool::new(true));
    let announces = Arc::clone(&is_leaving);
    let server = TestServer::start("s-1", move |req| {
        if announces.load(Ordering::SeqCst) {
            return leaving_response(req, "200 OK", "Signed: s\r\n");
        }
        vec![support::server::ok_response(req, "again")]
    });
    let router = router_with_servers("plain", &[&server]);
    let send = |id: &str| router.send(&request("POST", "action", id, ""));
    assert_eq!(send("r-1").status, 200);
    // With no other server, requests are refused at once.
    let start = Instant::now();
    let refused = send("r-2");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(200));
    is_leaving.store(false, Ordering::SeqCst);
    assert_eq!(send("r-3").status, 503);
    let entry = record("plain", server.address);
    router.store.put(
        "s-1",
        ServerRecord {
            started_ms: 2,
            ..entry
        },
    );
    wait_until("the new incarnation is used", || send("r-4").status == 200);
}

/// A server got requests again that had restarted and announced its leaving before the router knew of its restart.
#[test]
fn a_server_that_leaves_before_its_restart_is_known_gets_no_further_request() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = closed.local_addr().expect("the listener is bound");
    drop(closed);
    let store = MemoryStore::with(config(1));
    store.put("s-1", record("plain", address));
    let router = TestRouter::start(&store);
    let send = |id: &str| router.send(&request("POST", "action", id, ""));
    wait_until("the server is known", || {
        metric(&router, "servers") == Some(1)
    });
    assert_eq!(send("r-1").status, 503);
    let restarted = TestServer::start_at(address, "s-1", |req| {
        leaving_response(req, "200 OK", "Signed: s\r\n")
    });
    wait_until("the leaving is announced", || send("r-2").status == 200);
    let entry = ServerRecord {
        started_ms: 2,
        ..record("plain", address)
    };
    store.put("s-1", entry);
    let other = TestServer::echo("s-2");
    store.put("s-2", record("plain", other.address));
    wait_until("the restart is known", || {
        metric(&router, "servers") == Some(2)
    });
    store.remove("s-2");
    wait_until("there is no other server", || {
        metric(&router, "servers") == Some(1)
    });
    assert_eq!(send("r-3").status, 503);
    assert_eq!(restarted.received().len(), 1);
}

/// A store that has returned from a copy lists leaving servers as ready, and servers that have gone.
#[test]
fn servers_that_left_before_the_store_returned_from_a_copy_get_no_request() {
    let servers = ["s-1", "s-2", "s-3"].map(TestServer::echo);
    let router = router_with_servers("plain", &[&servers[0], &servers[1], &servers[2]]);
    let sent_to = |count: u32| -> Vec<String> {
        let ids = (0..count).map(|index| format!("r-{index}"));
        let responses = ids.map(|id| router.send(&request("GET", "lookup", &id, "")));
        responses.map(|response| response.text()).collect()
    };
    router.store.copy();
    let leaving = ServerRecord {
        is_leaving: true,
        ..record("plain", servers[0].address)
    };
    router.store.put("s-1", leaving);
    router.store.remove("s-2");
    wait_until("one server is left", || {
        metric(&router, "servers") == Some(2) && sent_to(10).iter().all(|body| body == "s-3")
    });
    router.store.return_from_copy();
    let entry = record("plain", servers[2].address);
    router.store.put("s-4", entry);
    wait_until("the store is followed", || {
        metric(&router, "servers") == Some(3)
    });
    assert!(sent_to(30).iter().all(|body| body == "s-3"));
    let restarted = ServerRecord {
        started_ms: 2,
        ..record("plain", servers[0].address)
    };
    router.store.put("s-1", restarted);
    wait_until("the new process is used", || {
        sent_to(10).iter().any(|body| body == "s-1")
    });
}

#[test]
fn another_server_at_the_address_does_not_announce_the_leaving_of_the_registered_one() {
    let moved = TestServer::start("s-1", |req| {
        leaving_response(req, "421 Misdirected Request", "")
    });
    let router = router_with_servers("plain", &[&moved]);
    for index in 0..2 {
        router.send(&request("POST", "action", &format!("r-{index}"), ""));
    }
    // A server whose address belongs to another one is tried again if there is no other.
    assert_eq!(moved.received().len(), 2);
}

/// A server that was leaving got requests again after its entry had lapsed in an outage of the store and come back.
#[test]
fn a_leaving_server_whose_entry_returns_gets_no_further_request() {
    let leaving = TestServer::start("s-1", |req| {
        leaving_response(req, "200 OK", "Signed: s\r\n")
    });
    let router = router_with_servers("plain", &[&leaving]);
    assert_eq!(
        router.send(&request("GET", "lookup", "r-1", "")).status,
        200
    );
    let other = TestServer::echo("s-2");
    router.store.put("s-2", record("plain", other.address));
    wait_until("both are known", || metric(&router, "servers") == Some(2));
    router.store.remove("s-1");
    wait_until("the entry is gone", || {
        metric(&router, "servers") == Some(1)
    });
    router.store.put("s-1", record("plain", leaving.address));
    wait_until("the entry is back", || {
        metric(&router, "servers") == Some(2)
    });
    for index in 0..20 {
        let id = format!("b-{index}");
        assert_eq!(router.send(&request("GET", "lookup", &id, "")).status, 200);
    }
    assert_eq!(leaving.received().len(), 1);
}

/// Requests that waited for a place were sent to a server that had announced its leaving meanwhile.
#[test]
fn requests_that_wait_for_a_place_are_not_sent_to_a_server_that_announces_its_leaving() {
    const CALLERS: u32 = 16;
    let is_leaving = Arc::new(AtomicBool::new(false));
    let announced = Arc::new(Mutex::new(None));
    let (leaves, first) = (Arc::clone(&is_leaving), Arc::clone(&announced));
    let leaving = TestServer::start("s-1", move |req| {
        std::thread::sleep(Duration::from_millis(60));
        if !leaves.load(Ordering::SeqCst) {
            return vec![ok_response(req, "s-1")];
        }
        let mut first = first.lock().expect("no panic");
        first.get_or_insert_with(Instant::now);
        leaving_response(req, "200 OK", "Signed: s\r\n")
    });
    let other = TestServer::start("s-2", |req| {
        std::thread::sleep(Duration::from_millis(120));
        vec![ok_response(req, "s-2")]
    });
    let store = MemoryStore::with(support::config(1));
    for server in [&leaving, &other] {
        let mut record = record("plain", server.address);
        record.slots = 1;
        store.put(&server.id, record);
    }
    // The lender hears of the leaving from no response of its own.
    let [_lender, router] = lender_and_borrower(&store);
    let address = router.address(support::CALLERS_PORT);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = (0..CALLERS).map(|caller| {
        let is_over = Arc::clone(&is_over);
        std::thread::spawn(move || {
            for index in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let text = request("POST", "action", &format!("r-{caller}-{index}"), "");
                caller::send(address, text.as_bytes());
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    wait_until("requests wait for places", || {
        metric(&router, "places_waiting") > Some(CALLERS / 2)
    });
    is_leaving.store(true, Ordering::SeqCst);
    wait_until("the server announces its leaving", || {
        announced.lock().expect("no panic").is_some()
    });
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("the caller does not panic");
    }
    // A response takes a few milliseconds to reach the router.
    let announced = announced.lock().expect("no panic");
    let known = announced.expect("it was announced") + Duration::from_millis(20);
    let received = leaving.received();
    let late = received.iter().filter(|req| req.at > known).count();
    assert_eq!(late, 0, "requests reached a leaving server");
}

/// Each router of a fleet sent a request to a leaving server to hear of it.
#[test]
fn a_peer_tells_of_a_leaving_server() {
    support::log::capture();
    let leaving = TestServer::start("s-1", |req| {
        leaving_response(req, "200 OK", "Signed: s\r\n")
    });
    let store = MemoryStore::with(support::config(1));
    store.put("s-1", record("plain", leaving.address));
    let [told, hears] = lender_and_borrower(&store);
    assert_eq!(told.send(&request("GET", "lookup", "r-1", "")).status, 200);
    support::log::wait_for_line("event=leaving-heard server=s-1");
    let other = TestServer::echo("s-2");
    store.put("s-2", record("plain", other.address));
    wait_until("both are known", || metric(&hears, "servers") == Some(2));
    for index in 0..20 {
        let id = format!("b-{index}");
        assert_eq!(hears.send(&request("GET", "lookup", &id, "")).status, 200);
    }
    assert_eq!(leaving.received().len(), 1);
    // With no other server, the word of a peer does not keep the service from being served.
    store.remove("s-2");
    wait_until("the other one is gone", || {
        metric(&hears, "servers") == Some(1)
    });
    assert_eq!(hears.send(&request("GET", "lookup", "c-1", "")).status, 200);
    assert_eq!(hears.send(&request("GET", "lookup", "c-2", "")).status, 503);
    assert_eq!(leaving.received().len(), 2);
}

/// A leaving server got requests again when its entry was written with a start that it had not named, or without one.
#[rstest]
#[case::a_start_for_the_first_time(0, 7)]
#[case::no_start_any_more(7, 0)]
fn a_leaving_server_whose_entry_names_another_start_or_none_gets_no_further_request(
    #[case] announced_ms: u64,
    #[case] rewritten_ms: u64,
) {
    let leaving = TestServer::start("s-1", |req| {
        leaving_response(req, "200 OK", "Signed: s\r\n")
    });
    let entry = |started_ms| ServerRecord {
        started_ms,
        ..record("plain", leaving.address)
    };
    let store = MemoryStore::with(support::config(1));
    store.put("s-1", entry(announced_ms));
    let router = TestRouter::start(&store);
    wait_until("the server is known", || {
        metric(&router, "servers") == Some(1)
    });
    let send = |id: &str| router.send(&request("GET", "lookup", id, "")).status;
    assert_eq!(send("r-1"), 200);
    store.put("s-1", entry(rewritten_ms));
    let other = TestServer::echo("s-2");
    store.put("s-2", record("plain", other.address));
    wait_until("both are known", || metric(&router, "servers") == Some(2));
    for index in 0..20 {
        assert_eq!(send(&format!("b-{index}")), 200);
    }
    assert_eq!(leaving.received().len(), 1);
    // One that is known to have started anew takes requests.
    store.put("s-1", entry(8));
    store.remove("s-2");
    wait_until("the new incarnation is used", || send("r-2") == 200);
}
