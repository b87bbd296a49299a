//! Placement is stable under changes of the member list.

use bulrushward_policy::placement::{Candidate, rank};
use proptest::prelude::*;

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
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
