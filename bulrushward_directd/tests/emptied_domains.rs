//! Tests of a router process that follows the operators' orders in the platform's store.

mod support;

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::{ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig};
use tokio::time::sleep;

use support::{Router, send};

/// Time in which an order is to be in force.
const AIM: Duration = Duration::from_secs(1);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests to a router until a condition on the status line holds; returns the time that took.
async fn wait_for(router: &Router, what: &str, is_met: impl Fn(&str) -> bool) -> Duration {
    let start = Instant::now();
    while !is_met(&send(router.callers, "/lookup/x", "probe").await) {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what}");
        sleep(Duration::from_millis(20)).await;
    }
    start.elapsed()
}

// Guards against an order that is written under the platform's key and not followed, or followed after its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_in_the_platforms_store_is_followed_until_it_is_removed() {
    let store = FakeStore::start().await.expect("the store starts");
    let executions = ExecutionLog::default();
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: None,
    });
    let server = FakeServer::start("plain-1", &executions)
        .await
        .expect("the server starts");
    let entry = ServerEntry {
        service: "plain".to_owned(),
        address: server.address(),
        failure_domain: "b".to_owned(),
        is_leaving: false,
        started_ms: 1,
        cold_for: Duration::ZERO,
        version: "v1".to_owned(),
    };
    store.set_server("plain-1", Some(&entry));
    store.set_emptied("b", true);
    let router = Router::start(store.address(), "evacuation_known_ms = 5000\n");
    let is_refused = |response: &str| response.contains("failure-domains-emptied");
    let is_served = |response: &str| response.starts_with("HTTP/1.1 200");
    wait_for(&router, "the order is known at the start", is_refused).await;
    for _order in 0..3 {
        store.set_emptied("b", false);
        assert!(wait_for(&router, "the withdrawal is known", is_served).await < AIM);
        store.drop_history();
        store.set_emptied("b", true);
        assert!(wait_for(&router, "the order is known", is_refused).await < AIM);
    }
}
