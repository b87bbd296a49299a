//! Tests of servers that send bytes without end, until the router closes the connection.

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{
    CallerRequest, EndlessServer, ExecutionLog, FakeServer, FakeStore, ResponseStart, ServerEntry,
    TestConfig,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Requests whose servers send without end at the same time.
const REQUESTS: usize = 100;
/// Time that the callers of these requests have.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline by which an answer must be complete.
const SLACK: Duration = Duration::from_secs(1);
/// Memory of an entry VM, in kilobytes.
const VM_MEMORY_KB: u64 = 160_000;
/// Bytes of a response up to its status.
const FIRST_BYTES: u64 = 12;
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A router process that is killed at the end of its test.
struct Router {
    child: Child,
    callers: SocketAddr,
}

impl Router {
    fn start(store: SocketAddr) -> Self {
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let ip = format!("127.{a}.{b}.{c}");
        let settings = format!(
            "node = \"n\"\nfailure_domain = \"a\"\ncallers_address = \"{ip}:8227\"\n\
             readiness_address = \"{ip}:8220\"\nknowledge_address = \"{ip}:8229\"\n\
             datagram_port = 7340\nmetrics_port = 7341\nstore_address = \"{store}\"\n\
             stop_grace_s = 8\nleaving_known_ms = 2000\nconfig_known_ms = 2000\n\
             repeat_ratio = 0.2\nextra_repeats = 50\nrepeat_window_s = 10\n"
        );
        let path = std::env::temp_dir().join(format!("directd-{}-endless", std::process::id()));
        fs::write(&path, settings).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_bulrushward-directd"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let callers = format!("{ip}:8227").parse().expect("the address is valid");
        Self { child, callers }
    }

    /// Returns the largest memory in use so far, in kilobytes.
    fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the daemon runs");
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
            .expect("the system reports the peak")
    }

    /// Returns the processor time in use so far, in hundredths of a second.
    fn processor_ticks(&self) -> u64 {
        let stat =
            fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("the daemon runs");
        stat.rsplit(')')
            .next()
            .into_iter()
            .flat_map(|rest| rest.split_whitespace().skip(11).take(2))
            .filter_map(|ticks| ticks.parse::<u64>().ok())
            .sum()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Sends a request and returns up to `limit` bytes of its response, however it ends.
async fn send(router: SocketAddr, path: &str, id: &str, limit: u64) -> Vec<u8> {
    let Ok(mut stream) = TcpStream::connect(router).await else {
        return Vec::new();
    };
    let request = CallerRequest {
        id: id.to_owned(),
        path: path.to_owned(),
        key: "key".to_owned(),
        timeout_ms: DEADLINE.as_millis() as u64,
        session: None,
        resumed: None,
    };
    let mut text = request.text();
    text = text.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the request can be sent");
    let mut response = Vec::new();
    let _end = stream.take(limit).read_to_end(&mut response).await;
    response
}

type Statuses = &'static [&'static str];

/// Statuses that promise nothing.
const UNKNOWN: Statuses = &["502", "504"];
const NOT_RUN: Statuses = &["503"];
const SUCCESS: Statuses = &["200"];
/// The stream breaks, and the only server of the service rests before it is tried again.
const BROKEN: Statuses = &["200", "503"];

// Guards against memory, processor time or callers lost to servers that send something without end.
#[rstest]
#[case::no_http("/action/x", ResponseStart::None, "nonsense", UNKNOWN)]
#[case::one_header_line("/action/x", ResponseStart::OpenHead, "y", UNKNOWN)]
#[case::many_headers("/action/x", ResponseStart::OpenHead, "A: b\r\n", UNKNOWN)]
#[case::interim_responses(
    "/action/x",
    ResponseStart::None,
    "HTTP/1.1 102 Processing\r\n\r\n",
    UNKNOWN
)]
#[case::plain_with_length("/action/x", ResponseStart::Length, "body", UNKNOWN)]
#[case::plain_until_close("/action/x", ResponseStart::UntilClose, "body", UNKNOWN)]
#[case::tiny_chunks("/action/x", ResponseStart::Chunked, "1\r\na\r\n", UNKNOWN)]
#[case::large_chunks(
    "/action/x",
    ResponseStart::Chunked,
    "10\r\n0123456789abcdef\r\n",
    UNKNOWN
)]
#[case::chunk_size("/action/x", ResponseStart::Chunked, "0", UNKNOWN)]
#[case::chunk_extensions("/action/x", ResponseStart::Chunked, "1;x=y\r\na\r\n", UNKNOWN)]
#[case::trailers("/action/x", ResponseStart::Chunked, "0\r\nA: b\r\nA: b\r\n", UNKNOWN)]
#[case::refusal("/action/x", ResponseStart::Refusal, "1\r\na\r\n", NOT_RUN)]
#[case::other_server("/action/x", ResponseStart::OtherServer, "1\r\na\r\n", NOT_RUN)]
#[case::error_body("/action/x", ResponseStart::Error, "body", UNKNOWN)]
#[case::bytes_after_the_response("/action/x", ResponseStart::Complete, "extra", SUCCESS)]
#[case::repeated_request("/lookup/x", ResponseStart::None, "nonsense", UNKNOWN)]
#[case::event_in_tiny_chunks("/stream/once/x", ResponseStart::Chunked, "1\r\na\r\n", UNKNOWN)]
#[case::event_in_large_chunks(
    "/stream/once/x",
    ResponseStart::Chunked,
    "10\r\n0123456789abcdef\r\n",
    UNKNOWN
)]
#[case::event_until_close("/stream/once/x", ResponseStart::UntilClose, "word", UNKNOWN)]
#[case::tiny_events(
    "/stream/once/x",
    ResponseStart::Chunked,
    "9\r\ndata: x\n\n\r\n",
    SUCCESS
)]
#[case::comments("/stream/once/x", ResponseStart::Chunked, "4\r\n:x\n\n\r\n", UNKNOWN)]
#[case::line_feeds_in_a_stream("/stream/once/x", ResponseStart::Stream, "\n", BROKEN)]
#[case::carriage_returns_in_a_stream("/stream/once/x", ResponseStart::Stream, "\r", BROKEN)]
#[case::both_in_a_stream("/stream/once/x", ResponseStart::Stream, "\r\n", BROKEN)]
#[case::comments_in_a_stream("/stream/once/x", ResponseStart::Stream, ":\n\n", BROKEN)]
#[case::empty_events_in_a_stream("/stream/once/x", ResponseStart::Stream, "data\n\n", SUCCESS)]
#[case::events_in_a_stream("/stream/once/x", ResponseStart::Stream, "data: x\n\n", SUCCESS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_send_without_end_cost_neither_memory_nor_other_requests(
    #[case] path: &'static str,
    #[case] response: ResponseStart,
    #[case] pattern: &str,
    #[case] statuses: Statuses,
) {
    let store = FakeStore::start().await.expect("the store starts");
    let executions = ExecutionLog::default();
    store.set_config(&TestConfig {
        version: 1,
        keys: vec!["key".to_owned()],
        marker_prefix: "/mark/".to_owned(),
        cold_start: None,
    });
    let is_stream = path.starts_with("/stream");
    let (service, other, other_path) = if is_stream {
        ("engines", "plain", "/action/x")
    } else {
        ("plain", "engines", "/stream/once/x")
    };
    let endless = EndlessServer::start(response, pattern)
        .await
        .expect("the server starts");
    let sound = FakeServer::start("sound", &executions)
        .await
        .expect("the server starts");
    for (id, service, address) in [
        ("endless", service, endless.address()),
        ("sound", other, sound.address()),
    ] {
        let entry = ServerEntry {
            service: service.to_owned(),
            address,
            failure_domain: "a".to_owned(),
            cold_for: Duration::ZERO,
            version: "v1".to_owned(),
            is_leaving: false,
            started_ms: 1,
        };
        store.set_server(id, Some(&entry));
    }
    let router = Router::start(store.address());
    let start = Instant::now();
    let mut probes = 0;
    while !send(
        router.callers,
        other_path,
        &format!("probe-{probes}"),
        FIRST_BYTES,
    )
    .await
    .starts_with(b"HTTP/1.1 200")
    {
        assert!(start.elapsed() < START_TIMEOUT, "the router serves");
        probes += 1;
        sleep(Duration::from_millis(20)).await;
    }
    let (memory, ticks) = (router.peak_memory_kb(), router.processor_ticks());

    let start = Instant::now();
    let mut callers = JoinSet::new();
    for index in 0..REQUESTS {
        let router = router.callers;
        callers.spawn(timeout(DEADLINE + SLACK, async move {
            send(router, path, &format!("r-{index}"), u64::MAX).await
        }));
    }
    let mut slowest = Duration::ZERO;
    for probe in 0..5 {
        let sent = Instant::now();
        let first_byte = async {
            let id = format!("other-{probe}");
            let response = send(router.callers, other_path, &id, FIRST_BYTES).await;
            assert_eq!(response, b"HTTP/1.1 200");
        };
        first_byte.await;
        slowest = slowest.max(sent.elapsed());
    }
    let mut late = 0;
    let mut wrong = Vec::new();
    while let Some(ended) = callers.join_next().await {
        let Ok(response) = ended.expect("the caller does not panic") else {
            late += 1;
            continue;
        };
        let text = String::from_utf8_lossy(&response[..response.len().min(300)]).into_owned();
        let status = text.split(' ').nth(1).unwrap_or_default();
        if !statuses.contains(&status) {
            wrong.push(text);
        }
    }
    let took = start.elapsed();
    let (begun, peak, ticks) = (
        endless.begun(),
        router.peak_memory_kb(),
        router.processor_ticks() - ticks,
    );
    println!(
        "{REQUESTS} requests, {begun} endless responses: {took:?}, memory {memory} to {peak} kB, \
         processor {ticks}0 ms, slowest other request {slowest:?}, late {late}, wrong {}",
        wrong.len()
    );
    assert_eq!(late, 0, "answers in time");
    assert!(wrong.is_empty(), "{}: {}", wrong.len(), wrong[0]);
    assert!(peak < VM_MEMORY_KB, "{peak} kB");
    assert!(slowest < DEADLINE, "{slowest:?}");
    let closed = Instant::now();
    while endless.ended() < begun {
        assert!(closed.elapsed() < START_TIMEOUT, "the servers are freed");
        sleep(Duration::from_millis(5)).await;
    }
}
