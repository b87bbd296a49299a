//! Tests of the etcd client with responses as the released gateway sends them, and malformed ones.

mod common;

use std::time::Duration;

use bulrushward_clients::{CasOutcome, Entry, EtcdKeyValue, KeyValue, KvError};
use bytes::Bytes;
use common::{respond_with, stall_after_head};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn client(body: &str) -> EtcdKeyValue {
    EtcdKeyValue::new(&[respond_with(body).await], TIMEOUT)
}

fn entry() -> Entry {
    Entry {
        value: Bytes::from_static(b"bar"),
        version: 9,
    }
}

#[tokio::test]
async fn responses_of_the_released_gateway_are_parsed() {
    let header = r#"{"cluster_id":"14841639068965178418","member_id":"10276657743932975437",
        "revision":"12","raft_term":"3"}"#;
    let stored = r#"{"key":"Zm9v","create_revision":"2","mod_revision":"9","version":"4",
        "value":"YmFy"}"#;

    let range = format!(r#"{{"header":{header},"kvs":[{stored}],"count":"1"}}"#);
    assert_eq!(
        client(&range).await.get("foo").await.unwrap(),
        Some(entry())
    );
    let absent = format!(r#"{{"header":{header}}}"#);
    assert_eq!(client(&absent).await.get("foo").await.unwrap(), None);

    let put = r#"{"response_put":{"header":{"revision":"12"}}}"#;
    let written = format!(r#"{{"header":{header},"succeeded":true,"responses":[{put}]}}"#);
    let outcome = client(&written)
        .await
        .compare_and_swap("foo", 9, Bytes::new())
        .await;
    assert_eq!(outcome.unwrap(), CasOutcome::Written(12));
    let range = format!(r#"{{"response_range":{{"header":{header},"kvs":[{stored}]}}}}"#);
    let conflict = format!(r#"{{"header":{header},"responses":[{range}]}}"#);
    let outcome = client(&conflict)
        .await
        .compare_and_swap("foo", 3, Bytes::new())
        .await;
    assert_eq!(outcome.unwrap(), CasOutcome::Conflict(Some(entry())));

    let header = header.replace('\n', " ");
    let stored = stored.replace('\n', " ");
    let watch = format!(
        "{{\"result\":{{\"header\":{header},\"created\":true}}}}\n\
         {{\"result\":{{\"header\":{header},\"events\":[{{\"kv\":{stored}}}]}}}}\n"
    );
    assert_eq!(
        client(&watch).await.watch("foo", 2, TIMEOUT).await.unwrap(),
        Some(entry())
    );
}

#[tokio::test]
async fn malformed_responses_are_errors() {
    let other_key = r#"{"header":{"revision":"3"},"kvs":[{"key":"b3RoZXI=","mod_revision":"2"}]}"#;
    let no_revision = r#"{"header":{"revision":"3"},"kvs":[{"key":"Zm9v","value":"YmFy"}]}"#;
    let bad_base64 = r#"{"header":{"revision":"3"},"kvs":[{"key":"Zm9v","value":"=="}]}"#;
    let bad_number = r#"{"header":{"revision":"many"}}"#;
    for body in [
        "",
        "{}",
        "[]",
        "<html>",
        other_key,
        no_revision,
        bad_base64,
        bad_number,
    ] {
        let got = client(body).await.get("foo").await;
        assert!(
            matches!(got, Err(KvError::Unavailable { .. })),
            "{body}: {got:?}"
        );
    }
}

#[tokio::test]
async fn write_with_a_malformed_response_may_have_taken_effect() {
    let no_revision = r#"{"header":{},"succeeded":true}"#;
    let no_entry = r#"{"header":{"revision":"3"}}"#;
    let wrong_branch = r#"{"header":{"revision":"3"},"responses":[{"response_put":{}}]}"#;
    for body in [
        "",
        "{}",
        "[]",
        "{\"succeeded\":true}",
        no_revision,
        no_entry,
        wrong_branch,
    ] {
        let got = client(body)
            .await
            .compare_and_swap("foo", 1, Bytes::new())
            .await;
        assert!(
            matches!(got, Err(KvError::Unavailable { .. })),
            "{body}: {got:?}"
        );
    }
}

#[tokio::test]
async fn malformed_watch_stream_is_an_error() {
    let error = "{\"error\":{\"grpc_code\":14,\"message\":\"no leader\"}}\n";
    let canceled = "{\"result\":{\"header\":{\"revision\":\"3\"},\"canceled\":true}}\n";
    for body in ["", "{}\n", "{\"result\":", error, canceled] {
        let got = client(body).await.watch("foo", 1, TIMEOUT).await;
        assert!(
            matches!(got, Err(KvError::Unavailable { .. })),
            "{body}: {got:?}"
        );
    }
}

#[tokio::test]
async fn watch_ignores_other_keys() {
    let lines =
        [("b3RoZXI=", "eA=="), ("Zm9v", "YmFy"), ("b3RoZXI=", "eA==")].map(|(key, value)| {
            let kv = format!(r#"{{"key":"{key}","mod_revision":"9","value":"{value}"}}"#);
            format!("{{\"result\":{{\"events\":[{{\"kv\":{kv}}}]}}}}\n")
        });
    let watch = client(&lines.concat()).await;
    assert_eq!(watch.watch("foo", 2, TIMEOUT).await.unwrap(), Some(entry()));
}

#[tokio::test]
async fn response_without_a_body_times_out() {
    let kv = EtcdKeyValue::new(&[stall_after_head().await], Duration::from_millis(200));
    let results = [
        kv.get("foo").await.err(),
        kv.compare_and_swap("foo", 1, Bytes::new()).await.err(),
        kv.watch("foo", 1, TIMEOUT).await.err(),
    ];
    for error in results {
        let error = error.unwrap().to_string();
        assert!(error.contains("no response within 200 ms"), "{error}");
    }
}
