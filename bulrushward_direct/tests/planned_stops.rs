//! Planned stops: what a router still has when its grace ends is answered, and what cannot end in it is not passed on.
//!
//! Pattern: a router is stopped while servers reject late, break late, never respond or have no place.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use bulrushward_direct::FleetConfig;
use rstest::rstest;
use support::{
    CALLERS_PORT, TestRouter,
    caller::{self, Response},
    config, lender_and_borrower_with, log, metric,
    platform::MemoryStore,
    record, request,
    server::{
        Received, Step, TestServer, chunk, complete_stream, event, events, ok_response, response,
        send_text, stream_head,
    },
    settings, unique_loopback_ip, wait_until,
};

const GRACE: Duration = Duration::from_secs(5);
/// Time after the stop at which requests that are still in progress are answered by the router.
const END: Duration = Duration::from_millis(4_700);
/// Time after the stop at which the process ends.
const EXIT: Duration = Duration::from_millis(4_850);
/// Time after the stop from which nothing new is taken.
const REFUSING: Duration = Duration::from_millis(2_600);
/// Time by which a busy machine may delay what a test waits for.
const TOLERANCE: Duration = Duration::from_millis(900);
/// Time that callers wait for a response.
///
/// A lender refuses requests at once whose wait may exceed half of it.
const PATIENCE: Duration = Duration::from_mins(1);

/// Returns a configuration whose requests may outlast a stop.
fn patient_config() -> FleetConfig {
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout = PATIENCE;
        if route.name == "lookup" {
            // Servers may be silent for four times as long before another one takes over.
            route.target_latency = Duration::from_millis(1_200);
        }
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
    let patience = format!("Patience-Ms: {}", PATIENCE.as_millis());
    request("POST", route, id, body).replace("Patience-Ms: 2500", &patience)
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

/// Starts two servers: `first` runs for the first request that either of them gets, `then` for all others.
fn servers_in_order(
    first: impl Fn(&Received) -> Vec<Step> + Clone + Send + Sync + 'static,
    then: impl Fn(&Received) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> [TestServer; 2] {
    let is_begun = Arc::new(AtomicBool::new(false));
    ["s-1", "s-2"].map(|id| {
        let (first, then, is_begun) = (first.clone(), then.clone(), Arc::clone(&is_begun));
        TestServer::start(id, move |req| {
            if is_begun.swap(true, Ordering::SeqCst) {
                then(req)
            } else {
                first(req)
            }
        })
    })
}

fn received(servers: &[TestServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}

fn reject_after(req: &Received, pause: Duration) -> Vec<Step> {
    let rejection = response(req, "503 Full", "Not-Run: 1\r\n", "");
    vec![Step::Pause(pause), rejection]
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
    assert!(
        response.text().contains("\"error\":\"stopping\""),
        "{response:?}"
    );
    assert!(
        response.text().contains("\"outcome\":\"not-run\""),
        "{response:?}"
    );
}

#[track_caller]
fn assert_unknown(response: &Response) {
    assert_eq!(response.status, 504, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert!(
        response.text().contains("\"error\":\"stopping\""),
        "{response:?}"
    );
    assert!(
        response.text().contains("\"outcome\":\"unknown\""),
        "{response:?}"
    );
}

/// Guards against requests that must run once, are passed on late in a stop and are cut while they run.
#[test]
fn an_unsafe_request_that_a_server_rejects_late_is_refused() {
    let servers = servers_in_order(
        |req| reject_after(req, Duration::from_millis(3_200)),
        |req| {
            vec![
                Step::Pause(Duration::from_secs(4)),
                ok_response(req, "late"),
            ]
        },
    );
    let router = start("plain", &[&servers[0], &servers[1]]);
    let call = call(&router, "action", "r-1");
    wait_until("the request arrives", || received(&servers) == 1);
    let stopped = stop(&router);
    let (response, ended) = finish(call);
    assert_refused(&response);
    assert!(ended - stopped < END);
    assert_eq!(received(&servers), 1);
}

/// Guards against repeats that can no longer end, and against too careful a stop that refuses those that can.
#[rstest]
#[case::with_time_left(3_000, 200)]
#[case::too_late(4_200, 503)]
fn a_safe_request_that_a_server_rejects_late_is_repeated_if_time_is_left(
    #[case] rejected_ms: u64,
    #[case] status: u16,
) {
    let pause = Duration::from_millis(rejected_ms);
    let servers = servers_in_order(
        move |req| reject_after(req, pause),
        |req| vec![ok_response(req, "repeated")],
    );
    let router = start("plain", &[&servers[0], &servers[1]]);
    let call = call(&router, "lookup", "r-1");
    wait_until("the request arrives", || received(&servers) == 1);
    router.stop();
    let (response, _ended) = finish(call);
    if status == 503 {
        assert_refused(&response);
        assert_eq!(received(&servers), 1);
    } else {
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(received(&servers), 2);
    }
}

/// Guards against requests that are held for a place until the end of a stop, or that get one too late.
#[test]
fn a_request_that_waits_for_a_place_when_the_stop_begins_is_refused_in_time() {
    log::capture();
    let is_slow = Arc::new(AtomicBool::new(false));
    let slow = Arc::clone(&is_slow);
    let server = TestServer::start("s-1", move |req| {
        let pause = if slow.load(Ordering::SeqCst) {
            Duration::from_millis(3_500)
        } else {
            Duration::from_millis(400)
        };
        vec![Step::Pause(pause), ok_response(req, "served")]
    });
    let store = MemoryStore::with(patient_config());
    let mut entry = record("plain", server.address);
    entry.slots = 1;
    store.put("s-1", entry);
    // A stopping router does not lend, so that the other one does.
    let [_lender, mut router] = lender_and_borrower_with(&store, |settings| {
        settings.stop_grace = GRACE;
    });
    let warm = AtomicU32::new(0);
    wait_until("places are scarce", || {
        let id = format!("w-{}", warm.fetch_add(1, Ordering::SeqCst));
        router.send(&text("action", &id, ""));
        log::lines()
            .iter()
            .any(|line| line.contains("event=places-scarce "))
    });
    is_slow.store(true, Ordering::SeqCst);
    let warmed = server.received().len();
    // Unless its response arrives earlier, a place is lent for some 400 ms, so that many still wait after the first seconds.
    let calls: Vec<_> = (0..24)
        .map(|index| call(&router, "action", &format!("r-{index}")))
        .collect();
    wait_until("requests wait for a place", || {
        metric(&router, "places_waiting").is_some_and(|waiting| waiting > 1)
            && server.received().len() > warmed
    });
    let stopped = stop(&router);
    let results: Vec<_> = calls.into_iter().map(finish).collect();
    router.join();
    let ran: Vec<_> = server.received()[warmed..]
        .iter()
        .filter_map(|req| req.header("request").map(str::to_owned))
        .collect();
    let mut refused = 0;
    for (index, (response, ended)) in results.iter().enumerate() {
        assert!(response.is_complete, "r-{index}: {response:?}");
        if ran.contains(&format!("r-{index}")) {
            assert!(matches!(response.status, 200 | 504), "{response:?}");
        } else {
            assert_refused(response);
            assert!(*ended - stopped < REFUSING + TOLERANCE, "r-{index}");
            refused += 1;
        }
    }
    assert!(refused > 0, "no request waited");
    let late = server.received()[warmed..]
        .iter()
        .filter(|req| req.at > stopped + REFUSING + TOLERANCE)
        .count();
    assert_eq!(late, 0);
}

/// Guards against streams that are resumed only to be cut, and against streams that are cut though time is left.
#[rstest]
#[case::with_time_left(3_000, true)]
#[case::too_late(4_300, false)]
fn a_stream_that_breaks_late_is_resumed_if_time_is_left(
    #[case] broken_ms: u64,
    #[case] is_resumed: bool,
) {
    let pause = Duration::from_millis(broken_ms);
    let servers = servers_in_order(
        move |req| {
            vec![
                stream_head(req),
                chunk(&event(1)),
                Step::Pause(pause),
                Step::Reset,
            ]
        },
        complete_stream,
    );
    let mut config = patient_config();
    for route in &mut config.routes {
        // The server may be silent until it breaks.
        route.target_pause = Duration::from_secs(10);
    }
    let router = start("engines", &[&servers[0], &servers[1]]);
    config.version = 2;
    router.store.set_config(config);
    wait_until("the configuration is known", || {
        metric(&router, "config_version") == Some(2)
    });
    let call = call(&router, "resumable", "r-1");
    wait_until("the request arrives", || received(&servers) == 1);
    router.stop();
    let (response, _ended) = finish(call);
    assert_eq!(response.status, 200);
    assert_eq!(response.is_complete, is_resumed, "{response:?}");
    assert_eq!(received(&servers), if is_resumed { 2 } else { 1 });
    assert!(response.text().starts_with(&event(1)));
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
        let head = support::server::send_text(&format!(
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

/// A stream that its server had ended was cut, as the grace ended while the end was being confirmed.
#[rstest]
fn a_stream_that_has_ended_before_the_end_of_the_grace_is_complete(
    #[values(5, 20, 40)] before_exit_ms: u64,
) {
    let begun_at = Arc::new(std::sync::Mutex::new(None));
    let stopped_at = Arc::clone(&begun_at);
    let server = TestServer::start("s-1", move |req| {
        let id = req.header("request").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n"
        );
        let stopped_at: Instant = loop {
            let stopped_at = *stopped_at.lock().expect("no test panics with the lock");
            match stopped_at {
                Some(at) => break at,
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        let end = stopped_at + EXIT.saturating_sub(Duration::from_millis(before_exit_ms));
        let pause = end.saturating_duration_since(Instant::now());
        vec![
            send_text(&(head + &event(1))),
            Step::Pause(pause),
            send_text(&event(2)),
            Step::Close,
        ]
    });
    let router = start("engines", &[&server]);
    let call = call(&router, "stream", "r-1");
    wait_until("the request arrives", || !server.received().is_empty());
    *begun_at.lock().expect("no test panics with the lock") = Some(stop(&router));
    let (response, _) = finish(call);
    assert_eq!(
        (response.text(), response.is_complete),
        (events(1, 2), true)
    );
}
