//! Placement is stable when candidates change, and follows the weights.

use bulrushward_policy::placement::{Candidate, PlacementTable, rank, rank_top};
use proptest::prelude::*;

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn removing_a_candidate_keeps_the_order_of_the_others(
        chat: u64, count in 2_usize..40, removed in 0_usize..40,
    ) {
        let names: Vec<String> = (0..count).map(|n| format!("engine-{n}")).collect();
        let removed = &names[removed % count];
        let remaining: Vec<String> = names.iter().filter(|name| *name != removed).cloned().collect();
        let before: Vec<&String> = rank(chat, &candidates(&names))
            .into_iter()
            .map(|i| &names[i])
            .filter(|name| *name != removed)
            .collect();
        let after: Vec<&String> =
            rank(chat, &candidates(&remaining)).into_iter().map(|i| &remaining[i]).collect();
        prop_assert_eq!(before, after);
    }

    #[test]
    fn the_top_candidates_are_the_first_of_the_full_order(
        chat: u64, weights in proptest::collection::vec(-0.5..4.0_f64, 0..60), count in 0_usize..9,
    ) {
        let names: Vec<String> = (0..weights.len()).map(|n| format!("engine-{n}")).collect();
        let weighted: Vec<_> = names
            .iter()
            .zip(weights)
            .map(|(name, weight)| Candidate { name, weight })
            .collect();
        let mut full_order = rank(chat, &weighted);
        prop_assert!(full_order.iter().all(|index| weighted[*index].weight > 0.0));
        full_order.truncate(count);
        prop_assert_eq!(&rank_top(chat, &weighted, count), &full_order);
        prop_assert_eq!(&PlacementTable::new(&weighted).top(chat, count), &full_order);
    }
}

/// Each of 20 equal candidates gets an even share, both for sequential and for hashed chat keys.
#[test]
fn equal_candidates_share_chats_evenly() {
    let names: Vec<String> = (0..20).map(|n| format!("engine-{n}")).collect();
    let table = PlacementTable::new(&candidates(&names));
    for stride in [1, 0x9E37_79B9_7F4A_7C15_u64] {
        let mut shares = [0_u32; 20];
        for n in 0..40_000_u64 {
            shares[table.top(n.wrapping_mul(stride), 1)[0]] += 1;
        }
        // The bounds are 4.5 standard deviations (of 44 chats) away from the mean of 2,000 chats.
        let even = shares.iter().all(|share| (1_800..=2_200).contains(share));
        assert!(even, "shares {shares:?} with stride {stride}");
    }
}

#[test]
fn the_share_of_chats_is_proportional_to_the_weight() {
    let weighted = [
        Candidate {
            name: "small",
            weight: 1.0,
        },
        Candidate {
            name: "large",
            weight: 3.0,
        },
    ];
    let large = (0..10_000_u64)
        .filter(|chat| rank(*chat, &weighted)[0] == 1)
        .count();
    assert!(
        (7_200..=7_800).contains(&large),
        "large got {large} of 10000 chats"
    );
}
