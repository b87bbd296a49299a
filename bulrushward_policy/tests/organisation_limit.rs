//! Rate limits hold, and the returned waiting time is exact.

use std::time::{Duration, Instant};

use bulrushward_policy::organisation_limit::OrganisationLimits;
use proptest::{prelude::*, test_runner::RngSeed};

fn limits(rate: f64, now: Instant) -> OrganisationLimits {
    let mut limits = OrganisationLimits::default();
    limits.reconfigure([("one".to_owned(), rate)], now);
    limits
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(48),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rate_holds_and_a_request_after_the_returned_time_is_admitted(
        rate in 0.05..50.0_f64, gaps in proptest::collection::vec(0..3_000_u64, 1..100),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut limits = limits(rate, start);
        let mut taken = 0_u32;
        for gap in gaps {
            now += Duration::from_millis(gap);
            match limits.take("one", now) {
                Ok(()) => taken += 1,
                Err(wait) => {
                    let early = wait.mul_f64(0.99).saturating_sub(Duration::from_micros(2));
                    prop_assert!(limits.take("one", now + early).is_err(), "admitted too early");
                    now += wait;
                    prop_assert!(limits.take("one", now).is_ok(), "refused after {wait:?}");
                    taken += 1;
                }
            }
            let allowed = rate.max(1.0) + rate * now.duration_since(start).as_secs_f64();
            prop_assert!(f64::from(taken) <= allowed + 1e-3, "{taken} of {allowed}");
        }
    }
}

#[test]
fn a_surge_of_one_organisation_does_not_limit_others() {
    let now = Instant::now();
    let mut limits = limits(5.0, now);
    let admitted = (0..100).filter(|_| limits.take("one", now).is_ok()).count();
    assert_eq!(admitted, 5);
    assert!((0..100).all(|_| limits.take("two", now).is_ok()));
}

#[test]
fn a_new_configuration_does_not_refill_a_bucket() {
    let now = Instant::now();
    let mut limits = limits(1.0, now);
    assert!(limits.take("one", now).is_ok());
    limits.reconfigure([("one".to_owned(), 2.0)], now);
    assert!(limits.take("one", now).is_err());
    assert!(limits.take("one", now + Duration::from_millis(501)).is_ok());
}
