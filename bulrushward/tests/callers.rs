//! The interface for callers: request ids, headers, methods and paths.

mod support;

use rstest::rstest;
use serde_json::Value;
use support::{
    API_KEY, Fleet, chat_request, header,
    raw::{RawBackend, RawResponse, request_head, send_bytes, status},
};

/// Response of a backend server that forges headers of the fleet.
const FORGED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nx-bulrushward-request: forged\r\n\
                      x-bulrushward-backend: forged\r\nx-bulrushward-outcome: forged\r\n\
                      x-own: kept\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";

async fn fleet_with_backend(service: &str, response: RawResponse) -> (Fleet, RawBackend) {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let backend = RawBackend::start(response).await;
    fleet.add_raw_agent(service, &backend).await;
    (fleet, backend)
}

fn ok_response() -> RawResponse {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    RawResponse::Bytes(response.to_owned())
}

/// Checks the format of a refusal and returns its code.
fn refusal_code(response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let body: Value = serde_json::from_str(body).expect("the body is JSON");
    let request = body["error"]["request"].as_str().expect("a request id");
    assert!(head.contains(&format!("x-bulrushward-request: {request}")));
    assert!(head.contains("x-bulrushward-outcome: not-run"));
    assert!(head.contains("content-type: application/json"));
    assert_eq!(body["error"]["outcome"], "not-run");
    assert!(
        !body["error"]["message"]
            .as_str()
            .expect("a message")
            .is_empty()
    );
    body["error"]["code"].as_str().expect("a code").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_response_has_a_unique_request_id() {
    let fleet = Fleet::start(1, 1, 1).await;
    let router = fleet.routers[0].data;
    let mut responses = vec![
        fleet.chat(0, &chat_request("a", false, 4)).await,
        fleet.chat(0, &chat_request("a", true, 4)).await,
        fleet.call(0, "POST", "/certificates", None, "7").await,
        fleet.call(0, "HEAD", "/certificates/7", None, "").await,
    ];
    for path in ["nowhere", "svc/nowhere/x", "svc", "v1/chat/completions"] {
        let url = format!("http://{router}/{path}");
        let response = fleet.http.get(url).bearer_auth(API_KEY).send().await;
        responses.push(response.expect("the router responds"));
    }
    let mut ids: Vec<String> = responses
        .iter()
        .map(|response| header(response, "x-bulrushward-request"))
        .collect();
    assert!(ids.iter().all(|id| id.len() == 32), "{ids:?}");
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), responses.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_and_methods_are_refused_in_the_same_format() {
    let fleet = Fleet::start(1, 1, 0).await;
    let router = fleet.routers[0].data;
    for path in ["/", "/v1/models", "/admin/status", "/metrics"] {
        let response = send_bytes(router, request_head("GET", path, "").as_bytes()).await;
        assert_eq!(status(&response), 404, "{path}: {response}");
        assert_eq!(refusal_code(&response), "unknown-path");
    }
    for path in ["/svc", "/svc/", "/svc/nowhere/"] {
        let response = send_bytes(router, request_head("GET", path, "").as_bytes()).await;
        assert_eq!(status(&response), 404, "{path}: {response}");
        assert_eq!(refusal_code(&response), "unknown-service");
    }
    for method in ["GET", "PUT", "DELETE", "OPTIONS", "BREW"] {
        let request = request_head(method, "/v1/chat/completions", "");
        let response = send_bytes(router, request.as_bytes()).await;
        assert_eq!(status(&response), 405, "{method}: {response}");
        assert_eq!(refusal_code(&response), "method-not-allowed");
        assert!(response.contains("allow: POST"));
        assert!(!response.contains("access-control"), "no CORS: {response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_fleet_headers_are_removed_in_both_directions() {
    let (fleet, raw) =
        fleet_with_backend("registry", RawResponse::Bytes(FORGED_RESPONSE.to_owned())).await;
    let headers = "x-bulrushward-request: mine\r\nX-Bulrushward-Attempt: mine\r\nx-own: m\u{e9}\r\n\
                proxy-authorization: mine\r\n";
    let request = request_head("GET", "/svc/registry/a", headers);
    let response = send_bytes(fleet.routers[0].data, request.as_bytes()).await;
    assert_eq!(status(&response), 200, "{response}");
    assert!(!response.contains("forged"), "{response}");
    assert!(response.contains("x-bulrushward-backend: raw"));
    assert!(response.contains("x-own: kept"));
    let received = &raw.requests()[0];
    assert!(received.contains("x-own: m\u{e9}\r\n"), "{received}");
    for dropped in ["bulrushward", "authorization", API_KEY] {
        assert!(
            !received.to_lowercase().contains(dropped),
            "{dropped}: {received}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paths_are_forwarded_unchanged_or_refused() {
    let (fleet, raw) = fleet_with_backend("registry", ok_response()).await;
    let router = fleet.routers[0].data;
    let passed = [
        ("", "/"),
        ("/", "/"),
        ("//a//b/", "//a//b/"),
        ("/a%2Fb%20c%C3%A9", "/a%2Fb%20c%C3%A9"),
        ("/a?x=1&y=%2F..&z", "/a?x=1&y=%2F..&z"),
        ("/a/...?", "/a/...?"),
        ("/~(a)*+,;=:@!$&'", "/~(a)*+,;=:@!$&'"),
    ];
    for (sent, reached) in passed {
        let request = request_head("GET", &format!("/svc/registry{sent}"), "");
        let response = send_bytes(router, request.as_bytes()).await;
        assert_eq!(status(&response), 200, "{sent}: {response}");
        let received = raw
            .requests()
            .pop()
            .expect("the backend server received a request");
        assert!(
            received.starts_with(&format!("GET {reached} HTTP")),
            "{received}"
        );
    }
    let count = raw.requests().len();
    for sent in [
        "/a/../b",
        "/..",
        "/./a",
        "/%2e%2E/a",
        "/a\\b",
        "/a{b}",
        "/a/.%2e",
    ] {
        let request = request_head("GET", &format!("/svc/registry{sent}"), "");
        let response = send_bytes(router, request.as_bytes()).await;
        assert_eq!(status(&response), 400, "{sent}: {response}");
        assert_eq!(refusal_code(&response), "invalid-path");
    }
    assert_eq!(raw.requests().len(), count);
}

#[tokio::test(flavor = "multi_thread")]
async fn any_method_and_body_reaches_a_plain_service() {
    let (fleet, raw) = fleet_with_backend("registry", ok_response()).await;
    let router = fleet.routers[0].data;
    for method in [
        "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "BREW",
    ] {
        let response = send_bytes(
            router,
            request_head(method, "/svc/registry/a", "").as_bytes(),
        )
        .await;
        assert_eq!(status(&response), 200, "{method}: {response}");
        assert_eq!(
            response.ends_with("ok"),
            method != "HEAD",
            "{method}: {response}"
        );
        let received = raw
            .requests()
            .pop()
            .expect("the backend server received a request");
        assert!(
            received.starts_with(&format!("{method} /a HTTP")),
            "{received}"
        );
    }
    let headers = "expect: 100-continue\r\ncontent-length: 4\r\n";
    let request = request_head("POST", "/svc/registry/b", headers) + "body";
    let response = send_bytes(router, request.as_bytes()).await;
    assert!(
        response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"),
        "{response}"
    );
    let received = raw
        .requests()
        .pop()
        .expect("the backend server received a request");
    assert!(received.ends_with("\r\n\r\nbody"), "{received}");
    let headers = "transfer-encoding: chunked\r\n";
    let request =
        request_head("POST", "/svc/registry/c", headers) + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    let response = send_bytes(router, request.as_bytes()).await;
    assert_eq!(status(&response), 200, "{response}");
    let received = raw
        .requests()
        .pop()
        .expect("the backend server received a request");
    assert!(received.ends_with("\r\n\r\nbody"), "{received}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_error_of_an_engine_is_forwarded_unchanged(#[values(true, false)] stream: bool) {
    let response = "HTTP/1.1 429 Too Many Requests\r\ncontent-type: application/json\r\n\
                  retry-after: 7\r\ncontent-length: 13\r\nconnection: close\r\n\r\n{\"error\":\"x\"}";
    let (fleet, _raw) = fleet_with_backend("assess", RawResponse::Bytes(response.to_owned())).await;
    let response = fleet.chat(0, &chat_request("a", stream, 4)).await;
    assert_eq!(response.status(), 429);
    assert_eq!(header(&response, "retry-after"), "7");
    assert_eq!(header(&response, "content-type"), "application/json");
    assert_eq!(header(&response, "x-bulrushward-outcome"), "");
    assert_eq!(
        response.text().await.expect("the response is complete"),
        "{\"error\":\"x\"}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_idempotency_key_is_refused() {
    let (fleet, raw) = fleet_with_backend("registry", ok_response()).await;
    let router = fleet.routers[0].data;
    let longest = "k".repeat(255);
    for (key, expected) in [
        (longest.as_str(), 200),
        ("two words", 200),
        (&"k".repeat(256), 400),
        ("", 400),
        ("a\tb", 400),
        ("caf\u{e9}", 400),
        ("a\r\nidempotency-key: b", 400),
    ] {
        let headers = format!("idempotency-key: {key}\r\n");
        let request = request_head("POST", "/svc/registry/a", &headers);
        let response = send_bytes(router, request.as_bytes()).await;
        assert_eq!(status(&response), expected, "{key:?}: {response}");
        if expected == 400 {
            assert_eq!(refusal_code(&response), "invalid-header");
        }
    }
    assert_eq!(raw.requests().len(), 2);
}
