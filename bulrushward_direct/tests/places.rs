//! Places of a scarce service are lent to the requests of all routers.
//!
//! Pattern: callers at several routers ask for more than the few places of a service can serve; the router that lends
//! does not answer, or stops midway.

mod support;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use bulrushward_direct::{FleetConfig, RouteKind};
use bulrushward_policy::{place_pools::lenders, placement::Candidate};
use support::{
    FLEET_STATE_PORT, TestRouter, caller, log,
    platform::MemoryStore,
    record, request, route,
    server::{Received, TestServer, ok_response, response},
    settings, unique_loopback_ip, wait_until,
};

const PLACES_PORT: u16 = 7_342;
const SLOTS: u32 = 2;
/// Requests that a server runs or queues.
const SERVER_LIMIT: u32 = SLOTS + 1;
const WORK: Duration = Duration::from_millis(40);
const CALLERS: usize = 12;

/// How often each request has run.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Starts a server that rejects requests beyond its limit.
fn small_server(id: &str, runs: &Runs) -> TestServer {
    let (runs, running) = (Arc::clone(runs), AtomicU32::new(0));
    TestServer::start(id, move |req: &Received| {
        if running.fetch_add(1, Ordering::SeqCst) >= SERVER_LIMIT {
            running.fetch_sub(1, Ordering::SeqCst);
            return vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
        }
        let id = req.header("request").unwrap_or_default().to_owned();
        *runs.lock().expect("no panic").entry(id).or_default() += 1;
        std::thread::sleep(WORK);
        running.fetch_sub(1, Ordering::SeqCst);
        vec![ok_response(req, "done")]
    })
}

/// Callers that send one non-idempotent request after the other to routers in turn.
struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<(String, caller::Response)>>>,
}

impl Crowd {
    fn start(routers: &[&TestRouter]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = routers
            .iter()
            .map(|router| router.address(support::CALLERS_PORT))
            .collect();
        let threads = (0..CALLERS).map(|caller| {
            let (is_over, addresses) = (Arc::clone(&is_over), addresses.clone());
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("r-{caller}-{}", answers.len());
                    let address = addresses[(caller + answers.len()) % addresses.len()];
                    let text = request("POST", "action", &id, "");
                    answers.push((id, caller::send(address, text.as_bytes())));
                }
                answers
            })
        });
        let threads = threads.collect();
        Self { is_over, threads }
    }

    /// Ends the crowd and checks that requests ran once if they were answered, and never if they were refused.
    fn end(self, runs: &Runs) {
        self.is_over.store(true, Ordering::SeqCst);
        let (mut served, mut refused) = (0, 0);
        for thread in self.threads {
            let answers = thread.join().expect("the caller does not panic");
            for (id, answer) in answers {
                let count = runs.lock().expect("no panic").get(&id).copied();
                match answer.status {
                    200 => assert_eq!(count, Some(1), "{id}"),
                    503 => {
                        assert_eq!(count, None, "{id}");
                        assert!(answer.header("retry-after").is_some());
                    }
                    status => panic!("{id} was answered {status}"),
                }
                served += u32::from(answer.status == 200);
                refused += u32::from(answer.status == 503);
            }
        }
        println!("served {served}, refused {refused}");
        assert!(served > 0);
    }
}

/// Returns the value of a metric of a router.
fn metric(router: &TestRouter, name: &str) -> u32 {
    let name = format!("bulrushward_direct_{name} ");
    let response = caller::get(router.address(7_341), "/metrics");
    let text = response.map(|response| response.text()).unwrap_or_default();
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0, |value| value.parse().expect("the value is a number"))
}

fn config() -> FleetConfig {
    let mut config = support::config(1);
    config.routes = vec![route("action", RouteKind::NonIdempotent)];
    config
}

/// Starts routers that know each other and two small servers; `lends` tells which of them have a port for places.
fn start<const N: usize>(lends: [bool; N], runs: &Runs) -> ([TestRouter; N], [TestServer; 2]) {
    let servers = ["s-1", "s-2"].map(|id| small_server(id, runs));
    let store = MemoryStore::with(config());
    for server in &servers {
        let mut record = record("plain", server.address);
        record.slots = SLOTS;
        store.put(&server.id, record);
    }
    let ips: Vec<_> = lends.iter().map(|_| unique_loopback_ip()).collect();
    // The first router is the one that lends if it can.
    let names: Vec<_> = ips
        .iter()
        .map(|ip| format!("{ip}:{FLEET_STATE_PORT}"))
        .collect();
    let candidates: Vec<_> = names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    let first = lenders("plain", 0, &candidates)[0];
    let mut order: Vec<_> = ips.clone();
    order.swap(0, first);
    let mut routers = order.iter().zip(lends).map(|(ip, lends)| {
        let mut settings = settings(*ip, &ips);
        settings.places_port = lends.then_some(PLACES_PORT);
        TestRouter::start_with(settings, &store)
    });
    let routers = std::array::from_fn(|_| routers.next().expect("there is a router for each"));
    for router in &routers {
        router.wait_ready();
        wait_until("the router knows servers and routers", || {
            metric(router, "servers") == 2 && metric(router, "routers") == N as u32
        });
    }
    (routers, servers)
}

#[test]
fn one_router_lends_the_places_that_requests_of_all_routers_use() {
    log::capture();
    let runs = Runs::default();
    let (routers, _servers) = start([true; 3], &runs);
    let crowd = Crowd::start(&routers.each_ref());
    wait_until("many places are lent", || {
        metric(&routers[0], "places_granted_total") > 100
    });
    log::wait_for_line("event=places-scarce service=plain");
    log::wait_for_line("event=lending service=plain");
    log::wait_for_line("event=answered place_wait_ms");
    crowd.end(&runs);
    assert_eq!(metric(&routers[1], "places_granted_total"), 0);
    for router in &routers {
        assert!(metric(router, "place_wait_seconds_count") > 0);
        assert_eq!(metric(router, "places_waiting"), 0);
    }
    // Places are given back when the requests end, not when their time is over.
    let granted = metric(&routers[0], "places_granted_total");
    assert!(metric(&routers[0], "places_expired_total") * 10 < granted);
    wait_until("all places are given back", || {
        metric(&routers[0], "places_lent") == 0
    });
}

#[test]
fn another_router_lends_if_the_first_one_does_not_answer() {
    let runs = Runs::default();
    let (routers, _servers) = start([false, true, true], &runs);
    let crowd = Crowd::start(&[&routers[1], &routers[2]]);
    let lent = || {
        routers[1..]
            .iter()
            .map(|router| metric(router, "places_granted_total"))
    };
    wait_until("many places are lent", || lent().sum::<u32>() > 100);
    crowd.end(&runs);
}

#[test]
fn requests_are_served_while_their_lender_stops() {
    let runs = Runs::default();
    let (mut routers, _servers) = start([true; 3], &runs);
    let crowd = Crowd::start(&[&routers[1], &routers[2]]);
    wait_until("the first router lends", || {
        metric(&routers[0], "places_granted_total") > 50
    });
    routers[0].stop();
    let lent = || {
        routers[1..]
            .iter()
            .map(|router| metric(router, "places_granted_total"))
    };
    wait_until("another one lends", || lent().sum::<u32>() > 0);
    // It does so before the first one ends.
    assert!(caller::get(routers[0].address(7_341), "/metrics").is_some());
    wait_until("another one lends much", || lent().sum::<u32>() > 50);
    crowd.end(&runs);
    routers[0].join();
}

#[test]
fn without_a_lender_requests_are_served_as_if_no_places_were_lent() {
    let runs = Runs::default();
    let (routers, _servers) = start([false, false, true], &runs);
    let crowd = Crowd::start(&[&routers[2]]);
    wait_until("requests are served", || {
        runs.lock().expect("no panic").len() > 100
    });
    crowd.end(&runs);
}

#[test]
fn a_caller_that_leaves_gives_up_its_wait() {
    let runs = Runs::default();
    let (routers, _servers) = start([true; 2], &runs);
    let crowd = Crowd::start(&routers.each_ref());
    let left = "place_asks_total{outcome=\"left\"}";
    wait_until("a caller has left while its request waited", || {
        let mut stream = caller::connect(routers[1].address(support::CALLERS_PORT));
        let text = request("POST", "action", "leaves", "");
        std::io::Write::write_all(&mut stream, text.as_bytes()).expect("the request can be sent");
        drop(stream);
        metric(&routers[1], left) > 0
    });
    crowd.end(&runs);
    wait_until("nothing waits", || {
        metric(&routers[1], "places_waiting") == 0
    });
    wait_until("all places are given back", || {
        metric(&routers[0], "places_lent") == 0
    });
}
