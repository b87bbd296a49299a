//! Tests that nothing of a request that was given up is delivered later.

mod support;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use bulrushward_direct::call;
use rstest::rstest;
use socket2::{SockFilter, SockRef};
use support::{
    CALLERS_PORT, TestRouter, caller, record, request, router_with_servers,
    server::{Received, Step, TestServer, complete_stream, ok_response},
    wait_until,
};

/// Time in which TCP sends again what was not acknowledged during a cut of at most 1.5 s, with some reserve.
const RETRANSMISSION_TIME: Duration = Duration::from_secs(4);
/// Time in which a router notices that its caller has left.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Responds at once.
fn respond(req: &Received) -> Vec<Step> {
    if req.line.contains("/resumable/") {
        complete_stream(req)
    } else {
        vec![ok_response(req, "served")]
    }
}

/// Starts a router with one server, to which it keeps an open connection.
fn router_with_kept_connection(service: &str) -> (TestRouter, TestServer) {
    let server = TestServer::start("s-1", respond);
    let router = router_with_servers(service, &[&server]);
    let route = if service == "plain" {
        "lookup"
    } else {
        "resumable"
    };
    let response = router.send(&request("GET", route, "first", ""));
    assert_eq!(response.status, 200);
    (router, server)
}

/// Returns the text of a request whose caller waits for `patience`.
fn request_with_patience(route: &str, id: &str, patience: Duration) -> String {
    let patience = format!("Patience-Ms: {}", patience.as_millis());
    request("POST", route, id, "text").replace("Patience-Ms: 2500", &patience)
}

/// Checks that a server does not receive any of these requests after it is reachable again.
fn assert_never_delivered(server: &TestServer, ids: &[String]) {
    server.heal();
    let healed = Instant::now();
    while healed.elapsed() < RETRANSMISSION_TIME {
        let late = server.received().into_iter().find_map(|req| {
            let id = req.header("request")?.to_owned();
            ids.contains(&id).then_some(id)
        });
        assert_eq!(
            late,
            None,
            "a request that was given up was delivered {:?} after the cut",
            healed.elapsed()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against requests that reach a server after their caller has left, as they waited in a send queue.
#[rstest]
#[case::idempotent("plain", "lookup")]
#[case::not_idempotent("plain", "action")]
#[case::stream("engines", "resumable")]
fn a_request_whose_caller_left_during_a_cut_is_not_delivered_after_it(
    #[case] service: &str,
    #[case] route: &str,
) {
    let (router, server) = router_with_kept_connection(service);
    server.cut_off();
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let text = request_with_patience(route, "left", Duration::from_millis(2_500));
    stream.write_all(text.as_bytes()).expect("the router reads");
    std::thread::sleep(NOTICE_TIME);
    drop(stream);
    std::thread::sleep(NOTICE_TIME);
    assert_never_delivered(&server, &["left".to_owned()]);
}

/// Guards against requests that run though their caller was told that their time is over.
#[test]
fn a_request_whose_time_was_over_during_a_cut_is_not_delivered_after_it() {
    let (router, server) = router_with_kept_connection("plain");
    server.cut_off();
    let text = request_with_patience("action", "late", Duration::from_millis(600));
    let response = router.send(&text);
    assert!(matches!(response.status, 502 | 504), "{}", response.status);
    assert_never_delivered(&server, &["late".to_owned()]);
}

/// Guards against requests that run at the first server after another one has taken them over.
#[rstest]
#[case::plain("plain", "lookup")]
#[case::stream("engines", "resumable")]
fn a_request_that_another_server_took_over_is_not_delivered_after_the_cut(
    #[case] service: &str,
    #[case] route: &str,
) {
    let (router, server) = router_with_kept_connection(service);
    server.cut_off();
    let other = TestServer::start("s-2", respond);
    router.store.put("s-2", record(service, other.address));
    wait_until("the other server serves", || {
        let attempt = format!("probe-{}", other.received().len());
        router.send(&request("GET", route, &attempt, "")).status == 200
            && !other.received().is_empty()
    });
    let ids = (0..8).map(|index| format!("moved-{index}"));
    let moved: Vec<_> = ids
        .filter(|id| router.send(&request("GET", route, id, "")).status == 200)
        .collect();
    assert!(!moved.is_empty());
    assert_never_delivered(&server, &moved);
}

/// Guards against requests that reach a leaving server because a cut has held them up for longer than its leaving takes.
#[rstest]
#[case::idempotent("lookup")]
#[case::not_idempotent("action")]
fn a_request_that_a_cut_holds_up_does_not_reach_a_server_that_leaves_meanwhile(
    #[case] route: &str,
) {
    let (router, server) = router_with_kept_connection("plain");
    server.cut_off();
    let text = request_with_patience(route, "held", Duration::from_secs(8));
    let address = router.address(CALLERS_PORT);
    let waiting = std::thread::spawn(move || caller::send(address, text.as_bytes()));
    std::thread::sleep(NOTICE_TIME);
    let mut leaving = record("plain", server.address);
    leaving.is_leaving = true;
    router.store.put("s-1", leaving);
    // The server serves for two seconds after it said that it leaves.
    std::thread::sleep(Duration::from_secs(2));
    assert_never_delivered(&server, &["held".to_owned()]);
    let response = waiting.join().expect("the caller does not panic");
    assert!(matches!(response.status, 502..=504), "{}", response.status);
}

/// Guards against requests that a stopped router leaves behind in its send queues.
#[test]
fn a_request_that_a_stopping_router_abandons_is_not_delivered_after_the_cut() {
    let (mut router, server) = router_with_kept_connection("plain");
    server.cut_off();
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let text = request_with_patience("action", "abandoned", Duration::from_secs(20));
    stream.write_all(text.as_bytes()).expect("the router reads");
    std::thread::sleep(NOTICE_TIME);
    router.stop();
    router.join();
    assert_never_delivered(&server, &["abandoned".to_owned()]);
}

/// Guards against calls of the store that are executed after the router has given them up.
#[test]
fn a_call_whose_time_was_over_during_a_cut_is_not_delivered_after_it() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("there is a free port");
    let address = listener.local_addr().expect("the listener is bound");
    // Accepted connections inherit the filter, which lets only packets without data pass: 40 bytes of headers and options.
    let (load_length, jump_if_greater, end) = (0x80, 0x25, 0x06);
    SockRef::from(&listener)
        .attach_filter(&[
            SockFilter::new(load_length, 0, 0, 0),
            SockFilter::new(jump_if_greater, 0, 1, MAX_SEGMENT_WITHOUT_DATA),
            SockFilter::new(end, 0, 0, 0),
            SockFilter::new(end, 0, 0, u32::MAX),
        ])
        .expect("the packet filter can be set");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let limit = Duration::from_millis(400);
    let call = call::post(address, "/write", b"{}".to_vec(), limit);
    assert!(runtime.block_on(call).is_err());
    let (mut connection, _caller) = listener.accept().expect("the call had connected");
    SockRef::from(&connection)
        .detach_filter()
        .expect("the packet filter can be removed");
    assert_eq!(read_for(&mut connection, RETRANSMISSION_TIME), "");
}

/// Longest TCP segment without data, in bytes.
const MAX_SEGMENT_WITHOUT_DATA: u32 = 60;

/// Returns what arrives on a connection within `time`.
fn read_for(connection: &mut TcpStream, time: Duration) -> String {
    connection
        .set_read_timeout(Some(time))
        .expect("the read timeout can be set");
    let mut buf = [0; 1 << 10];
    let len = connection.read(&mut buf).unwrap_or(0);
    String::from_utf8_lossy(&buf[..len]).into_owned()
}
