//! Tests of the in-process key-value service, with paused time.

use std::time::Duration;

use bulrushward_clients::{CasOutcome, Entry, KeyValue, KvError};
use bulrushward_fakes::{KeyValueFaults, MemoryKeyValue, NetworkFault, VALUE_LIMIT_BYTES};
use bytes::Bytes;
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(1);

fn entry(value: &'static str, version: i64) -> Entry {
    Entry {
        value: Bytes::from_static(value.as_bytes()),
        version,
    }
}

async fn put(
    kv: &MemoryKeyValue,
    expected: i64,
    value: &'static str,
) -> Result<CasOutcome, KvError> {
    kv.compare_and_swap("a", expected, Bytes::from_static(value.as_bytes()))
        .await
}

#[tokio::test(start_paused = true)]
async fn supports_compare_and_swap_and_watch() {
    let kv = MemoryKeyValue::new();
    assert_eq!(put(&kv, 0, "one").await.unwrap(), CasOutcome::Written(1));
    let conflict = CasOutcome::Conflict(Some(entry("one", 1)));
    assert_eq!(put(&kv, 0, "two").await.unwrap(), conflict);
    assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
    assert_eq!(
        kv.watch("a", 0, TIMEOUT).await.unwrap(),
        Some(entry("one", 1))
    );

    let (seen, written) = tokio::join!(kv.watch("a", 1, TIMEOUT), put(&kv, 1, "two"));
    written.unwrap();
    assert_eq!(seen.unwrap(), Some(entry("two", 2)));
    let started = Instant::now();
    assert_eq!(kv.watch("a", 2, TIMEOUT).await.unwrap(), None);
    assert_eq!(started.elapsed(), TIMEOUT);
    let counters = kv.counters();
    assert_eq!(
        (counters.reads, counters.writes, counters.watches),
        (1, 3, 3)
    );
    assert_eq!(counters.watches_open, 0);
}

#[tokio::test(start_paused = true)]
async fn fast_watcher_sees_every_value() {
    let kv = MemoryKeyValue::new();
    let writer = kv.clone();
    tokio::spawn(async move {
        for version in 0..20 {
            sleep(Duration::from_millis(10)).await;
            put(&writer, version, "x").await.unwrap();
        }
    });
    for version in 0..20 {
        let seen = kv.watch("a", version, TIMEOUT).await.unwrap();
        assert_eq!(seen, Some(entry("x", version + 1)));
    }
}

#[tokio::test(start_paused = true)]
async fn write_with_a_lost_response_takes_effect() {
    for hang_lost_answers in [false, true] {
        let kv = MemoryKeyValue::new().with_timeout(TIMEOUT);
        let faults = KeyValueFaults {
            lose_answers: 1,
            hang_lost_answers,
            ..Default::default()
        };
        kv.faults().set(faults);
        let lost = put(&kv, 0, "one").await;
        assert!(matches!(lost, Err(KvError::Unavailable { .. })), "{lost:?}");
        assert_eq!(kv.get("a").await.unwrap(), Some(entry("one", 1)));
    }
}

#[tokio::test(start_paused = true)]
async fn slow_write_takes_effect_after_its_caller_timed_out() {
    let kv = MemoryKeyValue::new().with_timeout(TIMEOUT);
    kv.faults().update(|faults| faults.slow = 2 * TIMEOUT);
    let late = put(&kv, 0, "late").await;
    assert!(matches!(late, Err(KvError::Unavailable { .. })), "{late:?}");
    assert_eq!(kv.stored("a"), None);
    sleep(2 * TIMEOUT).await;
    assert_eq!(kv.stored("a"), Some(entry("late", 1)));
}

#[tokio::test(start_paused = true)]
async fn rejected_writes_have_no_effect() {
    let kv = MemoryKeyValue::new();
    kv.faults().update(|faults| faults.refuse_writes = true);
    let refused = put(&kv, 0, "one").await;
    assert!(
        matches!(refused, Err(KvError::Refused { .. })),
        "{refused:?}"
    );
    kv.faults().set(KeyValueFaults::default());
    let larger = Bytes::from(vec![0; VALUE_LIMIT_BYTES + 1]);
    let refused = kv.compare_and_swap("a", 0, larger).await;
    assert!(
        matches!(refused, Err(KvError::Refused { .. })),
        "{refused:?}"
    );
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn one_client_can_be_disconnected_alone() {
    let near = MemoryKeyValue::new();
    let far = near.with_own_network();
    far.network().set(NetworkFault {
        refuse: true,
        ..NetworkFault::default()
    });
    assert!(put(&far, 0, "far").await.is_err());
    assert_eq!(put(&near, 0, "near").await.unwrap(), CasOutcome::Written(1));

    far.network().set(NetworkFault {
        hang: true,
        ..NetworkFault::default()
    });
    assert!(
        far.get("a")
            .await
            .unwrap_err()
            .to_string()
            .contains("no response in time")
    );
    far.network().set(NetworkFault::default());
    assert_eq!(far.get("a").await.unwrap(), Some(entry("near", 1)));
}

#[tokio::test(start_paused = true)]
async fn watch_fails_when_the_network_goes_down() {
    let kv = MemoryKeyValue::new();
    let down = async {
        sleep(TIMEOUT / 2).await;
        kv.network().set(NetworkFault {
            refuse: true,
            ..NetworkFault::default()
        });
    };
    let (seen, ()) = tokio::join!(kv.watch("a", 0, TIMEOUT), down);
    assert!(matches!(seen, Err(KvError::Unavailable { .. })), "{seen:?}");
}
