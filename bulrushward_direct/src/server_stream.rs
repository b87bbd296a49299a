//! A server's stream of events, split at event boundaries.

use std::time::{Duration, Instant};

use bulrushward_net::with_causes;
use bulrushward_policy::{server_attempt::AttemptFailure, server_health::ServerHealth};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    attempt::AttemptError,
    connection::{self, CloseTimer, Connection},
    events::EventSplitter,
    read_timeout,
    servers::InProgress,
};

/// Time after a request's deadline at which its stream is closed even if the caller does not read it.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// A server's stream after the response head; closes the connection if dropped before the end of the stream.
#[derive(Debug)]
pub(crate) struct ServerStream {
    body: Incoming,
    pub(crate) splitter: EventSplitter,
    pub(crate) progress: InProgress,
    connection: Option<Connection>,
    /// Keeps a caller that does not read its stream from occupying the server forever.
    close_timer: Option<CloseTimer>,
    keep_alive_timeout: Option<Duration>,
    is_complete: bool,
}

/// Next item of a server's stream.
#[derive(Debug)]
pub(crate) enum StreamItem {
    /// Complete events.
    Events(Bytes),
    /// Regular end of the stream.
    End,
}

impl ServerStream {
    /// Wraps the body of a response whose head was read.
    ///
    /// Its connection is closed soon after `deadline` at the latest.
    pub(crate) fn new(
        body: Incoming,
        progress: InProgress,
        connection: Connection,
        keep_alive_timeout: Option<Duration>,
        deadline: Instant,
    ) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            progress,
            close_timer: Some(CloseTimer::new(&connection, deadline + CLOSE_GRACE)),
            connection: Some(connection),
            keep_alive_timeout,
            is_complete: false,
        }
    }

    /// Returns the next complete events.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError`] if the stream broke, or if no event was complete by `until`.
    pub(crate) async fn next(&mut self, until: Instant) -> Result<StreamItem, AttemptError> {
        if self.is_complete {
            return Ok(StreamItem::End);
        }
        loop {
            let frame = read_timeout::until(until, self.body.frame()).await;
            let chunk = match frame {
                None => {
                    return Err(AttemptError::new(
                        AttemptFailure::Silent,
                        &"no event in time",
                    ));
                }
                Some(Some(Err(error))) => {
                    return Err(AttemptError::new(
                        AttemptFailure::Broken,
                        &with_causes(&error),
                    ));
                }
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Some(None) => return self.finish(),
            };
            let events = self.splitter.push(&chunk).map_err(|_too_large| {
                AttemptError::new(AttemptFailure::Broken, &"an event is too large")
            })?;
            if !events.is_empty() {
                return Ok(StreamItem::Events(events));
            }
        }
    }

    /// Closes the connection, so that the server stops its work.
    pub(crate) fn close(&mut self) {
        self.close_timer = None;
        self.connection = None;
    }

    fn finish(&mut self) -> Result<StreamItem, AttemptError> {
        if self.splitter.has_partial_event() {
            return Err(AttemptError::new(
                AttemptFailure::Broken,
                &"the last event is incomplete",
            ));
        }
        self.is_complete = true;
        self.close_timer = None;
        self.progress.update_health(ServerHealth::record_success);
        if let Some(connection) = self.connection.take() {
            connection::release(self.progress.server(), connection, self.keep_alive_timeout);
        }
        Ok(StreamItem::End)
    }
}
