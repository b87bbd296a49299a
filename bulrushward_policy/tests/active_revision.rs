//! The active revision never decreases.

use bulrushward_policy::active_revision::ActiveRevision;
use proptest::{prelude::*, test_runner::RngSeed};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(47),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_highest_adopted_revision_is_active(
        revisions in proptest::collection::vec(0..50_u64, 1..60),
    ) {
        let mut active_revision = ActiveRevision::default();
        let mut highest = 0;
        for revision in revisions {
            prop_assert_eq!(active_revision.adopt(revision), revision > highest);
            highest = highest.max(revision);
            prop_assert_eq!(active_revision.revision(), highest);
            prop_assert_eq!(active_revision.is_newer_than(revision), revision < highest);
        }
    }
}
