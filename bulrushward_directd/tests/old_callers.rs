//! Tests of callers that speak HTTP/1.0 and whose router process is killed during a stream.

mod support;

use std::{
    io::ErrorKind,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{
    CallerRequest, ExecutionLog, FakeServer, FakeStore, ServerEntry, TestConfig, event_count,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use support::Router;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Fewest events of a stream that lasts long enough to be cut.
const MIN_EVENTS: u32 = 100;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two requests until the router serves.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Sends a request of HTTP/1.0 and reads until an event has arrived, if its stream has enough of them.
async fn begin_stream(router: &Router, path: &str, id: &str) -> Option<(TcpStream, Vec<u8>)> {
    if event_count(id) < MIN_EVENTS {
        return None;
    }
    let mut stream = TcpStream::connect(router.callers).await.ok()?;
    let request = CallerRequest {
        id: id.to_owned(),
        path: path.to_owned(),
        key: "key".to_owned(),
        timeout_ms: 8_000,
        session: None,
        resumed: None,
    };
    let text = request.text().replace("HTTP/1.1\r\n", "HTTP/1.0\r\n");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the request can be sent");
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("id: 1\n") {
        let read = timeout(TIMEOUT, stream.read_buf(&mut received)).await;
        if read.expect("the router responds").ok()? == 0 {
            return None;
        }
    }
    Some((stream, received))
}

/// Guards against the end of a killed process, whose connections the system closes in order, that passes for the end of a
/// stream without chunks.
#[rstest]
#[case::once("/stream/once/x")]
#[case::resumable("/stream/resume/x")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_a_killed_router_is_reset(#[case] path: &str) {
    let store = FakeStore::start().await.expect("the store starts");
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: None,
    });
    let server = FakeServer::start("engines-1", &ExecutionLog::default())
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
    store.set_server("engines-1", Some(&entry));
    let router = Router::start(store.address(), "");
    let start = Instant::now();
    let mut requests = 0;
    let (mut stream, mut received) = loop {
        assert!(start.elapsed() < TIMEOUT, "a stream begins");
        requests += 1;
        if let Some(begun) = begin_stream(&router, path, &format!("r-{requests}")).await {
            break begun;
        }
        sleep(RETRY_PAUSE).await;
    };
    router.signal(Signal::SIGKILL);
    let end = timeout(TIMEOUT, stream.read_to_end(&mut received)).await;
    let end = end
        .expect("the connection ends")
        .map_err(|error| error.kind());
    let text = String::from_utf8_lossy(&received);
    assert!(text.starts_with("HTTP/1.0 200"), "{text}");
    let last = format!("id: {}\n", event_count(&format!("r-{requests}")));
    assert!(!text.contains(&last), "the stream was complete before");
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
}
