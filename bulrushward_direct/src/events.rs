//! Splits a stream of server-sent events at event boundaries, independent of the chunks in which it arrives.

use bytes::{Bytes, BytesMut};
use memchr::{memchr_iter, memrchr_iter};

/// Largest event that is buffered until it is complete, in bytes; a larger one breaks the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Longest boundary between two events, in bytes.
const BOUNDARY_BYTES: usize = 4;

/// Error of an event that is larger than a router buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers the beginning of an event until its end has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends a chunk and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] if an incomplete event exceeds the buffer limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventTooLarge> {
        // The bytes before have been searched, except for an event boundary that they begin.
        let from = self.buf.len().saturating_sub(BOUNDARY_BYTES - 1);
        self.buf.extend_from_slice(chunk);
        let end = end_of_last_event(&self.buf[from..]);
        let Some(end) = end.map(|end| from + end) else {
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

    /// Returns whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the memory that an incomplete event takes, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Returns the id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns whether complete events hold anything but comments, which servers send to keep connections open.
pub(crate) fn has_event(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// What complete events hold.
#[derive(Debug, Default)]
pub(crate) struct EventScan {
    /// Ids of the events in their order, `None` for an event without one.
    pub(crate) ids: Vec<Option<String>>,
    /// Bytes of blank lines and comments, which are no events.
    pub(crate) filler: usize,
}

impl EventScan {
    /// Scans complete events in one pass.
    pub(crate) fn new(events: &[u8]) -> Self {
        let mut scan = Self::default();
        let mut rest = events;
        loop {
            let is_text = |byte: &u8| !matches!(byte, b'\n' | b'\r');
            let blank = rest.iter().position(is_text).unwrap_or(rest.len());
            scan.filler += blank;
            rest = &rest[blank..];
            if rest.is_empty() {
                return scan;
            }
            let end = end_of_first_event(rest).unwrap_or(rest.len());
            let (event, after) = rest.split_at(end);
            if has_event(event) {
                scan.ids.push(last_id(event));
            } else {
                scan.filler += event.len();
            }
            rest = after;
        }
    }
}

fn end_of_first_event(buf: &[u8]) -> Option<usize> {
    memchr_iter(b'\n', buf).find_map(|at| match buf[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] if buf[..at].ends_with(b"\r") => Some(at + 3),
        _ => None,
    })
}

fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let mut ends = memrchr_iter(b'\n', buf).map(|at| at + 1);
    ends.find(|end| buf[..*end].ends_with(b"\n\n") || buf[..*end].ends_with(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
