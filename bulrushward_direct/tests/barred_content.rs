//! Content that crashes servers is refused by all routers.

mod support;

use std::time::Duration;

use support::{
    HOST, KEY, TestRouter, config,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, broken_stream, complete_stream, events, ok_response, send_text,
        stream_head,
    },
    unique_loopback_ip, wait_until,
};

/// Time in which routers tell each other of a crash.
const GOSSIP_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a router calls a server whose connection broke.
const CHECK_TIME: Duration = Duration::from_millis(200);

/// Starts a server that crashes on one body and serves all others.
fn fragile_server(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req: &Received| {
        if req.body == b"poison" {
            return vec![Step::Crash];
        }
        vec![ok_response(req, "fine")]
    })
}

fn poisoned(servers: &[TestServer]) -> usize {
    let received = servers.iter().flat_map(TestServer::received);
    received.filter(|req| req.body == b"poison").count()
}

/// Starts a store with servers, and routers that know each other.
fn start_fleet<const N: usize>(servers: &[TestServer]) -> [TestRouter; N] {
    start_fleet_of("plain", servers)
}

fn start_fleet_of<const N: usize>(service: &str, servers: &[TestServer]) -> [TestRouter; N] {
    let store = MemoryStore::with(config(1));
    for server in servers {
        store.put(&server.id, record(service, server.address));
    }
    let ips: [_; N] = std::array::from_fn(|_| unique_loopback_ip());
    let routers = ips.map(|ip| TestRouter::start_at(ip, &store, &ips));
    for router in &routers {
        router.wait_ready();
    }
    routers
}

// Guards against routers that each count only the crashes that they saw themselves, so that a request crashes servers at
// every router anew.
#[test]
fn crashes_seen_by_different_routers_bar_a_request() {
    let servers: Vec<_> = (0..12).map(fragile_server).collect();
    let routers: [_; 3] = start_fleet(&servers);
    for (index, router) in routers.iter().enumerate() {
        // Not idempotent, so the router sends it once.
        router.send(&request("POST", "action", &format!("p-{index}"), "poison"));
        // Other requests find the crashed server unreachable.
        for good in 0..60 {
            let good = request("GET", "lookup", &format!("g-{index}-{good}"), "good");
            assert_eq!(router.send(&good).text(), "fine");
        }
    }
    assert_eq!(poisoned(&servers), 3);
    std::thread::sleep(GOSSIP_TIME);
    for (index, router) in routers.iter().enumerate() {
        let refused = router.send(&request("POST", "action", &format!("r-{index}"), "poison"));
        assert_eq!(refused.status, 503, "at router {index}");
        assert!(refused.header("retry-after").is_some());
        assert_eq!(poisoned(&servers), 3);
    }
}

// Guards against routers that notice a crash only if another request meets the crashed server.
#[test]
fn a_crash_is_noticed_without_other_requests() {
    let servers: Vec<_> = (0..12).map(fragile_server).collect();
    let [router] = start_fleet(&servers);
    for index in 0..3 {
        router.send(&request("POST", "action", &format!("p-{index}"), "poison"));
        std::thread::sleep(CHECK_TIME);
    }
    let refused = router.send(&request("POST", "action", "p-3", "poison"));
    assert_eq!(refused.status, 503);
    assert_eq!(poisoned(&servers), 3);
}

// Guards against taking a lost response for a crash.
#[test]
fn a_server_that_loses_responses_has_not_crashed() {
    let servers: Vec<_> = (0..6)
        .map(|index| TestServer::start(&format!("s-{index}"), |_| vec![Step::Reset]))
        .collect();
    let [router] = start_fleet(&servers);
    for index in 0..6 {
        let response = router.send(&request("POST", "action", &format!("p-{index}"), "poison"));
        assert_eq!(response.status, 502);
        std::thread::sleep(CHECK_TIME);
    }
}

/// Starts an engine that breaks streams off after three events and crashes when one of them is resumed.
fn engine_that_crashes_on_resuming(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req| {
        if req.header("last-event").is_some() {
            return vec![Step::Crash];
        }
        broken_stream(req)
    })
}

// Guards against not counting the servers that crash when a stream is resumed.
#[test]
fn crashes_under_resumed_streams_bar_their_content() {
    let servers: Vec<_> = (0..12).map(engine_that_crashes_on_resuming).collect();
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    let is_resumed = |req: &Received| req.header("last-event").is_some();
    let crashes = || {
        let received = servers.iter().flat_map(TestServer::received);
        received.filter(is_resumed).count()
    };
    // The retry budget does not allow that each stream is resumed.
    wait_until("three servers have crashed", || {
        router.send(&request("POST", "resumable", "p-1", "poison"));
        std::thread::sleep(CHECK_TIME);
        crashes() == 3
    });
    let refused = router.send(&request("POST", "resumable", "p-3", "poison"));
    assert_eq!(refused.status, 503);
}

/// Starts an engine that crashes when it begins to respond to a prompt with a part, and serves all others.
fn engine_with_poison_part(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req| {
        if has_poison_part(req) {
            return vec![stream_head(req), Step::Crash];
        }
        complete_stream(req)
    })
}

fn has_poison_part(req: &Received) -> bool {
    req.header("prompt")
        .is_some_and(|prompt| prompt.contains(",5555:"))
}

/// Returns a request on a stream route with a prompt of four parts.
///
/// Its first part is that of all requests, its last one and its body are its own.
fn prompt_request(index: usize, session: usize, third: &str) -> String {
    let body = format!("body-{index}");
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-{index}\r\nKey: {KEY}\r\nPatience-Ms: 2500\r\n\
         Prompt: 1:500,{session}:9000,{third}:700,{}:100\r\nContent-Length: {}\r\n\r\n{body}",
        1_000_000 + index,
        body.len()
    )
}

// Guards against recognising content by whole requests only, so that a prompt part that crashes servers is sent on in
// one request after the other, and against refusing requests that share the organisation, the route or other parts.
#[test]
fn a_prompt_part_that_crashes_servers_is_barred_and_nothing_beside_it() {
    let servers: Vec<_> = (0..16).map(engine_with_poison_part).collect();
    let routers: [_; 3] = start_fleet_of("engines", &servers);
    let poison = || {
        let received = servers.iter().flat_map(TestServer::received);
        received.filter(has_poison_part).count()
    };
    for index in 0..12 {
        let router = &routers[index % 3];
        router.send(&prompt_request(index, 100 + index % 4, "5555"));
        for harmless in 0..4 {
            let index = 100 + index * 4 + harmless;
            let response = router.send(&prompt_request(index, 100 + harmless, "77"));
            assert_eq!(response.status, 200, "harmless request {index}");
        }
        std::thread::sleep(CHECK_TIME);
    }
    assert!((3..=5).contains(&poison()), "{} servers crashed", poison());
    let refused = routers[0].send(&prompt_request(50, 100, "5555"));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
}

/// Starts an engine whose responses have neither a length nor chunks, and that crashes as above.
fn unframed_engine_with_poison_part(index: usize) -> TestServer {
    TestServer::start(&format!("s-{index}"), |req| {
        let id = req.header("request").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n"
        );
        if has_poison_part(req) {
            return vec![send_text(&head), Step::CrashQuietly];
        }
        vec![send_text(&(head + &events(1, 6))), Step::Close]
    })
}

// Guards against taking the end of the connection for the end of a stream without a length when the server crashed before
// the first event: the caller would get an empty success, which would also refute the crashes.
#[test]
fn a_stream_without_a_length_that_ends_before_its_first_event_is_broken() {
    let servers: Vec<_> = (0..8).map(unframed_engine_with_poison_part).collect();
    let router = router_with_servers("engines", &servers.iter().collect::<Vec<_>>());
    for index in 0..3 {
        let response = router.send(&prompt_request(index, 100 + index, "5555"));
        assert_eq!(response.status, 502);
        std::thread::sleep(CHECK_TIME);
        let harmless = router.send(&prompt_request(10 + index, 100 + index, "77"));
        assert_eq!((harmless.status, harmless.text()), (200, events(1, 6)));
    }
    let refused = router.send(&prompt_request(3, 104, "5555"));
    assert_eq!(refused.status, 503);
}
