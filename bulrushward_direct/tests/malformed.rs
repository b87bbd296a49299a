//! Tests of messages and values that are malformed or extreme, and of unexpected errors: none may take anything down.

mod support;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{
    FLEET_STATE_PORT, TestRouter, caller, config,
    platform::{MemoryStore, Trouble},
    record, request,
    server::{Received, TestServer, complete_stream, response},
    unique_loopback_ip, wait_until,
};

const DATAGRAM_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 7_341;
const MAX_DATAGRAM_BYTES: usize = 65_536;
const MUTATIONS: usize = 20_000;

/// Returns the number of panics that a router has counted.
fn panics(router: &TestRouter) -> u32 {
    let metrics = caller::get(router.address(METRICS_PORT), "/metrics");
    let text = metrics.map(|response| response.text()).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix("bulrushward_direct_panics_total "))
        .and_then(|count| count.parse().ok())
        .unwrap_or(0)
}

/// Waits until a router sends a datagram.
fn wait_for_gossip(socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    socket
        .set_nonblocking(true)
        .expect("the socket can be changed");
    while socket.recv_from(&mut buf).is_ok() {}
    wait_until("the router gossips", || socket.recv_from(&mut buf).is_ok());
    socket
        .set_nonblocking(false)
        .expect("the socket can be changed");
}

fn mutate(bytes: &[u8], rng: &mut impl Rng) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _change in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes[at] = 0xff,
            2 => bytes.truncate(at.max(1)),
            _ => bytes.insert(at, rng.random()),
        }
    }
    bytes
}

// Guards against a datagram that ends the control thread.
#[test]
fn malformed_datagrams_end_nothing() {
    let peer = unique_loopback_ip();
    let socket = UdpSocket::bind((peer, DATAGRAM_PORT)).expect("the port is free");
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("the timeout can be set");
    let server = TestServer::echo("s-1");
    let store = MemoryStore::with(config(1));
    store.put("s-1", record("plain", server.address));
    let ip = unique_loopback_ip();
    let router = TestRouter::start_at(ip, &store, &[peer]);
    router.wait_ready();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let (len, _) = socket.recv_from(&mut buf).expect("the router gossips");
    let sound = buf[..len].to_vec();
    let mut rng = StdRng::seed_from_u64(4);
    for number in 0..MUTATIONS {
        // Another node's name, as a router ignores its own.
        let mut bytes = sound.clone();
        bytes[1] = b'x';
        let bytes = mutate(&bytes, &mut rng);
        socket
            .send_to(&bytes, (ip, DATAGRAM_PORT))
            .expect("a datagram can be sent");
        if number % 100 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    wait_for_gossip(&socket);
    assert_eq!(panics(&router), 0);
    assert_eq!(
        router.send(&request("GET", "lookup", "r-1", "")).status,
        200
    );
}

// Guards against peers whose reported loads overflow a sum.
#[test]
fn the_largest_loads_of_peers_end_nothing() {
    let peer = unique_loopback_ip();
    let socket = UdpSocket::bind((peer, DATAGRAM_PORT)).expect("the port is free");
    let store = MemoryStore::with(config(1));
    let ip = unique_loopback_ip();
    let router = TestRouter::start_at(ip, &store, &[peer]);
    wait_for_gossip(&socket);
    for node in ["one", "two", "three"] {
        let state_version = (Some(u64::MAX), u64::MAX, u64::MAX);
        let in_progress = vec![(7_u32, u32::MAX, u64::MAX)];
        let empty = ((), (), ());
        let address = SocketAddr::new(peer, FLEET_STATE_PORT);
        let message = (node, 0_u64, address, state_version, in_progress, empty);
        let mut bytes = postcard::to_stdvec(&message).expect("the message can be encoded");
        // Three empty lists end the message.
        bytes.extend([0, 0, 0]);
        socket
            .send_to(&bytes, (ip, DATAGRAM_PORT))
            .expect("a datagram can be sent");
    }
    wait_until("the peer is known", || {
        let metrics = caller::get(router.address(METRICS_PORT), "/metrics");
        metrics.is_some_and(|response| response.text().contains("bulrushward_direct_routers 2\n"))
    });
    wait_for_gossip(&socket);
    assert_eq!(panics(&router), 0);
}

// Guards against servers that report the largest numbers.
#[test]
fn the_largest_reported_loads_end_nothing() {
    let full = |req: &Received| {
        let headers = "Signed: s\r\nLoad: 4294967295,4294967295,4294967295\r\nIdle-S: 18446744073709551615\r\n";
        vec![response(req, "200 OK", headers, "done")]
    };
    let server = TestServer::start("s-1", full);
    let router = support::router_with_servers("plain", &[&server]);
    for index in 0..5 {
        let response = router.send(&request("POST", "action", &format!("r-{index}"), ""));
        assert_eq!((response.status, response.text().as_str()), (200, "done"));
    }
    assert_eq!(panics(&router), 0);
}

// Guards against a configuration whose times overflow the clock, which fails each request or connection.
#[test]
fn the_longest_configured_times_fail_no_request() {
    let store = MemoryStore::default();
    let mut extreme = config(1);
    extreme.limits.idle = Duration::MAX;
    extreme.limits.header_bytes = usize::MAX;
    extreme.limits.body_bytes = usize::MAX;
    for route in &mut extreme.routes {
        route.timeout = Duration::MAX;
        route.target_latency = Duration::MAX;
        route.target_pause = Duration::MAX;
        route.max_servers = u32::MAX;
    }
    for service in &mut extreme.services {
        service.connection_limit = u32::MAX;
    }
    store.set_config(extreme);
    let (plain, engine) = (
        TestServer::echo("s-1"),
        TestServer::start("s-2", complete_stream),
    );
    store.put("s-1", record("plain", plain.address));
    store.put("s-2", record("engines", engine.address));
    let router = TestRouter::start(&store.into());
    for route in ["lookup", "action", "stream", "resumable"] {
        for patience in ["2500", "18446744073709551615"] {
            let sent = request("POST", route, "r-1", "").replace("2500", patience);
            let response = router.send(&sent);
            assert_eq!(
                (response.status, response.is_complete),
                (200, true),
                "{route}"
            );
        }
    }
    assert_eq!(panics(&router), 0);
}

// Guards against a watch, the gossip or another background task that ends for good after an unexpected error.
#[test]
fn background_tasks_start_anew_after_a_panic() {
    let store: Arc<MemoryStore> = MemoryStore::default().into();
    store.set_trouble(Trouble::Panic);
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the tasks panic repeatedly", || panics(&router) >= 6);
    assert_eq!(router.readiness(), 503);
    store.set_trouble(Trouble::None);
    let server = TestServer::echo("s-1");
    store.set_config(config(1));
    store.put("s-1", record("plain", server.address));
    router.wait_ready();
    wait_until("requests are served", || {
        router.send(&request("GET", "lookup", "r-1", "")).status == 200
    });
    store.set_trouble(Trouble::Panic);
    store.discard_history();
    let before = panics(&router);
    wait_until("the tasks panic", || panics(&router) > before);
    assert_eq!(
        router.send(&request("GET", "lookup", "r-2", "")).status,
        200
    );
}

// Guards against an unexpected error in one request that closes its connection without an answer.
#[test]
fn a_panic_in_a_request_is_answered_and_counted() {
    let server = TestServer::echo("s-1");
    let router = support::router_with_servers("plain", &[&server]);
    let sent = request("POST", "action", "r-1", "").replacen("Key:", "Panic: 1\r\nKey:", 1);
    let response = router.send(&sent);
    assert_eq!(response.status, 502);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("unknown"));
    assert_eq!(panics(&router), 1);
    assert_eq!(
        router.send(&request("POST", "action", "r-2", "")).status,
        200
    );
}

// Guards against settings whose times overflow the clock.
#[rstest]
#[case::window("repeat_window_s", "1e19")]
#[case::window_beyond_any_duration("repeat_window_s", "1e300")]
#[case::negative_window("repeat_window_s", "-5")]
#[case::window_that_is_no_number("repeat_window_s", "nan")]
#[case::grace("stop_grace_s", "1e300")]
#[case::infinite_grace("stop_grace_s", "inf")]
#[case::propagation("leaving_known_ms", "1e25")]
#[case::ratio("repeat_ratio", "nan")]
fn settings_that_overflow_are_refused(#[case] name: &str, #[case] value: &str) {
    let text = format!(
        "node = \"n\"\nfailure_domain = \"a\"\ncallers_address = \"127.0.0.1:1\"\n\
         readiness_address = \"127.0.0.1:2\"\nknowledge_address = \"127.0.0.1:{FLEET_STATE_PORT}\"\n\
         datagram_port = 7340\nmetrics_port = 7341\nstore_address = \"127.0.0.1:3\"\n\
         stop_grace_s = 8\nleaving_known_ms = 2000\nconfig_known_ms = 2000\nrepeat_ratio = 0.2\n\
         extra_repeats = 50\nrepeat_window_s = 10\n"
    );
    let path = std::path::Path::new("settings");
    assert!(bulrushward_direct::DirectSettings::parse(&text, path).is_ok());
    let changed: String = text
        .lines()
        .map(|line| {
            if line.starts_with(name) {
                format!("{name} = {value}\n")
            } else {
                format!("{line}\n")
            }
        })
        .collect();
    let error = bulrushward_direct::DirectSettings::parse(&changed, path)
        .expect_err("the setting is refused")
        .to_string();
    assert!(error.contains(name), "{error}");
}
