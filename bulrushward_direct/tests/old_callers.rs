//! Tests of callers that speak HTTP/1.0, whose streams are delimited by the close of the connection: it is in order only
//! after a complete stream.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::Duration,
};

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::{
    CALLERS_PORT, TestRouter, caller, config, metric,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, broken_stream, chunk, complete_stream, event, events,
        ok_response, response, send_text, stream_head,
    },
    settings, unique_loopback_ip, wait_until,
};

type Script = fn(&Received) -> Vec<Step>;

const KEEP_ALIVE: &str = "Connection: keep-alive\r\n";
/// Longest time between two reads of a caller.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Receive buffer of a caller that reads slowly, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;
/// Time for which a caller reads nothing, longer than the router lingers.
const PAUSE: Duration = Duration::from_secs(3);
/// Time that a caller waits whose stream lasts long.
const PATIENCE: Duration = Duration::from_secs(20);

/// How a connection ended for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The peer closed it in order (FIN).
    InOrder,
    /// The peer reset it (RST).
    Reset,
}

/// A response that is read until its connection ends.
#[derive(Debug)]
struct OldResponse {
    head: String,
    body: String,
    /// `None` while the connection is open.
    close: Option<Close>,
}

impl OldResponse {
    /// Returns the value of a header, or `None` without the header.
    fn header(&self, name: &str) -> Option<&str> {
        let headers = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = headers.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }
}

/// Returns the text of an HTTP/1.0 request with further headers.
fn old_request(method: &str, route: &str, headers: &str) -> String {
    request(method, route, "r-1", "")
        .replace("HTTP/1.1\r\n", &format!("HTTP/1.0\r\n{headers}"))
        .replace("2500", &PATIENCE.as_millis().to_string())
}

/// Sends a request on a new connection.
fn open(router: &TestRouter, text: &str) -> TcpStream {
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    stream
        .write_all(text.as_bytes())
        .expect("the request can be sent");
    stream
}

/// Reads until the connection ends, after `begun` was read.
fn read_to_close(stream: &mut TcpStream, begun: &str) -> OldResponse {
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout can be set");
    let mut bytes = begun.as_bytes().to_vec();
    let mut buf = [0; 4 << 10];
    let close = loop {
        match stream.read(&mut buf) {
            Ok(0) => break Close::InOrder,
            Ok(len) => bytes.extend_from_slice(&buf[..len]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break Close::Reset,
            Err(error) => panic!("the connection does not end: {error}"),
        }
    };
    let text = String::from_utf8(bytes).expect("the response is text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    OldResponse {
        head: head.to_owned(),
        body: body.to_owned(),
        close: Some(close),
    }
}

/// Reads until the first event has arrived.
fn read_first_event(stream: &mut TcpStream) -> String {
    let mut seen = String::new();
    let mut byte = [0];
    while !seen.ends_with(&event(1)) {
        stream.read_exact(&mut byte).expect("the stream is open");
        seen.push(char::from(byte[0]));
    }
    seen
}

fn send(router: &TestRouter, text: &str) -> OldResponse {
    read_to_close(&mut open(router, text), "")
}

/// Starts a router with a server of engines, a grace time and routes that last long.
fn patient_router(server: &TestServer, stop_grace: Duration) -> TestRouter {
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout = PATIENCE;
    }
    let store = MemoryStore::with(config);
    store.put(&server.id, record("engines", server.address));
    let mut settings = settings(unique_loopback_ip(), &[]);
    settings.stop_grace = stop_grace;
    let router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    wait_until("the router knows the server", || {
        metric(&router, "servers") == Some(1)
    });
    router
}

/// Sends three events, then resets the connection.
fn reset_stream(req: &Received) -> Vec<Step> {
    let mut steps = broken_stream(req);
    steps.pop();
    steps.push(Step::Reset);
    steps
}

/// Sends events without chunks and a length, then resets the connection.
fn reset_unframed_stream(req: &Received) -> Vec<Step> {
    let id = req.header("request").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\r\n"
    );
    vec![
        send_text(&head),
        send_text(&events(1, 3)),
        Step::Pause(Duration::from_millis(20)),
        Step::Reset,
    ]
}

/// Guards against a cut stream that ends for a caller of HTTP/1.0 as a complete one does.
#[rstest]
fn a_cut_stream_is_reset(
    #[values("stream", "resumable")] route: &str,
    #[values("", KEEP_ALIVE)] headers: &str,
    #[values(broken_stream, reset_stream, reset_unframed_stream)] script: Script,
) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("engines", &[&server]);
    let response = send(&router, &old_request("POST", route, headers));
    assert!(
        response.head.starts_with("HTTP/1.0 200"),
        "{}",
        response.head
    );
    assert_eq!(response.header("content-length"), None);
    assert_eq!(response.close, Some(Close::Reset));
    assert!(events(1, 3).starts_with(&response.body), "{response:?}");
}

/// Guards against a reset that takes the end of a complete stream away.
#[rstest]
fn a_complete_stream_ends_in_order(
    #[values("stream", "resumable")] route: &str,
    #[values("", KEEP_ALIVE)] headers: &str,
) {
    let server = TestServer::start("s-1", complete_stream);
    let router = router_with_servers("engines", &[&server]);
    let response = send(&router, &old_request("POST", route, headers));
    assert_eq!(
        (response.body, response.close),
        (events(1, 6), Some(Close::InOrder))
    );
}

/// Guards against a stream that goes on at another server and is reset though it is complete.
#[test]
fn a_resumed_stream_ends_in_order() {
    let script = |req: &Received| match req.header("last-event") {
        Some(_) => complete_stream(req),
        None => broken_stream(req),
    };
    let (one, two) = (
        TestServer::start("s-1", script),
        TestServer::start("s-2", script),
    );
    let router = router_with_servers("engines", &[&one, &two]);
    let response = send(&router, &old_request("POST", "resumable", ""));
    assert_eq!(
        (response.body, response.close),
        (events(1, 6), Some(Close::InOrder))
    );
}

/// Guards against a stream that the end of the grace time cuts and that ends as a complete one does.
#[rstest]
#[case::stream("stream")]
#[case::resumable("resumable")]
fn a_stream_that_a_stop_cuts_is_reset(#[case] route: &str) {
    let server = TestServer::start("s-1", |req| {
        vec![stream_head(req), chunk(&event(1)), Step::Hang]
    });
    let mut router = patient_router(&server, Duration::from_secs(3));
    let mut stream = open(&router, &old_request("POST", route, ""));
    let begun = read_first_event(&mut stream);
    router.stop();
    let response = read_to_close(&mut stream, &begun);
    assert_eq!(
        (response.body, response.close),
        (event(1), Some(Close::Reset))
    );
    router.join();
}

/// Guards against a stream that ends during a stop and is reset though it is complete.
#[test]
fn a_stream_that_ends_during_a_stop_ends_in_order() {
    let server = TestServer::start("s-1", |req| {
        let mut steps = complete_stream(req);
        steps.insert(2, Step::Pause(Duration::from_millis(500)));
        steps
    });
    let mut router = patient_router(&server, Duration::from_secs(5));
    let mut stream = open(&router, &old_request("POST", "stream", ""));
    let begun = read_first_event(&mut stream);
    router.stop();
    let response = read_to_close(&mut stream, &begun);
    assert_eq!(
        (response.body, response.close),
        (events(1, 6), Some(Close::InOrder))
    );
    router.join();
}

/// Connects with a small receive buffer.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("there is a free socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("the buffer size can be set");
    socket
        .connect(&address.into())
        .expect("the router accepts connections");
    socket.into()
}

/// Returns an event with data of this length.
fn long_event(id: usize, len: usize) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(len))
}

/// Guards against a reset that discards what a slow caller has still to read of a complete stream.
#[rstest]
#[case::within_the_send_queue(20)]
#[case::beyond_all_buffers(1_000)]
fn a_caller_that_reads_late_gets_the_whole_stream(#[case] count: usize) {
    const EVENT_LEN: usize = 10_000;
    let server = TestServer::start("s-1", move |req| {
        let mut steps = vec![stream_head(req)];
        steps.extend((1..=count).map(|id| chunk(&long_event(id, EVENT_LEN))));
        steps.push(send_text("0\r\n\r\n"));
        steps
    });
    let router = patient_router(&server, Duration::from_secs(8));
    let mut stream = connect_with_small_buffer(router.address(CALLERS_PORT));
    stream
        .write_all(old_request("POST", "stream", "").as_bytes())
        .expect("the request can be sent");
    sleep(PAUSE);
    let response = read_to_close(&mut stream, "");
    let sent: String = (1..=count).map(|id| long_event(id, EVENT_LEN)).collect();
    assert_eq!(response.close, Some(Close::InOrder));
    assert!(response.body == sent, "{} bytes", response.body.len());
}

/// Guards against a stream that was read from the server to its end, is still in the buffers of a router that ends, and ends
/// for the caller as a complete one does.
#[test]
fn a_complete_stream_of_which_a_stop_keeps_a_part_back_is_reset() {
    const EVENT_LEN: usize = 10_000;
    const COUNT: usize = 1_000;
    let server = TestServer::start("s-1", move |req| {
        let mut steps = vec![stream_head(req)];
        steps.extend((1..=COUNT).map(|id| chunk(&long_event(id, EVENT_LEN))));
        steps.push(send_text("0\r\n\r\n"));
        steps
    });
    let mut router = patient_router(&server, Duration::from_secs(3));
    let mut stream = connect_with_small_buffer(router.address(CALLERS_PORT));
    stream
        .write_all(old_request("POST", "stream", "").as_bytes())
        .expect("the request can be sent");
    wait_until("the request arrives", || server.received().len() == 1);
    router.stop();
    router.join();
    let response = read_to_close(&mut stream, "");
    assert_eq!(response.close, Some(Close::Reset));
}

/// Guards against streams in chunks that are no longer delivered up to the cut, or no longer end by their last chunk.
#[rstest]
#[case::cut(broken_stream, events(1, 3), false)]
#[case::complete(complete_stream, events(1, 6), true)]
fn a_stream_in_chunks_is_closed_in_order(
    #[case] script: Script,
    #[case] sent: String,
    #[case] is_complete: bool,
    #[values("", "Connection: close\r\n")] headers: &str,
) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("engines", &[&server]);
    let text = request("POST", "stream", "r-1", "").replace("Key:", &format!("{headers}Key:"));
    let mut stream = open(&router, &text);
    let response = caller::read_response(&mut stream);
    assert_eq!(response.header("transfer-encoding"), Some("chunked"));
    assert_eq!((response.text(), response.is_complete), (sent, is_complete));
    if !is_complete || !headers.is_empty() {
        assert_eq!(read_to_close(&mut stream, "").close, Some(Close::InOrder));
    }
}

/// Reads the bytes that follow the head of a whole answer, by its length.
fn read_whole(stream: &mut TcpStream) -> OldResponse {
    let mut head = String::new();
    let mut byte = [0];
    while !head.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).expect("the head arrives");
        head.push(char::from(byte[0]));
    }
    let mut response = OldResponse {
        head,
        body: String::new(),
        close: None,
    };
    let len = response
        .header("content-length")
        .and_then(|len| len.parse().ok());
    let mut body = vec![0; len.expect("a whole answer has a length")];
    stream.read_exact(&mut body).expect("the body arrives");
    response.body = String::from_utf8(body).expect("the body is text");
    response
}

/// Guards against whole answers without a length, whose cut a caller of HTTP/1.0 could not notice.
#[rstest]
#[case::of_a_server("action", |req: &Received| vec![ok_response(req, "done")], "200")]
#[case::empty("action", |req: &Received| vec![ok_response(req, "")], "200")]
#[case::error_of_a_server("action", |req: &Received| vec![response(req, "500 Oops", "Signed: s\r\n", "no")], "500")]
#[case::unknown("action", |_: &Received| vec![Step::Close], "502")]
#[case::refused("action", |req: &Received| vec![response(req, "503 Full", "Not-Run: 1\r\n", "")], "503")]
#[case::unknown_path("none", |_: &Received| vec![Step::Close], "404")]
fn a_whole_answer_has_a_length_and_ends_in_order(
    #[case] route: &str,
    #[case] script: Script,
    #[case] status: &str,
    #[values(false, true)] is_kept: bool,
) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("plain", &[&server]);
    let headers = if is_kept { KEEP_ALIVE } else { "" };
    let mut stream = open(&router, &old_request("POST", route, headers));
    let response = read_whole(&mut stream);
    let line = format!("HTTP/1.0 {status}");
    assert!(response.head.starts_with(&line), "{}", response.head);
    if matches!(status, "404" | "502" | "503") {
        assert!(response.body.contains("\"outcome\""), "{}", response.body);
    }
    if is_kept {
        assert_eq!(response.header("connection"), Some("keep-alive"));
        let last = old_request("POST", route, "");
        stream
            .write_all(last.as_bytes())
            .expect("the connection is kept");
        assert_eq!(read_whole(&mut stream).body, response.body);
    }
    let end = read_to_close(&mut stream, "");
    assert_eq!((end.head.as_str(), end.close), ("", Some(Close::InOrder)));
}

/// Guards against a kept connection whose stream is closed as the whole answer before it would be.
#[rstest]
#[case::cut(broken_stream, Close::Reset)]
#[case::complete(complete_stream, Close::InOrder)]
fn a_stream_after_a_whole_answer_is_closed_by_its_own_end(
    #[case] script: Script,
    #[case] close: Close,
) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("engines", &[&server]);
    let mut stream = open(&router, &old_request("POST", "none", KEEP_ALIVE));
    assert!(read_whole(&mut stream).head.starts_with("HTTP/1.0 404"));
    stream
        .write_all(old_request("POST", "stream", KEEP_ALIVE).as_bytes())
        .expect("the connection is kept");
    assert_eq!(read_to_close(&mut stream, "").close, Some(close));
}

/// Guards against resets after responses that never have a body.
#[rstest]
#[case::head("HEAD", |req: &Received| vec![ok_response(req, "")], "200")]
#[case::no_content("GET", |req: &Received| vec![response(req, "204 No Content", "Signed: s\r\n", "")], "204")]
fn a_response_without_body_ends_in_order(
    #[case] method: &str,
    #[case] script: Script,
    #[case] status: &str,
) {
    let server = TestServer::start("s-1", script);
    let router = router_with_servers("plain", &[&server]);
    let response = send(&router, &old_request(method, "lookup", ""));
    let line = format!("HTTP/1.0 {status}");
    assert!(response.head.starts_with(&line), "{}", response.head);
    assert_eq!(
        (response.body.as_str(), response.close),
        ("", Some(Close::InOrder))
    );
}
