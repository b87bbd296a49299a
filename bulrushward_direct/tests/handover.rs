//! Tests of streams and requests that another server takes over from a silent one.

mod support;

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushward_direct::Route;
use rstest::rstest;
use support::{
    CALLERS_PORT, TestRouter, caller, config,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{Received, Step, TestServer, chunk, complete_stream, event, events, stream_head},
    wait_until,
};

/// Starts a router with engines and a changed resumable route.
fn router_with_engines(servers: &[TestServer], change: impl FnOnce(&mut Route)) -> TestRouter {
    let mut config = config(1);
    change(&mut config.routes[3]);
    let store = MemoryStore::with(config);
    for server in servers {
        store.put(&server.id, record("engines", server.address));
    }
    TestRouter::start(&store)
}

fn is_resumed(req: &Received) -> bool {
    req.header("last-event").is_some()
}

fn arrivals(servers: &[TestServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}

// Guards against two servers that run the same stream side by side.
#[test]
fn a_silent_server_is_left_when_another_one_begins_to_respond() {
    let script = |req: &Received| {
        if is_resumed(req) {
            return vec![stream_head(req), Step::Hang];
        }
        vec![stream_head(req), chunk(&events(1, 2)), Step::Hang]
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_engines(&servers, |_| {});
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "resumable", "r-1", "");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("another server is asked", || arrivals(&servers) == 2);
    let asked = servers
        .iter()
        .flat_map(TestServer::received)
        .find(is_resumed)
        .expect("the stream is resumed");
    wait_until("the silent server is left", || {
        servers.iter().any(|server| server.disconnects() == 1)
    });
    assert!(asked.at.elapsed() < Duration::from_millis(400));
}

// Guards against losing a stream whose silent server fails while another one is asked.
#[rstest]
#[case::resets(vec![Step::Reset])]
#[case::stops_within_an_event(vec![chunk("id: 3\ndata: wo"), Step::Hang])]
fn a_silent_server_may_fail_while_another_one_is_asked(#[case] end: Vec<Step>) {
    let script = move |req: &Received| {
        if is_resumed(req) {
            let mut steps = vec![Step::Pause(Duration::from_millis(350))];
            steps.extend(complete_stream(req));
            return steps;
        }
        let mut steps = vec![stream_head(req), chunk(&events(1, 2))];
        steps.push(Step::Pause(Duration::from_millis(1_150)));
        steps.extend(end.clone());
        steps
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script.clone()));
    let router = router_with_engines(&servers, |_| {});
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
    assert_eq!(arrivals(&servers), 2);
}

#[test]
fn a_third_server_takes_over_if_the_route_allows_it_and_the_second_is_silent() {
    let arrived = Arc::new(AtomicUsize::new(0));
    let script = move |req: &Received| match arrived.fetch_add(1, Ordering::SeqCst) {
        0 => vec![stream_head(req), chunk(&event(1)), Step::Hang],
        1 => vec![Step::Hang],
        _ => complete_stream(req),
    };
    let servers = ["s-1", "s-2", "s-3", "s-4"].map(|id| TestServer::start(id, script.clone()));
    let router = router_with_engines(&servers, |route| route.max_servers = 3);
    let response = router.send(&request("POST", "resumable", "r-1", ""));
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
    assert_eq!(arrivals(&servers), 3);
}

#[test]
fn both_servers_are_left_when_the_caller_leaves() {
    let script = |req: &Received| {
        if is_resumed(req) {
            return vec![Step::Hang];
        }
        vec![stream_head(req), chunk(&events(1, 2)), Step::Hang]
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, script));
    let router = router_with_engines(&servers, |_| {});
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "resumable", "r-1", "");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("another server is asked", || arrivals(&servers) == 2);
    drop(stream);
    wait_until("both servers are left", || {
        servers.iter().all(|server| server.disconnects() == 1)
    });
}

// Guards against taking a retry from the fleet's budget for an attempt that is not made.
#[rstest]
#[case::hangs(Step::Hang)]
#[case::closes(Step::Close)]
fn no_retry_is_withdrawn_without_another_server(#[case] step: Step) {
    let server = TestServer::start("s-1", move |_| vec![step.clone()]);
    let router = router_with_servers("plain", &[&server]);
    let sent = request("GET", "lookup", "r-1", "").replace("2500", "900");
    assert!(router.send(&sent).status >= 500);
    assert_eq!(server.received().len(), 1);
    let metrics = caller::get(router.address(7_341), "/metrics").expect("metrics are served");
    let text = metrics.text();
    assert!(
        text.contains("bulrushward_direct_repeats_total 0\n"),
        "{text}"
    );
}
