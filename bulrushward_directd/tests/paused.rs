//! Tests of a router process that is paused while its servers go on.

mod support;

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::{
    ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig, event_count,
};
use nix::sys::signal::Signal;
use tokio::{task::JoinSet, time::sleep};

use support::{Router, send};

/// Longer than the time for which a server may be silent, and shorter than the streams.
const PAUSE: Duration = Duration::from_millis(1_500);
const MIN_EVENTS: u32 = 100;
const STREAMS: usize = 8;
const START_TIMEOUT: Duration = Duration::from_secs(10);

// Guards against taking servers for silent because timers fire before the sockets are read after a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_router_reads_what_has_arrived_before_it_leaves_its_servers() {
    let store = FakeStore::start().await.expect("the store starts");
    let executions = ExecutionLog::default();
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: None,
    });
    let mut servers = Vec::new();
    for id in ["engines-1", "engines-2"] {
        let server = FakeServer::start(id, &executions)
            .await
            .expect("the server starts");
        let entry = ServerEntry {
            service: "engines".to_owned(),
            address: server.address(),
            failure_domain: "a".to_owned(),
            is_leaving: false,
            started_ms: 1,
            cold_for: Duration::ZERO,
            version: "v1".to_owned(),
        };
        store.set_server(id, Some(&entry));
        servers.push(server);
    }
    let router = Router::start(store.address(), "");
    let start = Instant::now();
    let mut probes = 0;
    while !send(
        router.callers,
        "/stream/resume/x",
        &format!("probe-{probes}"),
    )
    .await
    .starts_with("HTTP/1.1 200")
    {
        assert!(start.elapsed() < START_TIMEOUT, "the router serves");
        probes += 1;
        sleep(Duration::from_millis(20)).await;
    }

    let ids: Vec<String> = (0..)
        .map(|number| format!("r-{number}"))
        .filter(|id| event_count(id) >= MIN_EVENTS)
        .take(STREAMS)
        .collect();
    let mut callers = JoinSet::new();
    for id in ids.clone() {
        let address = router.callers;
        callers.spawn(async move { (send(address, "/stream/resume/x", &id).await, id) });
    }
    while ids.iter().any(|id| executions.executions(id).is_empty()) {
        assert!(start.elapsed() < START_TIMEOUT, "the streams begin");
        sleep(Duration::from_millis(5)).await;
    }
    // Each stream has sent events when the router is paused.
    sleep(Duration::from_millis(200)).await;
    router.signal(Signal::SIGSTOP);
    sleep(PAUSE).await;
    router.signal(Signal::SIGCONT);
    while let Some(ended) = callers.join_next().await {
        let (response, id) = ended.expect("the caller does not panic");
        let last = format!("id: {}\n", event_count(&id));
        assert!(response.contains(&last), "{id} lacks its last event");
    }
    let executions: usize = ids.iter().map(|id| executions.executions(id).len()).sum();
    assert_eq!(executions, STREAMS);
}
