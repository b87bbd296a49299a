//! Which events go on with a stream that was resumed.
//!
//! Handles: servers that begin anew, repeat events, send an error as an event or end at once when they are asked to go on.

use snafu::Snafu;

/// Why an event does not go on with a stream.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The first event names no place in the stream.
    #[snafu(display("the first event after {last} has no id"))]
    NoId {
        /// Id of the last event.
        last: String,
    },
    /// The event does not come after the last one.
    #[snafu(display("event {id} does not come after {last}"))]
    NotAfter {
        /// Id of the event.
        id: String,
        /// Id of the last event.
        last: String,
    },
}

/// Order of the events of a resumed stream.
#[derive(Clone, Debug)]
pub struct EventOrder {
    last: String,
    has_gone_on: bool,
}

impl EventOrder {
    /// Creates the order of a stream that goes on after the event `last`.
    #[must_use]
    pub fn after(last: &str) -> Self {
        Self {
            last: last.to_owned(),
            has_gone_on: false,
        }
    }

    /// Returns the id of the last event that was admitted.
    #[must_use]
    pub fn last(&self) -> &str {
        &self.last
    }

    /// Admits events that arrived together, by their ids in order, or none of them.
    ///
    /// Ids that are numbers grow; other ids only differ. An event without an id may stand after the first one.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] for the first event that does not go on with the stream.
    pub fn admit<'a>(
        &mut self,
        ids: impl IntoIterator<Item = Option<&'a str>>,
    ) -> Result<(), OrderError> {
        let (mut last, mut has_gone_on) = (self.last.as_str(), self.has_gone_on);
        for id in ids {
            match id {
                Some(id) if !comes_after(id, last) => {
                    let (id, last) = (id.to_owned(), last.to_owned());
                    return NotAfterSnafu { id, last }.fail();
                }
                Some(id) => last = id,
                None if !has_gone_on => return NoIdSnafu { last }.fail(),
                None => {}
            }
            has_gone_on = true;
        }
        (self.last, self.has_gone_on) = (last.to_owned(), has_gone_on);
        Ok(())
    }
}

fn comes_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => last < id,
        _ => id != last,
    }
}
