//! Quarantine records spread, expire and stay bounded in number.

use std::time::{Duration, Instant};

use bulrushward_policy::quarantine::{Quarantine, Verdict};
use bulrushward_protocol::QuarantineRecord;
use proptest::{prelude::*, test_runner::RngSeed};

const TTL: Duration = Duration::from_mins(1);

#[test]
fn content_is_suspect_after_one_crash_and_quarantined_after_two_until_it_expires() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(2, TTL, 10);
    assert_eq!(quarantine.verdict(7, now), Verdict::Clear);
    assert_eq!(quarantine.record_crash(7, now), 1);
    assert_eq!(quarantine.verdict(7, now), Verdict::Suspect);
    assert_eq!(quarantine.record_crash(7, now), 2);
    assert_eq!(quarantine.verdict(7, now), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(8, now), Verdict::Clear);
    assert_eq!(
        quarantine.verdict(7, now + TTL.mul_f64(0.99)),
        Verdict::Quarantined
    );
    assert_eq!(quarantine.verdict(7, now + TTL), Verdict::Clear);
}

#[test]
fn an_agent_without_the_record_of_the_first_crash_counts_the_second() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(2, TTL, 10);
    assert_eq!(quarantine.record_crash_after(7, 1, now), 2);
    assert_eq!(quarantine.verdict(7, now), Verdict::Quarantined);
}

#[test]
fn passing_a_record_back_and_forth_does_not_prolong_it() {
    let start = Instant::now();
    let mut one = Quarantine::new(2, TTL, 10);
    let mut two = Quarantine::new(2, TTL, 10);
    one.record_crash_after(7, 1, start);
    for second in 0..120 {
        let sent = start + Duration::from_secs(second);
        let received = sent + Duration::from_millis(900);
        let records = one.records(sent, 10);
        two.merge(&records, received);
        let records = two.records(received, 10);
        one.merge(&records, received + Duration::from_millis(900));
    }
    let end = start + TTL + Duration::from_secs(2);
    assert_eq!(one.verdict(7, end), Verdict::Clear);
    assert_eq!(two.verdict(7, end), Verdict::Clear);
}

#[test]
fn the_least_often_sent_records_go_first() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(2, TTL, 100);
    for fingerprint in 0..20 {
        quarantine.record_crash(fingerprint, now);
    }
    let mut seen: Vec<_> = (0..4)
        .flat_map(|_| quarantine.records(now, 5))
        .map(|record| record.fingerprint)
        .collect();
    seen.sort_unstable();
    assert_eq!(seen, (0..20).collect::<Vec<_>>());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_never_lowers_a_count_and_the_size_is_bounded(
        events in proptest::collection::vec((0..30_u128, 0..4_u8, 0..90_u32), 1..100),
    ) {
        let now = Instant::now();
        let mut quarantine = Quarantine::new(2, TTL, 8);
        for (fingerprint, crashes, ttl_seconds) in events {
            let before = quarantine.verdict(fingerprint, now);
            if crashes == 0 {
                quarantine.record_crash(fingerprint, now);
            } else {
                let record = QuarantineRecord { fingerprint, crashes, ttl_seconds };
                quarantine.merge(&[record], now);
            }
            let after = quarantine.verdict(fingerprint, now);
            let rank = |verdict| match verdict {
                Verdict::Clear => 0,
                Verdict::Suspect => 1,
                Verdict::Quarantined => 2,
            };
            prop_assert!(rank(after) >= rank(before));
            prop_assert!(quarantine.remaining(fingerprint, now) <= TTL);
            prop_assert!(quarantine.len() <= 8);
        }
    }
}

#[test]
fn a_full_quarantine_evicts_suspect_before_quarantined_content() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(2, TTL, 3);
    quarantine.record_crash_after(1, 1, now);
    quarantine.record_crash(2, now + Duration::from_secs(1));
    quarantine.record_crash_after(3, 1, now);
    quarantine.record_crash(4, now + Duration::from_secs(2));
    let later = now + Duration::from_secs(3);
    assert_eq!(quarantine.verdict(1, later), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(3, later), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(4, later), Verdict::Suspect);
    assert_eq!(quarantine.len(), 3);
}

// Guards against processes that keep the highest count of their peers instead of adding up the crashes that each has
// seen, so that content goes on crashing backend servers while every process counts one.
#[test]
fn crashes_seen_by_different_processes_add_up() {
    let now = Instant::now();
    let mut processes: Vec<_> = (0..3).map(|_| Quarantine::new(3, TTL, 10)).collect();
    let records: Vec<_> = processes
        .iter_mut()
        .flat_map(|process| {
            process.record_crash(7, now);
            process.records(now, 10)
        })
        .collect();
    for process in &mut processes {
        process.merge(&records, now);
        assert_eq!(process.verdict(7, now), Verdict::Quarantined);
    }
}
