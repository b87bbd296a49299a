//! Claims hold under generated interleavings of agents, lost answers, restarts and late copies.

mod record;
mod world;

use proptest::{prelude::*, strategy::ValueTree, test_runner::RngSeed};
use world::{Reached, Step, World};

const CASES: u32 = 10_000;
const AGENTS: usize = 3;
const ACTIONS: u128 = 2;
const ATTEMPTS: u128 = 3;
const MAX_STEPS: usize = 200;

/// Makes a step of a random number; the weights let most claims get somewhere.
fn step(raw: u32) -> Step {
    let pick = (raw / 64) as usize;
    let agent = pick % AGENTS;
    let action = (pick / AGENTS) as u128 % ACTIONS;
    let attempt = (pick / 16) as u128 % ATTEMPTS;
    match raw % 64 {
        0..6 => Step::Arrive {
            agent,
            action,
            attempt,
        },
        6..8 => Step::Bar {
            agent,
            action,
            attempt,
        },
        8..12 => Step::Read(agent),
        12..26 => Step::Send(pick),
        26..38 => Step::DeliverWrite(pick),
        38..44 => Step::LoseAnswer(pick),
        44..50 => Step::ReadBack(pick),
        50..53 => Step::GiveUp(pick),
        53..58 => Step::Start(pick),
        58..60 => Step::Release(pick),
        60..63 => Step::Finish(pick),
        _ => Step::Restart(agent),
    }
}

fn steps() -> impl Strategy<Value = Vec<u32>> {
    prop::collection::vec(any::<u32>(), 1..MAX_STEPS)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_action_starts_at_most_once_and_not_run_is_true(
        raw_steps in steps(),
    ) {
        let mut world = World::new(AGENTS);
        for step in raw_steps.into_iter().map(step) {
            world.take(&step);
            prop_assert_eq!(world.violation(), None);
        }
    }
}

#[test]
fn the_generated_interleavings_reach_every_outcome() {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    });
    let mut seen = Reached::default();
    for _ in 0..1_000 {
        let tree = steps().new_tree(&mut runner).expect("a case is generated");
        let mut world = World::new(AGENTS);
        for step in tree.current().into_iter().map(step) {
            world.take(&step);
        }
        seen.add(&world.reached);
    }
    assert!(seen.all_above(100), "{seen:?}");
}
