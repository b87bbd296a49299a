//! The etcd client against the stand-in of the key-value service.

use std::time::Duration;

use bulrushward_clients::{CasOutcome, Entry, EtcdKeyValue, KeyValue, KvError};
use bulrushward_fakes::{
    Direction, FakeKeyValue, KeyValueFaults, NetworkFault, ResponseFault, VALUE_LIMIT_BYTES,
};
use bytes::Bytes;

/// Longer than any call without a fault takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// For calls that are to fail by time.
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

/// Returns what an error says of a call that may have taken effect.
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

    let (seen, written) = tokio::join!(kv.watch("a", 2, TIMEOUT), put(&kv, 2, "three"));
    assert_eq!(written.unwrap(), CasOutcome::Written(4));
    assert_eq!(seen.unwrap(), Some(entry("three", 4)));
    assert_eq!(kv.watch("a", 4, SHORT_TIMEOUT).await.unwrap(), None);
}

#[tokio::test]
async fn watch_from_forgotten_changes_returns_the_newest_value() {
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
    let (seen, written) = tokio::join!(kv.watch("a", 300, TIMEOUT), put(&kv, 300, "new"));
    written.unwrap();
    assert_eq!(seen.unwrap(), Some(entry("new", 601)));
}

#[tokio::test]
async fn waiting_watch_counts_as_one_call_and_ends_with_its_caller() {
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
async fn damaged_answers_are_errors_and_the_next_call_works() {
    let cases = [
        (ResponseFault::Malformed, "not understood"),
        (ResponseFault::Truncated, "connection failed"),
        (ResponseFault::Oversized, "larger than"),
    ];
    for (fault, said) in cases {
        let (fake, kv) = start(TIMEOUT).await;
        fake.faults().update(|faults| faults.answer = Some(fault));
        for detail in [
            unavailable(kv.get("a").await),
            unavailable(put(&kv, 0, "one").await),
            unavailable(kv.watch("a", 7, TIMEOUT).await),
        ] {
            assert!(detail.contains(said), "{fault:?}: {detail}");
        }
        fake.faults().set(KeyValueFaults::default());
        // The answer to the write was damaged; the write took effect all the same.
        assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
        assert_eq!(
            kv.watch("a", 0, TIMEOUT).await.unwrap(),
            Some(entry("one", 1))
        );
    }
}

#[tokio::test]
async fn slow_answer_is_given_up_and_the_write_takes_effect_later() {
    let (fake, kv) = start(SHORT_TIMEOUT).await;
    fake.faults()
        .update(|faults| faults.slow = Duration::from_hours(1));
    let detail = unavailable(put(&kv, 0, "late").await);
    assert_eq!(detail, "no answer within 1000 ms");
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
async fn lost_answer_means_that_the_write_took_effect() {
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
async fn refused_writes_have_no_effect_and_reads_go_on() {
    let (fake, kv) = start(TIMEOUT).await;
    fake.faults().update(|faults| faults.refuse_writes = true);
    assert!(refused(put(&kv, 0, "one").await).contains("out of space"));
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn answer_that_tells_no_effect_apart_is_no_refusal() {
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
async fn service_that_is_down_is_unavailable_until_it_is_back() {
    let (fake, kv) = start(TIMEOUT).await;
    fake.network().take_down().await;
    assert!(unavailable(kv.get("a").await).contains("refused"));
    assert!(unavailable(put(&kv, 0, "one").await).contains("refused"));
    assert!(unavailable(kv.watch("a", 0, TIMEOUT).await).contains("refused"));
    fake.network().restore().await;
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
}

#[tokio::test]
async fn service_that_hangs_is_unavailable_in_time() {
    let (fake, kv) = start(SHORT_TIMEOUT).await;
    fake.network()
        .set_fault(NetworkFault {
            hang: true,
            ..NetworkFault::default()
        })
        .await;
    assert!(unavailable(kv.get("a").await).contains("no answer within"));
    assert!(unavailable(kv.watch("a", 0, TIMEOUT).await).contains("no answer within"));
    fake.network().restore().await;
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn silent_connection_is_left_for_a_new_one() {
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
async fn watch_ends_with_its_connection() {
    let (fake, kv) = start(TIMEOUT).await;
    let cut = async {
        while fake.counters().watches_open == 0 {
            tokio::task::yield_now().await;
        }
        fake.network().close_connections();
    };
    let (seen, ()) = tokio::join!(kv.watch("a", 0, TIMEOUT), cut);
    unavailable(seen);
}

#[tokio::test]
async fn another_gateway_is_asked_when_one_refuses_connections() {
    let down = FakeKeyValue::start().await.unwrap();
    let up = FakeKeyValue::start().await.unwrap();
    down.network().take_down().await;
    let kv = EtcdKeyValue::new(&[down.url(), up.url()], TIMEOUT);
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
    assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
    assert_eq!(up.counters().writes, 1);
}
