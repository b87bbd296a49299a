//! Events are split at the same places whatever the chunks in which they arrive.

use bulrushward_direct::EventSplitter;
use proptest::{collection::vec, prelude::*, sample::select};

/// Returns the length of all complete events, found by trying each end.
fn complete_len(text: &[u8]) -> usize {
    let is_boundary =
        |end: &usize| text[..*end].ends_with(b"\n\n") || text[..*end].ends_with(b"\r\n\r\n");
    (0..=text.len()).rev().find(is_boundary).unwrap_or(0)
}

proptest! {
    /// Guards against events that are passed on incomplete or held back, as a boundary lies in two chunks.
    #[test]
    fn all_complete_events_are_returned_and_nothing_else(
        chunks in vec(vec(select(b"\n\r:ai".to_vec()), 0..6), 0..12),
    ) {
        let mut splitter = EventSplitter::default();
        let mut waiting = Vec::new();
        for chunk in chunks {
            waiting.extend_from_slice(&chunk);
            let complete: Vec<_> = waiting.drain(..complete_len(&waiting)).collect();
            let events = splitter.push(&chunk).expect("the events are small");
            prop_assert_eq!(&events[..], &complete);
            prop_assert_eq!(splitter.has_partial_event(), !waiting.is_empty());
        }
    }
}
