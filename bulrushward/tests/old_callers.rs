//! Callers that speak HTTP/1.0, whose streams are delimited by the close of the connection.

mod support;

use std::{io::ErrorKind, time::Duration};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    API_KEY, Fleet, Plan, TEST_TIMEOUT, chat_request,
    raw::{RawBackend, RawResponse},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Body of a response that is too long to be buffered until it is complete, in bytes.
const LONG_BODY: usize = 2 << 20;

/// How a connection ended for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The peer closed it in order (FIN).
    InOrder,
    /// The peer reset it (RST).
    Reset,
}

/// Sends a request of HTTP/1.0 to the first router.
async fn open(fleet: &Fleet, path: &str, body: &str) -> TcpStream {
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(fleet.routers[0].data)
        .await
        .expect("the router accepts the connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request can be sent");
    stream
}

async fn open_chat(fleet: &Fleet, tokens: u64) -> TcpStream {
    let body = chat_request("portfolio", true, tokens).to_string();
    open(fleet, "/v1/chat/completions", &body).await
}

/// Reads until the connection ends.
async fn read_to_close(stream: &mut TcpStream) -> (String, Close) {
    let mut received = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    let close = match read.expect("the connection ends") {
        Ok(_len) => Close::InOrder,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Close::Reset,
        Err(error) => panic!("the connection fails otherwise: {error}"),
    };
    let text = String::from_utf8_lossy(&received).into_owned();
    (text, close)
}

fn check_unframed(text: &str) {
    assert!(text.starts_with("HTTP/1.0 200"), "{text}");
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let head = head.to_ascii_lowercase();
    assert!(!head.contains("transfer-encoding") && !head.contains("content-length"));
}

/// Guards against a reset that takes the end of a complete stream away.
#[tokio::test(flavor = "multi_thread")]
async fn a_complete_stream_ends_in_order() {
    let fleet = Fleet::start(1, 1, 0).await;
    let (text, close) = read_to_close(&mut open_chat(&fleet, 20).await).await;
    check_unframed(&text);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(close, Close::InOrder);
}

/// Guards against a stream that its engine cuts and that ends as a complete one does.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_engine_cuts_is_reset() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.engines[0]
        .faults()
        .update(|faults| faults.cut_after_tokens = Some(3));
    let (text, close) = read_to_close(&mut open_chat(&fleet, 50).await).await;
    check_unframed(&text);
    assert_eq!(close, Close::Reset);
}

/// Guards against a killed router, whose connections the system closes in order, that completes a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_router_is_reset() {
    let mut plan = Plan::new(1, 1, 0);
    plan.engine_settings.token_time = Duration::from_millis(20);
    let fleet = Fleet::start_plan(plan).await;
    let mut stream = open_chat(&fleet, 500).await;
    let mut begun = String::new();
    while !begun.contains("data: ") {
        let byte = timeout(TEST_TIMEOUT, stream.read_u8()).await;
        let byte = byte.expect("the router responds");
        begun.push(char::from(byte.expect("the stream is open")));
    }
    check_unframed(&begun);
    fleet.routers[0].signal(Signal::SIGKILL);
    let (text, close) = read_to_close(&mut stream).await;
    assert!(!text.contains("[DONE]"));
    assert_eq!(close, Close::Reset);
}

/// Guards against a long response of a plain service that is cut and ends as a complete one does.
#[rstest]
#[case::cut("", Close::Reset)]
#[case::complete("0\r\n\r\n", Close::InOrder)]
#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_is_closed_by_its_own_end(#[case] end: &str, #[case] expected: Close) {
    let response = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
         {LONG_BODY:x}\r\n{}\r\n{end}",
        "x".repeat(LONG_BODY)
    );
    let mut fleet = Fleet::start(1, 0, 0).await;
    let backend = RawBackend::start(RawResponse::Bytes(response)).await;
    fleet.add_raw_agent("registry", &backend).await;
    let mut stream = open(&fleet, "/svc/registry/a", "").await;
    let (text, close) = read_to_close(&mut stream).await;
    check_unframed(&text[..text.len().min(1_000)]);
    assert_eq!(close, expected);
}

/// Guards against a stream that ends during a planned stop and is reset though it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_during_a_stop_ends_in_order() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    let mut stream = open_chat(&fleet, 200).await;
    let first = timeout(TEST_TIMEOUT, stream.read_u8()).await;
    assert_eq!(first.expect("the router responds").ok(), Some(b'H'));
    fleet.routers[0].signal(Signal::SIGTERM);
    let (text, close) = read_to_close(&mut stream).await;
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(close, Close::InOrder);
    assert!(fleet.routers[0].wait_for_exit().await);
}

/// Guards against whole responses without a length, whose cut a caller of HTTP/1.0 could not notice.
#[rstest]
#[case::chat("/v1/chat/completions", "200")]
#[case::refusal("/nowhere", "404")]
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_response_has_a_length_and_ends_in_order(#[case] path: &str, #[case] status: &str) {
    let fleet = Fleet::start(1, 1, 0).await;
    let request = chat_request("portfolio", false, 4).to_string();
    let (text, close) = read_to_close(&mut open(&fleet, path, &request).await).await;
    let (head, body) = text.split_once("\r\n\r\n").expect("the head is complete");
    assert!(head.starts_with(&format!("HTTP/1.0 {status}")), "{head}");
    let len = format!("content-length: {}", body.len());
    assert!(head.to_ascii_lowercase().contains(&len), "{head}");
    assert_eq!(close, Close::InOrder);
}
