//! A server's stream of events, cut into whole ones.

use std::time::{Duration, Instant};

use bulrushward_net::with_causes;
use bulrushward_policy::{hop::HopFailure, server_health::ServerHealth};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::{
    attempt::AttemptError,
    connection::{self, CloseTimer, Connection},
    events::EventSplitter,
    servers::InProgress,
};

/// Time beyond the end of a request's time after which its stream is closed whatever its caller does.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// The rest of a server's stream; closes its connection when it is dropped before its end.
#[derive(Debug)]
pub(crate) struct ServerStream {
    body: Incoming,
    pub(crate) splitter: EventSplitter,
    pub(crate) progress: InProgress,
    connection: Option<Connection>,
    /// A caller that does not read its stream must not hold the server for ever.
    close_timer: Option<CloseTimer>,
    keep_alive_timeout: Option<Duration>,
    is_complete: bool,
}

/// What a server's stream brought next.
#[derive(Debug)]
pub(crate) enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

impl ServerStream {
    /// Starts with a stream whose head was read; it is closed soon after `due` at the latest.
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

    /// Returns the next whole events.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if the stream broke, or brought nothing until `until`.
    pub(crate) async fn next(&mut self, until: Instant) -> Result<StreamItem, AttemptError> {
        if self.is_complete {
            return Ok(StreamItem::End);
        }
        loop {
            let frame = timeout_at(TokioInstant::from_std(until), self.body.frame()).await;
            let chunk = match frame {
                Err(_elapsed) => {
                    return Err(AttemptError::new(HopFailure::Silent, &"no event in time"));
                }
                Ok(Some(Err(error))) => {
                    return Err(AttemptError::new(HopFailure::Broken, &with_causes(&error)));
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => return self.finish(),
            };
            let events = self.splitter.push(&chunk).map_err(|_too_large| {
                AttemptError::new(HopFailure::Broken, &"an event is too large")
            })?;
            if !events.is_empty() {
                return Ok(StreamItem::Events(events));
            }
        }
    }

    fn finish(&mut self) -> Result<StreamItem, AttemptError> {
        if self.splitter.has_partial_event() {
            return Err(AttemptError::new(
                HopFailure::Broken,
                &"the last event is cut",
            ));
        }
        self.is_complete = true;
        self.close_timer = None;
        self.progress.update_health(ServerHealth::served);
        if let Some(connection) = self.connection.take() {
            connection::release(self.progress.server(), connection, self.keep_alive_timeout);
        }
        Ok(StreamItem::End)
    }
}
