//! Retries stay within the configured fraction of requests.

use bulrushward_policy::retry_budget::RetryBudget;
use proptest::{prelude::*, test_runner::RngSeed};

/// Initial and largest balance of a router.
const MAX_BALANCE: f64 = 10.0;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(42),
        ..ProptestConfig::default()
    })]

    #[test]
    fn retries_stay_within_the_fraction_of_requests(
        percent in 0..=100_u32, events in proptest::collection::vec(any::<bool>(), 1..400),
    ) {
        let fraction = f64::from(percent) / 100.0;
        let mut budget = RetryBudget::new(fraction);
        let mut requests = 0_u32;
        let mut retries = 0_u32;
        for is_request in events {
            if is_request {
                budget.deposit();
                requests += 1;
            } else {
                retries += u32::from(budget.withdraw());
            }
            let allowed = MAX_BALANCE + fraction * f64::from(requests);
            prop_assert!(f64::from(retries) <= allowed + 1e-6, "{retries} of {allowed}");
        }
    }
}

#[test]
fn the_balance_is_bounded() {
    let mut budget = RetryBudget::new(1.0);
    for _ in 0..1_000 {
        budget.deposit();
    }
    let sent = (0..1_000).filter(|_| budget.withdraw()).count();
    assert_eq!(sent, 10);
}
