//! Cuts a stream of server-sent events into whole events, whatever pieces it arrives in.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is whole, in bytes; one that is larger breaks the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A single event is larger than a router holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Holds back the beginning of an event until its end has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes a piece in and returns all events that are whole now.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] if an event without end grows beyond what is held.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.buf.extend_from_slice(chunk);
        let Some(end) = end_of_last_event(&self.buf) else {
            return if self.buf.len() > MAX_EVENT_BYTES {
                Err(EventTooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let complete = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns whether the stream stopped within an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = buf.windows(4).rposition(|four| four == b"\r\n\r\n");
    lf.map(|at| at + 2).max(crlf.map(|at| at + 4))
}

fn last_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
