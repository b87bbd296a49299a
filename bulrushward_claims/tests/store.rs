//! The claim store against a key-value service with faults.

#[expect(dead_code, reason = "the support module serves other test files too")]
mod support;

use std::{num::NonZeroU32, sync::Arc, time::Duration};

use bulrushward_claims::{ClaimOutcome, ClaimSettings, ClaimStore, Claims, decode_record};
use bulrushward_policy::claim::ClaimState;
use support::{MemoryKv, WriteFault};
use tokio::time::{Instant, sleep};

const ACTION: u128 = 7;
const A: u128 = 0xA;
const B: u128 = 0xB;
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
async fn one_of_two_stores_wins_and_the_other_learns_what_became_of_it() {
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
async fn a_released_action_goes_to_another_attempt_only() {
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
async fn a_lost_answer_is_settled_by_reading_back() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::LoseAnswer]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Won);
    assert_eq!(states(&kv).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_claim_given_up_is_released_though_its_write_lands_late() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    let late = WriteFault::ArriveLate(Duration::from_millis(1_400));
    kv.push_faults([late, late, late]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Unavailable);
    sleep(LONG).await;
    assert_eq!(states(&kv), [(ACTION, A, ClaimState::Barred)]);
    assert_eq!(store.claim(ACTION, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn an_outage_refuses_at_once_and_ends_by_itself() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    assert_eq!(store.claim(1, A).await, ClaimOutcome::Won);
    kv.set_down(true);
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
    kv.set_down(false);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(store.claim(1, B).await, ClaimOutcome::Ran { holder: A });
    assert_eq!(store.claim(2, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_lost_request_is_written_again_within_the_timeout() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::LoseRequest, WriteFault::LoseRequest]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_refused_write_leaves_nothing_behind() {
    let kv = MemoryKv::default();
    let store = start(&kv, 1);
    kv.push_faults([WriteFault::Refuse]);
    assert_eq!(store.claim(ACTION, A).await, ClaimOutcome::Unavailable);
    assert!(store.flush(LONG).await);
    assert_eq!(kv.entry("claims/registry/0"), None);
    assert_eq!(store.claim(ACTION, B).await, ClaimOutcome::Won);
}

#[tokio::test(start_paused = true)]
async fn a_storm_of_conflicts_ends_in_one_winner_or_in_a_timely_refusal() {
    let kv = MemoryKv::default();
    let (first, second) = (start(&kv, 1), start(&kv, 2));
    kv.push_faults([WriteFault::Overtake; 10]);
    let (one, two) = tokio::join!(first.claim(ACTION, A), second.claim(ACTION, B));
    let wins = [one, two]
        .iter()
        .filter(|v| **v == ClaimOutcome::Won)
        .count();
    assert_eq!(wins, 1, "{one:?} {two:?}");

    kv.push_faults(vec![WriteFault::Overtake; 10_000]);
    let before = Instant::now();
    assert_eq!(first.claim(8, A).await, ClaimOutcome::Unavailable);
    assert!(before.elapsed() <= settings(1).claim_timeout);
}

#[tokio::test(start_paused = true)]
async fn a_slow_service_is_refused_by_the_timeout_of_its_calls() {
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
