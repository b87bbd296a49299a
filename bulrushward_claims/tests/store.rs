//! Tests of the claim store with a faulty key-value service.

#[expect(
    dead_code,
    reason = "other test files use the rest of the support module"
)]
mod support;

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_claims::{ClaimOutcome, ClaimSettings, ClaimStore, Claims, decode_record};
use bulrushward_policy::claim::ClaimState;
use support::{MemoryKv, WriteFault};
use tokio::time::{Instant, sleep};

const ACTION: u128 = 7;
/// Id of an attempt.
const A: u128 = 0xA;
/// Id of another attempt.
const B: u128 = 0xB;
/// Longer than all delays and timeouts of a store.
const LONG: Duration = Duration::from_mins(1);

fn settings(seed: u64) -> ClaimSettings {
    ClaimSettings {
        shards: NonZeroU32::MIN,
        seed,
        ..ClaimSettings::new("registry")
    }
}

fn start(kv: &MemoryKv, seed: u64) -> Arc<ClaimStore> {
    ClaimStore::start(Arc::new(kv.clone()), settings(seed))
}

fn states(kv: &MemoryKv) -> Vec<(u128, u128, ClaimState)> {
    let entry = kv
        .entry("claims/registry/0")
        .expect("the record is written");
    let record = decode_record(&entry.value).expect("the record is readable");
    let entries = record.entries().iter();
    entries.map(|e| (e.action, e.attempt, e.state)).collect()
}

#[tokio::test(start_paused = true)]
async fn only_one_of_two_stores_wins_and_the_other_sees_the_result() {
    let kv = MemoryKv::default();
    let (first, second) = (start(&kv, 1), start(&kv, 2));
    assert_eq!(first.claim(ACTION, A).await, ClaimOutcome::Won);
    assert_eq!(
        second.claim(ACTION, B).await,
        ClaimOutcome::Held { holder: A }
    );
    assert_eq!(
        first.claim(ACTION, A).await,
        ClaimOutcome::Held { holder: A }
    );
    first.finish(ACTION, A);
    assert!(first.flush(LONG).await);
    assert_eq!(
        second.claim(ACTION, B).await,
        ClaimOutcome::Ran { holder: A }
    );
}

#[tokio::test(start_paused = true)]
async fn a_released_action_can_only_be_claimed_by_another_attempt() {
    let kv = MemoryKv::default();
    let (first, second) = (start(&kv, 1), start(&kv, 2));
    assert_eq!(first.claim(ACTION, A).await, ClaimOutcome::Won);
    first.release(ACTION, A);
    assert!(first.flush(LONG).await);
    assert_eq!(second.claim(ACTION, A).await, ClaimOutcome::Barred);
    assert_eq!(second.claim(ACTION, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_barred_attempt_never_wins_and_a_holder_cannot_be_barred() {
    let kv = MemoryKv::default();
    let (first, second) = (start(&kv, 1), start(&kv, 2));
    assert!(first.bar(ACTION, A).await);
    assert_eq!(second.claim(ACTION, A).await, ClaimOutcome::Barred);
    assert_eq!(second.claim(ACTION, B).await, ClaimOutcome::Won);
    assert!(!first.bar(ACTION, B).await);
}

#[tokio::test(start_paused = true)]
async fn a_write_with_a_lost_response_is_resolved_by_reading_back() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::LoseResponse]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Won);
    assert_eq!(states(&kv).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_timed_out_claim_is_released_even_if_its_write_arrives_late() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    let late = WriteFault::DelayRequest(Duration::from_millis(1_400));
    kv.push_faults([late, late, late]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Unavailable);
    sleep(LONG).await;
    assert_eq!(states(&kv), [(ACTION, A, ClaimState::Barred)]);
    assert_eq!(store.claim(ACTION, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn claims_fail_immediately_during_an_outage_and_work_again_after_it() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    assert_eq!(store.claim(1, A).await, ClaimOutcome::Won);
    kv.set_unavailable(true);
    assert_eq!(store.claim(2, A).await, ClaimOutcome::Unavailable);
    let calls = kv.reads() + kv.writes();
    let before = Instant::now();
    for action in 3..1_000 {
        assert_eq!(store.claim(action, A).await, ClaimOutcome::Unavailable);
        assert!(!store.bar(action, A).await);
    }
    assert_eq!(before.elapsed(), Duration::ZERO);
    store.finish(1, A);
    sleep(Duration::from_hours(2)).await;
    let probes = kv.reads() + kv.writes() - calls;
    assert!(probes <= 2 * 3_600 + 10, "{probes} calls in two hours");
    kv.set_unavailable(false);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(store.claim(1, B).await, ClaimOutcome::Ran { holder: A });
    assert_eq!(store.claim(2, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_lost_write_is_retried_within_the_timeout() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::LoseRequest, WriteFault::LoseRequest]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_refused_write_has_no_effect() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::Refuse]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Unavailable);
    assert!(store.flush(LONG).await);
    assert_eq!(kv.entry("claims/registry/0"), None);
    assert_eq!(store.claim(ACTION, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn repeated_conflicts_end_with_one_winner_or_a_timeout() {
    let kv = MemoryKv::default();
    let (first, second) = (start(&kv, 1), start(&kv, 2));
    kv.push_faults([WriteFault::ConcurrentWrite; 10]);
    let (one, two) = tokio::join!(first.claim(ACTION, A), second.claim(ACTION, B));
    let wins = [one, two]
        .iter()
        .filter(|v| **v == ClaimOutcome::Won)
        .count();
    assert_eq!(wins, 1, "{one:?} {two:?}");

    kv.push_faults(vec![WriteFault::ConcurrentWrite; 10_000]);
    let before = Instant::now();
    assert_eq!(first.claim(8, A).await, ClaimOutcome::Unavailable);
    assert!(before.elapsed() <= settings(1).claim_timeout);
}

#[tokio::test(start_paused = true)]
async fn claims_time_out_while_the_service_is_slow() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    assert_eq!(store.claim(1, A).await, ClaimOutcome::Won);
    kv.set_latency(Duration::from_secs(30));
    let before = Instant::now();
    assert_eq!(store.claim(2, A).await, ClaimOutcome::Unavailable);
    assert!(before.elapsed() <= settings(1).claim_timeout);
    kv.set_latency(Duration::ZERO);
    sleep(LONG).await;
    assert_eq!(store.claim(2, B).await, ClaimOutcome::Won);
}
