//! A stream that never waits for its server takes little processor time; one that is generated is never throttled.

use std::time::{Duration, Instant};

use bulrushward_policy::stream_pace::StreamPace;
use rstest::rstest;

const SECONDS: u64 = 10;
/// Time that a router needs to read a chunk and pass it on.
const READ_TIME: Duration = Duration::from_micros(5);

#[test]
fn a_stream_that_is_always_ready_takes_little_of_the_processor() {
    let start = Instant::now();
    let end = start + Duration::from_secs(SECONDS);
    let (mut now, mut busy) = (start, Duration::ZERO);
    let mut pace = StreamPace::new(now);
    while now < end {
        now += pace.wait(now) + READ_TIME;
        busy += READ_TIME;
        pace.record_chunk(now);
    }
    // A hundred such streams leave most of the processor to others.
    assert!(busy * 100 < (end - start) / 2, "{busy:?}");
}

#[rstest]
#[case::steady(Duration::ZERO)]
#[case::after_a_pause_of_the_router(Duration::from_secs(2))]
fn a_stream_of_two_hundred_events_a_second_is_never_held_back(#[case] pause: Duration) {
    let start = Instant::now();
    let mut pace = StreamPace::new(start);
    for event in 0..200 * SECONDS {
        let sent = start + Duration::from_millis(5 * event);
        let read = sent.max(start + pause);
        assert_eq!(pace.wait(read), Duration::ZERO);
        pace.record_chunk(read);
        assert!(!pace.is_held_back());
    }
}
