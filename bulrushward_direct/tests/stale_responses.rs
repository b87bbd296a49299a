//! Tests of servers that send a response again, on a connection that carries the next request by then.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    request, router_with_servers,
    server::{Received, Step, TestServer, ok_response, send_text},
};

/// Time for which the router is stalled while the second copy arrives.
const STALL_MS: u64 = 300;

/// Sends a late copy of the response to the first request before the response to each later one on a connection.
fn late_copy(req: &Received) -> Vec<Step> {
    let own = ok_response(req, &req.line);
    if req.earlier == 0 {
        return vec![own];
    }
    vec![
        send_text("HTTP/1.1 103 Early Hints\r\n\r\n"),
        ok_response(req, "a copy"),
        own,
    ]
}

// Guards against passing on the late copy of another request's response, which only an id tells apart.
#[rstest]
#[case::requests_without_id("Request: same\r\n")]
#[case::requests_with_the_same_id("")]
fn a_late_copy_is_no_response_to_the_next_request(#[case] removed: &str) {
    let server = TestServer::start("s-1", move |req| {
        let mut steps = late_copy(req);
        for step in &mut steps {
            if let Step::Send(bytes) = step {
                let text = String::from_utf8_lossy(bytes);
                *bytes = text.replacen("Request: \r\n", "", 1).into_bytes();
            }
        }
        steps
    });
    let router = router_with_servers("plain", &[&server]);
    for number in 0..5 {
        let sent = request("POST", "action", "same", "")
            .replacen(removed, "", 1)
            .replacen("y=1", &format!("y={number}"), 1);
        let response = router.send(&sent);
        let own = format!("POST /action/x?y={number} HTTP/1.1");
        assert_eq!((response.status, response.text()), (200, own));
    }
}

// Guards against failing a request because the one before had no id.
#[test]
fn a_late_copy_without_id_fails_no_request() {
    let server = TestServer::start("s-1", |req| match req.header("request") {
        Some(_) if req.earlier > 0 => vec![
            send_text("HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 4\r\n\r\ncopy"),
            ok_response(req, "mine"),
        ],
        Some(_) => vec![ok_response(req, "mine")],
        None => vec![send_text(
            "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nfirst",
        )],
    });
    let router = router_with_servers("plain", &[&server]);
    let first = request("POST", "action", "r-1", "").replacen("Request: r-1\r\n", "", 1);
    assert_eq!(router.send(&first).text(), "first");
    let response = router.send(&request("POST", "action", "r-2", ""));
    assert_eq!((response.status, response.text().as_str()), (200, "mine"));
}

// Guards against failing a request because its connection had received bytes that belong to no request before.
#[test]
fn a_connection_on_which_a_copy_has_arrived_carries_no_further_request() {
    let server = TestServer::start("s-1", |req| {
        vec![
            ok_response(req, "mine"),
            Step::Pause(Duration::from_millis(STALL_MS / 3)),
            ok_response(req, "mine"),
        ]
    });
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(
        router.send(&request("POST", "action", "first", "")).status,
        200
    );
    // The copy arrives while the router cannot read it.
    let stalled = request("POST", "action", "second", "").replacen(
        "Request:",
        &format!("Stall-Ms: {STALL_MS}\r\nRequest:"),
        1,
    );
    let response = router.send(&stalled);
    assert_eq!((response.status, response.text().as_str()), (200, "mine"));
    let received = server.received();
    assert_eq!(received.len(), 2);
    assert_eq!(received[1].earlier, 0, "the connection is a new one");
}

/// A refusal without an id, which may be a copy of an earlier one, made a request that had run count as one that had not.
#[rstest]
#[case::not_run("503 Full", "Not-Run: 1\r\n")]
#[case::misdirected("421 Misdirected Request", "")]
fn a_refusal_that_names_no_request_is_none_of_a_later_request_on_its_connection(
    #[case] status: &'static str,
    #[case] headers: &'static str,
) {
    let script = move |req: &Received| {
        let own = ok_response(req, "mine");
        if req.earlier == 0 {
            return vec![own];
        }
        let copy = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n");
        vec![send_text(&copy), own]
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_servers("plain", &[&servers[0], &servers[1]]);
    let mut unknown = 0;
    for number in 0..8 {
        let id = format!("r-{number}");
        let response = router.send(&request("POST", "action", &id, ""));
        let outcome = response.header("x-bulrushward-outcome");
        match response.status {
            200 => {}
            502 => {
                assert_eq!(outcome, Some("unknown"));
                unknown += 1;
            }
            other => panic!("{other} for a request that the server received, {outcome:?}"),
        }
        let received = servers.iter().flat_map(TestServer::received);
        let times = received.filter(|req| req.header("request") == Some(&id));
        assert_eq!(times.count(), 1, "{id} was sent again");
    }
    assert!(unknown > 0, "no connection carried a second request");
}

/// A server that is full may refuse before it has read what a new connection carries.
#[test]
fn a_refusal_that_names_no_request_is_believed_on_a_new_connection() {
    let full = TestServer::start("s-1", |_req| {
        let refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        vec![send_text(refusal), Step::Close]
    });
    let router = router_with_servers("plain", &[&full]);
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 503);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
}
