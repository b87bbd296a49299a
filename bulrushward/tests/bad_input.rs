//! Malformed requests, inner messages and responses: each gets a clear error, and other requests are
//! not affected.

mod support;

use std::time::Duration;

use bulrushward_protocol::{Frame, FrameDecoder, Header, RefusalReason, RunRequest, encode};
use rstest::rstest;
use serde_json::Value;
use support::{
    Fleet, Process, chat_request, header,
    raw::{RawBackend, RawResponse, request_head, send_bytes, send_slowly, status},
};

/// Maximum size of an inner message, which a router sends to an agent, in bytes.
const INNER_LIMIT: usize = 64 << 20;
/// Time that a caller may take on the router with a short timeout.
const CALLER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between bytes of a slow caller.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);

fn post(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = format!("content-length: {}\r\n{headers}", body.len());
    [request_head("POST", path, &length).as_bytes(), body].concat()
}

fn post_chat(body: &[u8]) -> Vec<u8> {
    post("/v1/chat/completions", "", body)
}

fn refusal_code(response: &str) -> String {
    let (_head, body) = response.split_once("\r\n\r\n").expect("a head");
    let body: Value = serde_json::from_str(body).expect("the body is JSON");
    assert_eq!(body["error"]["outcome"], "not-run");
    body["error"]["code"].as_str().expect("a code").to_owned()
}

async fn is_complete(chat: reqwest::Response) -> bool {
    chat.text()
        .await
        .is_ok_and(|body| body.contains("data: [DONE]"))
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_chat_requests_are_refused_without_affecting_a_running_chat() {
    let fleet = Fleet::start(1, 1, 0).await;
    let router = fleet.routers[0].data;
    let running = fleet.chat(0, &chat_request("portfolio", true, 400)).await;
    let nested = "[".repeat(100_000);
    let nested_content = format!(
        r#"{{"model":"tutor","messages":[{{"role":"user","content":{}{}}}]}}"#,
        "[".repeat(1_000),
        "]".repeat(1_000)
    );
    let bad: [&[u8]; 17] = [
        b"",
        b"{",
        b"null",
        b"[]",
        b"\"chat\"",
        b"\xff\xfe",
        b"{\"model\":\"tutor\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}",
        br#"{"messages":[{"role":"user","content":"x"}]}"#,
        br#"{"model":"tutor"}"#,
        br#"{"model":"tutor","messages":[]}"#,
        br#"{"model":"tutor","messages":{}}"#,
        br#"{"model":7,"messages":[{"role":"user","content":"x"}]}"#,
        br#"{"model":"tutor","messages":[{"content":"x"}]}"#,
        br#"{"model":"tutor","messages":[{"role":"user"}],"stream":"yes"}"#,
        br#"{"model":"tutor","messages":[{"role":"user"}],"max_tokens":18446744073709551615}"#,
        nested.as_bytes(),
        nested_content.as_bytes(),
    ];
    for body in bad {
        let response = send_bytes(router, &post_chat(body)).await;
        let shown = String::from_utf8_lossy(&body[..body.len().min(80)]);
        assert_eq!(status(&response), 400, "{shown}: {response}");
        assert_eq!(refusal_code(&response), "invalid-body", "{shown}");
    }
    let unknown = format!(
        r#"{{"model":"{}","messages":[{{"role":"user"}}]}}"#,
        "m".repeat(5_000)
    );
    let response = send_bytes(router, &post_chat(unknown.as_bytes())).await;
    assert_eq!(status(&response), 404, "{response}");
    assert_eq!(refusal_code(&response), "unknown-model");
    assert!(
        response.len() < 1_000,
        "a long name is truncated in the message"
    );
    let null_stream =
        br#"{"model":"tutor","messages":[{"role":"user","content":"x"}],"stream":null}"#;
    let response = send_bytes(router, &post_chat(null_stream)).await;
    assert!(
        response.contains("x-bulrushward-backend: engine-0"),
        "the router forwards null to the engine: {response}"
    );
    assert!(is_complete(running).await);
}

#[rstest]
#[case::bad_length(post("/svc/registry/a", "content-length: 1\r\n", b"body"), 400)]
#[case::not_http(b"\x16\x03\x01\x02\x00 hello\r\n\r\n".to_vec(), 400)]
#[case::bad_header(request_head("GET", "/svc/registry/a", "a b: c\r\n").into_bytes(), 400)]
#[case::bad_header_value(
    request_head("GET", "/svc/registry/a", "a: b\r\nx-work-kind: \u{e9}\r\n").into_bytes(), 400
)]
#[case::value_not_utf8(
    [b"GET /svc/registry/a HTTP/1.1\r\nauthorization: Bearer test-key\r\nx: \xff\r\n\
       connection: close\r\n\r\n".as_slice()].concat(), 400
)]
#[case::large_headers(
    request_head("GET", "/svc/registry/a", &format!("x: {}\r\n", "y".repeat(70_000))).into_bytes(), 431
)]
#[case::endless_headers(
    request_head("GET", "/svc/registry/a", &format!("x: {}\r\n", "y".repeat(500_000))).into_bytes(), 431
)]
#[case::many_headers(
    request_head("GET", "/svc/registry/a", &"x: y\r\n".repeat(101)).into_bytes(), 431
)]
#[case::announced_too_large(
    request_head("POST", "/svc/registry/a", "content-length: 4194305\r\n").into_bytes(), 413
)]
#[case::chunks_too_large(
    [
        request_head("POST", "/svc/registry/a", "transfer-encoding: chunked\r\n").as_bytes(),
        b"400001\r\n",
        &vec![b'x'; (4 << 20) + 1],
        b"\r\n0\r\n\r\n",
    ].concat(),
    413
)]
#[case::bad_chunk(
    (request_head("POST", "/svc/registry/a", "transfer-encoding: chunked\r\n") + "zz\r\n").into_bytes(),
    400
)]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_is_refused_and_the_next_request_is_served(
    #[case] request: Vec<u8>,
    #[case] expected: u16,
) {
    let fleet = Fleet::start(1, 0, 1).await;
    let response = send_bytes(fleet.routers[0].data, &request).await;
    assert_eq!(status(&response), expected, "{response}");
    assert!(fleet.plains[0].executions().is_empty());
    let next = fleet.call(0, "GET", "/certificates/7", None, "").await;
    assert_eq!(next.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_caller_times_out_without_affecting_a_long_response() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    let timeout = CALLER_TIMEOUT.as_millis().to_string();
    fleet
        .add_router("short-timeout", &["--caller-timeout-ms", &timeout])
        .await;
    let router = fleet.routers[1].data;
    // The response takes several times as long as a caller may take to send its request.
    let running = fleet.chat(1, &chat_request("portfolio", true, 400)).await;
    let slow_head = send_slowly(router, b"GET / HTTP/1.1\r\nx: ", b'y', BYTE_INTERVAL).await;
    assert!([0, 408].contains(&status(&slow_head)), "{slow_head}");
    let slow_start = send_slowly(router, b"G", b'G', BYTE_INTERVAL).await;
    assert!([0, 400, 408].contains(&status(&slow_start)), "{slow_start}");
    let request = request_head("POST", "/v1/chat/completions", "content-length: 100000\r\n");
    let slow_body = send_slowly(router, request.as_bytes(), b' ', BYTE_INTERVAL).await;
    assert_eq!(status(&slow_body), 408, "{slow_body}");
    assert_eq!(refusal_code(&slow_body), "slow-body");
    assert!(is_complete(running).await);
}

fn run_request() -> RunRequest {
    RunRequest {
        request: 1,
        attempt: 2,
        agent: 3,
        service: "registry".to_owned(),
        organisation: "examiners".to_owned(),
        kind: "review".to_owned(),
        chat: 1,
        work: 1,
        deadline_ms: 10_000,
        action: None,
        fingerprint: 1,
        suspect: false,
        revision: 1,
        method: "GET".to_owned(),
        path: "/certificates".to_owned(),
        headers: Vec::new(),
        body: "x".into(),
    }
}

/// Sends a message to an agent and returns the status and the reason of its refusal.
async fn send_and_get_refusal(
    fleet: &Fleet,
    agent: &Process,
    path: &str,
    body: Vec<u8>,
) -> (u16, RefusalReason) {
    let url = format!("http://{}{path}", agent.data);
    let request = if body.is_empty() && path.starts_with("/inner/attempts") {
        fleet.http.get(url)
    } else {
        fleet.http.post(url).body(body)
    };
    let response = request.send().await.expect("the agent responds");
    let status = response.status().as_u16();
    let mut decoder = FrameDecoder::default();
    decoder.push(&response.bytes().await.expect("the response is complete"));
    match decoder.next_frame() {
        Ok(Some(Frame::Refused(refusal))) => {
            assert!(!refusal.message.is_empty());
            (status, refusal.reason)
        }
        other => panic!("expected a refusal: {status} {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_inner_messages_are_refused_and_the_agent_keeps_serving() {
    let fleet = Fleet::start(1, 0, 1).await;
    let agent = &fleet.agents[0];
    let bad = (400, RefusalReason::BadRequest);
    let good = encode(&run_request()).expect("the request encodes");
    let mut messages: Vec<Vec<u8>> = (0..good.len()).map(|end| good[..end].to_vec()).collect();
    messages.push([&[good[0] + 1], &good[1..]].concat());
    messages.push([good.as_slice(), &[0]].concat());
    // A linear congruential generator produces the same messages in every run.
    let mut state = 1_u64;
    for length in 1..100 {
        let mut message = vec![good[0]];
        for _ in 0..length {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            message.push((state >> 56) as u8);
        }
        messages.push(message);
    }
    for message in messages {
        for path in ["/inner/run", "/inner/bar"] {
            let found = send_and_get_refusal(&fleet, agent, path, message.clone()).await;
            assert_eq!(found, bad, "{path} {message:?}");
        }
    }
    let node = agent.node.clone();
    let incarnation = fleet.incarnation(&node);
    let invalid_changes: [fn(&mut RunRequest); 6] = [
        |run| run.deadline_ms = u64::MAX,
        |run| run.work = u64::MAX,
        |run| run.method = "G T".to_owned(),
        |run| run.path = "@127.0.0.1:1/".to_owned(),
        |run| {
            run.headers = vec![Header {
                name: "a b".to_owned(),
                value: String::new(),
            }];
        },
        |run| {
            run.headers = vec![Header {
                name: "a".to_owned(),
                value: "b\r\nc: d".to_owned(),
            }];
        },
    ];
    for (n, change) in invalid_changes.iter().enumerate() {
        let mut run = run_request();
        run.agent = incarnation;
        change(&mut run);
        let message = encode(&run).expect("the request encodes");
        let found = send_and_get_refusal(&fleet, agent, "/inner/run", message).await;
        assert_eq!(found, bad, "change {n}");
    }
    let found = send_and_get_refusal(&fleet, agent, "/inner/run", good).await;
    assert_eq!(found.1, RefusalReason::Restarted, "wrong incarnation");
    for path in [
        "/inner/attempts/xyz",
        "/inner/attempts/-1",
        "/inner/attempts/2?from=x",
    ] {
        assert_eq!(
            send_and_get_refusal(&fleet, agent, path, Vec::new()).await,
            bad,
            "{path}"
        );
    }
    let found = send_and_get_refusal(&fleet, agent, "/inner/attempts/2", Vec::new()).await;
    assert_eq!(found, (404, RefusalReason::Restarted));
    assert!(fleet.plains[0].executions().is_empty());
    let next = fleet.call(0, "GET", "/certificates/7", None, "").await;
    assert_eq!(next.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_oversized_inner_message_is_refused_before_it_is_read() {
    let fleet = Fleet::start(1, 0, 1).await;
    for path in ["/inner/run", "/inner/bar"] {
        let length = format!("content-length: {}\r\n", INNER_LIMIT + 1);
        let response = send_bytes(
            fleet.agents[0].data,
            request_head("POST", path, &length).as_bytes(),
        )
        .await;
        assert_eq!(status(&response), 400, "{response}");
        assert!(response.contains("the limit is 67108864"), "{response}");
    }
    let next = fleet.call(0, "GET", "/certificates/7", None, "").await;
    assert_eq!(next.status(), 200);
}

#[rstest]
#[case::not_http("SSH-2.0-server\r\n")]
#[case::empty("")]
#[case::truncated_head("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::short_body("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort")]
#[case::bad_length("HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\nx")]
#[case::truncated_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab")]
#[case::endless_headers("endless")]
#[case::status_000("HTTP/1.1 000 x\r\ncontent-length: 1\r\n\r\nx")]
#[case::status_101("HTTP/1.1 101 Switching Protocols\r\n\r\nx")]
#[case::status_600("HTTP/1.1 600 x\r\ncontent-length: 1\r\n\r\nx")]
#[case::status_999("HTTP/1.1 999 x\r\ncontent-length: 1\r\n\r\nx")]
#[case::status_1000("HTTP/1.1 1000 x\r\ncontent-length: 1\r\n\r\nx")]
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_response_of_a_backend_server_becomes_a_502_with_its_outcome(
    #[case] response: &str,
    #[values("GET", "POST")] method: &str,
) {
    let response = if response == "endless" {
        RawResponse::EndlessHeaders
    } else {
        RawResponse::Bytes(response.to_owned())
    };
    let mut fleet = Fleet::start(1, 1, 0).await;
    let raw = RawBackend::start(response).await;
    fleet.add_raw_agent("registry", &raw).await;
    let refused = fleet.call(0, method, "/a", None, "x").await;
    assert_eq!(refused.status(), 502);
    assert_eq!(header(&refused, "x-bulrushward-outcome"), "unknown");
    assert!(!header(&refused, "retry-after").is_empty());
    let refused: Value = refused.json().await.expect("the body is JSON");
    assert_eq!(refused["error"]["code"], "backend-failed");
    if method == "POST" {
        assert_eq!(raw.requests().len(), 1, "an action is not retried");
    }
    let chat = fleet.chat(0, &chat_request("portfolio", true, 4)).await;
    assert!(is_complete(chat).await);
}
