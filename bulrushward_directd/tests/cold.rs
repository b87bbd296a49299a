//! Tests of a router process whose only server has just started, by the formats of the platform.

mod support;

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::{ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig};
use support::{Router, send};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const COLD_TIME: Duration = Duration::from_secs(30);

// Guards against cold servers that get more than they bear because a name of the platform is read wrongly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_is_registered_as_cold_gets_what_it_bears_until_it_is_warm() {
    let store = FakeStore::start().await.expect("the store starts");
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: Some((1.0, COLD_TIME)),
    });
    let server = FakeServer::start("plain-1", &ExecutionLog::default())
        .await
        .expect("the server starts");
    let entry = ServerEntry {
        service: "plain".to_owned(),
        address: server.address(),
        failure_domain: "a".to_owned(),
        is_leaving: false,
        started_ms: 1,
        cold_for: COLD_TIME,
        version: "v1".to_owned(),
    };
    store.set_server("plain-1", Some(&entry));
    let router = Router::start(store.address(), "");
    let start = Instant::now();
    let mut requests = 0;
    let mut served_at = Vec::new();
    let mut refused = 0;
    while served_at.len() < 3 {
        assert!(start.elapsed() < START_TIMEOUT, "the server gets its share");
        requests += 1;
        let response = send(router.callers, "/lookup/x", &format!("r-{requests}")).await;
        if response.starts_with("HTTP/1.1 200") {
            served_at.push(Instant::now());
        } else if response.contains("cold-servers") {
            assert!(
                response.to_ascii_lowercase().contains("retry-after"),
                "{response}"
            );
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert!(served_at[2] - served_at[0] > Duration::from_secs(1));
    store.set_server(
        "plain-1",
        Some(&ServerEntry {
            cold_for: Duration::ZERO,
            version: "v1".to_owned(),
            ..entry
        }),
    );
    let mut in_a_row = 0;
    while in_a_row < 20 {
        assert!(start.elapsed() < 2 * START_TIMEOUT, "the limit ends");
        requests += 1;
        let response = send(router.callers, "/lookup/x", &format!("r-{requests}")).await;
        in_a_row = if response.starts_with("HTTP/1.1 200") {
            in_a_row + 1
        } else {
            0
        };
    }
}
