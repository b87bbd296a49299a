//! Tests of servers that are cold after a start and break if they get too many requests.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_direct::{ColdStart, FleetConfig, RouteKind, ServerRecord};
use rstest::rstest;
use support::{
    HOST, KEY, TestRouter,
    caller::Response,
    config, log,
    platform::MemoryStore,
    record, request, route,
    server::{Received, Step, TestServer, complete_stream, ok_response, response},
    unique_loopback_ip, wait_until,
};

/// Requests per second that a cold server can run in most tests.
const RATE: f64 = 3.0;

fn config_with(requests_per_second: f64) -> FleetConfig {
    let mut config = config(1);
    let mut less_urgent = route("less-urgent", RouteKind::Idempotent);
    less_urgent.priority += 1;
    config.routes.push(less_urgent);
    for service in &mut config.services {
        service.cold_start = Some(ColdStart {
            duration: Duration::from_secs(30),
            requests_per_second,
        });
    }
    config
}

fn cold_record(service: &str, server: &TestServer, cold_for: Duration) -> ServerRecord {
    ServerRecord {
        cold_for,
        ..record(service, server.address)
    }
}

const LONG: Duration = Duration::from_secs(30);

fn serve(req: &Received) -> Vec<Step> {
    if req.line.contains("stream") {
        complete_stream(req)
    } else {
        vec![ok_response(req, "served")]
    }
}

fn send(router: &TestRouter, route: &str) -> Response {
    router.send(&request("GET", route, "r-1", ""))
}

/// Waits until a router that has just started takes its share of a cold server.
fn wait_for_share(router: &TestRouter, route: &str) {
    wait_until("the router has a share", || {
        send(router, route).status == 200
    });
}

fn metric(router: &TestRouter, name: &str) -> Option<String> {
    let metrics = support::caller::get(router.address(7_341), "/metrics")?.text();
    let mut lines = metrics.lines();
    lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
}

/// Returns the largest number of requests that a server received within a second.
fn worst_second(server: &TestServer) -> usize {
    let times: Vec<Instant> = server.received().iter().map(|req| req.at).collect();
    let within = |from: &Instant| {
        let until = *from + Duration::from_secs(1);
        times
            .iter()
            .filter(|at| **at >= *from && **at < until)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn assert_refused(refused: &Response, within: Duration) {
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused
            .text()
            .contains("\"cold-servers\",\"outcome\":\"not-run\"")
    );
    let retry_after = refused
        .header("retry-after")
        .expect("the refusal says when to come back");
    let retry_after: f64 = retry_after.parse().expect("it is a number");
    assert!(retry_after <= within.as_secs_f64(), "{retry_after}");
}

#[rstest]
fn a_server_that_states_in_its_entry_that_it_is_cold_gets_what_it_bears(
    #[values("lookup", "stream")] route: &str,
) {
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let server = TestServer::start("s-1", serve);
    let store = MemoryStore::with(config_with(RATE));
    store.put("s-1", cold_record(service, &server, LONG));
    let router = TestRouter::start(&store);
    // It does not know yet how many others there are.
    wait_until("the server is known", || {
        metric(&router, "bulrushward_direct_cold_servers").as_deref() == Some("1")
    });
    wait_for_share(&router, route);
    let mut refused = None;
    wait_until("the units are used up", || {
        let response = send(&router, route);
        refused = (response.status != 200).then_some(response);
        refused.is_some()
    });
    let start = Instant::now();
    assert_refused(&send(&router, route), Duration::from_millis(1_400));
    assert!(start.elapsed() < Duration::from_millis(500));
    wait_until("ten requests were served", || {
        send(&router, route);
        server.received().len() >= 10
    });
    assert!(worst_second(&server) <= RATE as usize + 1);
    assert!(
        metric(&router, "bulrushward_direct_cold_skips_total").is_some_and(|skips| skips != "0")
    );
    // Its next entry says that it is warm: the allowance doubles until it ends.
    store.put("s-1", cold_record(service, &server, Duration::ZERO));
    wait_until("thirty requests in a row are served", || {
        (0..30).all(|_| send(&router, route).status == 200)
    });
}

/// A server that restarted cold got a whole allowance on top of what it had got before its new entry was known.
#[test]
fn what_a_server_got_before_its_restart_was_known_counts() {
    // One request in some ten seconds.
    let store = MemoryStore::with(config_with(0.1));
    let server = TestServer::start("s-1", serve);
    store.put("s-1", record("plain", server.address));
    let router = TestRouter::start(&store);
    wait_until("the server is used", || {
        send(&router, "lookup").status == 200
    });
    // A router that has just started takes no share of a cold server.
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(send(&router, "lookup").status, 200);
    let entry = ServerRecord {
        started_ms: 2,
        ..cold_record("plain", &server, LONG)
    };
    store.put("s-1", entry);
    wait_until("the restart is known", || {
        metric(&router, "bulrushward_direct_cold_servers").is_some_and(|count| count == "1")
    });
    assert_refused(&send(&router, "lookup"), Duration::from_secs(11));
}

#[test]
fn a_response_shows_that_a_server_has_turned_cold() {
    let server = TestServer::start("s-1", |req| {
        vec![response(
            req,
            "200 OK",
            "Signed: s\r\nCold-Ms: 30000\r\n",
            "",
        )]
    });
    let store = MemoryStore::with(config_with(RATE));
    store.put("s-1", record("plain", server.address));
    let router = TestRouter::start(&store);
    wait_for_share(&router, "lookup");
    wait_until("a request is refused", || {
        send(&router, "lookup").status == 503
    });
    wait_until("eight requests were served", || {
        send(&router, "lookup");
        server.received().len() >= 8
    });
    assert!(worst_second(&server) <= RATE as usize + 1);
}

#[test]
fn requests_beyond_what_a_cold_server_bears_go_to_warm_ones() {
    let cold = TestServer::start("s-1", serve);
    let warm = TestServer::start("s-2", serve_busily);
    let store = MemoryStore::with(config_with(RATE));
    store.put("s-1", cold_record("plain", &cold, LONG));
    store.put("s-2", record("plain", warm.address));
    let router = TestRouter::start(&store);
    wait_until("the cold server gets its share", || {
        assert_eq!(send(&router, "lookup").status, 200);
        cold.received().len() >= 6
    });
    assert!(worst_second(&cold) <= RATE as usize + 1);
}

/// Entries of a service whose configuration sets no rate may state anything.
#[rstest]
#[case::no_cold_start(None)]
#[case::zero(Some(0.0))]
#[case::negative(Some(-3.0))]
#[case::not_a_number(Some(f64::NAN))]
fn a_service_without_a_rate_has_no_limit(#[case] rate: Option<f64>) {
    log::capture();
    let server = TestServer::start("s-1", serve);
    let store = MemoryStore::with(rate.map_or_else(|| config(1), config_with));
    store.put("s-1", cold_record("plain", &server, LONG));
    let router = TestRouter::start(&store);
    wait_for_share(&router, "lookup");
    assert!((0..30).all(|_| send(&router, "lookup").status == 200));
    if rate.is_some_and(|rate| rate != 0.0) {
        log::wait_for_line("event=cold-rate-ignored service=plain rate");
    }
}

/// Two routers that each used the whole limit of the server would send it twice as much.
#[test]
fn routers_share_what_a_cold_server_bears() {
    const SHARED_RATE: f64 = 20.0;
    let server = TestServer::start("s-1", serve);
    let store = MemoryStore::with(config_with(SHARED_RATE));
    store.put("s-1", cold_record("plain", &server, LONG));
    let ips = [unique_loopback_ip(), unique_loopback_ip()];
    let routers = ips.map(|ip| TestRouter::start_at(ip, &store, &ips));
    for router in &routers {
        router.wait_ready();
    }
    wait_until("a hundred requests were served", || {
        for router in &routers {
            send(router, "lookup");
        }
        server.received().len() >= 100
    });
    let worst = worst_second(&server);
    assert!(worst as f64 <= SHARED_RATE + 5.0, "{worst}");
}

/// Serves a request and reports so much load that an idle server is preferred.
fn serve_busily(req: &Received) -> Vec<Step> {
    let headers = "Signed: s\r\nLoad: 20,0,6\r\n";
    vec![response(req, "200 OK", headers, "")]
}

/// A server that could not be reached may have restarted under its id before its entry says so.
#[test]
fn a_server_that_was_unreachable_gets_little_while_there_are_others() {
    let address = SocketAddr::new(unique_loopback_ip(), 9_000);
    let entry = ServerRecord {
        address,
        ..record("plain", address)
    };
    let other = TestServer::start("s-2", serve_busily);
    let store = MemoryStore::with(config_with(RATE));
    store.put("s-1", entry.clone());
    store.put("s-2", record("plain", other.address));
    let router = TestRouter::start(&store);
    let is_cold = || metric(&router, "bulrushward_direct_cold_servers").as_deref() == Some("1");
    wait_until("the server is taken to be cold", || {
        assert_eq!(send(&router, "lookup").status, 200);
        is_cold()
    });
    let back = TestServer::start_at(address, "s-1", serve);
    wait_until("the server is back", || {
        assert_eq!(send(&router, "lookup").status, 200);
        back.received().len() >= 6
    });
    assert!(worst_second(&back) <= RATE as usize + 1);
    // Without another server it is used as if it were warm.
    store.remove("s-2");
    let thirty_served = || (0..30).all(|_| send(&router, "lookup").status == 200);
    let others = || other.received().len();
    wait_until(
        "thirty requests in a row are served without the other",
        || {
            let before = others();
            thirty_served() && others() == before
        },
    );
    assert!(is_cold());
    // No units are left to more urgent requests either, as they come back in a little over a second.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        for route in ["lookup", "lookup", "less-urgent", "less-urgent"] {
            assert_eq!(send(&router, route).status, 200, "{route}");
        }
        std::thread::sleep(Duration::from_millis(1_100));
    }
    assert!(is_cold());
    // A new incarnation whose entry says that it is warm has no limit.
    let started_ms = 2;
    store.put(
        "s-1",
        ServerRecord {
            started_ms,
            ..entry
        },
    );
    wait_until("the server is warm", || !is_cold());
}

/// A server that turns cold has lost the prompts that it had cached.
#[test]
fn no_prompt_is_copied_from_a_server_that_has_turned_cold() {
    let servers = ["s-1", "s-2"].map(|id| TestServer::start(id, serve));
    let store = MemoryStore::with(config_with(100.0));
    for server in &servers {
        store.put(&server.id, record("engines", server.address));
    }
    let router = TestRouter::start(&store);
    let send = |id: &str| {
        router.send(&format!(
            "GET /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: {id}\r\nKey: {KEY}\r\nPatience-Ms: 2500\r\n\
             Prompt: 1:500,2:10000,999:100\r\nContent-Length: 0\r\n\r\n"
        ))
    };
    assert_eq!(send("r-1").status, 200);
    let (first, other) = match servers[0].received().len() {
        0 => (&servers[1], &servers[0]),
        _ => (&servers[0], &servers[1]),
    };
    store.put(&first.id, cold_record("engines", first, LONG));
    let cold = || metric(&router, "bulrushward_direct_cold_servers");
    wait_until("the server is taken to be cold", || {
        cold().as_deref() == Some("1")
    });
    store.put(
        &first.id,
        ServerRecord {
            is_leaving: true,
            ..cold_record("engines", first, Duration::ZERO)
        },
    );
    wait_until("the server is leaving", || cold().as_deref() == Some("0"));
    wait_until("the other server gets a request", || {
        send("r-2");
        !other.received().is_empty()
    });
    assert_eq!(other.received()[0].header("copy-from"), None);
}

#[test]
fn a_server_that_turns_cold_and_warm_again_is_logged_once_each() {
    log::capture();
    let server = TestServer::start("s-9", serve);
    let store = MemoryStore::with(config_with(RATE));
    store.put("s-9", cold_record("plain", &server, LONG));
    store.put("s-8", cold_record("plain", &server, Duration::MAX));
    let _router = TestRouter::start(&store);
    log::wait_for_line("event=cold-time-capped server=s-8 stated_s cap_s=120");
    log::wait_for_line("event=server-cold server=s-9 evidence=entry cold_ms share routers");
    // Further entries with less time left say nothing new.
    for seconds in [20, 10] {
        store.put(
            "s-9",
            cold_record("plain", &server, Duration::from_secs(seconds)),
        );
    }
    store.put("s-9", cold_record("plain", &server, Duration::ZERO));
    log::wait_for_line("event=server-warm server=s-9");
    let lines = log::lines();
    let count = |event: &str| {
        let of_server = lines.iter().filter(|line| line.contains("server=s-9"));
        of_server.filter(|line| line.contains(event)).count()
    };
    assert_eq!(
        (count("event=server-cold"), count("event=server-changed")),
        (1, 0)
    );
}
