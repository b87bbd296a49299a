//! Tests of the wait at a router that has just started.

use std::time::Duration;

use bulrushward_policy::start_wait::{StartWait, release_delay};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time without a byte after which callers of streams give up.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);

#[rstest]
#[case::short(Some(1_000), 200)]
#[case::long(Some(15_000), 1_300)]
#[case::unknown(None, 250)]
fn a_request_waits_for_a_part_of_its_callers_patience(
    #[case] patience_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let patience = patience_ms.map(Duration::from_millis);
    let wait = StartWait::default().admit(patience);
    assert_eq!(wait, Some(Duration::from_millis(expected_ms)));
}

// A crowd that waits must not fill the memory of a small VM.
#[test]
fn the_number_of_waiting_requests_is_bounded() {
    let mut waits = StartWait::default();
    let admitted = (0..10_000)
        .filter(|_| waits.admit(Some(STREAM_PATIENCE)).is_some())
        .count();
    assert_eq!(admitted, waits.waiting());
    assert!(admitted <= 256, "{admitted}");
    waits.release();
    assert!(waits.admit(None).is_some());
}

proptest! {
    // A request that waits longer than its caller fails.
    #[test]
    fn no_request_outlasts_its_caller(patience_ms in 0_u64..1_000_000, seed: u64) {
        let patience = Duration::from_millis(patience_ms);
        let wait = StartWait::default().admit(Some(patience)).expect("nothing else waits");
        let total = wait + release_delay(wait, &mut Pcg64::seed_from_u64(seed));
        prop_assert!(total <= patience / 3);
        prop_assert!(total < STREAM_PATIENCE);
    }
}

// Requests that have waited together must not reach the servers together.
#[test]
fn requests_that_waited_go_on_spread() {
    let mut rng = Pcg64::seed_from_u64(1);
    let waited = Duration::from_millis(1_300);
    let delays: Vec<_> = (0..100).map(|_| release_delay(waited, &mut rng)).collect();
    let in_a_tenth = |begin: u64| {
        let tenth = Duration::from_millis(begin)..Duration::from_millis(begin + 60);
        delays.iter().filter(|delay| tenth.contains(delay)).count()
    };
    assert!((0..600).step_by(60).all(|begin| in_a_tenth(begin) <= 25));
    assert!(delays.iter().all(|delay| *delay <= waited / 2));
}
