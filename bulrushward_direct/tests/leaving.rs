//! Tests of servers that announce in their responses that they are leaving.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_direct::ServerRecord;
use rstest::rstest;
use support::{
    record, request, router_with_servers,
    server::{Received, Step, TestServer, complete_stream, response, send_text},
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
