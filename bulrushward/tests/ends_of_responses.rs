//! Responses of backend servers that end with their connection, and what callers learn of them.

mod support;

use std::time::Duration;

use bulrushward_fakes::{FakePlain, PlainSettings};
use rstest::rstest;
use support::{
    API_KEY, Fleet, chat_request,
    dying_backend::DyingBackend,
    eventually, header,
    raw::{RawBackend, RawResponse},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Path of the action.
const PATH: &str = "/certificates";
/// Head of a response whose body ends with its connection.
const HEAD_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// Time after which an agent has recorded an action as run.
const RECORD_TIME: Duration = Duration::from_secs(6);
/// Length of a body in bytes that is too long for a router to keep until it is complete.
const LONG_BODY: usize = 3 << 20;

async fn fleet_with_dying_backend(service: &str, response: String) -> Fleet {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let backend = DyingBackend::start(response);
    fleet.add_admitting_agent(service, &backend.url()).await;
    backend.arm();
    fleet
}

/// Reads a streamed response and returns what arrived and whether it looks complete.
async fn read_all(mut response: reqwest::Response) -> (String, bool) {
    let mut body = String::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body += &String::from_utf8_lossy(&chunk),
            Ok(None) => return (body, true),
            Err(_cut) => return (body, false),
        }
    }
}

/// Guards against a response without a length and chunks that passes for complete after its backend server was killed.
#[rstest]
#[case::plain(HEAD_UNTIL_CLOSE)]
#[case::closing("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_the_death_of_its_backend_server_cut_is_refused(
    #[case] head: &str,
    #[values("GET", "POST")] method: &str,
) {
    let fleet = fleet_with_dying_backend("registry", format!("{head}hal")).await;
    let refused = fleet.call(0, method, PATH, None, "x").await;
    assert!(
        refused.status().is_server_error(),
        "the caller sees {}",
        refused.status()
    );
    assert_eq!(header(&refused, "x-bulrushward-outcome"), "unknown");
}

/// Guards against a long response that looks complete to its caller after its backend server was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_that_the_death_of_its_backend_server_cut_breaks_off() {
    let response = format!("{HEAD_UNTIL_CLOSE}{}", "x".repeat(LONG_BODY));
    let fleet = fleet_with_dying_backend("registry", response).await;
    let response = fleet.call(0, "GET", PATH, None, "").await;
    assert_eq!(response.status(), 200);
    let (_body, is_complete) = read_all(response).await;
    assert!(!is_complete, "the cut response looks complete");
}

/// Guards against an action that is recorded as run with a response that was cut.
#[tokio::test(flavor = "multi_thread")]
async fn an_action_whose_response_was_cut_is_not_recorded_as_run() {
    let mut fleet = fleet_with_dying_backend("registry", format!("{HEAD_UNTIL_CLOSE}hal")).await;
    let _cut = fleet.call(0, "POST", PATH, Some("key"), "x").await;
    let other = FakePlain::start(PlainSettings::default()).await;
    let other = other.expect("the plain service starts");
    fleet.add_agent("plain-0", "registry", &other.url(), "");
    fleet.update_vm_list();
    fleet.wait_until_live().await;
    fleet.wait_until_active(1).await;
    tokio::time::sleep(RECORD_TIME).await;
    eventually("another agent answers for the action", async || {
        let again = fleet.call(0, "POST", PATH, Some("key"), "x").await;
        let outcome = header(&again, "x-bulrushward-outcome");
        assert!(["not-run", "unknown"].contains(&&*outcome), "{again:?}");
        outcome == "unknown"
    })
    .await;
    assert!(other.executions().is_empty(), "the action ran twice");
}

/// Guards against complete responses without a length that are refused, as those of old servers are.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_with_its_connection_is_complete_if_its_backend_server_lives(
    #[values("GET", "POST")] method: &str,
) {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let response = RawResponse::Bytes(format!("{HEAD_UNTIL_CLOSE}whole"));
    let backend = RawBackend::start(response).await;
    fleet.add_raw_agent("registry", &backend).await;
    let response = fleet.call(0, method, PATH, None, "x").await;
    assert_eq!(response.status(), 200);
    assert_eq!(read_all(response).await, ("whole".to_owned(), true));
    assert_eq!(backend.requests().len(), 1);
}

/// Guards against a part of an early response that passes for complete after its connection was reset during the upload.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_early_response_that_is_reset_during_the_upload_is_refused(
    #[values("GET", "POST")] method: &str,
    #[values("", "content-length: 9\r\n")] length: &str,
    #[values(5, 60)] pause_ms: u64,
) {
    let response = format!("HTTP/1.1 200 OK\r\n{length}\r\nhalf");
    let response = RawResponse::EarlyThenReset(response, Duration::from_millis(pause_ms));
    let backend = RawBackend::start(response).await;
    let mut fleet = Fleet::start(1, 0, 0).await;
    fleet.add_raw_agent("registry", &backend).await;
    let body = "x".repeat(3 << 20);
    let refused = fleet.call(0, method, PATH, None, &body).await;
    assert_eq!(refused.status(), 502);
    assert_eq!(header(&refused, "x-bulrushward-outcome"), "unknown");
}

/// Guards against a complete stream of events that is cut because its backend server ended after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_its_last_event_is_complete_after_the_death_of_its_backend_server() {
    let stream = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n";
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let fleet = fleet_with_dying_backend("assess", format!("{head}{stream}")).await;
    let response = fleet.chat(0, &chat_request("portfolio", true, 4)).await;
    assert_eq!(read_all(response).await, (stream.to_owned(), true));
}

/// Guards against a chat that mentions the text of the last event and passes for complete after it was cut.
#[rstest]
#[case::without_length("")]
#[case::with_a_length_that_fits("content-length: 44\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_mentions_the_last_event_and_is_cut_breaks_off(#[case] length: &str) {
    let stream = "data: {\"choices\":[{\"delta\":\"the [DONE]\"}]}\n\n";
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{length}\r\n");
    let fleet = fleet_with_dying_backend("assess", format!("{head}{stream}")).await;
    let response = fleet.chat(0, &chat_request("portfolio", true, 4)).await;
    let (body, is_complete) = read_all(response).await;
    assert!(body.contains("answer-cut"), "{body}");
    assert!(!is_complete, "the cut stream looks complete");
}

/// Guards against a cut response that a caller of HTTP/1.0, which gets neither a length nor chunks, takes for complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_the_old_version_sees_that_a_long_response_was_cut() {
    let response = format!("{HEAD_UNTIL_CLOSE}{}", "x".repeat(LONG_BODY));
    let fleet = fleet_with_dying_backend("registry", response).await;
    let mut caller = TcpStream::connect(fleet.routers[0].data)
        .await
        .expect("the router accepts the connection");
    let req =
        format!("GET /svc/registry{PATH} HTTP/1.0\r\nauthorization: Bearer {API_KEY}\r\n\r\n");
    caller
        .write_all(req.as_bytes())
        .await
        .expect("the request is sent");
    let mut received = Vec::new();
    let end = caller.read_to_end(&mut received).await;
    let head: String = String::from_utf8_lossy(&received)
        .chars()
        .take(300)
        .collect();
    let is_framed = head.contains("content-length: ") || head.contains("transfer-encoding: ");
    assert!(
        end.is_err() || is_framed,
        "{} bytes look complete: {head}",
        received.len()
    );
}
