//! Tests of calls to the store and to peers that are answered without end.

mod support;

use std::time::Duration;

use bulrushward_direct::call::{self, CallError};
use rstest::rstest;
use support::{
    server::{Step, TestServer, send_text},
    wait_until,
};

/// Longer than any test may take.
const LIMIT: Duration = Duration::from_mins(1);
const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a store or peer that takes memory and processor time until the time of the call is over.
#[rstest]
#[case::no_http("", "nonsense", false)]
#[case::headers(HEAD, "A: b\r\n", false)]
#[case::interim_responses("", "HTTP/1.1 102 Processing\r\n\r\n", false)]
#[case::tiny_chunks(CHUNKED, "1\r\na\r\n", false)]
#[case::large_chunks(CHUNKED, "10\r\n0123456789abcdef\r\n", false)]
#[case::chunk_size(CHUNKED, "0", false)]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\n", "body", true)]
#[case::body_with_length("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "body", true)]
#[tokio::test]
async fn a_call_that_is_answered_without_end_fails_at_once(
    #[case] head: &'static str,
    #[case] pattern: &'static str,
    #[case] is_too_large: bool,
) {
    let server = TestServer::start("store", move |_| {
        vec![
            send_text(head),
            Step::SendForever(pattern.repeat(2_000).into_bytes()),
        ]
    });
    let result = call::get(server.address, "/x", LIMIT).await;
    let is_expected = match result {
        Err(CallError::TooLarge { .. }) => is_too_large,
        Err(CallError::Response { .. }) => !is_too_large,
        _ => false,
    };
    assert!(is_expected, "{result:?}");
    wait_until("the server is freed", || server.disconnects() == 1);
}
