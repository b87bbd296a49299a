//! Backend servers of agents that send without end.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    Fleet,
    raw::{RawBackend, RawResponse, request_head},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time for which servers send.
const SENDING_TIME: Duration = Duration::from_secs(16);
/// Pause of a caller that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Callers at once, of which each second one leaves soon.
const CALLERS: usize = 8;
/// Memory of a process beside the responses that it keeps, in kilobytes.
const BASE_KB: u64 = 64 << 10;
/// Memory that one response may take: twice what an agent keeps of it so that a router can resume it.
const RESPONSE_KB: u64 = 8 << 10;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const EVENTS: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends a request until it is served, reads the beginning of the response, and then nothing more.
async fn call_without_reading(fleet: &Fleet, stays: bool) {
    let begun = Instant::now();
    while begun.elapsed() < SENDING_TIME {
        let mut connection = TcpStream::connect(fleet.routers[0].data)
            .await
            .expect("the router accepts the connection");
        let head = request_head("GET", "/svc/registry/a", "");
        connection
            .write_all(head.as_bytes())
            .await
            .expect("the request is sent");
        let mut start = [0; 12];
        let read = timeout(SENDING_TIME, connection.read_exact(&mut start)).await;
        let is_served = read.is_ok_and(|read| read.is_ok()) && start.ends_with(b"200");
        if is_served && stays {
            sleep(SENDING_TIME).await;
        }
        if is_served {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

// Guards against an agent or a router that keeps all that a faulty backend server sends, until it runs out of memory.
#[rstest]
#[case::tiny_chunks(CHUNKED, "1\r\na\r\n", 1_000)]
#[case::large_chunks(CHUNKED, "1000\r\n", 1)]
#[case::until_close(UNTIL_CLOSE, "body", 1_000)]
#[case::tiny_events(EVENTS, "3\r\n:\n\n\r\n", 1_000)]
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_take_bounded_memory(
    #[case] head: &'static str,
    #[case] part: &str,
    #[case] repeated: usize,
) {
    let mut part = part.repeat(repeated);
    if repeated == 1 {
        part += &("x".repeat(0x1000) + "\r\n");
    }
    let backend = RawBackend::start(RawResponse::Endless(head, part)).await;
    let mut fleet = Fleet::start(1, 0, 0).await;
    fleet.add_agent("raw", "registry", &backend.url(), "");
    fleet.update_vm_list();
    fleet.wait_until_live().await;
    fleet.wait_until_active(1).await;
    let calls = (0..CALLERS).map(|index| call_without_reading(&fleet, index % 2 == 0));
    futures_util::future::join_all(calls).await;
    assert!(!backend.requests().is_empty(), "a request was served");
    let agent = fleet.agents.last().expect("an agent was added");
    let limit = BASE_KB + CALLERS as u64 * RESPONSE_KB;
    for process in [agent, &fleet.routers[0]] {
        let peak = process.peak_memory_kb();
        assert!(peak < limit, "{} took {peak} of {limit} KB", process.node);
    }
}
