//! Tests of a router process with entries of servers that other writers left.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{
    ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig, extreme_entries, odd_values,
    plain_body,
};
use support::{Router, ip, send};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn write_odd_entries(store: &FakeStore, address: SocketAddr) {
    let values = odd_values(address)
        .into_iter()
        .chain(extreme_entries(address));
    for (index, value) in values.enumerate() {
        store.set_server_bytes(&format!("odd-{index}"), &value);
        let id = format!("{index}-{}", "i".repeat(190));
        store.set_server_bytes(&id, &value);
    }
}

/// Sends requests until one is served by a server; fails if none is in time.
async fn wait_until_served_by(router: SocketAddr, server: &str, what: &str) {
    let start = Instant::now();
    for index in 0.. {
        let id = format!("{what}-{server}-{index}").replace(' ', "-");
        let response = send(router, "/lookup/x", &id).await;
        if response.ends_with(&plain_body(&id, server)) {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{what}: not served by {server}");
    }
}

/// Returns the number of unexpected errors that a router has counted.
async fn panics(router: SocketAddr) -> String {
    let mut stream = TcpStream::connect((router.ip(), 7_341))
        .await
        .expect("the router serves its metrics");
    stream
        .write_all(b"GET /metrics HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
        .await
        .expect("the request can be sent");
    let mut text = String::new();
    let _end = stream.read_to_string(&mut text).await;
    let name = "bulrushward_direct_panics_total ";
    let count = text.lines().find_map(|line| line.strip_prefix(name));
    count.unwrap_or("none").to_owned()
}

/// Guards against routers that end, or no longer follow the servers, because another writer left odd entries among theirs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_end_no_router_and_hide_no_server() {
    let store = FakeStore::start().await.expect("the store starts");
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: None,
    });
    let log = ExecutionLog::default();
    let start = async |id| {
        FakeServer::start(id, &log)
            .await
            .expect("the server starts")
    };
    let (one, two) = (start("plain-1").await, start("plain-2").await);
    let entry = |server: &FakeServer| ServerEntry {
        service: "plain".to_owned(),
        address: server.address(),
        failure_domain: "a".to_owned(),
        is_leaving: false,
        started_ms: 1,
        cold_for: Duration::ZERO,
        version: "v1".to_owned(),
    };
    write_odd_entries(&store, one.address());
    store.set_server("plain-1", Some(&entry(&one)));
    let first = Router::start(store.address(), "");
    wait_until_served_by(first.callers, "plain-1", "listing").await;
    write_odd_entries(&store, two.address());
    store.set_server("plain-2", Some(&entry(&two)));
    wait_until_served_by(first.callers, "plain-2", "watch").await;

    store.set_server_bytes("plain-1", "[".repeat(100_000).as_bytes());
    store.set_server("plain-2", None);
    store.set_server("plain-1", Some(&entry(&one)));
    wait_until_served_by(first.callers, "plain-1", "rewritten entry").await;

    store.set_busy(true);
    let seeds = format!("seeds = [\"{}:8229\"]\n", first.callers.ip());
    let second = Router::start_at(ip(1), store.address(), &seeds);
    wait_until_served_by(second.callers, "plain-1", "snapshot of a peer").await;
    store.set_busy(false);
    store.set_server("plain-2", Some(&entry(&two)));
    for router in [&first, &second] {
        wait_until_served_by(router.callers, "plain-2", "store back").await;
        assert_eq!(panics(router.callers).await, "0");
    }
    drop((first, second));
    let restarted = Router::start(store.address(), "");
    wait_until_served_by(restarted.callers, "plain-2", "saved state").await;
    assert_eq!(panics(restarted.callers).await, "0");
}
