//! The end of a streamed chat answer.

use bulrushward_protocol::Header;

/// Last event of a streamed chat answer.
const LAST_EVENT: &[u8] = b"[DONE]";

/// Returns whether an answer with these headers is an event stream.
pub(crate) fn is_event_stream(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}

/// Finds the last event in a stream, wherever the pieces are split.
#[derive(Debug, Default)]
pub(crate) struct LastEventDetector {
    /// Bytes of the last event that the stream ends with so far.
    tail: Vec<u8>,
    seen: bool,
}

impl LastEventDetector {
    /// Takes in the next piece of the stream.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        self.tail.extend_from_slice(piece);
        self.seen |= self
            .tail
            .windows(LAST_EVENT.len())
            .any(|window| window == LAST_EVENT);
        let excess = self.tail.len().saturating_sub(LAST_EVENT.len());
        self.tail.drain(..excess);
    }

    /// Returns whether the stream has its last event.
    pub(crate) fn seen(&self) -> bool {
        self.seen
    }
}
