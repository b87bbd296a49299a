//! Bodies of callers take no more memory together than the settings allow, and one service leaves some to the others.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use support::{
    CALLERS_PORT, TestRouter,
    caller::{self, Response},
    config, metric,
    platform::MemoryStore,
    record, request,
    server::{Received, Step, TestServer, complete_stream, ok_response},
    settings, unique_loopback_ip, wait_until,
};

/// Memory of the router in megabytes, of which bodies get a half and those of one service a quarter.
const MEMORY_MB: f64 = 16.0;
const BODY_BYTES: usize = 1_500_000;

/// A server that responds to requests once it is released.
struct SlowServer {
    server: TestServer,
    is_released: Arc<AtomicBool>,
}

impl SlowServer {
    fn start(id: &str, respond: fn(&Received) -> Vec<Step>) -> Self {
        let is_released = Arc::new(AtomicBool::new(false));
        let released = Arc::clone(&is_released);
        let server = TestServer::start(id, move |req| {
            while req.header("request") != Some("probe") && !released.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            respond(req)
        });
        Self {
            server,
            is_released,
        }
    }
}

fn text(route: &str, id: &str, body_bytes: usize) -> String {
    let text = request("POST", route, id, &"x".repeat(body_bytes));
    text.replace("Patience-Ms: 2500", "Patience-Ms: 20000")
}

fn call(router: &TestRouter, route: &str, id: &str) -> JoinHandle<Response> {
    let (address, text) = (router.address(CALLERS_PORT), text(route, id, BODY_BYTES));
    std::thread::spawn(move || caller::send(address, text.as_bytes()))
}

fn assert_refused(response: &Response) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    assert!(
        response
            .text()
            .contains("\"no-memory\",\"outcome\":\"not-run\"")
    );
}

/// A router held the bodies of all requests at servers that read slowly, and was killed as it took too much memory.
#[test]
fn a_body_without_memory_is_refused_at_once_while_others_are_served() {
    let plain = SlowServer::start("s-1", |req| vec![ok_response(req, "served")]);
    let engine = SlowServer::start("s-2", complete_stream);
    let mut config = config(1);
    config.limits.body_bytes = 4 << 20;
    for route in &mut config.routes {
        route.timeout = Duration::from_secs(20);
        // Servers may be silent for as long.
        route.target_latency = Duration::from_secs(10);
    }
    let store = MemoryStore::with(config);
    store.put("s-1", record("plain", plain.server.address));
    store.put("s-2", record("engines", engine.server.address));
    let mut settings = settings(unique_loopback_ip(), &[]);
    settings.memory_mb = MEMORY_MB;
    let router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    wait_until("the servers are known", || {
        metric(&router, "servers") == Some(2)
    });
    let held: Vec<_> = (0..2)
        .map(|index| call(&router, "action", &format!("r-{index}")))
        .collect();
    wait_until("the server has two bodies", || {
        plain.server.received().len() == 2
    });
    let begun = Instant::now();
    let refused = call(&router, "action", "r-2").join();
    assert_refused(&refused.expect("the caller does not panic"));
    assert!(begun.elapsed() < Duration::from_secs(2));
    // Small bodies and those of other services are served meanwhile.
    let probe = caller::send(
        router.address(CALLERS_PORT),
        text("action", "probe", 1_000).as_bytes(),
    );
    assert_eq!(probe.status, 200, "{probe:?}");
    let other = call(&router, "stream", "r-3");
    wait_until("the other server has a body", || {
        engine.server.received().len() == 1
    });
    for server in [&plain, &engine] {
        server.is_released.store(true, Ordering::SeqCst);
    }
    for call in held.into_iter().chain([other]) {
        let response = call.join().expect("the caller does not panic");
        assert_eq!(response.status, 200, "{response:?}");
    }
    let later = call(&router, "action", "r-4").join();
    assert_eq!(later.expect("the caller does not panic").status, 200);
    assert_eq!(plain.server.received().len(), 4);
}
