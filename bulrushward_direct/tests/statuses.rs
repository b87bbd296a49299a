//! Statuses that are none of a final response.

mod support;

use rstest::rstest;
use support::{
    request, router_with_servers,
    server::{Received, Step, TestServer, ok_response, send_text},
};

/// Returns a response with a status line of its own and a body of one event.
fn response_with(req: &Received, status: &str) -> Vec<Step> {
    let id = req.header("request").unwrap_or_default();
    let event = "id: 1\ndata: x\n\n";
    vec![send_text(&format!(
        "HTTP/1.1 {status}\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\
         Content-Length: {}\r\n\r\n{event}",
        event.len()
    ))]
}

// Guards against passing on a status that HTTP does not know, which callers cannot tell from a success or a failure.
#[rstest]
fn a_status_that_is_none_is_not_passed_on(
    #[values("lookup", "action", "stream", "resumable")] route: &str,
    #[values(
        "000 x",
        "099 x",
        "101 Switching Protocols",
        "600 x",
        "999 x",
        "1000 x",
        "2x0 x",
        ""
    )]
    status: &'static str,
) {
    let service = if matches!(route, "lookup" | "action") {
        "plain"
    } else {
        "engines"
    };
    let servers =
        ["s-1", "s-2"].map(|id| TestServer::start(id, move |req| response_with(req, status)));
    let router = router_with_servers(service, &[&servers[0], &servers[1]]);
    let response = router.send(&request("POST", route, "r-1", ""));
    assert_eq!(response.status, 502, "{}", response.text());
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
    assert_eq!(response.header("signed"), None, "it is not the server's");
}

// Guards against taking such a response for a final one of a request that may be sent again.
#[test]
fn a_request_is_sent_again_after_a_status_that_is_none() {
    let servers = ["s-1", "s-2"].map(|id| {
        TestServer::start(id, |req| match req.header("request") {
            Some("r-1") => response_with(req, "600 x"),
            _ => vec![ok_response(req, "fine")],
        })
    });
    let router = router_with_servers("plain", &[&servers[0], &servers[1]]);
    let response = router.send(&request("POST", "lookup", "r-1", ""));
    assert_eq!(response.status, 502);
    let received = servers.iter().map(|server| server.received().len());
    assert_eq!(received.sum::<usize>(), 2);
}
