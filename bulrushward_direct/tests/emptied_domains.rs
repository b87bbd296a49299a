//! Nothing is sent to the servers of failure domains that an operator has emptied.
//!
//! Guards against routers that miss an order or forget it (store down, history lost, older listing, restart), against
//! attempts after the first one that ignore it, and against orders that are lost or delayed by other changes.

mod support;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bulrushward_direct::{RouteKind, StoreError};
use bulrushward_policy::emptied_domains::EmptiedReport;
use rstest::rstest;
use support::{
    FLEET_STATE_PORT, TestRouter, caller, config, log,
    platform::{MemoryStore, Trouble},
    record, request, route,
    server::{
        Received, Step, TestServer, broken_stream, chunk, complete_stream, event, events, response,
        send_text, stream_head,
    },
    settings, unique_loopback_ip, wait_until,
};

/// Propagation limit of orders.
const LIMIT: Duration = Duration::from_secs(5);
/// Time in which an order is to be in force at a router that the store serves.
const AIM: Duration = Duration::from_secs(1);

const FAILS: fn(&Received) -> Vec<Step> =
    |req| vec![response(req, "500 Oops", "Signed: s\r\n", "oops")];
const BREAKS_ONCE: fn(&Received) -> Vec<Step> = |req| match req.header("last-event") {
    Some(_) => complete_stream(req),
    None => broken_stream(req),
};

fn store_with(service: &str, servers: &[(&TestServer, &str)]) -> Arc<MemoryStore> {
    let store = MemoryStore::with(config(1));
    for (server, domain) in servers {
        let mut record = record(service, server.address);
        (*domain).clone_into(&mut record.failure_domain);
        store.put(&server.id, record);
    }
    store
}

/// Starts a router that follows orders, with peers.
fn start(store: &Arc<MemoryStore>, peers: &[&TestRouter]) -> TestRouter {
    let peers: Vec<_> = peers.iter().map(|peer| peer.ip).collect();
    let mut settings = settings(unique_loopback_ip(), &peers);
    settings.orders_known = Some(LIMIT);
    settings.extra_repeats = 1_000.0;
    TestRouter::start_with(settings, store)
}

fn start_ready(store: &Arc<MemoryStore>, peers: &[&TestRouter]) -> TestRouter {
    let router = start(store, peers);
    router.wait_ready();
    router
}

fn metrics(router: &TestRouter) -> String {
    let response = caller::get(router.address(7_341), "/metrics");
    response.map_or_else(String::new, |response| response.text())
}

/// Waits until a router knows a number of emptied domains; returns the time that took.
fn wait_emptied(router: &TestRouter, domains: u32) -> Duration {
    let start = Instant::now();
    let line = format!("bulrushward_direct_emptied_failure_domains {domains}\n");
    wait_until("the orders are known", || metrics(router).contains(&line));
    start.elapsed()
}

/// Sends requests on a route and returns the bodies of their responses.
fn bodies(router: &TestRouter, route: &str) -> Vec<String> {
    let ids = (0..20).map(|index| format!("r-{index}"));
    ids.map(|id| router.send(&request("GET", route, &id, "")).text())
        .collect()
}

fn assert_only_first_serves(router: &TestRouter) {
    assert!(bodies(router, "lookup").iter().all(|body| body == "s-1"));
}

#[test]
fn an_order_is_in_force_in_time_until_it_is_withdrawn() {
    log::capture();
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    // More servers are emptied than a request may try.
    for index in 3..9 {
        let mut record = record("plain", two.address);
        "b".clone_into(&mut record.failure_domain);
        store.put(&format!("s-{index}"), record);
    }
    let router = start_ready(&store, &[]);
    assert!(bodies(&router, "lookup").contains(&"s-2".to_owned()));
    // The router waits for further changes after each configuration.
    for version in 2..5 {
        store.set_config(config(version));
        store.set_emptied("b", true);
        assert!(wait_emptied(&router, 1) < AIM);
        assert_only_first_serves(&router);
        store.set_emptied("b", false);
        assert!(wait_emptied(&router, 0) < AIM);
        assert!(bodies(&router, "lookup").contains(&"s-2".to_owned()));
    }
    log::wait_for_line("event=failure-domain-emptied domain=b source=store revision age_ms");
    log::wait_for_line("event=failure-domain-restored domain=b source=store revision age_ms");
}

/// Routers took what the store listed after its return for old, and never followed another order.
#[test]
fn orders_are_followed_after_the_store_has_returned_from_a_copy() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    store.copy();
    // The copy lacks this order and changes with higher revisions.
    store.set_emptied("b", true);
    wait_emptied(&router, 1);
    for version in 2..5 {
        store.set_config(config(version));
    }
    store.return_from_copy();
    let returned = Instant::now();
    while returned.elapsed() < Duration::from_secs(1) {
        assert_only_first_serves(&router);
    }
    store.set_emptied("c", true);
    assert!(wait_emptied(&router, 2) < AIM);
    // The order is written again.
    store.set_emptied("b", true);
    assert_only_first_serves(&router);
    store.set_emptied("b", false);
    assert!(wait_emptied(&router, 1) < AIM);
    assert!(bodies(&router, "lookup").contains(&"s-2".to_owned()));
}

#[test]
fn an_order_holds_for_a_request_whose_connection_is_being_opened() {
    log::capture();
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    // A request without a valid key stops the traffic thread and is refused then.
    let stall = |ms: u32| {
        let request = request("GET", "lookup", "stall", "").replace("key-1", "none");
        let request = request.replace("Key:", &format!("Stall-Ms: {ms}\r\nKey:"));
        assert_eq!(router.send(&request).status, 401);
    };
    thread::scope(|scope| {
        scope.spawn(|| stall(400));
        thread::sleep(Duration::from_millis(100));
        // All of these arrive during the first stall; the second one begins while some of them connect.
        for index in 0..30 {
            if index == 20 {
                scope.spawn(|| stall(1_500));
            }
            let request = request("GET", "lookup", &format!("r-{index}"), "");
            let router = &router;
            scope.spawn(move || assert_eq!(router.send(&request).text(), "s-1"));
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(600));
        store.set_emptied("b", true);
        log::wait_for_line("event=failure-domain-emptied domain=b");
    });
    assert_eq!(two.received().len(), 0);
}

#[test]
fn retries_and_resumed_streams_go_to_other_domains() {
    let (one, two, three) = (
        TestServer::start("s-1", FAILS),
        TestServer::echo("s-2"),
        TestServer::start("s-3", FAILS),
    );
    let store = store_with("plain", &[(&one, "a"), (&two, "b"), (&three, "c")]);
    store.set_emptied("b", true);
    let router = start_ready(&store, &[]);
    assert!(bodies(&router, "lookup").iter().all(|body| body == "oops"));
    assert_eq!(two.received().len(), 0);
    assert!(one.received().len() + three.received().len() > 20);

    let servers = ["s-1", "s-2", "s-3"].map(|id| TestServer::start(id, BREAKS_ONCE));
    let [one, two, three] = &servers;
    let store = store_with("engines", &[(one, "a"), (two, "b"), (three, "c")]);
    store.set_emptied("b", true);
    let router = start_ready(&store, &[]);
    for _stream in 0..10 {
        let response = router.send(&request("POST", "resumable", "r", ""));
        assert_eq!(response.text(), events(1, 6));
    }
    assert_eq!(two.received().len(), 0);
    // With the other domains emptied as well, a broken stream ends.
    store.set_emptied("c", true);
    wait_emptied(&router, 2);
    let response = router.send(&request("POST", "resumable", "r", ""));
    assert!(!response.is_complete);
}

#[test]
fn a_prompt_is_not_copied_from_an_emptied_domain() {
    let (one, two) = (
        TestServer::start("s-1", complete_stream),
        TestServer::start("s-2", complete_stream),
    );
    let store = store_with("engines", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    let send = |id: &str| {
        let request = request("POST", "stream", id, "");
        let request = request.replace("Key:", "Prompt: 7:900,8:900,9:10\r\nKey:");
        assert_eq!(router.send(&request).status, 200);
    };
    send("r-1");
    let (domain, other) = if one.received().is_empty() {
        ("b", &one)
    } else {
        ("a", &two)
    };
    store.set_emptied(domain, true);
    wait_emptied(&router, 1);
    send("r-2");
    let received = other.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].header("copy-from"), None);
}

#[test]
fn a_stream_under_way_finishes() {
    let server = TestServer::start("s-1", |req| {
        vec![
            stream_head(req),
            chunk(&event(1)),
            Step::Pause(Duration::from_secs(2)),
            chunk(&event(2)),
            send_text("0\r\n\r\n"),
        ]
    });
    let store = store_with("engines", &[(&server, "a")]);
    let router = start_ready(&store, &[]);
    thread::scope(|scope| {
        let stream = scope.spawn(|| router.send(&request("POST", "stream", "r", "")));
        wait_until("the stream has begun", || server.received().len() == 1);
        store.set_emptied("a", true);
        wait_emptied(&router, 1);
        let response = stream.join().expect("the caller does not panic");
        assert!(response.is_complete);
        assert_eq!(response.text(), events(1, 2));
    });
}

#[test]
fn a_service_in_emptied_domains_is_refused_at_once_with_a_reason() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    store.set_emptied("a", true);
    store.set_emptied("b", true);
    wait_emptied(&router, 2);
    let start = Instant::now();
    let response = router.send(&request("POST", "action", "r", ""));
    assert!(start.elapsed() < Duration::from_millis(200));
    assert_eq!(response.status, 503);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    assert!(response.header("retry-after").is_some());
    assert!(response.text().contains("\"failure-domains-emptied\""));
    let line = "requests_total{kind=\"action\",outcome=\"failure-domains-emptied\"} 1";
    assert!(metrics(&router).contains(line));
    assert_eq!(router.readiness(), 200);
}

#[rstest]
#[case::down(Trouble::Refused(503))]
#[case::silent(Trouble::Silent)]
fn a_router_that_the_store_turns_away_learns_of_an_order_from_a_peer(#[case] trouble: Trouble) {
    log::capture();
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let servers = [(&one, "a"), (&two, "b")];
    let own_store = store_with("plain", &servers);
    let store = store_with("plain", &servers);
    let peer = start_ready(&store, &[]);
    let router = start_ready(&own_store, &[&peer]);
    own_store.forget_waiting();
    own_store.set_trouble(trouble);
    store.set_emptied("b", true);
    assert!(wait_emptied(&router, 1) < LIMIT / 2);
    assert_only_first_serves(&router);
    log::wait_for_line("event=failure-domain-emptied domain=b source=peer revision age_ms");
    store.set_emptied("b", false);
    assert!(wait_emptied(&router, 0) < LIMIT / 2);
}

#[test]
fn routers_that_start_follow_an_order_from_their_first_request() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    store.set_emptied("b", true);
    let router = start_ready(&store, &[]);
    assert_only_first_serves(&router);
    // Without the store, a router learns the orders from a peer before it is ready.
    let unavailable = Arc::new(MemoryStore::default());
    unavailable.set_down(true);
    let second = start_ready(&unavailable, &[&router]);
    assert_only_first_serves(&second);
    assert_eq!(two.received().len(), 0);
}

#[test]
fn a_router_that_does_not_know_the_orders_is_not_ready() {
    let server = TestServer::echo("s-1");
    let store = store_with("plain", &[(&server, "a")]);
    store.set_order_listing(Some(Err(StoreError::Refused { status: 429 })));
    let router = start(&store, &[]);
    let send = || router.send(&request("GET", "lookup", "r", ""));
    wait_until("the configuration was read several times", || {
        let call = "store_calls_total{call=\"config\",result=\"answered\"} 3\n";
        metrics(&router).contains(call)
    });
    assert_eq!(router.readiness(), 503);
    let response = send();
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    store.set_order_listing(None);
    router.wait_ready();
    wait_until("requests are served", || send().status == 200);
}

#[test]
fn an_order_survives_a_lost_history_and_an_older_listing() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let older = store.order_listing();
    let router = start_ready(&store, &[]);
    store.set_emptied("b", true);
    store.discard_history();
    assert!(wait_emptied(&router, 1) < AIM);
    store.set_order_listing(Some(Ok(older)));
    store.discard_history();
    let listings = "store_calls_total{call=\"orders\",result=\"answered\"} 4\n";
    wait_until("older listings were read", || {
        metrics(&router).contains(listings)
    });
    assert_only_first_serves(&router);
    assert_eq!(wait_emptied(&router, 1).as_secs(), 0);
}

#[test]
fn changes_after_an_older_listing_are_not_missed() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    store.set_order_listing(Some(Ok(store.order_listing())));
    store.set_emptied("b", true);
    let router = start_ready(&store, &[]);
    assert!(wait_emptied(&router, 1) < AIM);
    assert_only_first_serves(&router);
}

#[test]
fn bad_orders_are_logged_and_leave_the_others_in_force() {
    log::capture();
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    store.set_order("b", true, false);
    store.set_order("", true, true);
    store.set_order("nowhere", true, true);
    wait_emptied(&router, 2);
    assert_only_first_serves(&router);
    log::wait_for_line("event=order-unreadable key=orders/b in_force=true");
    log::wait_for_line("event=order-unreadable key=orders/ in_force=false");
    log::wait_for_line("event=failure-domain-without-servers domain=nowhere");
}

#[test]
fn orders_are_followed_while_the_configuration_cannot_be_read() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    let router = start_ready(&store, &[]);
    store.spoil_config();
    store.set_emptied("b", true);
    assert!(wait_emptied(&router, 1) < AIM);
    // The same holds if it is read anew, as after a lost history.
    store.discard_history();
    store.set_emptied("b", false);
    assert!(wait_emptied(&router, 0) < AIM);
    store.set_emptied("b", true);
    assert!(wait_emptied(&router, 1) < AIM);
    assert_only_first_serves(&router);
    let mut newer = config(2);
    newer.routes.push(route("new", RouteKind::Idempotent));
    store.set_config(newer);
    wait_until("the next configuration is in force", || {
        router.send(&request("GET", "new", "r", "")).status == 200
    });
}

#[test]
fn without_the_setting_orders_are_neither_read_nor_followed() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let store = store_with("plain", &[(&one, "a"), (&two, "b")]);
    store.set_emptied("b", true);
    let follows = start_ready(&store, &[]);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[follows.ip]);
    router.wait_ready();
    wait_until("the peer is known", || {
        metrics(&router).contains("bulrushward_direct_routers 2\n")
    });
    assert!(bodies(&router, "lookup").contains(&"s-2".to_owned()));
    assert!(!metrics(&router).contains("call=\"orders\""));
}

/// The parts of a datagram that routers without orders know, as they are on the wire.
type EarlierParts = (EarlierMessage, EarlierTail);
/// Node, start, address, state version, requests in progress, sessions, crashes and other routers.
type EarlierMessage = (
    String,
    u64,
    SocketAddr,
    (Option<u64>, u64, u64),
    Vec<(u32, u32, u64)>,
    Vec<(u64, u32)>,
    Vec<()>,
    Vec<(SocketAddr, u32)>,
);
/// Return of the store, replaced servers and response times.
type EarlierTail = (Option<(u64, u32)>, Vec<u32>, Vec<(u32, u32, u32)>);

#[test]
fn routers_with_and_without_orders_read_each_others_datagrams() {
    log::capture();
    let server = TestServer::echo("s-1");
    let store = store_with("plain", &[(&server, "a")]);
    store.set_emptied("b", true);
    let earlier_ip = unique_loopback_ip();
    let socket = UdpSocket::bind((earlier_ip, 7_340)).expect("the port is free");
    socket
        .set_read_timeout(Some(support::WAIT_TIMEOUT))
        .expect("the time is valid");
    let mut settings = settings(unique_loopback_ip(), &[earlier_ip]);
    settings.orders_known = Some(LIMIT);
    let router = TestRouter::start_with(settings, &store);
    wait_emptied(&router, 1);
    let mut buf = vec![0; 8 << 10];
    let (mut message, tail) = loop {
        let (len, _from) = socket.recv_from(&mut buf).expect("a datagram arrives");
        // Earlier routers ignore what follows the parts that they know.
        let known: EarlierParts =
            postcard::from_bytes(&buf[..len]).expect("the parts are readable");
        let (parts, rest) =
            postcard::take_from_bytes::<EarlierParts>(&buf[..len]).expect("the parts are readable");
        assert_eq!(known, parts);
        let orders: Option<EmptiedReport> = postcard::from_bytes(rest).expect("the orders follow");
        if orders.is_some_and(|orders| orders.emptied.iter().any(|entry| entry.domain == "b")) {
            break parts;
        }
    };
    assert_eq!(message.2, router.address(FLEET_STATE_PORT));
    message.0 = "earlier".to_owned();
    message.2.set_ip(earlier_ip);
    let bytes = postcard::to_stdvec(&(message, tail)).expect("the parts are valid");
    let to = router.address(7_340);
    socket.send_to(&bytes, to).expect("the datagram is sent");
    let peer = SocketAddr::new(earlier_ip, FLEET_STATE_PORT);
    log::wait_for_line(&format!("event=peer-known peer={peer}"));
    assert_eq!(wait_emptied(&router, 1).as_secs(), 0);
    // A router of an earlier version cannot read the snapshot, so it must not get one.
    let status = |path: &str| {
        let response = caller::get(router.address(FLEET_STATE_PORT), path);
        response.map(|response| response.status)
    };
    assert_eq!(status("/knowledge/"), Some(404));
    assert_eq!(status("/fleet-state/"), Some(200));
}
