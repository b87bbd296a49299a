//! Tests of servers that reject requests and ask the router for a pause.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{
    TestRouter, lender_and_borrower, metric,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{Received, Step, TestServer, complete_stream, ok_response, response},
    wait_until,
};

/// Pause that servers ask for in these tests.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after a rejection in which requests may still reach the server, as they were on their way.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(60);
const CALLERS: usize = 24;
/// Requests that may reach a server within the rest of its pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Rejects a request and asks for a pause.
fn reject(req: &Received, retry_after: &str) -> Vec<Step> {
    let headers = format!("Not-Run: 1\r\nRetry-After: {retry_after}\r\n");
    vec![response(req, "503 Full", &headers, "")]
}

/// Returns the largest number of requests that arrived in the rest of a pause.
fn requests_in_pause(server: &TestServer) -> usize {
    let arrivals: Vec<Instant> = server.received().iter().map(|req| req.at).collect();
    let in_pause = |rejected: &Instant| {
        let since = |at: &&Instant| at.saturating_duration_since(*rejected);
        let is_in_pause = |at: &&Instant| (REACTION_TIME..PAUSE).contains(&since(at));
        arrivals.iter().filter(is_in_pause).count()
    };
    arrivals.iter().map(in_pause).max().unwrap_or_default()
}

fn send(router: &TestRouter, route: &str, index: usize) -> support::caller::Response {
    router.send(&request("GET", route, &format!("r-{index}"), ""))
}

/// Requests went on to a server that had asked for a pause, as nothing read `Retry-After` of servers.
#[rstest]
#[case::plain("plain", "lookup")]
#[case::action("plain", "action")]
#[case::stream("engines", "stream")]
fn a_server_that_asks_for_a_pause_gets_no_requests_meanwhile(
    #[case] service: &str,
    #[case] route: &str,
) {
    let paused = TestServer::start("s-1", |req| reject(req, "1.5"));
    let other = TestServer::start("s-2", |req| {
        if !req.line.contains("stream") {
            return vec![Step::Pause(WORK), ok_response(req, "s-2")];
        }
        let mut steps = complete_stream(req);
        steps.insert(1, Step::Pause(WORK));
        steps
    });
    let router = router_with_servers(service, &[&paused, &other]);
    // So many callers keep the other server busy.
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let router = &router;
            scope.spawn(move || {
                let start = Instant::now();
                for index in 0.. {
                    if start.elapsed() >= PAUSE * 2 {
                        break;
                    }
                    send(router, route, caller + CALLERS * index);
                }
            });
        }
    });
    let requests = requests_in_pause(&paused);
    assert!(requests <= MAX_REQUESTS_IN_PAUSE, "{requests} requests");
    assert!(!paused.received().is_empty());
}

/// Callers waited or came back too early while all servers of a service had asked for pauses.
#[test]
fn requests_are_refused_at_once_with_the_rest_of_the_shortest_pause() {
    let long = TestServer::start("s-1", |req| reject(req, "30"));
    let short = TestServer::start("s-2", |req| reject(req, "1.5"));
    let router = router_with_servers("plain", &[&long, &short]);
    let (mut sent, mut asked) = (0, Instant::now());
    wait_until("both servers ask for a pause", || {
        sent += 1;
        asked = Instant::now();
        send(&router, "lookup", sent);
        !long.received().is_empty() && !short.received().is_empty()
    });
    while asked.elapsed() < REACTION_TIME {
        sent += 1;
        let start = Instant::now();
        let refused = send(&router, "lookup", sent);
        assert!(start.elapsed() < Duration::from_millis(200));
        assert_eq!(refused.status, 503);
        let retry_after = refused.header("retry-after").expect("callers may return");
        let retry_after = Duration::from_secs_f64(retry_after.parse().expect("it is a number"));
        // The pause began after the request was sent that asked for it.
        let rest = PAUSE.saturating_sub(asked.elapsed());
        assert!(retry_after >= rest, "{retry_after:?} is less than {rest:?}");
        assert!(retry_after <= PAUSE + Duration::from_millis(500));
    }
    assert!(requests_in_pause(&short) <= MAX_REQUESTS_IN_PAUSE);
    assert_eq!(long.received().len(), 1);
    wait_until("the shorter pause is over", || {
        sent += 1;
        send(&router, "lookup", sent);
        short.received().len() > 1
    });
    assert_eq!(long.received().len(), 1);
}

/// Values that are no time must not take a server away, and absurd ones must not for long.
#[rstest]
#[case::text("soon")]
#[case::negative("-5")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::zero("0")]
fn a_pause_that_is_no_time_is_ignored(#[case] retry_after: &'static str) {
    support::log::capture();
    let server = TestServer::start("s-1", move |req| reject(req, retry_after));
    let router = router_with_servers("plain", &[&server]);
    let mut sent = 0;
    wait_until("the server gets further requests", || {
        sent += 1;
        send(&router, "lookup", sent);
        server.received().len() > 3
    });
    if retry_after != "0" {
        support::log::wait_for_line("event=report-ignored server=s-1");
    }
}

/// A pause that a server had asked the lender for took the server away from the requests of all routers.
#[test]
fn a_pause_of_the_lender_leaves_the_server_to_other_routers() {
    let paused = TestServer::start("s-1", |req| {
        if req.header("request") == Some("of-the-lender") {
            return reject(req, "30");
        }
        vec![Step::Pause(WORK), ok_response(req, "s-1")]
    });
    let other = TestServer::start("s-2", |req| {
        if req.header("request") == Some("of-the-lender") {
            return vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
        }
        vec![Step::Pause(WORK), ok_response(req, "s-2")]
    });
    let store = MemoryStore::with(support::config(1));
    for server in [&paused, &other] {
        let mut record = record("plain", server.address);
        record.slots = 1;
        store.put(&server.id, record);
    }
    let [lender, borrower] = lender_and_borrower(&store);
    wait_until("the lender has been asked for a pause", || {
        lender.send(&request("GET", "lookup", "of-the-lender", ""));
        !paused.received().is_empty()
    });
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (borrower, is_over) = (&borrower, &is_over);
            scope.spawn(move || {
                for index in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    send(borrower, "action", caller + CALLERS * index);
                }
            });
        }
        wait_until("many places are lent", || {
            metric(&lender, "places_granted_total") > Some(20)
        });
        let (before, lent) = (
            paused.received().len(),
            metric(&lender, "places_granted_total"),
        );
        wait_until("many more places are lent", || {
            metric(&lender, "places_granted_total") > lent.map(|lent| lent + 40)
        });
        let at_paused = paused.received().len() - before;
        is_over.store(true, Ordering::SeqCst);
        assert!(at_paused > 10, "{at_paused} of 40 places");
    });
}
