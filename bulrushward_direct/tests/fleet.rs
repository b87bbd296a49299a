//! Tests of what a router believes: configurations, servers, peers, and of its planned stop.

mod support;

use std::{
    io::Write,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_direct::RouteKind;
use support::{
    CALLERS_PORT, TestRouter, caller, config, own_ip,
    platform::MemoryStore,
    record, request, route, router_before,
    server::{Step, TestServer, ok},
    wait_until,
};

/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

fn status(router: &TestRouter, route: &str) -> u16 {
    router.ask(&request("GET", route, "r", "")).status
}

#[test]
fn a_new_configuration_is_in_force_within_its_time_and_an_older_one_never_returns() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    assert_eq!(status(&router, "new"), 404);
    let mut newer = config(5);
    newer.routes.push(route("new", RouteKind::Idempotent));
    router.store.set_config(newer);
    let start = Instant::now();
    wait_until("the route is there", || status(&router, "new") == 200);
    assert!(start.elapsed() < IN_FORCE);
    router.store.set_config(config(4));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(status(&router, "new"), 200);
}

#[test]
fn changes_are_known_sooner_where_they_must_be() {
    let known = Duration::from_millis(500);
    let mut settings = support::settings(own_ip(), &[]);
    settings.config_known = known;
    settings.leaving_known = known;
    let store = MemoryStore::with(config(1));
    let router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    let metrics = || {
        let response = caller::get(router.address(7_341), "/metrics");
        response.expect("it listens").text()
    };
    let server = TestServer::echo("s-1");
    for version in 2..6 {
        store.set_config(config(version));
        store.put(&format!("s-{version}"), record("plain", server.address));
        let start = Instant::now();
        let config = format!("bulrushward_direct_config_version {version}\n");
        let servers = format!("bulrushward_direct_servers {}\n", version - 1);
        wait_until("it is known", || {
            let text = metrics();
            text.contains(&config) && text.contains(&servers)
        });
        assert!(start.elapsed() < known, "version {version}");
    }
}

#[test]
fn a_revoked_key_is_refused_within_its_time() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    assert_eq!(status(&router, "lookup"), 200);
    let mut revoked = config(2);
    revoked.organisations[0].keys = vec!["other".to_owned()];
    router.store.set_config(revoked);
    let start = Instant::now();
    wait_until("the key is refused", || status(&router, "lookup") == 401);
    assert!(start.elapsed() < IN_FORCE);
}

#[test]
fn a_series_of_configurations_ends_at_the_last() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    for version in 2..40 {
        let mut newer = config(version);
        newer
            .routes
            .push(route(&format!("v{version}"), RouteKind::Idempotent));
        router.store.set_config(newer);
        std::thread::sleep(Duration::from_millis(10));
    }
    let start = Instant::now();
    wait_until("the last is in force", || status(&router, "v39") == 200);
    assert!(start.elapsed() < IN_FORCE);
    assert_eq!(status(&router, "v20"), 404);
}

#[test]
fn a_leaving_server_gets_nothing_after_its_time() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_before("plain", &[&one, &two]);
    let mut leaving = record("plain", one.address);
    leaving.is_leaving = true;
    router.store.put("s-1", leaving);
    std::thread::sleep(Duration::from_millis(1_200));
    let before = one.received().len();
    for index in 0..20 {
        assert_eq!(
            router
                .ask(&request("GET", "lookup", &format!("r-{index}"), ""))
                .text(),
            "s-2"
        );
    }
    assert_eq!(one.received().len(), before);
}

#[test]
fn a_store_that_dropped_its_history_is_read_again() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_before("plain", &[&one]);
    router.store.put("s-2", record("plain", two.address));
    router.store.remove("s-1");
    router.store.drop_history();
    let start = Instant::now();
    wait_until("the new server is used", || {
        router.ask(&request("GET", "lookup", "r", "")).text() == "s-2"
    });
    assert!(start.elapsed() < IN_FORCE);
}

#[test]
fn requests_are_served_while_the_store_is_down() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    router.store.set_down(true);
    std::thread::sleep(Duration::from_millis(300));
    for index in 0..20 {
        assert_eq!(
            router
                .ask(&request("POST", "action", &format!("r-{index}"), ""))
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
    store.hide_servers(true);
    let router = TestRouter::start_at(own_ip(), &store, &[]);
    wait_until("it has a configuration", || {
        let metrics = caller::get(router.address(7_341), "/metrics");
        let line = "bulrushward_direct_config_version 1\n";
        metrics.is_some_and(|response| response.text().contains(line))
    });
    assert_eq!(router.readiness(), 503);
    store.hide_servers(false);
    router.wait_ready();
    assert_eq!(status(&router, "lookup"), 200);
}

#[test]
fn a_router_that_starts_without_the_store_learns_from_a_peer() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    let away = Arc::new(MemoryStore::default());
    away.set_down(true);
    let late = TestRouter::start_at(own_ip(), &away, &[router.ip]);
    late.wait_ready();
    wait_until("it knows the server", || status(&late, "lookup") == 200);
}

#[test]
fn a_router_that_the_store_turns_away_gets_changes_from_a_peer() {
    let (one, two) = (TestServer::echo("s-1"), TestServer::echo("s-2"));
    let router = router_before("plain", &[&one]);
    let copy = MemoryStore::with(config(1));
    let turned_away = TestRouter::start_at(own_ip(), &copy, &[router.ip]);
    turned_away.wait_ready();
    copy.set_down(true);
    let mut newer = config(9);
    newer.organisations[0].keys.push("key-2".to_owned());
    newer.routes.push(route("new", RouteKind::Idempotent));
    router.store.set_config(newer);
    router.store.put("s-2", record("plain", two.address));
    router.store.remove("s-1");
    let start = Instant::now();
    wait_until("it has route and server", || {
        turned_away.ask(&request("GET", "new", "r", "")).text() == "s-2"
    });
    assert!(start.elapsed() < Duration::from_secs(4));
}

#[test]
fn a_planned_stop_answers_what_was_read_and_is_not_ready_meanwhile() {
    let server = TestServer::start("s-1", |req| {
        vec![Step::Pause(Duration::from_millis(1_500)), ok(req, "late")]
    });
    let mut router = router_before("plain", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = request("POST", "action", "r-1", "");
    stream.write_all(sent.as_bytes()).expect("the router reads");
    wait_until("the request arrives", || server.received().len() == 1);
    router.stop();
    wait_until("it is not ready", || router.readiness() == 503);
    let response = caller::read_answer(&mut stream);
    assert_eq!((response.status, response.text().as_str()), (200, "late"));
    assert_eq!(response.header("connection"), Some("close"));
    router.ended();
}

#[test]
fn a_router_that_stops_takes_connections_until_the_platform_knows() {
    let server = TestServer::echo("s-1");
    let mut router = router_before("plain", &[&server]);
    let idle = caller::connect(router.address(CALLERS_PORT));
    router.stop();
    wait_until("it is not ready", || router.readiness() == 503);
    std::thread::sleep(Duration::from_millis(1_500));
    let response = router.ask(&request("POST", "action", "r-1", ""));
    assert_eq!(response.status, 200);
    drop(idle);
    let start = Instant::now();
    router.ended();
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "it ends when nothing is left"
    );
}

#[test]
fn a_connection_serves_many_requests() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    for index in 0..50 {
        let sent = request("POST", "action", &format!("r-{index}"), "body");
        stream.write_all(sent.as_bytes()).expect("the router reads");
        assert_eq!(caller::read_answer(&mut stream).text(), "s-1");
    }
}

#[test]
fn metrics_are_served() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    assert_eq!(status(&router, "lookup"), 200);
    let response = caller::get(router.address(7_341), "/metrics").expect("it listens");
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
fn a_store_that_fails_shows_in_the_metrics() {
    let server = TestServer::echo("s-1");
    let router = router_before("plain", &[&server]);
    router.store.set_down(true);
    wait_until("failed calls are counted", || {
        let metrics = caller::get(router.address(7_341), "/metrics").expect("it listens");
        let line = "store_calls_total{call=\"config\",result=\"refused\"}";
        metrics.text().contains(line)
    });
    wait_until("the view grows old", || {
        let metrics = caller::get(router.address(7_341), "/metrics").expect("it listens");
        let text = metrics.text();
        let age = text
            .lines()
            .find_map(|line| line.strip_prefix("bulrushward_direct_servers_view_age_ms "));
        age.and_then(|age| age.parse().ok())
            .is_some_and(|age: u64| age > 300)
    });
}

/// Crashes on one body and serves all others.
fn crashes_on_poison(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req| {
        if req.body == b"poison" {
            return vec![Step::Crash];
        }
        vec![ok(req, "fine")]
    })
}

/// Returns when the servers got the request that crashes them, in order.
fn poisoned(servers: &[TestServer]) -> Vec<Instant> {
    let received = servers.iter().flat_map(TestServer::received);
    let mut at: Vec<_> = received
        .filter(|req| req.body == b"poison")
        .map(|req| req.at)
        .collect();
    at.sort_unstable();
    at
}

/// Time after the third crash from which on the fleet is held to the bound.
const CONTAINED: Duration = Duration::from_secs(3);
/// Arrivals after that which are allowed.
const MAX_LATE: usize = 3;

#[test]
fn a_request_that_crashes_servers_is_contained_across_the_fleet() {
    let servers: Vec<_> = (0..30).map(crashes_on_poison).collect();
    let router = router_before("plain", &servers.iter().collect::<Vec<_>>());
    let store = Arc::clone(&router.store);
    let second = TestRouter::start_at(own_ip(), &store, &[router.ip]);
    second.wait_ready();
    let start = Instant::now();
    for round in 0.. {
        let router = [&router, &second][round % 2];
        router.ask(&request("GET", "lookup", &format!("p-{round}"), "poison"));
        // Other requests find the servers that crashed.
        for index in 0..30 {
            let good = request("GET", "lookup", &format!("g-{round}-{index}"), "good");
            assert_eq!(router.ask(&good).text(), "fine");
        }
        if start.elapsed() > CONTAINED * 2 {
            break;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let arrivals = poisoned(&servers);
    assert!(arrivals.len() >= 3, "the request is tried at first");
    let late = arrivals
        .iter()
        .filter(|at| **at > arrivals[2] + CONTAINED)
        .count();
    assert!(late <= MAX_LATE, "{late} of {}", arrivals.len());
    let refused = router.ask(&request("GET", "lookup", "last", "poison"));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
}

#[test]
fn lost_answers_quarantine_nothing() {
    let loses = |_: &support::server::Received| vec![Step::Reset];
    let (one, two) = (
        TestServer::start("s-1", loses),
        TestServer::start("s-2", loses),
    );
    let router = router_before("plain", &[&one, &two]);
    for index in 0..30 {
        let response = router.ask(&request("GET", "lookup", &format!("r-{index}"), ""));
        assert_eq!(response.status, 502);
    }
}
