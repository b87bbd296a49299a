//! Which events continue a resumed stream.
//!
//! Handles: servers that, asked to continue, start over, repeat or skip events, send an error as an event or end at once.

use snafu::Snafu;

/// Why an event does not continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The first event has no id.
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
    /// Events seem to be missing between the last one and the first one that continues the stream.
    #[snafu(display("event {id} follows {last}, further than the events before"))]
    Gap {
        /// Id of the event.
        id: String,
        /// Id of the last event.
        last: String,
    },
}

/// Largest distance between neighbouring numeric ids of a stream, counted from 0 before its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdSpacing {
    last: u64,
    largest: u64,
}

impl IdSpacing {
    /// Creates the spacing of a stream of which only the id of the last event is known.
    #[must_use]
    pub fn from_id(last: &str) -> Self {
        Self {
            last: last.parse().unwrap_or_default(),
            largest: 0,
        }
    }

    /// Records the ids of events in their order; other ids than numbers have no order.
    pub fn record<'a>(&mut self, ids: impl IntoIterator<Item = Option<&'a str>>) {
        for id in ids.into_iter().flatten().filter_map(|id| id.parse().ok()) {
            self.largest = self.largest.max(u64::saturating_sub(id, self.last));
            self.last = id;
        }
    }

    /// Returns whether `id` is further from `last` than any events before; `false` if no distance is known.
    fn has_gap(self, id: &str, last: &str) -> bool {
        let (Ok(id), Ok(last)) = (id.parse::<u64>(), last.parse()) else {
            return false;
        };
        self.largest > 0 && id.saturating_sub(last) > self.largest
    }
}

/// Order of the events of a resumed stream.
#[derive(Clone, Debug)]
pub struct EventOrder {
    last: String,
    spacing: IdSpacing,
    has_continued: bool,
}

impl EventOrder {
    /// Creates the order of a stream that continues after `last` and had ids in this `spacing`.
    #[must_use]
    pub fn after(last: &str, spacing: IdSpacing) -> Self {
        Self {
            last: last.to_owned(),
            spacing,
            has_continued: false,
        }
    }

    /// Returns the id of the last event that was admitted.
    #[must_use]
    pub fn last(&self) -> &str {
        &self.last
    }

    /// Admits events that arrived together, by their ids in order, or none of them.
    ///
    /// Numeric ids must increase; other ids must only differ. The first event must have an id, not further from the last
    /// one than the events before it.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] for the first event that does not continue the stream.
    pub fn admit<'a>(
        &mut self,
        ids: impl IntoIterator<Item = Option<&'a str>>,
    ) -> Result<(), OrderError> {
        let (mut last, mut has_continued) = (self.last.as_str(), self.has_continued);
        for id in ids {
            match id {
                Some(id) if !comes_after(id, last) => {
                    let (id, last) = (id.to_owned(), last.to_owned());
                    return NotAfterSnafu { id, last }.fail();
                }
                Some(id) if !has_continued && self.spacing.has_gap(id, last) => {
                    let (id, last) = (id.to_owned(), last.to_owned());
                    return GapSnafu { id, last }.fail();
                }
                Some(id) => last = id,
                None if !has_continued => return NoIdSnafu { last }.fail(),
                None => {}
            }
            has_continued = true;
        }
        (self.last, self.has_continued) = (last.to_owned(), has_continued);
        Ok(())
    }
}

fn comes_after(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => last < id,
        _ => id != last,
    }
}
