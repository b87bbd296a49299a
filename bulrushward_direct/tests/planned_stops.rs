//! Planned stops: what a router still has when its grace ends is answered.
//!
//! Pattern: a router is stopped while servers take long or never respond, or while a body is still arriving.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use bulrushward_direct::FleetConfig;
use rstest::rstest;
use support::{
    CALLERS_PORT, TestRouter,
    caller::{self, Response},
    config, log, metric,
    platform::MemoryStore,
    record, request,
    server::{Step, TestServer, ok_response, send_text},
    settings, unique_loopback_ip, wait_until,
};

const GRACE: Duration = Duration::from_secs(5);
/// Time after the stop at which requests that are still in progress are answered by the router.
const END: Duration = Duration::from_millis(4_700);
/// Time after the stop from which nothing new is taken.
const REFUSING: Duration = Duration::from_millis(2_600);
/// Time by which a busy machine may delay what a test waits for.
const TOLERANCE: Duration = Duration::from_millis(900);

/// Returns a configuration whose requests may outlast a stop.
fn patient_config() -> FleetConfig {
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout = Duration::from_secs(20);
    }
    config
}

fn start(service: &str, servers: &[&TestServer]) -> TestRouter {
    let store = MemoryStore::with(patient_config());
    for server in servers {
        store.put(&server.id, record(service, server.address));
    }
    let mut settings = settings(unique_loopback_ip(), &[]);
    settings.stop_grace = GRACE;
    let router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    wait_until("the router knows the servers", || {
        metric(&router, "servers") == Some(servers.len() as u32)
    });
    router
}

fn text(route: &str, id: &str, body: &str) -> String {
    request("POST", route, id, body).replace("Patience-Ms: 2500", "Patience-Ms: 20000")
}

/// A request that is being sent, with the time at which its response ended.
type Call = JoinHandle<(Response, Instant)>;

fn call(router: &TestRouter, route: &str, id: &str) -> Call {
    let (address, text) = (router.address(CALLERS_PORT), text(route, id, ""));
    std::thread::spawn(move || {
        let response = caller::send(address, text.as_bytes());
        (response, Instant::now())
    })
}

fn finish(call: Call) -> (Response, Instant) {
    call.join().expect("the caller does not panic")
}

/// Stops the router and returns the time of the stop.
fn stop(router: &TestRouter) -> Instant {
    let now = Instant::now();
    router.stop();
    now
}

#[track_caller]
fn assert_refused(response: &Response) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    assert!(response.text().contains("\"error\":\"stopping\""));
    assert!(response.text().contains("\"outcome\":\"not-run\""));
}

#[track_caller]
fn assert_unknown(response: &Response) {
    assert_eq!(response.status, 504, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert!(response.text().contains("\"error\":\"stopping\""));
    assert!(response.text().contains("\"outcome\":\"unknown\""));
}

/// Guards against requests whose body is still arriving and that are cut without an answer at the end of a stop.
#[rstest]
#[case::never_complete(None)]
#[case::complete_after_the_router_refuses(Some(3_200))]
fn a_request_whose_body_arrives_slowly_is_refused(#[case] complete_ms: Option<u64>) {
    let server = TestServer::echo("s-1");
    let mut router = start("plain", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let text = text("action", "r-1", "0123456789");
    let (sent, rest) = text.split_at(text.len() - 4);
    stream.write_all(sent.as_bytes()).expect("the router reads");
    wait_until("the request is read", || {
        metric(&router, "in_progress") == Some(1)
    });
    let stopped = stop(&router);
    if let Some(ms) = complete_ms {
        std::thread::sleep(Duration::from_millis(ms));
        // The router may have refused it already.
        let _sent = stream.write_all(rest.as_bytes());
    }
    let response = caller::read_response(&mut stream);
    assert_refused(&response);
    if complete_ms.is_none() {
        assert!(stopped.elapsed() < REFUSING + TOLERANCE);
    }
    drop(stream);
    router.join();
    assert!(server.received().is_empty());
}

/// Guards against kept connections that are closed under a request, or stay open during a stop.
#[test]
fn a_kept_connection_is_closed_after_its_request_and_an_idle_one_at_once() {
    let server = TestServer::start("s-1", |req| {
        let pause = if req.header("request") == Some("slow") {
            Duration::from_millis(3_500)
        } else {
            Duration::ZERO
        };
        vec![Step::Pause(pause), ok_response(req, "served")]
    });
    let mut router = start("plain", &[&server]);
    let mut kept: [TcpStream; 2] = std::array::from_fn(|index| {
        let mut stream = caller::connect(router.address(CALLERS_PORT));
        let text = text("action", &format!("first-{index}"), "");
        stream.write_all(text.as_bytes()).expect("the router reads");
        assert_eq!(caller::read_response(&mut stream).status, 200);
        stream
    });
    kept[0]
        .write_all(text("action", "slow", "").as_bytes())
        .expect("the router reads");
    wait_until("the request arrives", || server.received().len() == 3);
    let stopped = stop(&router);
    assert_eq!(
        kept[1].read(&mut [0]).ok(),
        Some(0),
        "the idle one is closed in order"
    );
    assert!(stopped.elapsed() < TOLERANCE);
    let response = caller::read_response(&mut kept[0]);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(kept[0].read(&mut [0]).ok(), Some(0));
    router.join();
}

/// Guards against requests that are cut without an answer at the end of a stop.
#[rstest]
#[case::not_idempotent("action", "plain", false)]
#[case::idempotent("lookup", "plain", false)]
#[case::stream_that_has_not_begun("stream", "engines", false)]
#[case::response_that_is_incomplete("action", "plain", true)]
fn a_request_that_a_server_never_answers_is_answered_at_the_end_of_the_stop(
    #[case] route: &str,
    #[case] service: &str,
    #[case] has_head: bool,
) {
    const CALLS: usize = 12;
    log::capture();
    let server = TestServer::start("s-1", move |req| {
        let head = send_text(&format!(
            "HTTP/1.1 200 OK\r\nRequest: {}\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf",
            req.header("request").unwrap_or_default()
        ));
        if has_head {
            vec![head, Step::Hang]
        } else {
            vec![Step::Hang]
        }
    });
    let mut router = start(service, &[&server]);
    let calls: Vec<_> = (0..CALLS)
        .map(|index| call(&router, route, &format!("r-{index}")))
        .collect();
    wait_until("the requests arrive", || server.received().len() == CALLS);
    let stopped = stop(&router);
    for call in calls {
        let (response, ended) = finish(call);
        assert_unknown(&response);
        assert!(ended - stopped >= END);
    }
    router.join();
    assert_eq!(server.received().len(), CALLS);
    wait_until("the server notices", || server.disconnects() == CALLS);
    log::wait_for_line(&format!(
        "event=stopped complete=false in_progress={CALLS} cut=0"
    ));
}

/// Guards against a stop that waits on after it has answered what was left, or that outlasts its grace.
#[test]
fn a_router_whose_requests_were_answered_ends_before_its_grace() {
    let server = TestServer::start("s-1", |_req| vec![Step::Hang]);
    let mut router = start("plain", &[&server]);
    let call = call(&router, "action", "r-1");
    wait_until("the request arrives", || !server.received().is_empty());
    let stopped = stop(&router);
    assert_unknown(&finish(call).0);
    router.join();
    let took = stopped.elapsed();
    assert!(took >= END, "{took:?}");
    assert!(took < GRACE, "{took:?}");
}

/// Guards against a stop that refuses or cuts what it can still answer.
#[rstest]
#[case::before_the_stop(false)]
#[case::in_the_first_seconds_of_the_stop(true)]
fn a_request_that_is_taken_early_is_answered(#[case] is_stopping: bool) {
    let server = TestServer::start("s-1", |req| {
        vec![
            Step::Pause(Duration::from_millis(2_200)),
            ok_response(req, "served"),
        ]
    });
    let mut router = start("plain", &[&server]);
    if is_stopping {
        router.stop();
        std::thread::sleep(Duration::from_millis(1_800));
    }
    let call = call(&router, "action", "r-1");
    wait_until("the request arrives", || server.received().len() == 1);
    router.stop();
    let (response, _ended) = finish(call);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_complete);
    router.join();
    assert_eq!(server.received().len(), 1);
}
