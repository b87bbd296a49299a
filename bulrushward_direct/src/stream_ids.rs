//! Ids of the events of a stream, with those of the servers that sent it before.

use bulrushward_policy::event_order::{EventOrder, IdSpacing, OrderError};

/// Place in a stream after which it was resumed.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// Id of the last event.
    pub(crate) after: String,
    /// Spacing of the ids before.
    pub(crate) spacing: IdSpacing,
}

/// Ids of the events that one server has sent.
#[derive(Debug)]
pub(crate) struct StreamIds {
    /// Spacing of the ids so far, those of earlier servers included.
    spacing: IdSpacing,
    /// Id of the first event that had one.
    first: Option<String>,
    /// Order of the events, if the stream was resumed.
    order: Option<EventOrder>,
}

impl StreamIds {
    /// Creates the ids of a stream that begins, or goes on after the last event of another server.
    pub(crate) fn new(resumed_at: Option<ResumePoint>) -> Self {
        let spacing = resumed_at.as_ref().map(|point| point.spacing);
        Self {
            spacing: spacing.unwrap_or_default(),
            first: None,
            order: resumed_at.map(|point| EventOrder::after(&point.after, point.spacing)),
        }
    }

    /// Records the ids of events that arrived together.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] if the events do not go on with the stream.
    pub(crate) fn record(&mut self, ids: Vec<Option<String>>) -> Result<(), OrderError> {
        if let Some(order) = &mut self.order {
            order.admit(ids.iter().map(Option::as_deref))?;
        }
        self.spacing.record(ids.iter().map(Option::as_deref));
        if self.first.is_none() {
            self.first = ids.into_iter().flatten().next();
        }
        Ok(())
    }

    /// Returns the id of the first event that had one.
    pub(crate) fn first(&self) -> Option<&str> {
        self.first.as_deref()
    }

    /// Returns the id of the last event that goes on with the stream; `received` is that of the last one at all.
    pub(crate) fn last<'a>(&'a self, received: Option<&'a str>) -> Option<&'a str> {
        let admitted = self.order.as_ref().map(EventOrder::last);
        admitted.or(received)
    }

    /// Returns the place after the event with the id `last`.
    pub(crate) fn resume_point(&self, last: &str) -> ResumePoint {
        ResumePoint {
            after: last.to_owned(),
            spacing: self.spacing,
        }
    }
}
