//! The last event of a stream of events.

use bulrushward_policy::last_event::LastEventDetector;
use proptest::prelude::*;
use rstest::rstest;

fn is_seen(chunks: &[&[u8]]) -> bool {
    let mut detector = LastEventDetector::default();
    for chunk in chunks {
        detector.push(chunk);
    }
    detector.seen()
}

/// Guards against last events that are overlooked, in any form that the format of event streams allows.
#[rstest]
#[case::usual("data: {}\n\ndata: [DONE]\n\n")]
#[case::first("data: [DONE]\n\n")]
#[case::without_space("data: {}\n\ndata:[DONE]\n\n")]
#[case::carriage_returns("data: {}\r\rdata: [DONE]\r\r")]
#[case::both_line_ends("data: {}\r\n\r\ndata: [DONE]\r\n\r\n")]
#[case::other_fields("data: {}\n\nid: 7\nevent: end\ndata: [DONE]\nretry: 1\n\n")]
#[case::comment("data: {}\n\n: almost\ndata: [DONE]\n\n")]
#[case::later_comment("data: [DONE]\n\n: bye\n\n")]
fn the_last_event_is_seen_however_it_is_split(#[case] stream: &str) {
    let stream = stream.as_bytes();
    for at in 0..=stream.len() {
        let (first, second) = stream.split_at(at);
        assert!(is_seen(&[first, second]), "split at {at}");
    }
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert!(is_seen(&bytes), "byte by byte");
}

/// Guards against text of an event that passes for the last event, so that a stream which is cut after it seems complete.
#[rstest]
#[case::in_the_data("data: {\"content\":\"[DONE]\"}\n\n")]
#[case::quoted_whole("data: {\"content\":\"data: [DONE]\\n\\n\"}\n\n")]
#[case::longer_data("data: [DONE] not yet\n\n")]
#[case::data_before("data: so\ndata: [DONE]\n\n")]
#[case::data_after("data: [DONE]\ndata: so\n\n")]
#[case::empty_data_after("data: [DONE]\ndata\n\n")]
#[case::comment(": data: [DONE]\n\n")]
#[case::other_field("event: [DONE]\n\n")]
#[case::other_name("metadata: [DONE]\n\n")]
#[case::two_spaces("data:  [DONE]\n\n")]
#[case::cut_in_the_line("data: {}\n\ndata: [DONE]")]
#[case::cut_before_the_empty_line("data: {}\n\ndata: [DONE]\r\n")]
fn other_text_is_not_the_last_event(#[case] stream: &str) {
    let stream = stream.as_bytes();
    for at in 0..=stream.len() {
        let (first, second) = stream.split_at(at);
        assert!(!is_seen(&[first, second]), "split at {at}");
    }
}

proptest! {
    /// Guards against a stream that counts as complete though any of its last bytes are missing.
    #[test]
    fn no_cut_of_a_stream_has_its_last_event(contents in prop::collection::vec("[ -~]{0,40}", 0..6)) {
        let events = contents.iter().map(|content| format!("data: {{{content}}}\n\n"));
        let stream = events.collect::<String>() + "data: [DONE]\n\n";
        let stream = stream.as_bytes();
        prop_assert!(is_seen(&[stream]));
        for len in 0..stream.len() {
            prop_assert!(!is_seen(&[&stream[..len]]));
        }
    }
}
