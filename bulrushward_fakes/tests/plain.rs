//! Tests of the fake plain service and its faults.

use std::time::Duration;

use bulrushward_fakes::{CrashPoint, FakePlain, PlainFaults, PlainResponse, PlainSettings};
use reqwest::Client;

async fn start() -> FakePlain {
    FakePlain::start(PlainSettings::default()).await.unwrap()
}

async fn call(fake: &FakePlain, key: &str, body: &str) -> reqwest::Result<PlainResponse> {
    let request = Client::new().post(format!("{}/wipe/7", fake.url()));
    request
        .header("idempotency-key", key)
        .body(body.to_owned())
        .send()
        .await?
        .json()
        .await
}

fn counts(fake: &FakePlain) -> Vec<u64> {
    fake.executions()
        .into_iter()
        .map(|execution| execution.count)
        .collect()
}

#[tokio::test]
async fn executions_are_counted_by_key_path_and_body() {
    let fake = start().await;
    assert_eq!(call(&fake, "k1", "x").await.unwrap().execution, 1);
    assert_eq!(call(&fake, "k1", "x").await.unwrap().execution, 2);
    assert_eq!(call(&fake, "k1", "y").await.unwrap().execution, 1);
    let third = call(&fake, "k2", "x").await.unwrap();
    assert_eq!(
        (third.execution, third.action.path.as_str()),
        (1, "/wipe/7")
    );
    assert_eq!(counts(&fake), [2, 1, 1]);
}

#[tokio::test]
async fn service_crashes_before_or_after_the_execution() {
    for (point, executed) in [
        (CrashPoint::BeforeExecution, 0),
        (CrashPoint::AfterExecution, 1),
    ] {
        let fake = start().await;
        let crash_on = "poison".to_owned();
        fake.faults().set(PlainFaults {
            crash: Some(point),
            crash_on,
            ..PlainFaults::default()
        });
        call(&fake, "k", "harmless").await.unwrap();
        call(&fake, "k", "poison").await.unwrap_err();
        while fake.crashes() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(call(&fake, "k", "harmless").await.unwrap_err().is_connect());
        assert_eq!(counts(&fake).len(), 1 + executed, "{point:?}");

        fake.faults().set(PlainFaults::default());
        fake.network().restore().await;
        call(&fake, "k", "poison").await.unwrap();
    }
}

#[tokio::test]
async fn crash_ends_concurrent_requests() {
    let fake = start().await;
    let faults = PlainFaults {
        delay_answer: Duration::from_hours(1),
        ..PlainFaults::default()
    };
    fake.faults().set(faults.clone());
    let poison = async {
        while counts(&fake) != [1] {
            tokio::task::yield_now().await;
        }
        let crash_on = "poison".to_owned();
        fake.faults().set(PlainFaults {
            crash: Some(CrashPoint::AfterExecution),
            crash_on,
            ..faults.clone()
        });
        call(&fake, "k", "poison").await.unwrap_err();
    };
    let (innocent, ()) = tokio::join!(call(&fake, "k", "innocent"), poison);
    innocent.unwrap_err();
    assert_eq!(counts(&fake), [1, 1]);
}

#[tokio::test]
async fn truncated_response_follows_an_execution() {
    let fake = start().await;
    fake.faults().update(|faults| faults.cut_answers = 1);
    call(&fake, "k", "x").await.unwrap_err();
    assert_eq!(counts(&fake), [1]);
    assert_eq!(call(&fake, "k", "x").await.unwrap().execution, 2);
}

#[tokio::test]
async fn execution_continues_after_its_caller_disconnects() {
    let fake = start().await;
    fake.faults()
        .update(|faults| faults.delay_execution = Duration::from_hours(1));
    let timed_out = tokio::time::timeout(Duration::from_millis(300), call(&fake, "k", "x")).await;
    assert!(timed_out.is_err());
    assert!(counts(&fake).is_empty());
    fake.faults().set(PlainFaults::default());
    while counts(&fake) != [1] {
        tokio::task::yield_now().await;
    }
}
