//! Placement is stable under changes of the member list.

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
    fn removing_a_member_keeps_the_order_of_the_others(
        chat: u64, count in 2_usize..40, removed in 0_usize..40,
    ) {
        let names: Vec<String> = (0..count).map(|n| format!("engine-{n}")).collect();
        let removed = &names[removed % count];
        let rest: Vec<String> = names.iter().filter(|name| *name != removed).cloned().collect();
        let before: Vec<&String> = rank(chat, &candidates(&names))
            .into_iter()
            .map(|i| &names[i])
            .filter(|name| *name != removed)
            .collect();
        let after: Vec<&String> =
            rank(chat, &candidates(&rest)).into_iter().map(|i| &rest[i]).collect();
        prop_assert_eq!(before, after);
    }

    #[test]
    fn the_top_few_are_the_first_of_the_whole_order(
        chat: u64, weights in proptest::collection::vec(-0.5..4.0_f64, 0..60), count in 0_usize..9,
    ) {
        let names: Vec<String> = (0..weights.len()).map(|n| format!("engine-{n}")).collect();
        let members: Vec<_> = names
            .iter()
            .zip(weights)
            .map(|(name, weight)| Candidate { name, weight })
            .collect();
        let mut whole = rank(chat, &members);
        prop_assert!(whole.iter().all(|index| members[*index].weight > 0.0));
        whole.truncate(count);
        prop_assert_eq!(&rank_top(chat, &members, count), &whole);
        prop_assert_eq!(&PlacementTable::new(&members).top(chat, count), &whole);
    }
}

/// The share of each of 20 equal members, for chat keys that are hashes and ones that count up.
#[test]
fn equal_members_share_chats_evenly() {
    let names: Vec<String> = (0..20).map(|n| format!("engine-{n}")).collect();
    let table = PlacementTable::new(&candidates(&names));
    for stride in [1, 0x9E37_79B9_7F4A_7C15_u64] {
        let mut shares = [0_u32; 20];
        for n in 0..40_000_u64 {
            shares[table.top(n.wrapping_mul(stride), 1)[0]] += 1;
        }
        // 2,000 chats each; 4.5 standard deviations of 44.
        let even = shares.iter().all(|share| (1_800..=2_200).contains(share));
        assert!(even, "shares {shares:?} with stride {stride}");
    }
}

#[test]
fn weight_sets_the_share_of_chats() {
    let members = [
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
        .filter(|chat| rank(*chat, &members)[0] == 1)
        .count();
    assert!(
        (7_200..=7_800).contains(&large),
        "large got {large} of 10000 chats"
    );
}
