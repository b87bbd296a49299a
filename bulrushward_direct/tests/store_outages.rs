//! A router follows the store through outages in which calls that wait there are lost.
//!
//! Pattern: a store in trouble forgets the long polls that it holds, or takes new ones and never responds to them, while
//! their connections stay alive. A change after its return must be known within the limit, whatever happened to the call
//! that should have told of it.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_direct::RouteKind;
use rstest::rstest;
use support::{
    CALLERS_PORT, METRICS_PORT, TestRouter, caller, config, metric,
    platform::{MemoryStore, Trouble},
    record, request, route, router_with_servers,
    server::TestServer,
    unique_loopback_ip, wait_until,
};

/// Time within which a change must be known after the store has returned.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(2);
/// Duration of a trouble; a router has sent several calls by then.
const TROUBLE_TIME: Duration = Duration::from_millis(2_500);
/// Time between the end of a trouble and the next event.
const PAUSE: Duration = Duration::from_millis(700);

/// The part of the store's contents that changes after the trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum View {
    Config,
    Servers,
}

/// What happens while the calls after the first trouble are waiting.
#[derive(Clone, Copy, Debug)]
enum Further {
    Nothing,
    Silence,
    HistoryGone,
}

/// Changes both views, so that a router sends new calls for both after it has gathered the changes.
fn change_both(store: &MemoryStore, version: u64, server: &TestServer) {
    store.set_config(config(version));
    store.put(
        &format!("extra-{version}"),
        record("engines", server.address),
    );
}

/// Changes a view and asserts that the router acts on the change within the limit.
fn assert_followed(router: &TestRouter, view: View, second: &TestServer) {
    let store = &router.store;
    let start = Instant::now();
    match view {
        View::Config => {
            let mut newer = config(9);
            newer.routes.push(route("new", RouteKind::Idempotent));
            store.set_config(newer);
            wait_until("the new route is served", || {
                router.send(&request("GET", "new", "r", "")).status == 200
            });
        }
        View::Servers => {
            store.put("s-2", record("plain", second.address));
            store.remove("s-1");
            wait_until("the new server is used", || {
                router.send(&request("GET", "lookup", "r", "")).text() == "s-2"
            });
        }
    }
    let elapsed = start.elapsed();
    assert!(
        elapsed < ACTIVATION_LIMIT,
        "{view:?} is known after {elapsed:?}"
    );
}

#[rstest]
fn a_change_after_lost_calls_is_known_in_time(
    #[values(View::Config, View::Servers)] view: View,
    #[values(
        Trouble::Silent,
        Trouble::Reset,
        Trouble::Refused(503),
        Trouble::Refused(429)
    )]
    trouble: Trouble,
    #[values(false, true)] forgets_waiting: bool,
    #[values(Further::Nothing, Further::Silence, Further::HistoryGone)] further: Further,
) {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one]);
    let store = Arc::clone(&router.store);
    change_both(&store, 2, &one);
    // The router waits for further changes and then sends its next calls, which the trouble meets.
    std::thread::sleep(Duration::from_millis(100));
    store.set_trouble(trouble);
    if forgets_waiting {
        store.forget_waiting();
    }
    std::thread::sleep(TROUBLE_TIME);
    store.set_trouble(Trouble::None);
    std::thread::sleep(PAUSE);
    match further {
        Further::Nothing => {}
        Further::Silence => {
            store.set_trouble(Trouble::Silent);
            store.forget_waiting();
            std::thread::sleep(TROUBLE_TIME);
            store.set_trouble(Trouble::None);
        }
        Further::HistoryGone => store.discard_history(),
    }
    assert_followed(&router, view, &two);
}

#[test]
fn calls_that_all_routers_lost_are_sent_again() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one]);
    let second = TestRouter::start_at(unique_loopback_ip(), &router.store, &[router.ip]);
    second.wait_ready();
    router.store.forget_waiting();
    router.store.set_trouble(Trouble::Silent);
    std::thread::sleep(TROUBLE_TIME);
    router.store.set_trouble(Trouble::None);
    for router in [&router, &second] {
        assert_followed(router, View::Config, &two);
    }
}

#[test]
fn a_stale_configuration_is_fetched_from_a_peer_although_servers_change_all_the_time() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let store = MemoryStore::with(config(1));
    store.put("s-1", record("plain", server.address));
    let second = TestRouter::start_at(unique_loopback_ip(), &store, &[router.ip]);
    second.wait_ready();
    // Each router waits for further changes after its first configuration.
    std::thread::sleep(Duration::from_secs(1));
    let mut newer = config(2);
    newer.routes.push(route("new", RouteKind::Idempotent));
    router.store.set_config(newer);
    let start = Instant::now();
    let mut changes = 0;
    wait_until("the new route is served", || {
        changes += 1;
        store.put(
            &format!("extra-{changes}"),
            record("engines", server.address),
        );
        std::thread::sleep(Duration::from_millis(100));
        second.send(&request("GET", "new", "r", "")).status == 200
    });
    let elapsed = start.elapsed();
    assert!(
        elapsed < ACTIVATION_LIMIT,
        "the route is known after {elapsed:?}"
    );
}

#[test]
fn a_request_is_not_denied_while_the_configuration_is_in_doubt() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let unknown_route = || router.send(&request("GET", "unknown", "r", ""));
    let unknown_key = || router.send(&request("GET", "lookup", "r", "").replace("key-1", "key-2"));
    assert_eq!((unknown_route().status, unknown_key().status), (404, 401));
    router.store.forget_waiting();
    router.store.set_trouble(Trouble::Silent);
    wait_until("the router is in doubt", || unknown_route().status == 503);
    for response in [unknown_route(), unknown_key()] {
        assert_eq!(response.status, 503);
        assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(router.send(&request("GET", "lookup", "r", "")).status, 200);
    router.store.set_trouble(Trouble::None);
    wait_until("the configuration is confirmed", || {
        (unknown_route().status, unknown_key().status) == (404, 401)
    });
}

/// Returns the request of a caller with this patience.
fn request_with_patience(ms: u32) -> String {
    let text = request("GET", "lookup", "r", "");
    text.replace("Patience-Ms: 2500", &format!("Patience-Ms: {ms}"))
}

/// Returns the number of requests that wait for the start of a router to be completed.
fn waiting(router: &TestRouter) -> Option<u32> {
    let address = router.address(METRICS_PORT);
    let text = caller::get(address, "/metrics")?.text();
    let mut values = text
        .lines()
        .filter_map(|line| line.split_once("direct_start_waiting "));
    values.find_map(|(_, value)| value.parse().ok())
}

// All routers start at once while the store is away: callers that come back once must not be refused because the
// configuration is known a second later.
#[test]
fn a_request_at_the_start_waits_for_the_configuration() {
    let server = TestServer::echo("s-1");
    let store = MemoryStore::with(config(1));
    store.put("s-1", record("plain", server.address));
    store.set_trouble(Trouble::Silent);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the router has started", || waiting(&router) == Some(0));
    let address = router.address(CALLERS_PORT);
    let sent =
        std::thread::spawn(move || caller::send(address, request_with_patience(6_000).as_bytes()));
    wait_until("the request waits", || waiting(&router) == Some(1));
    store.set_trouble(Trouble::None);
    let res = sent.join().expect("the caller gets a response");
    assert_eq!((res.status, res.text()), (200, "s-1".to_owned()));
    assert_eq!(waiting(&router), Some(0));
}

// Guards against repeated calls for a large configuration that share a thin link, so that none of them has a response in time.
#[test]
fn a_configuration_that_arrives_after_an_outage_is_not_asked_for_again() {
    let store = MemoryStore::with(config(1));
    store.set_trouble(Trouble::Silent);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the store is known not to respond", || {
        let calls = r#"store_calls_total{call="config",result="unavailable"}"#;
        metric(&router, calls).is_some_and(|calls| calls > 0)
    });
    store.set_transfer_time(Duration::from_millis(1_500));
    store.set_trouble(Trouble::None);
    router.wait_ready();
    assert_eq!(store.transfers(), 1);
}

// A request that cannot be served is refused in time, and is told the truth.
#[test]
fn a_request_is_refused_if_the_start_takes_long() {
    let store = MemoryStore::with(config(1));
    store.set_trouble(Trouble::Silent);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the router has started", || waiting(&router) == Some(0));
    let start = Instant::now();
    let res = router.send(&request_with_patience(1_200));
    let elapsed = start.elapsed();
    assert_eq!(res.status, 503);
    assert!(res.text().contains("not-run"), "{}", res.text());
    assert!(res.header("retry-after").is_some());
    assert!(elapsed < Duration::from_millis(1_200 / 2), "{elapsed:?}");
}

/// Guards against routers that act on old knowledge until a waiting call is given up, because the store answers all other
/// calls and only the responses to the calls that waited are lost.
#[rstest]
fn a_change_is_known_in_time_though_only_the_responses_that_tell_of_it_are_lost(
    #[values(View::Config, View::Servers)] view: View,
    #[values(1, 4, 7)] routers: usize,
) {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let first = router_with_servers("plain", &[&one]);
    let others: Vec<_> = (1..routers)
        .map(|_| TestRouter::start_at(unique_loopback_ip(), &first.store, &[first.ip]))
        .collect();
    for router in &others {
        router.wait_ready();
    }
    // All routers wait for changes by then.
    std::thread::sleep(PAUSE * 2);
    first.store.forget_waiting();
    let start = Instant::now();
    assert_followed(&first, view, &two);
    for router in &others {
        wait_until("the change is known", || {
            let response = match view {
                View::Config => router.send(&request("GET", "new", "r", "")),
                View::Servers => router.send(&request("GET", "lookup", "r", "")),
            };
            response.status == 200 && (view == View::Config || response.text() == "s-2")
        });
    }
    assert!(start.elapsed() < ACTIVATION_LIMIT, "{:?}", start.elapsed());
}
