//! The etcd client against the stand-in of the key-value service.

use std::time::Duration;

use bulrushward_fakes::FakeKeyValue;
use bulrushward_platform::{CasOutcome, Entry, EtcdKeyValue, KeyValue};
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> (FakeKeyValue, EtcdKeyValue) {
    let fake = FakeKeyValue::start().await.unwrap();
    let client = EtcdKeyValue::new(&[fake.url()], TIMEOUT);
    (fake, client)
}

#[tokio::test]
async fn absent_key_is_created_once() {
    let (_fake, kv) = start().await;
    assert_eq!(kv.get("a").await.unwrap(), None);

    let written = kv
        .compare_and_swap("a", 0, Bytes::from_static(b"one"))
        .await
        .unwrap();
    assert_eq!(written, CasOutcome::Written(1));

    let entry = Entry {
        value: Bytes::from_static(b"one"),
        version: 1,
    };
    assert_eq!(kv.get("a").await.unwrap(), Some(entry.clone()));
    let second = kv
        .compare_and_swap("a", 0, Bytes::from_static(b"two"))
        .await
        .unwrap();
    assert_eq!(second, CasOutcome::Conflict(Some(entry)));
}

#[tokio::test]
async fn swap_of_an_absent_key_conflicts() {
    let (_fake, kv) = start().await;
    let outcome = kv
        .compare_and_swap("a", 7, Bytes::from_static(b"x"))
        .await
        .unwrap();
    assert_eq!(outcome, CasOutcome::Conflict(None));
}

#[tokio::test]
async fn watch_returns_the_newest_value_and_then_waits() {
    let (_fake, kv) = start().await;
    kv.compare_and_swap("a", 0, Bytes::from_static(b"one"))
        .await
        .unwrap();
    kv.compare_and_swap("a", 1, Bytes::from_static(b"two"))
        .await
        .unwrap();
    kv.compare_and_swap("other", 0, Bytes::from_static(b"x"))
        .await
        .unwrap();

    let newest = kv.watch("a", 0, TIMEOUT).await.unwrap().unwrap();
    assert_eq!(
        newest,
        Entry {
            value: Bytes::from_static(b"two"),
            version: 2
        }
    );

    let waiting = kv.watch("a", 2, TIMEOUT);
    let write = kv.compare_and_swap("a", 2, Bytes::from_static(b"three"));
    let (seen, written) = tokio::join!(waiting, write);
    assert_eq!(written.unwrap(), CasOutcome::Written(4));
    assert_eq!(seen.unwrap().unwrap().value, Bytes::from_static(b"three"));

    assert_eq!(
        kv.watch("a", 4, Duration::from_millis(20)).await.unwrap(),
        None
    );
}
