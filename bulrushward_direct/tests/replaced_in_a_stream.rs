//! Tests of streams whose server is replaced under its id before its entry says so.

mod support;

use std::time::Duration;

use bulrushward_direct::ServerRecord;
use support::{
    TestRouter,
    caller::Response,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, chunk, complete_stream, event, events, send_text, stream_head,
    },
    wait_until,
};

fn pause(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

/// Sends a resumable request, and replaces the entry of the server that `is_replaced` once it has the request.
fn send_and_replace(
    router: &TestRouter,
    servers: &[TestServer],
    is_replaced: impl Fn(&Received) -> bool,
) -> Response {
    std::thread::scope(|scope| {
        let response = scope.spawn(|| router.send(&request("POST", "resumable", "r-1", "")));
        let has_it = |server: &&TestServer| server.received().iter().any(&is_replaced);
        wait_until("the server has the request", || {
            servers.iter().any(|server| has_it(&server))
        });
        std::thread::sleep(Duration::from_millis(50));
        let server = servers.iter().find(has_it).expect("one has the request");
        let replaced = ServerRecord {
            started_ms: 2,
            version: Some("v2".to_owned()),
            ..record("engines", server.address)
        };
        router.store.put(&server.id, replaced);
        response.join().expect("the caller does not panic")
    })
}

/// A stream was joined with events of a server that was replaced by another version after it had taken the connection.
#[test]
fn a_stream_is_not_joined_with_that_of_a_replaced_server() {
    let script = |req: &Received| match req.header("last-event") {
        None => vec![
            stream_head(req),
            chunk(&events(1, 3)),
            pause(30),
            Step::Reset,
        ],
        Some(_) => vec![
            stream_head(req),
            pause(1_500),
            chunk(&events(4, 6)),
            send_text("0\r\n\r\n"),
        ],
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_servers("engines", &[&servers[0], &servers[1]]);
    let response = send_and_replace(&router, &servers, |req| req.header("last-event").is_some());
    assert!(!response.is_complete, "{}", response.text());
}

/// As above where the server that began the stream was replaced before its entry said so.
#[test]
fn a_stream_of_a_replaced_server_is_not_continued_elsewhere() {
    let script = |req: &Received| match req.header("last-event") {
        None => vec![
            stream_head(req),
            chunk(&event(1)),
            pause(700),
            chunk(&event(2)),
            pause(700),
            chunk(&event(3)),
            pause(30),
            Step::Reset,
        ],
        Some(_) => complete_stream(req),
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_servers("engines", &[&servers[0], &servers[1]]);
    let response = send_and_replace(&router, &servers, |_req| true);
    assert!(!response.is_complete, "{}", response.text());
    assert_eq!(response.text(), events(1, 3));
}
