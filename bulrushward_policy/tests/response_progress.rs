//! Calls are given up by what arrives of their responses, whatever the size.

use std::time::{Duration, Instant};

use bulrushward_policy::response_progress::{MIN_RATE, ResponseLimits, ResponseProgress};
use proptest::{collection::vec, prelude::*};

const LIMITS: ResponseLimits = ResponseLimits {
    first: Duration::from_secs(2),
    part: Duration::from_millis(800),
};

proptest! {
    /// Guards against limits on the time of a whole response, which no response above a certain size meets.
    #[test]
    fn a_response_of_any_size_that_arrives_steadily_is_not_given_up(
        first_ms in 0_u64..2_000,
        chunks in vec(1_usize..20_000, 1..400),
        factor in 1.5_f64..100.0,
    ) {
        let mut now = Instant::now();
        let mut progress = ResponseProgress::new(LIMITS, now);
        now += Duration::from_millis(first_ms);
        for chunk in chunks {
            prop_assert!(now < progress.deadline());
            progress.record(chunk, now);
            now += Duration::from_secs_f64(chunk as f64 / MIN_RATE / factor);
        }
        prop_assert!(now < progress.deadline());
    }

    /// Guards against a peer that holds a call for ever by sending a few bytes now and then.
    #[test]
    fn whatever_arrives_a_call_ends_within_a_time_that_follows_from_its_size(
        arrivals in vec((0_u64..1_000, 1_usize..60_000), 0..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut progress = ResponseProgress::new(LIMITS, now);
        let mut bytes = 0;
        for (pause_ms, len) in arrivals {
            now += Duration::from_millis(pause_ms);
            if now >= progress.deadline() {
                break;
            }
            progress.record(len, now);
            bytes += len;
        }
        let parts = bytes as f64 / (LIMITS.part.as_secs_f64() * MIN_RATE) + 1.0;
        let bound = LIMITS.first + LIMITS.part.mul_f64(parts);
        prop_assert!(progress.deadline() <= start + bound);
    }
}

#[test]
fn a_response_that_stops_is_given_up_after_the_time_for_a_part() {
    let start = Instant::now();
    let mut progress = ResponseProgress::new(LIMITS, start);
    assert_eq!(progress.deadline(), start + LIMITS.first);
    let at = start + Duration::from_millis(100);
    assert!(progress.record(1_000_000, at), "it is the first content");
    assert!(!progress.record(10, at + Duration::from_millis(500)));
    assert_eq!(progress.deadline(), at + LIMITS.part);
}
