//! Detects the last event of a streamed chat response.
//!
//! Handles: chats that mention the text of the last event, events that are split across chunks, and all forms that the format
//! of event streams allows.

/// Data of the last event of a streamed chat response.
const LAST_EVENT: &[u8] = b"[DONE]";
/// Largest part of a line that is kept, in bytes: one more than the longest line with the data of the last event.
const MAX_LINE_BYTES: usize = b"data: ".len() + LAST_EVENT.len() + 1;

/// Data of the event that is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EventData {
    #[default]
    None,
    /// That of the last event.
    Last,
    Other,
}

/// Detects the last event in a stream, even if it is split across chunks.
#[derive(Debug, Default)]
pub struct LastEventDetector {
    /// First bytes of the line that is being received, at most [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Whether the last byte was a carriage return, with which a line feed forms one end of a line.
    after_carriage_return: bool,
    data: EventData,
    seen: bool,
}

impl LastEventDetector {
    /// Processes the next chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        for &byte in chunk {
            let ends_same_line = byte == b'\n' && self.after_carriage_return;
            self.after_carriage_return = byte == b'\r';
            match byte {
                b'\n' if ends_same_line => {}
                b'\n' | b'\r' => self.end_line(),
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(byte),
                _ => {}
            }
        }
    }

    /// Returns whether the last event was received completely.
    #[must_use]
    pub fn seen(&self) -> bool {
        self.seen
    }

    fn end_line(&mut self) {
        if self.line.is_empty() {
            self.seen |= self.data == EventData::Last;
            self.data = EventData::None;
        } else if let Some(value) = data_of(&self.line) {
            let is_last = self.data == EventData::None && value == LAST_EVENT;
            self.data = if is_last {
                EventData::Last
            } else {
                EventData::Other
            };
        }
        self.line.clear();
    }
}

/// Returns the value of a line with data; `None` for other lines.
fn data_of(line: &[u8]) -> Option<&[u8]> {
    if line == b"data" {
        return Some(b"");
    }
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
