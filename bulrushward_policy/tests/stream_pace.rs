//! A stream that never waits for its server takes little processor time; one that is generated is never throttled.

use std::time::{Duration, Instant};

use bulrushward_policy::stream_pace::StreamPace;
use rstest::rstest;

const SECONDS: u64 = 10;
/// Time that a router needs to read a chunk and pass it on, without the work for its bytes and events.
const READ_TIME: Duration = Duration::from_micros(5);
const BYTE_TIME: Duration = Duration::from_nanos(2);
const EVENT_TIME: Duration = Duration::from_nanos(60);

#[rstest]
#[case::small_chunks(9, 1)]
#[case::large_chunks(16 << 10, 1)]
#[case::many_events(16 << 10, 1_600)]
#[case::tiny_events(16 << 10, 8_192)]
fn a_stream_that_is_always_ready_takes_little_of_the_processor(
    #[case] bytes: usize,
    #[case] events: usize,
) {
    let read_time = READ_TIME + BYTE_TIME * bytes as u32 + EVENT_TIME * events as u32;
    let start = Instant::now();
    let end = start + Duration::from_secs(SECONDS);
    let (mut now, mut busy) = (start, Duration::ZERO);
    let mut pace = StreamPace::new(now);
    while now < end {
        now += pace.wait(now) + read_time;
        busy += read_time;
        pace.record_chunk(bytes, events, now);
    }
    // A hundred such streams leave most of the processor to others.
    assert!(busy * 100 < (end - start) / 2, "{busy:?}");
}

#[rstest]
#[case::steady(Duration::ZERO)]
#[case::after_a_pause_of_the_router(Duration::from_secs(2))]
fn a_stream_of_two_hundred_events_a_second_is_never_held_back(
    #[case] pause: Duration,
    #[values(100, 1_000)] bytes: usize,
) {
    let start = Instant::now();
    let mut pace = StreamPace::new(start);
    for event in 0..200 * SECONDS {
        let sent = start + Duration::from_millis(5 * event);
        let read = sent.max(start + pause);
        assert_eq!(pace.wait(read), Duration::ZERO);
        pace.record_chunk(bytes, 1, read);
        assert!(!pace.is_held_back());
    }
}
