//! Tests of servers that name the requests a second that they take from all routers together.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    TestRouter,
    caller::Response,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{Received, Step, TestServer, ok_response, response, send_text},
    settings, unique_loopback_ip, wait_until,
};

/// Span in which the requests at a server are counted.
const SPAN: Duration = Duration::from_secs(4);
const CALLERS: usize = 8;

/// Serves a request and names a limit.
fn serve_with_limit(req: &Received, limit: &str) -> Vec<Step> {
    let headers = format!("Signed: s\r\nLimit: {limit}\r\n");
    vec![response(req, "200 OK", &headers, "limited")]
}

/// Returns the most requests that a server got within a span, of those later than a second after the first.
fn worst_span(server: &TestServer) -> usize {
    let times: Vec<Instant> = server.received().iter().map(|req| req.at).collect();
    let Some(first) = times.first().copied() else {
        return 0;
    };
    let begin = first + Duration::from_secs(1);
    let counted: Vec<_> = times.into_iter().filter(|at| *at > begin).collect();
    let within = |from: &Instant| {
        let span = *from..*from + SPAN;
        counted.iter().filter(|at| span.contains(*at)).count()
    };
    counted.iter().map(within).max().unwrap_or(0)
}

/// Returns the requests that a server with a limit may get within a span.
fn allowed(limit: f64) -> usize {
    (limit * 1.5 * SPAN.as_secs_f64() + 5.0) as usize
}

/// Sends requests from several callers at a time to some routers; returns the responses.
fn crowd(routers: &[&TestRouter], time: Duration) -> Vec<Response> {
    let start = Instant::now();
    std::thread::scope(|scope| {
        let callers = (0..CALLERS).map(|caller| {
            scope.spawn(move || {
                let mut responses = Vec::new();
                while start.elapsed() < time {
                    let id = format!("r-{caller}-{}", responses.len());
                    let sent = Instant::now();
                    let router = routers[(caller + responses.len()) % routers.len()];
                    let response = router.send(&request("GET", "lookup", &id, ""));
                    if response.status == 503 {
                        assert!(response.header("retry-after").is_some());
                        assert!(sent.elapsed() < Duration::from_millis(500));
                    }
                    responses.push(response);
                    std::thread::sleep(Duration::from_millis(20));
                }
                responses
            })
        });
        let callers: Vec<_> = callers.collect();
        let joined = callers.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined
            .flat_map(|responses| responses.expect("no panic"))
            .collect()
    })
}

/// Starts routers that know each other and one server.
fn fleet<const N: usize>(server: &TestServer) -> [TestRouter; N] {
    let store = MemoryStore::with(support::config(1));
    store.put("s-1", record("plain", server.address));
    let ips: [_; N] = std::array::from_fn(|_| unique_loopback_ip());
    let routers = ips.map(|ip| {
        let mut settings = settings(ip, &ips);
        settings.places_port = Some(7_342);
        TestRouter::start_with(settings, &store)
    });
    for router in &routers {
        router.wait_ready();
    }
    routers
}

/// A server got far more requests than the limit that it had named.
#[test]
fn a_server_gets_what_its_limit_allows_and_the_others_get_the_rest() {
    let limited = TestServer::start("s-1", |req| serve_with_limit(req, "3"));
    let other = TestServer::echo("s-2");
    let router = router_with_servers("plain", &[&limited, &other]);
    let responses = crowd(&[&router], Duration::from_secs(6));
    assert!(responses.iter().all(|response| response.status == 200));
    let worst = worst_span(&limited);
    assert!(worst <= allowed(3.0), "{worst} requests");
    assert!(worst >= 9, "{worst} requests");
}

/// Routers that each kept the limit for themselves would send several times as much together.
#[test]
fn routers_share_the_limit_of_a_server() {
    let limited = TestServer::start("s-1", |req| serve_with_limit(req, "4"));
    let [one, two, three] = fleet(&limited);
    let responses = crowd(&[&one, &two, &three], Duration::from_secs(6));
    let worst = worst_span(&limited);
    assert!(worst <= allowed(4.0), "{worst} requests");
    assert!(worst >= 10, "{worst} requests");
    assert!(responses.iter().any(|response| response.status == 503));
}

/// A router whose share of a limit is below its demand left the shares of the others unused.
#[test]
fn a_router_gets_the_shares_that_the_others_do_not_need() {
    let limited = TestServer::start("s-1", |req| serve_with_limit(req, "3"));
    let [busy, _idle, _also_idle] = fleet(&limited);
    crowd(&[&busy], Duration::from_secs(7));
    let worst = worst_span(&limited);
    assert!(worst <= allowed(3.0), "{worst} requests");
    // Its own share is four in four seconds.
    assert!(worst >= 8, "{worst} requests");
}

/// A limit lasts for as long as responses name it.
#[test]
fn a_server_that_names_no_limit_any_more_gets_requests_as_before() {
    let is_limited = Arc::new(AtomicBool::new(true));
    let names_limit = Arc::clone(&is_limited);
    let server = TestServer::start("s-1", move |req| {
        if names_limit.load(Ordering::SeqCst) {
            return serve_with_limit(req, "1");
        }
        vec![ok_response(req, "free")]
    });
    let router = router_with_servers("plain", &[&server]);
    let send = || router.send(&request("GET", "lookup", "r-1", "")).status;
    wait_until("the limit holds", || send() == 503);
    is_limited.store(false, Ordering::SeqCst);
    wait_until("the server names no limit", || send() == 200);
    assert!((0..30).all(|_| send() == 200));
}

/// Late copies of responses that were made before the server was in need would end its limit.
#[test]
fn a_response_to_another_request_does_not_end_a_limit() {
    let received = AtomicU32::new(0);
    let server = TestServer::start("s-1", move |req| {
        if received.fetch_add(1, Ordering::SeqCst).is_multiple_of(2) {
            return serve_with_limit(req, "2");
        }
        let copy = "HTTP/1.1 200 OK\r\nRequest: other\r\nSigned: s\r\nContent-Length: 0\r\n\r\n";
        vec![send_text(copy)]
    });
    let router = router_with_servers("plain", &[&server]);
    crowd(&[&router], Duration::from_secs(6));
    let worst = worst_span(&server);
    assert!(worst <= allowed(2.0), "{worst} requests");
}

/// Values that are no rate must not take a server away.
#[rstest]
#[case::text("few")]
#[case::negative("-1")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
fn a_limit_that_is_no_rate_is_ignored(#[case] limit: &'static str) {
    support::log::capture();
    let server = TestServer::start("s-1", move |req| serve_with_limit(req, limit));
    let router = router_with_servers("plain", &[&server]);
    let send = || router.send(&request("GET", "lookup", "r-1", "")).status;
    assert!((0..30).all(|_| send() == 200));
    support::log::wait_for_line("event=report-ignored server=s-1");
}
