//! The parts of one stream that servers sent, for the log.

use std::fmt;

use crate::{model::ServerId, server_stream::ServerStream};

/// Part of a stream that one server sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamRun {
    server: ServerId,
    /// Id of the first event; `None` if there was no event with an id.
    first: Option<String>,
    last: Option<String>,
}

impl StreamRun {
    /// Returns the part that has been read from a server so far.
    pub(crate) fn of(stream: &ServerStream) -> Self {
        Self {
            server: stream.progress.server().id.clone(),
            first: stream.first_id().map(str::to_owned),
            last: stream.last_id().map(str::to_owned),
        }
    }
}

impl fmt::Display for StreamRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self.last.as_deref().filter(|_| self.first.is_some());
        let (first, last) = (self.first.as_deref().unwrap_or_default(), last);
        write!(f, "{}:{first}-{}", self.server, last.unwrap_or_default())
    }
}

/// Parts of a stream in their order, as `s-1:1-3,s-2:4-9`.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamRuns(Vec<StreamRun>);

impl StreamRuns {
    /// Adds a part after which another server continues.
    pub(crate) fn push(&mut self, run: StreamRun) {
        self.0.push(run);
    }

    /// Returns whether only one server has sent a part.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the text of all parts, of which `last` is the last one.
    pub(crate) fn with_last(&self, last: &StreamRun) -> String {
        let texts: Vec<_> = self
            .0
            .iter()
            .chain([last])
            .map(ToString::to_string)
            .collect();
        texts.join(",")
    }
}
