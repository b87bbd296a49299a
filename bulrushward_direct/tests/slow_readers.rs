//! Tests of servers that live but read long requests late.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, sleep},
    time::Duration,
};

use rstest::rstest;
use socket2::SockRef;
use support::{TestRouter, config, platform::MemoryStore, record, request, wait_until};

/// Length of a body that exceeds the buffers between a router and a server.
const BODY_LEN: usize = 4 << 20;
/// Receive buffer of the server, in bytes.
const RECEIVE_BUFFER: usize = 16 << 10;
/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts a server that begins to read the body of each request after `delay`.
fn start_slow_reader(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("there is a free port");
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("the buffer size can be set");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("the connection can be accepted");
            thread::spawn(move || serve(stream, delay));
        }
    });
    address
}

/// Reads the head of a request, waits, reads the body and responds with its length.
fn serve(mut stream: TcpStream, delay: Duration) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    sleep(delay);
    let head = String::from_utf8(head).ok()?;
    let header = |name: &str| {
        let mut headers = head.lines().filter_map(|line| line.split_once(": "));
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_owned())
    };
    let (len, id) = (header("content-length")?, header("request")?);
    let mut body = vec![0; len.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    let len = body.len().to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Length: {}\r\n\r\n{len}",
        len.len()
    );
    stream.write_all(response.as_bytes()).ok()
}

/// Guards against connections that are closed because a server that acknowledges what it has room for does not read.
#[rstest]
#[case::after_2600_ms(Duration::from_millis(2_600))]
#[case::after_8_s(Duration::from_secs(8))]
fn a_server_that_begins_to_read_a_long_body_late_serves_it(#[case] delay: Duration) {
    let server = start_slow_reader(delay);
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout = PATIENCE;
    }
    config.limits.body_bytes = BODY_LEN;
    let store = MemoryStore::with(config);
    store.put("s-1", record("plain", server));
    let router = TestRouter::start(&store);
    wait_until("the router knows the server", || {
        support::metric(&router, "servers") == Some(1)
    });
    let body = "x".repeat(BODY_LEN);
    let text = request("POST", "action", "long", &body);
    let patience = format!("Patience-Ms: {}", PATIENCE.as_millis());
    let response = router.send(&text.replace("Patience-Ms: 2500", &patience));
    assert_eq!(
        (response.status, response.text()),
        (200, BODY_LEN.to_string())
    );
}
