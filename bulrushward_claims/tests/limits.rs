//! Tests of the claim store's group commit, rate limit, record size, retention and invalid values.

#[expect(
    dead_code,
    reason = "other test files use the rest of the support module"
)]
mod support;

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_claims::{
    ClaimOutcome, ClaimSettings, ClaimStore, Claims, KvCallReason, decode_record, encode_record,
};
use bulrushward_policy::claim::{ClaimChange, ClaimRecord, action_from_content};
use bytes::Bytes;
use futures_util::future::join_all;
use proptest::{prelude::*, test_runner::RngSeed};
use support::MemoryKv;
use tokio::time::{Instant, sleep};

/// Id of an attempt.
const A: u128 = 0xA;
/// Id of another attempt.
const B: u128 = 0xB;
/// Key of the record of the first shard.
const RECORD: &str = "claims/registry/0";
/// Key of the number of shards.
const LAYOUT: &str = "claims/registry/layout";

fn settings() -> ClaimSettings {
    ClaimSettings {
        shards: NonZeroU32::MIN,
        seed: 1,
        ..ClaimSettings::new("registry")
    }
}

fn start(kv: &MemoryKv, settings: ClaimSettings) -> Arc<ClaimStore> {
    kv.set_latency(Duration::from_millis(4));
    ClaimStore::start(Arc::new(kv.clone()), settings)
}

fn writes(store: &ClaimStore) -> u64 {
    let calls = store.counters().calls;
    let writes = calls.iter().filter(|(reason, _)| reason.is_write());
    writes.map(|(_, n)| n).sum()
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_share_a_write() {
    let kv = MemoryKv::default();
    let store = start(&kv, settings());
    assert_eq!(store.claim(0, A).await, ClaimOutcome::Won);
    let before = Instant::now();
    let outcomes = join_all((1..=500).map(|action| store.claim(action, A))).await;
    assert!(outcomes.iter().all(|outcome| *outcome == ClaimOutcome::Won));
    assert!(
        before.elapsed() <= Duration::from_millis(60),
        "{:?}",
        before.elapsed()
    );
    assert_eq!(writes(&store), 2);
    for action in 0..=500 {
        store.finish(action, A);
    }
    sleep(settings().finish_delay + Duration::from_secs(1)).await;
    assert_eq!(writes(&store), 3);
    assert_eq!(store.counters().changes, 1_002);
}

#[tokio::test(start_paused = true)]
async fn the_write_rate_is_bounded_at_any_claim_rate() {
    let kv = MemoryKv::default();
    let shards = ClaimSettings::DEFAULT_SHARDS;
    let store = start(
        &kv,
        ClaimSettings {
            shards,
            ..settings()
        },
    );
    assert_eq!(store.claim(0, A).await, ClaimOutcome::Won);
    let before = writes(&store);
    let claims: Vec<_> = (1..=6_000_u32)
        .map(|n| {
            let store = Arc::clone(&store);
            tokio::spawn(async move {
                sleep(Duration::from_millis(n.into())).await;
                store.claim(n.into(), A).await
            })
        })
        .collect();
    let outcomes = join_all(claims).await;
    assert!(
        outcomes
            .into_iter()
            .all(|outcome| outcome.expect("the claim does not panic") == ClaimOutcome::Won)
    );
    // 100 writes per second for 6 s, the burst of an idle store, and the last group of each shard.
    let writes = writes(&store) - before;
    assert!(writes <= 600 + 20 + u64::from(shards.get()), "{writes}");
}

#[tokio::test(start_paused = true)]
async fn a_contended_record_is_read_before_it_is_written() {
    let kv = MemoryKv::default();
    let first = start(&kv, settings());
    let second = start(
        &kv,
        ClaimSettings {
            seed: 2,
            ..settings()
        },
    );
    for action in 1_000..1_003 {
        assert_eq!(first.claim(action, A).await, ClaimOutcome::Won);
    }
    for action in 0..50 {
        assert_eq!(first.claim(2 * action, A).await, ClaimOutcome::Won);
        assert_eq!(second.claim(2 * action + 1, A).await, ClaimOutcome::Won);
    }
    let conflicts = first.counters().conflicts + second.counters().conflicts;
    assert!(conflicts <= 4, "{conflicts}");
}

#[tokio::test(start_paused = true)]
async fn a_claim_on_an_uncontended_record_takes_one_write_and_no_read() {
    let kv = MemoryKv::default();
    let store = start(&kv, settings());
    // The first claim loads the record; the second finds that no other store writes it.
    for action in [0, 1] {
        assert_eq!(store.claim(action, A).await, ClaimOutcome::Won);
        sleep(Duration::from_secs(1)).await;
    }
    let (reads, writes) = (kv.reads(), kv.writes());
    let before = Instant::now();
    assert_eq!(store.claim(2, A).await, ClaimOutcome::Won);
    assert_eq!(before.elapsed(), Duration::from_millis(4));
    assert_eq!((kv.reads(), kv.writes()), (reads, writes + 1));
}

#[tokio::test(start_paused = true)]
async fn finished_actions_are_committed_when_the_store_is_dropped() {
    let kv = MemoryKv::default();
    let store = start(&kv, settings());
    assert_eq!(store.claim(1, A).await, ClaimOutcome::Won);
    store.finish(1, A);
    drop(store);
    sleep(Duration::from_millis(100)).await;
    let other = start(&kv, settings());
    assert_eq!(other.claim(1, B).await, ClaimOutcome::Ran { holder: A });
}

#[tokio::test(start_paused = true)]
async fn a_full_record_refuses_claims_until_entries_expire() {
    let kv = MemoryKv::default();
    let value_limit = 10_000;
    let store = start(
        &kv,
        ClaimSettings {
            value_limit,
            ..settings()
        },
    );
    let actions: Vec<_> = (0..300).map(action_from_content).collect();
    let outcomes = join_all(actions.iter().map(|action| store.claim(*action, A))).await;
    let with = |wanted| {
        let pairs = actions.iter().zip(&outcomes);
        let actions = pairs.filter(move |(_, outcome)| **outcome == wanted);
        actions.map(|(action, _)| *action).collect::<Vec<_>>()
    };
    let (won, full) = (with(ClaimOutcome::Won), with(ClaimOutcome::Full));
    assert!((150..300).contains(&won.len()), "{}", won.len());
    assert_eq!(won.len() + full.len(), actions.len());
    let stored = kv.entry(RECORD).expect("the key is written").value;
    assert!(stored.len() <= value_limit);
    for action in &won {
        assert_eq!(
            store.claim(*action, B).await,
            ClaimOutcome::Held { holder: A }
        );
        store.finish(*action, A);
    }
    sleep(Duration::from_secs(100)).await;
    assert_eq!(
        store.claim(won[0], B).await,
        ClaimOutcome::Ran { holder: A }
    );
    sleep(Duration::from_mins(1)).await;
    assert_eq!(store.claim(full[0], A).await, ClaimOutcome::Won);
    assert_eq!(store.claim(won[0], B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn an_invalid_record_is_rejected_and_not_overwritten() {
    let mut record = ClaimRecord::default();
    record.apply(1, A, ClaimChange::Finish, 1_000);
    let good = encode_record(&record).expect("the record can be encoded");
    let truncated = good.slice(..good.len() - 1);
    let longer = [&good[..], &[0]].concat().into();
    let other_format = [&[9], &good[1..]].concat().into();
    for bad in [
        Bytes::from_static(b"\xff\xff"),
        Bytes::new(),
        truncated,
        longer,
        other_format,
    ] {
        assert!(decode_record(&bad).is_err());
        let kv = MemoryKv::default();
        kv.put(RECORD, bad.clone());
        let store = start(&kv, settings());
        assert_eq!(store.claim(1, B).await, ClaimOutcome::Unavailable);
        assert!(!store.bar(1, B).await);
        assert_eq!(kv.entry(RECORD).expect("the key is still there").value, bad);
        kv.put(RECORD, good.clone());
        assert_eq!(store.claim(1, B).await, ClaimOutcome::Ran { holder: A });
    }
}

#[tokio::test(start_paused = true)]
async fn the_stored_number_of_shards_takes_precedence_over_the_setting() {
    let kv = MemoryKv::default();
    let shards = |n| NonZeroU32::new(n).expect("the number is not 0");
    let first = start(
        &kv,
        ClaimSettings {
            shards: shards(4),
            ..settings()
        },
    );
    assert_eq!(first.claim(7, A).await, ClaimOutcome::Won);
    let second = start(
        &kv,
        ClaimSettings {
            shards: shards(5),
            seed: 2,
            ..settings()
        },
    );
    assert_eq!(second.claim(7, B).await, ClaimOutcome::Held { holder: A });
    assert_eq!(kv.entry(LAYOUT).expect("the key is written").value, "4");

    let kv = MemoryKv::default();
    kv.put(LAYOUT, Bytes::from_static(b"many"));
    let store = start(&kv, settings());
    assert_eq!(store.claim(7, A).await, ClaimOutcome::Unavailable);
}

#[tokio::test(start_paused = true)]
async fn all_calls_are_counted_by_reason() {
    let kv = MemoryKv::default();
    let store = start(&kv, settings());
    // The second claim finds that no other store writes, so the third writes without a read.
    for action in [0, 1] {
        assert_eq!(store.claim(action, A).await, ClaimOutcome::Won);
    }
    kv.set_unavailable(true);
    assert_eq!(store.claim(2, A).await, ClaimOutcome::Unavailable);
    sleep(Duration::from_secs(3)).await;
    kv.set_unavailable(false);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.claim(1, B).await, ClaimOutcome::Held { holder: A });
    let counters = store.counters();
    let total: u64 = counters.calls.iter().map(|(_, n)| n).sum();
    assert_eq!(total, kv.reads() + kv.writes());
    let count = |reason| {
        counters
            .calls
            .iter()
            .find(|(c, _)| *c == reason)
            .expect("the reason is listed")
            .1
    };
    assert_eq!(count(KvCallReason::Layout), 2);
    assert_eq!(count(KvCallReason::ReadBack), 1);
    assert!(count(KvCallReason::Probe) >= 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn records_round_trip_and_have_the_stated_size(
        changes in prop::collection::vec((any::<u128>(), any::<u128>(), 0_u8..3), 0..40),
        clock_ms: u64,
    ) {
        let mut record = ClaimRecord::default();
        record.advance_clock(clock_ms);
        for (action, attempt, kind) in changes {
            let change = match kind {
                0 => ClaimChange::Claim { nonce: clock_ms },
                1 => ClaimChange::Finish,
                _ => ClaimChange::Bar,
            };
            record.apply(action, attempt, change, usize::MAX);
        }
        record.take_changed();
        let value = encode_record(&record).expect("the record can be encoded");
        prop_assert_eq!(value.len(), record.encoded_size());
        prop_assert_eq!(decode_record(&value).expect("the record can be decoded"), record);
    }

    #[test]
    fn arbitrary_bytes_decode_to_an_error_or_a_valid_record(
        value in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(record) = decode_record(&value) {
            prop_assert_eq!(record.encoded_size(), value.len());
        }
    }
}
