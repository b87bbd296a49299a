//! Recognises streamed chat responses.

use bulrushward_protocol::Header;

/// Returns whether a response with these headers is an event stream.
pub(crate) fn is_event_stream(headers: &[Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}
