//! Size, retention and clock of a claims record.

use std::time::Duration;

use bulrushward_policy::claim::{
    ActionKeySource, ClaimChange, ClaimDecision, ClaimRecord, ENTRY_SIZE, NONCE_SIZE,
    RECORD_HEADER_SIZE, RecordClock, Retention, action_from_content, action_from_key,
    action_key_source,
};
use proptest::{prelude::*, test_runner::RngSeed};

const CLAIM: ClaimChange = ClaimChange::Claim { nonce: 1 };

#[test]
fn a_full_record_rejects_claims_and_keeps_all_entries() {
    let limit = RECORD_HEADER_SIZE + 32 * (ENTRY_SIZE + NONCE_SIZE);
    let mut record = ClaimRecord::default();
    let decisions: Vec<_> = (0..40)
        .map(|action| record.apply(action, 1, CLAIM, limit))
        .collect();
    let won = decisions
        .iter()
        .filter(|d| **d == ClaimDecision::Won)
        .count();
    assert_eq!(won, 30);
    assert_eq!(decisions[30..], [ClaimDecision::Full; 10]);
    assert_eq!(record.entries().len(), 30);
    assert_eq!(
        record.apply(0, 2, CLAIM, limit),
        ClaimDecision::Held { holder: 1 }
    );
    // The reserve still has room for tombstones, and a known attempt always fits.
    assert_eq!(
        record.apply(50, 1, ClaimChange::Bar, limit),
        ClaimDecision::Barred
    );
    assert_eq!(
        record.apply(51, 1, ClaimChange::Bar, limit),
        ClaimDecision::Barred
    );
    assert_eq!(
        record.apply(52, 1, ClaimChange::Bar, limit),
        ClaimDecision::Full
    );
    assert_eq!(
        record.apply(0, 1, ClaimChange::Finish, limit),
        ClaimDecision::Recorded
    );
    assert!(record.encoded_size() <= limit);
}

#[test]
fn entries_are_removed_after_their_retention() {
    let content = action_from_content(5);
    let key = action_from_key("clinic", "registry", "order-1");
    assert_eq!(action_key_source(content), ActionKeySource::Content);
    assert_eq!(action_key_source(key), ActionKeySource::IdempotencyKey);
    let mut record = ClaimRecord::default();
    let limit = 10_000;
    for action in [content, key] {
        record.apply(action, 1, CLAIM, limit);
        record.apply(action, 1, ClaimChange::Finish, limit);
    }
    let other = action_from_content(6);
    record.apply(other, 1, CLAIM, limit);
    record.apply(other, 2, ClaimChange::Bar, limit);
    let kept_after = |duration: Duration| {
        let mut record = record.clone();
        record.advance_clock(
            u64::try_from(duration.as_millis()).expect("the duration fits in 64 bits"),
        );
        let unfinished = record.prune(&Retention::default());
        (record.entries().len(), unfinished)
    };
    assert_eq!(kept_after(Duration::from_mins(2)), (4, 0));
    assert_eq!(kept_after(Duration::from_secs(121)), (3, 0));
    assert_eq!(kept_after(Duration::from_hours(24)), (3, 0));
    assert_eq!(kept_after(Duration::from_hours(25)), (1, 0));
    assert_eq!(kept_after(Duration::from_hours(8 * 24)), (0, 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Holds even if the clocks of VMs are years apart.
    #[test]
    fn the_record_clock_never_runs_ahead_of_real_time(
        offsets in prop::collection::vec(0_u64..100_000_000, 4),
        steps in prop::collection::vec((0_usize..4, 0_u64..100_000, any::<bool>()), 1..60),
    ) {
        let mut record = ClaimRecord::default();
        let mut clocks = [RecordClock::default(); 4];
        let mut true_ms = 0;
        for (process, pause_ms, writes) in steps {
            true_ms += pause_ms;
            let local = Duration::from_millis(offsets[process] * 1_000 + true_ms);
            clocks[process].observe(record.clock_ms(), local);
            if writes {
                record.advance_clock(clocks[process].reading_ms(local));
            }
            prop_assert!(record.clock_ms() <= true_ms);
        }
    }

    /// A process that has just started measured no time, but the one that reads the record all the
    /// time adds all of it.
    #[test]
    fn the_record_clock_does_not_fall_behind_while_one_process_reads_it(
        pauses in prop::collection::vec(0_u64..100_000, 1..60),
    ) {
        let mut record = ClaimRecord::default();
        let mut watcher = RecordClock::default();
        watcher.observe(0, Duration::ZERO);
        let mut true_ms = 0;
        for pause_ms in pauses {
            true_ms += pause_ms;
            let now = Duration::from_millis(true_ms);
            let mut new_process = RecordClock::default();
            new_process.observe(record.clock_ms(), now);
            record.advance_clock(new_process.reading_ms(now));
            watcher.observe(record.clock_ms(), now);
            record.advance_clock(watcher.reading_ms(now));
            prop_assert_eq!(record.clock_ms(), true_ms);
        }
    }
}
