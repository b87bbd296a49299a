//! Detects the end of a streamed chat response.

use bulrushward_protocol::Header;

/// Data of the last event of a streamed chat response.
const LAST_EVENT: &[u8] = b"[DONE]";

/// Returns whether a response with these headers is an event stream.
pub(crate) fn is_event_stream(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}

/// Detects the last event in a stream, even if it is split across chunks.
#[derive(Debug, Default)]
pub(crate) struct LastEventDetector {
    /// Last bytes of the stream, at most as many as the last event has.
    tail: Vec<u8>,
    seen: bool,
}

impl LastEventDetector {
    /// Processes the next chunk of the stream.
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.tail.extend_from_slice(chunk);
        self.seen |= self
            .tail
            .windows(LAST_EVENT.len())
            .any(|window| window == LAST_EVENT);
        let excess = self.tail.len().saturating_sub(LAST_EVENT.len());
        self.tail.drain(..excess);
    }

    /// Returns whether the last event was received.
    pub(crate) fn seen(&self) -> bool {
        self.seen
    }
}
