//! Tests the arrival generator: seeds, rate, returning chats and shares of the organisations.

use std::time::Duration;

use bulrushward_load::{Arrival, ArrivalSettings, generate_arrivals};
use proptest::{prelude::*, test_runner::RngSeed};

fn settings() -> ArrivalSettings {
    ArrivalSettings {
        seed: 7,
        count: 20_000,
        rate: 1_000.0,
        pause: Duration::from_millis(200),
        return_chance: 0.7,
        organisations: 4,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn equal_seeds_give_equal_arrivals_and_different_seeds_do_not(seed: u64) {
        let settings = ArrivalSettings { seed, count: 200, ..settings() };
        let arrivals = generate_arrivals(&settings);
        prop_assert_eq!(&arrivals, &generate_arrivals(&settings));
        let other = ArrivalSettings { seed: seed.wrapping_add(1), ..settings };
        prop_assert_ne!(&arrivals, &generate_arrivals(&other));
        prop_assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }
}

#[test]
fn arrivals_are_a_poisson_process_with_the_given_rate() {
    let arrivals = generate_arrivals(&settings());
    let gaps: Vec<f64> = arrivals
        .windows(2)
        .map(|pair| pair[1].at.saturating_sub(pair[0].at).as_secs_f64())
        .collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    assert!((mean * 1_000.0 - 1.0).abs() < 0.05, "mean gap is {mean} s");
    // A share of 1/e of exponentially distributed gaps is longer than their mean.
    let longer = gaps.iter().filter(|gap| **gap > mean).count() as f64 / gaps.len() as f64;
    assert!(
        (longer - 1.0 / std::f64::consts::E).abs() < 0.02,
        "{longer}"
    );
}

#[test]
fn chats_return_with_consecutive_turns_and_the_same_organisation() {
    let arrivals = generate_arrivals(&settings());
    let opened: Vec<&Arrival> = arrivals.iter().filter(|a| a.turn == 0).collect();
    let returned: Vec<&Arrival> = arrivals.iter().filter(|a| a.turn > 0).collect();
    assert!(returned.len() > opened.len(), "{} returned", returned.len());
    for arrival in returned {
        let before = arrivals[..arrival.index]
            .iter()
            .rfind(|a| a.chat == arrival.chat)
            .expect("the chat has an earlier request");
        assert_eq!(before.turn + 1, arrival.turn);
        assert_eq!(before.organisation, arrival.organisation);
    }
}

#[test]
fn shares_of_organisations_are_proportional_to_the_inverse_of_their_number() {
    let once = ArrivalSettings {
        return_chance: 0.0,
        ..settings()
    };
    let arrivals = generate_arrivals(&once);
    let share = |organisation: usize| {
        let sent = arrivals.iter().filter(|a| a.organisation == organisation);
        sent.count() as f64 / arrivals.len() as f64
    };
    // The sum of 1, 1/2, 1/3 and 1/4 is 25/12.
    for (organisation, expected) in [(0, 0.48), (1, 0.24), (2, 0.16), (3, 0.12)] {
        let found = share(organisation);
        assert!((found - expected).abs() < 0.02, "{organisation}: {found}");
    }
}
