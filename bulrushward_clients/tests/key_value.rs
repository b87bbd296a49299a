//! Tests of the etcd client against a fake key-value service.

use std::time::Duration;

use bulrushward_clients::{CasOutcome, Entry, EtcdKeyValue, KeyValue, KvError};
use bulrushward_fakes::{
    Direction, FakeKeyValue, KeyValueFaults, NetworkFault, ResponseFault, VALUE_LIMIT_BYTES,
};
use bytes::Bytes;

/// Timeout that no call without a fault exceeds.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of calls that are expected to time out.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

async fn start(timeout: Duration) -> (FakeKeyValue, EtcdKeyValue) {
    let fake = FakeKeyValue::start().await.unwrap();
    let client = EtcdKeyValue::new(&[fake.url()], timeout);
    (fake, client)
}

fn entry(value: &'static str, version: i64) -> Entry {
    Entry {
        value: Bytes::from_static(value.as_bytes()),
        version,
    }
}

async fn put(kv: &EtcdKeyValue, expected: i64, value: &'static str) -> Result<CasOutcome, KvError> {
    kv.compare_and_swap("a", expected, Bytes::from_static(value.as_bytes()))
        .await
}

/// Returns the detail of an error after which the call may have taken effect.
#[track_caller]
fn unavailable<T: std::fmt::Debug>(result: Result<T, KvError>) -> String {
    match result {
        Err(KvError::Unavailable { key, detail }) if key == "a" => detail,
        other => panic!("expected an unavailable service, got {other:?}"),
    }
}

#[track_caller]
fn refused<T: std::fmt::Debug>(result: Result<T, KvError>) -> String {
    match result {
        Err(KvError::Refused { key, detail }) if key == "a" => detail,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[tokio::test]
async fn absent_key_is_created_once() {
    let (_fake, kv) = start(TIMEOUT).await;
    assert_eq!(kv.get("a").await.unwrap(), None);
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
    assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));

    let second = put(&kv, 0, "two").await.unwrap();
    assert_eq!(second, CasOutcome::Conflict(Some(entry("one", 1))));
    assert_eq!(put(&kv, 1, "two").await.unwrap(), CasOutcome::Written(2));
}

#[tokio::test]
async fn swap_of_an_absent_key_conflicts() {
    let (_fake, kv) = start(TIMEOUT).await;
    assert_eq!(put(&kv, 7, "x").await.unwrap(), CasOutcome::Conflict(None));
}

#[tokio::test]
async fn watch_returns_the_newest_value_and_then_waits() {
    let (_fake, kv) = start(TIMEOUT).await;
    put(&kv, 0, "one").await.unwrap();
    put(&kv, 1, "two").await.unwrap();
    kv.compare_and_swap("other", 0, Bytes::from_static(b"x"))
        .await
        .unwrap();
    assert_eq!(
        kv.watch("a", 0, TIMEOUT).await.unwrap(),
        Some(entry("two", 2))
    );

    let (watched, written) = tokio::join!(kv.watch("a", 2, TIMEOUT), put(&kv, 2, "three"));
    assert_eq!(written.unwrap(), CasOutcome::Written(4));
    assert_eq!(watched.unwrap(), Some(entry("three", 4)));
    assert_eq!(kv.watch("a", 4, SHORT_TIMEOUT).await.unwrap(), None);
}

#[tokio::test]
async fn watch_from_a_compacted_revision_returns_the_newest_value() {
    let (_fake, kv) = start(TIMEOUT).await;
    for version in 0..300 {
        put(&kv, version, "x").await.unwrap();
    }
    assert_eq!(
        kv.watch("a", 1, TIMEOUT).await.unwrap(),
        Some(entry("x", 300))
    );

    for expected in 0..300 {
        let expected = if expected == 0 { 0 } else { 300 + expected };
        kv.compare_and_swap("other", expected, Bytes::new())
            .await
            .unwrap();
    }
    let (watched, written) = tokio::join!(kv.watch("a", 300, TIMEOUT), put(&kv, 300, "new"));
    written.unwrap();
    assert_eq!(watched.unwrap(), Some(entry("new", 601)));
}

#[tokio::test]
async fn watch_is_one_call_and_is_closed_after_its_timeout() {
    let (fake, kv) = start(TIMEOUT).await;
    assert_eq!(kv.watch("a", 0, SHORT_TIMEOUT).await.unwrap(), None);
    kv.get("a").await.unwrap();
    put(&kv, 0, "x").await.unwrap();
    let counters = fake.counters();
    assert_eq!(
        (counters.reads, counters.writes, counters.watches),
        (1, 1, 1)
    );
    while fake.counters().watches_open > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn damaged_responses_are_errors_and_the_next_call_succeeds() {
    let cases = [
        (ResponseFault::Malformed, "could not be parsed"),
        (ResponseFault::Truncated, "connection failed"),
        (ResponseFault::Oversized, "larger than"),
    ];
    for (fault, message) in cases {
        let (fake, kv) = start(TIMEOUT).await;
        fake.faults().update(|faults| faults.answer = Some(fault));
        for detail in [
            unavailable(kv.get("a").await),
            unavailable(put(&kv, 0, "one").await),
            unavailable(kv.watch("a", 7, TIMEOUT).await),
        ] {
            assert!(detail.contains(message), "{fault:?}: {detail}");
        }
        fake.faults().set(KeyValueFaults::default());
        // Only the response to the write was damaged; the write itself took effect.
        assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
        assert_eq!(
            kv.watch("a", 0, TIMEOUT).await.unwrap(),
            Some(entry("one", 1))
        );
    }
}

#[tokio::test]
async fn slow_response_times_out_and_the_write_takes_effect_later() {
    let (fake, kv) = start(SHORT_TIMEOUT).await;
    fake.faults()
        .update(|faults| faults.slow = Duration::from_hours(1));
    let detail = unavailable(put(&kv, 0, "late").await);
    assert_eq!(detail, "no response within 1000 ms");
    while fake.network().connections() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(fake.stored("a"), None);
    fake.faults().set(KeyValueFaults::default());
    assert_eq!(
        kv.watch("a", 0, TIMEOUT).await.unwrap(),
        Some(entry("late", 1))
    );
}

#[tokio::test]
async fn write_with_a_lost_response_takes_effect() {
    for hang_lost_answers in [false, true] {
        let (fake, kv) = start(SHORT_TIMEOUT).await;
        fake.faults().set(KeyValueFaults {
            lose_answers: 1,
            hang_lost_answers,
            ..KeyValueFaults::default()
        });
        unavailable(put(&kv, 0, "one").await);
        assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
        assert_eq!(put(&kv, 1, "two").await.unwrap(), CasOutcome::Written(2));
    }
}

#[tokio::test]
async fn refused_writes_have_no_effect_and_reads_still_work() {
    let (fake, kv) = start(TIMEOUT).await;
    fake.faults().update(|faults| faults.refuse_writes = true);
    assert!(refused(put(&kv, 0, "one").await).contains("out of space"));
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn error_after_a_possible_effect_is_not_a_refusal() {
    let (fake, kv) = start(TIMEOUT).await;
    fake.faults().update(|faults| faults.unavailable = true);
    assert!(unavailable(put(&kv, 0, "one").await).contains("code 14"));
    assert!(unavailable(kv.get("a").await).contains("code 14"));
    assert!(unavailable(kv.watch("a", 0, TIMEOUT).await).contains("code 14"));
}

#[tokio::test]
async fn value_limit_is_enforced() {
    let (_fake, kv) = start(TIMEOUT).await;
    let largest = Bytes::from(vec![7; VALUE_LIMIT_BYTES]);
    let written = kv.compare_and_swap("a", 0, largest.clone()).await.unwrap();
    assert_eq!(written, CasOutcome::Written(1));
    assert_eq!(kv.get("a").await.unwrap().unwrap().value, largest);
    assert_eq!(
        kv.watch("a", 0, TIMEOUT).await.unwrap().unwrap().value,
        largest
    );

    let larger = Bytes::from(vec![7; VALUE_LIMIT_BYTES + 1]);
    let detail = refused(kv.compare_and_swap("a", 1, larger).await);
    assert!(
        detail.contains("\"a\" has 1000001 bytes, more than 1000000"),
        "{detail}"
    );
}

#[tokio::test]
async fn service_is_unavailable_while_it_is_down() {
    let (fake, kv) = start(TIMEOUT).await;
    fake.network().take_down().await;
    assert!(unavailable(kv.get("a").await).contains("refused"));
    assert!(unavailable(put(&kv, 0, "one").await).contains("refused"));
    assert!(unavailable(kv.watch("a", 0, TIMEOUT).await).contains("refused"));
    fake.network().restore().await;
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
}

#[tokio::test]
async fn hanging_service_times_out() {
    let (fake, kv) = start(SHORT_TIMEOUT).await;
    fake.network()
        .set_fault(NetworkFault {
            hang: true,
            ..NetworkFault::default()
        })
        .await;
    assert!(unavailable(kv.get("a").await).contains("no response within"));
    assert!(unavailable(kv.watch("a", 0, TIMEOUT).await).contains("no response within"));
    fake.network().restore().await;
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let (fake, kv) = start(SHORT_TIMEOUT).await;
        kv.get("a").await.unwrap();
        fake.network().stall(direction);
        unavailable(kv.get("a").await);
        assert_eq!(kv.get("a").await.unwrap(), None);
        assert_eq!(fake.network().accepted(), 2);
    }
}

#[tokio::test]
async fn watch_fails_when_its_connection_is_closed() {
    let (fake, kv) = start(TIMEOUT).await;
    let disconnect = async {
        while fake.counters().watches_open == 0 {
            tokio::task::yield_now().await;
        }
        fake.network().close_connections();
    };
    let (watched, ()) = tokio::join!(kv.watch("a", 0, TIMEOUT), disconnect);
    unavailable(watched);
}

#[tokio::test]
async fn next_gateway_is_used_when_one_refuses_connections() {
    let down = FakeKeyValue::start().await.unwrap();
    let up = FakeKeyValue::start().await.unwrap();
    down.network().take_down().await;
    let kv = EtcdKeyValue::new(&[down.url(), up.url()], TIMEOUT);
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
    assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
    assert_eq!(up.counters().writes, 1);
}
