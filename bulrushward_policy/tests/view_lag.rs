//! A part of the fleet state that lags is noticed whatever happens to the other parts.

use std::time::{Duration, Instant};

use bulrushward_policy::view_lag::ViewLag;

/// Time between two comparisons with the peers.
const ROUND: Duration = Duration::from_millis(250);

#[test]
fn the_lag_grows_while_a_peer_is_ahead_and_the_own_version_stays() {
    let mut lag = ViewLag::default();
    let start = Instant::now();
    for round in 0..10 {
        assert_eq!(
            lag.observe(7_u64, true, start + ROUND * round),
            Some(ROUND * round)
        );
    }
    assert_eq!(lag.observe(7, false, start + ROUND * 10), None);
    assert_eq!(
        lag.observe(7, true, start + ROUND * 11),
        Some(Duration::ZERO)
    );
}

#[test]
fn a_version_that_advances_starts_the_lag_anew() {
    let mut lag = ViewLag::default();
    let start = Instant::now();
    lag.observe(7_u64, true, start);
    assert_eq!(lag.observe(8, true, start + ROUND), Some(Duration::ZERO));
    assert_eq!(lag.observe(8, true, start + ROUND * 3), Some(ROUND * 2));
}
