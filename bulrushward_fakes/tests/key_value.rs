//! Tests of the JSON gateway over HTTP: leases, counters and fault requests.

use bulrushward_fakes::{FakeKeyValue, KeyValueCounters};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

/// Key `a`, in base64.
const KEY: &str = "YQ==";

async fn post(fake: &FakeKeyValue, path: &str, body: Value) -> Value {
    let url = format!("{}{path}", fake.url());
    let response = Client::new().post(url).json(&body).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    response.json().await.unwrap()
}

/// Writes the key, with the snake-case spelling of the gateway's field names.
async fn put_leased(fake: &FakeKeyValue, lease: &Value) {
    let put = json!({"request_put": {"key": KEY, "value": "eA==", "lease": lease}});
    let compare = json!({"target": "MOD", "result": "EQUAL", "key": KEY, "mod_revision": "0"});
    let txn = post(
        fake,
        "/v3/kv/txn",
        json!({"compare": [compare], "success": [put]}),
    )
    .await;
    assert_eq!(txn["succeeded"], true);
}

async fn exists(fake: &FakeKeyValue) -> bool {
    let range = post(fake, "/v3/kv/range", json!({"key": KEY})).await;
    !range["kvs"].as_array().unwrap().is_empty()
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let fake = FakeKeyValue::start().await.unwrap();
    let lease = post(&fake, "/v3/lease/grant", json!({"TTL": "3600"})).await;
    put_leased(&fake, &lease["ID"]).await;
    let kept = post(&fake, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await;
    assert_eq!(kept["result"]["TTL"], "3600");
    assert!(exists(&fake).await);

    fake.expire_leases();
    assert!(!exists(&fake).await);
    let kept = post(&fake, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await;
    assert_eq!(kept["result"]["TTL"], "0");
}

#[tokio::test]
async fn lease_ends_by_timeout_or_revocation() {
    let fake = FakeKeyValue::start().await.unwrap();
    let lease = post(&fake, "/v3/lease/grant", json!({"TTL": "1"})).await;
    put_leased(&fake, &lease["ID"]).await;
    while exists(&fake).await {
        tokio::task::yield_now().await;
    }
    let lease = post(&fake, "/v3/lease/grant", json!({"TTL": "3600"})).await;
    put_leased(&fake, &lease["ID"]).await;
    post(&fake, "/v3/lease/revoke", json!({"ID": lease["ID"]})).await;
    assert!(!exists(&fake).await);
}

#[tokio::test]
async fn counters_count_calls_by_kind() {
    let fake = FakeKeyValue::start().await.unwrap();
    let lease = post(&fake, "/v3/lease/grant", json!({"TTL": "3600"})).await;
    put_leased(&fake, &lease["ID"]).await;
    exists(&fake).await;
    let url = format!("{}/counters", fake.url());
    let counters = Client::new().get(url).send().await.unwrap();
    let counters: KeyValueCounters = counters.json().await.unwrap();
    let expected = KeyValueCounters {
        reads: 1,
        writes: 1,
        lease_grants: 1,
        ..KeyValueCounters::default()
    };
    assert_eq!(counters, expected);
}

#[tokio::test]
async fn admin_address_accepts_faults_while_the_service_is_down() {
    let fake = FakeKeyValue::start().await.unwrap();
    let fault = format!("http://{}/fault", fake.addresses().admin);
    let client = Client::new();
    let set = |body: Value| client.put(&fault).json(&body).send();

    let down = json!({"network": {"refuse": true}, "cut": true, "faults": {"slow_ms": 5}});
    assert_eq!(set(down).await.unwrap().status(), StatusCode::OK);
    assert_eq!(fake.faults().get().slow.as_millis(), 5);
    let health = client.get(format!("{}/health", fake.url()));
    assert!(
        health
            .try_clone()
            .unwrap()
            .send()
            .await
            .unwrap_err()
            .is_connect()
    );

    let unknown = set(json!({"faults": {"slowness": 5}})).await.unwrap();
    assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
    assert!(
        unknown
            .text()
            .await
            .unwrap()
            .contains("unknown field `slowness`")
    );

    set(json!({})).await.unwrap();
    assert_eq!(health.send().await.unwrap().status(), StatusCode::OK);
    assert_eq!(fake.faults().get().slow.as_millis(), 0);
}
