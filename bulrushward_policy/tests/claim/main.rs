//! Claims hold under generated interleavings of agents, lost responses, restarts and late copies.

mod record;
mod simulation;

use proptest::{prelude::*, strategy::ValueTree, test_runner::RngSeed};
use simulation::{Coverage, Simulation, Step};

const CASES: u32 = 10_000;
const AGENTS: usize = 3;
const ACTIONS: u128 = 2;
const ATTEMPTS: u128 = 3;
const MAX_STEPS: usize = 200;

/// Derives a step from a random number, weighted so that most claims reach an outcome.
fn step(random: u32) -> Step {
    let index = (random / 64) as usize;
    let agent = index % AGENTS;
    let action = (index / AGENTS) as u128 % ACTIONS;
    let attempt = (index / 16) as u128 % ATTEMPTS;
    match random % 64 {
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
        12..26 => Step::Send(index),
        26..38 => Step::DeliverWrite(index),
        38..44 => Step::LoseResponse(index),
        44..50 => Step::ReadBack(index),
        50..53 => Step::Abandon(index),
        53..58 => Step::Start(index),
        58..60 => Step::Release(index),
        60..63 => Step::Finish(index),
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
    fn an_action_starts_at_most_once_and_never_after_it_was_reported_not_run(
        random_steps in steps(),
    ) {
        let mut simulation = Simulation::new(AGENTS);
        for step in random_steps.into_iter().map(step) {
            simulation.apply_step(&step);
            prop_assert_eq!(simulation.violation(), None);
        }
    }
}

#[test]
fn the_generated_interleavings_reach_every_outcome() {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    });
    let mut coverage = Coverage::default();
    for _ in 0..1_000 {
        let tree = steps()
            .new_tree(&mut runner)
            .expect("the strategy generates a case");
        let mut simulation = Simulation::new(AGENTS);
        for step in tree.current().into_iter().map(step) {
            simulation.apply_step(&step);
        }
        coverage.add(&simulation.coverage);
    }
    assert!(coverage.all_above(100), "{coverage:?}");
}
