//! Tests of the fleet state (configuration, servers, peers), of the graceful stop and of the metrics.

mod support;

use std::{
    io::{Read, Write},
    net::{IpAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_direct::RouteKind;
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::{
    CALLERS_PORT, TestRouter, caller, config,
    platform::MemoryStore,
    record, request, route, router_with_servers,
    server::{Received, Step, TestServer, chunk, event, ok_response, send_text, stream_head},
    unique_loopback_ip, wait_until,
};

/// Time within which a change must be active.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(2);

fn status(router: &TestRouter, route: &str) -> u16 {
    router.send(&request("GET", route, "r", "")).status
}

#[test]
fn a_new_configuration_is_activated_in_time_and_an_older_one_is_ignored() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(status(&router, "new"), 404);
    let mut newer = config(5);
    newer.routes.push(route("new", RouteKind::Idempotent));
    router.store.set_config(newer);
    let start = Instant::now();
    wait_until("the new route is served", || status(&router, "new") == 200);
    assert!(start.elapsed() < ACTIVATION_LIMIT);
    router.store.set_config(config(4));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(status(&router, "new"), 200);
}

#[test]
fn shorter_propagation_limits_are_met() {
    let limit = Duration::from_millis(500);
    let mut settings = support::settings(unique_loopback_ip(), &[]);
    settings.config_known = limit;
    settings.leaving_known = limit;
    let store = MemoryStore::with(config(1));
    let router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    let metrics = || {
        let response = caller::get(router.address(7_341), "/metrics");
        response.expect("the router serves metrics").text()
    };
    let server = TestServer::echo("s-1");
    for version in 2..6 {
        store.set_config(config(version));
        store.put(&format!("s-{version}"), record("plain", server.address));
        let start = Instant::now();
        let config = format!("bulrushward_direct_config_version {version}\n");
        let servers = format!("bulrushward_direct_servers {}\n", version - 1);
        wait_until("configuration and server are known", || {
            let text = metrics();
            text.contains(&config) && text.contains(&servers)
        });
        assert!(start.elapsed() < limit, "version {version}");
    }
}

#[test]
fn a_revoked_key_is_refused_in_time() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(status(&router, "lookup"), 200);
    let mut revoked = config(2);
    revoked.organisations[0].keys = vec!["other".to_owned()];
    router.store.set_config(revoked);
    let start = Instant::now();
    wait_until("the key is refused", || status(&router, "lookup") == 401);
    assert!(start.elapsed() < ACTIVATION_LIMIT);
}

#[test]
fn the_last_of_a_series_of_configurations_is_activated() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    for version in 2..40 {
        let mut newer = config(version);
        newer
            .routes
            .push(route(&format!("v{version}"), RouteKind::Idempotent));
        router.store.set_config(newer);
        std::thread::sleep(Duration::from_millis(10));
    }
    let start = Instant::now();
    wait_until("the last configuration is active", || {
        status(&router, "v39") == 200
    });
    assert!(start.elapsed() < ACTIVATION_LIMIT);
    assert_eq!(status(&router, "v20"), 404);
}

#[test]
fn a_leaving_server_stops_receiving_requests() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one, &two]);
    let mut leaving = record("plain", one.address);
    leaving.is_leaving = true;
    router.store.put("s-1", leaving);
    std::thread::sleep(Duration::from_millis(1_200));
    let before = one.received().len();
    for index in 0..20 {
        assert_eq!(
            router
                .send(&request("GET", "lookup", &format!("r-{index}"), ""))
                .text(),
            "s-2"
        );
    }
    assert_eq!(one.received().len(), before);
}

#[test]
fn servers_are_listed_again_after_the_store_discarded_its_history() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one]);
    router.store.put("s-2", record("plain", two.address));
    router.store.remove("s-1");
    router.store.discard_history();
    let start = Instant::now();
    wait_until("the new server is used", || {
        router.send(&request("GET", "lookup", "r", "")).text() == "s-2"
    });
    assert!(start.elapsed() < ACTIVATION_LIMIT);
}

#[test]
fn requests_are_served_while_the_store_is_down() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    router.store.set_down(true);
    std::thread::sleep(Duration::from_millis(300));
    for index in 0..20 {
        assert_eq!(
            router
                .send(&request("POST", "action", &format!("r-{index}"), ""))
                .status,
            200
        );
    }
    assert_eq!(router.readiness(), 200);
}

#[test]
fn a_router_that_knows_no_servers_yet_is_not_ready() {
    let server = TestServer::echo("s-1");
    let store = MemoryStore::with(config(1));
    store.put("s-1", record("plain", server.address));
    store.fail_server_listing(true);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the router has a configuration", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        let line = "bulrushward_direct_config_version 1\n";
        metrics.is_some_and(|response| response.text().contains(line))
    });
    assert_eq!(router.readiness(), 503);
    store.fail_server_listing(false);
    router.wait_ready();
    assert_eq!(status(&router, "lookup"), 200);
}

#[test]
fn a_router_that_starts_without_the_store_fetches_the_fleet_state_from_a_peer() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let unavailable_store = Arc::new(MemoryStore::default());
    unavailable_store.set_down(true);
    let late_router = TestRouter::start_at(unique_loopback_ip(), &unavailable_store, &[router.ip]);
    late_router.wait_ready();
    wait_until("the router knows the server", || {
        status(&late_router, "lookup") == 200
    });
}

#[test]
fn a_router_rejected_by_the_store_fetches_changes_from_a_peer() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one]);
    let second_store = MemoryStore::with(config(1));
    let rejected_router = TestRouter::start_at(unique_loopback_ip(), &second_store, &[router.ip]);
    rejected_router.wait_ready();
    second_store.set_down(true);
    let mut newer = config(9);
    newer.organisations[0].keys.push("key-2".to_owned());
    newer.routes.push(route("new", RouteKind::Idempotent));
    router.store.set_config(newer);
    router.store.put("s-2", record("plain", two.address));
    router.store.remove("s-1");
    let start = Instant::now();
    wait_until("the router knows the new route and server", || {
        rejected_router.send(&request("GET", "new", "r", "")).text() == "s-2"
    });
    assert!(start.elapsed() < Duration::from_secs(4));
}

#[test]
fn a_stopping_router_is_not_ready_and_completes_requests_in_progress() {
    let server = TestServer::start("s-1", |req| {
        vec![
            Step::Pause(Duration::from_millis(1_500)),
            ok_response(req, "late"),
        ]
    });
    let mut router = router_with_servers("plain", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "action", "r-1", "");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("the request arrives", || server.received().len() == 1);
    router.stop();
    wait_until("the router is not ready", || router.readiness() == 503);
    let response = caller::read_response(&mut stream);
    assert_eq!((response.status, response.text().as_str()), (200, "late"));
    assert_eq!(response.header("connection"), Some("close"));
    router.join();
}

#[test]
fn a_stopping_router_accepts_connections_until_the_platform_removes_it() {
    let server = TestServer::echo("s-1");
    let mut router = router_with_servers("plain", &[&server]);
    let idle = caller::connect(router.address(CALLERS_PORT));
    router.stop();
    wait_until("the router is not ready", || router.readiness() == 503);
    std::thread::sleep(Duration::from_millis(1_500));
    let response = router.send(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 200);
    drop(idle);
    let start = Instant::now();
    router.join();
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "the router ends once no request is left"
    );
}

// Guards against abandoning a request that came late on a connection opened during a stop.
#[test]
fn a_stopping_router_closes_unused_connections_when_it_accepts_no_more() {
    let server = TestServer::echo("s-1");
    let mut router = router_with_servers("plain", &[&server]);
    router.stop();
    wait_until("the router is not ready", || router.readiness() == 503);
    let mut unused = caller::connect(router.address(CALLERS_PORT));
    let start = Instant::now();
    let end = unused.read(&mut [0; 16]);
    assert_eq!(end.expect("the connection is closed in order"), 0);
    assert!(start.elapsed() < Duration::from_secs(4));
    router.join();
    assert!(start.elapsed() < Duration::from_secs(4));
}

// Guards against giving up, or running again, the work of a server that has only stopped to report to the store.
#[rstest]
#[case::action("plain", "action")]
#[case::stream("engines", "stream")]
#[case::resumable_stream("engines", "resumable")]
fn a_server_whose_entry_is_gone_completes_its_work(#[case] service: &str, #[case] route: &str) {
    let slow = |req: &Received| {
        if req.line.contains("action") {
            return vec![
                Step::Pause(Duration::from_millis(1_800)),
                ok_response(req, "done"),
            ];
        }
        let mut steps = vec![stream_head(req)];
        for id in 1..=6 {
            steps.extend([chunk(&event(id)), Step::Pause(Duration::from_millis(300))]);
        }
        steps.push(send_text("0\r\n\r\n"));
        steps
    };
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, slow));
    let router = router_with_servers(service, &[&servers[0], &servers[1]]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    stream
        .write_all(request("POST", route, "r-1", "").as_bytes())
        .expect("the request can be sent");
    let runs = || servers.each_ref().map(|server| server.received().len());
    wait_until("the request arrives", || runs().contains(&1));
    let at_begin = runs();
    let running = usize::from(at_begin[1] == 1);
    router.store.remove(&servers[running].id);
    wait_until("the router knows one server", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        metrics.is_some_and(|response| response.text().contains("bulrushward_direct_servers 1\n"))
    });
    let response = caller::read_response(&mut stream);
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(runs(), at_begin);
}

// Guards against resetting connections that were opened, but not accepted yet, when the router accepts no more.
#[test]
fn a_stopping_router_answers_the_connections_that_wait_to_be_accepted() {
    const CALLERS: usize = 30;
    let server = TestServer::echo("s-1");
    let mut router = router_with_servers("plain", &[&server]);
    let address = router.address(CALLERS_PORT);
    router.stop();
    wait_until("the router is not ready", || router.readiness() == 503);
    std::thread::sleep(Duration::from_secs(2));
    // The router cannot accept anything until after the time at which it accepts no more.
    let mut stalling = caller::connect(address);
    let stall = request("GET", "lookup", "r-0", "").replacen("Key:", "Stall-Ms: 1500\r\nKey:", 1);
    stalling
        .write_all(stall.as_bytes())
        .expect("the request can be sent");
    std::thread::sleep(Duration::from_millis(100));
    let waiting: Vec<_> = (0..CALLERS)
        .map(|index| {
            let mut stream = caller::connect(address);
            let sent = request("POST", "action", &format!("r-{index}"), "");
            stream
                .write_all(sent.as_bytes())
                .expect("the request can be sent");
            stream
        })
        .collect();
    for mut stream in waiting {
        let response = caller::read_response(&mut stream);
        assert!([200, 503].contains(&response.status), "{response:?}");
    }
    router.join();
}

// Guards against abandoning a request that was complete only late in a stop.
#[rstest]
#[case::in_its_head(12)]
#[case::in_its_body(usize::MAX)]
fn a_request_that_is_complete_only_late_in_a_stop_is_refused(#[case] split: usize) {
    let server = TestServer::echo("s-1");
    let mut config = config(1);
    config.routes[1].timeout = Duration::from_secs(9);
    let store = MemoryStore::with(config);
    store.put("s-1", record("plain", server.address));
    let mut router = TestRouter::start(&store);
    let sent = request("POST", "action", "r-1", "body").replace("2500", "9000");
    let (early, late) = sent.split_at(split.min(sent.len() - 2));
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    stream
        .write_all(early.as_bytes())
        .expect("the first part can be sent");
    // The router reads the first part before a later request.
    assert_eq!(status(&router, "lookup"), 200);
    router.stop();
    wait_until("the router accepts no more", || {
        TcpStream::connect(router.address(CALLERS_PORT)).is_err()
    });
    stream
        .write_all(late.as_bytes())
        .expect("the rest can be sent");
    let response = caller::read_response(&mut stream);
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    assert_eq!(server.received().len(), 1);
    router.join();
}

// Guards against losing the end of a response in the kernel when its caller sends the next request early.
#[test]
fn a_slow_caller_that_sends_ahead_receives_its_response_when_the_router_stops() {
    const BODY_BYTES: usize = 300_000;
    let server = TestServer::start("s-1", |req| vec![ok_response(req, &"x".repeat(BODY_BYTES))]);
    let mut router = router_with_servers("plain", &[&server]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
    socket
        .set_recv_buffer_size(4 << 10)
        .expect("the buffer size can be set");
    let address = router.address(CALLERS_PORT);
    socket.connect(&address.into()).expect("the router listens");
    let mut stream = TcpStream::from(socket);
    let sent = request("POST", "action", "r-1", "");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    let mut received = vec![0; 1_024];
    stream
        .read_exact(&mut received)
        .expect("the response begins");
    router.stop();
    wait_until("the router is not ready", || router.readiness() == 503);
    let next = request("POST", "action", "r-2", "");
    stream
        .write_all(next.as_bytes())
        .expect("the next request can be sent");
    // Any response to the next request has arrived when the router has ended its other work.
    wait_until("the router accepts no more", || {
        TcpStream::connect(address).is_err()
    });
    let end = stream.read_to_end(&mut received);
    assert!(end.is_ok(), "{end:?} after {} bytes", received.len());
    assert!(received.ends_with(&[b'x'; 1_024]));
    assert!(received.len() > BODY_BYTES);
    drop(stream);
    router.join();
}

// Guards against routers that count as alone, and take the retries of a whole fleet, while they are cut off from it.
#[test]
fn a_router_counts_each_router_that_its_settings_name_once() {
    let ips = [1, 2, 3].map(|host| IpAddr::from([127, 0, 0, host]));
    assert_eq!(support::settings(ips[0], &[]).configured_routers(), 1);
    assert_eq!(support::settings(ips[0], &ips[..1]).configured_routers(), 1);
    assert_eq!(support::settings(ips[0], &ips).configured_routers(), 3);
    let twice = [ips[1], ips[2], ips[1]];
    assert_eq!(support::settings(ips[0], &twice).configured_routers(), 3);
}

#[test]
fn a_connection_serves_many_requests() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    for index in 0..50 {
        let sent = request("POST", "action", &format!("r-{index}"), "body");
        stream
            .write_all(sent.as_bytes())
            .expect("the request can be sent");
        assert_eq!(caller::read_response(&mut stream).text(), "s-1");
    }
}

#[test]
fn metrics_are_served() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(status(&router, "lookup"), 200);
    let response =
        caller::get(router.address(7_341), "/metrics").expect("the router serves metrics");
    let text = response.text();
    for line in [
        "requests_total{kind=\"lookup\",outcome=\"answered\"} 1",
        "hops_total 1",
        "connections_open 1",
        "connections_idle 1",
        "connections_opened_total 1",
        "answer_seconds_count 1",
        "repeats_total 0",
        "repeats_refused_total 0",
        "repeats_left{service=\"plain\"}",
        "store_calls_total{call=\"config\",result=\"answered\"} 1",
        "store_calls_total{call=\"servers\",result=\"answered\"} 1",
        "config_age_ms",
        "config_view_age_ms",
        "servers_view_age_ms",
        "log_lines_dropped 0",
        "resident_memory_bytes",
    ] {
        let line = format!("bulrushward_direct_{line}");
        assert!(text.contains(&line), "{line} in {text}");
    }
    let memory = text
        .lines()
        .find_map(|line| line.strip_prefix("bulrushward_direct_resident_memory_bytes "));
    assert!(memory.is_some_and(|bytes| bytes != "0"));
}

#[test]
fn store_failures_show_in_the_metrics() {
    let server = TestServer::echo("s-1");
    let router = router_with_servers("plain", &[&server]);
    router.store.set_down(true);
    wait_until("failed calls are counted", || {
        let metrics =
            caller::get(router.address(7_341), "/metrics").expect("the router serves metrics");
        let line = "store_calls_total{call=\"config\",result=\"refused\"}";
        metrics.text().contains(line)
    });
    wait_until("the age of the view grows", || {
        let metrics =
            caller::get(router.address(7_341), "/metrics").expect("the router serves metrics");
        let text = metrics.text();
        let age = text
            .lines()
            .find_map(|line| line.strip_prefix("bulrushward_direct_servers_view_age_ms "));
        age.and_then(|age| age.parse().ok())
            .is_some_and(|age: u64| age > 300)
    });
}

/// Starts a server that crashes on one body and serves all others.
fn crashing_server(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req| {
        if req.body == b"poison" {
            return vec![Step::Crash];
        }
        vec![ok_response(req, "fine")]
    })
}

/// Returns the times at which servers received the request that crashes them, in order.
fn crash_request_times(servers: &[TestServer]) -> Vec<Instant> {
    let received = servers.iter().flat_map(TestServer::received);
    let mut at: Vec<_> = received
        .filter(|req| req.body == b"poison")
        .map(|req| req.at)
        .collect();
    at.sort_unstable();
    at
}

/// Time after the third crash from which arrivals are limited.
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
/// Number of arrivals allowed after that time.
const MAX_LATE_ARRIVALS: usize = 3;

#[test]
fn a_request_that_crashes_servers_is_quarantined_across_the_fleet() {
    let servers: Vec<_> = (0..30).map(crashing_server).collect();
    let router = router_with_servers("plain", &servers.iter().collect::<Vec<_>>());
    let store = Arc::clone(&router.store);
    let second = TestRouter::start_at(unique_loopback_ip(), &store, &[router.ip]);
    second.wait_ready();
    let start = Instant::now();
    for round in 0.. {
        let router = [&router, &second][round % 2];
        router.send(&request("GET", "lookup", &format!("p-{round}"), "poison"));
        // Other requests find the crashed servers unreachable.
        for index in 0..30 {
            let good = request("GET", "lookup", &format!("g-{round}-{index}"), "good");
            assert_eq!(router.send(&good).text(), "fine");
        }
        if start.elapsed() > QUARANTINE_DELAY * 2 {
            break;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let arrivals = crash_request_times(&servers);
    assert!(
        arrivals.len() >= 3,
        "the request is sent to servers at first"
    );
    let late_arrivals = arrivals
        .iter()
        .filter(|at| **at > arrivals[2] + QUARANTINE_DELAY)
        .count();
    assert!(
        late_arrivals <= MAX_LATE_ARRIVALS,
        "{late_arrivals} of {}",
        arrivals.len()
    );
    let refused = router.send(&request("GET", "lookup", "last", "poison"));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
}

/// Time in which gossip reaches the other router.
const GOSSIP_TIME: Duration = Duration::from_secs(1);

#[test]
fn a_replaced_server_receives_one_request_of_the_fleet() {
    let other = |req: &support::server::Received| {
        vec![support::server::response(req, "421 Misdirected", "", "")]
    };
    let (one, two) = (TestServer::start("s-1", other), TestServer::echo("s-2"));
    let router = router_with_servers("plain", &[&one, &two]);
    let second = TestRouter::start_at(unique_loopback_ip(), &router.store, &[router.ip]);
    second.wait_ready();
    wait_until("a request meets the replaced server", || {
        assert_eq!(status(&router, "lookup"), 200);
        !one.received().is_empty()
    });
    std::thread::sleep(GOSSIP_TIME);
    for _round in 0..20 {
        for router in [&router, &second] {
            assert_eq!(status(router, "lookup"), 200);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(one.received().len(), 1);
}

#[test]
fn lost_responses_do_not_quarantine_a_request() {
    let resets = |_: &support::server::Received| vec![Step::Reset];
    let (one, two) = (
        TestServer::start("s-1", resets),
        TestServer::start("s-2", resets),
    );
    let router = router_with_servers("plain", &[&one, &two]);
    for index in 0..30 {
        let response = router.send(&request("GET", "lookup", &format!("r-{index}"), ""));
        assert_eq!(response.status, 502);
    }
}
