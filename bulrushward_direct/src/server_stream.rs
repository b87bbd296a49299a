//! A server's stream of events, cut into whole ones.

use std::time::{Duration, Instant};

use bulrushward_net::with_causes;
use bulrushward_policy::{server_attempt::AttemptFailure, server_health::ServerHealth};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::{
    connection::{self, Connection, Expiry},
    events::EventCutter,
    hop::HopError,
    servers::InProgress,
};

/// Time beyond the end of a request's time after which its stream is closed whatever its caller does.
const EXPIRY_SLACK: Duration = Duration::from_millis(300);
/// The rest of a server's stream; closes its connection when it is dropped before its end.
#[derive(Debug)]
pub(crate) struct ServerStream {
    body: Incoming,
    pub(crate) cutter: EventCutter,
    pub(crate) progress: InProgress,
    connection: Option<Connection>,
    /// A caller that does not read its stream must not hold the server for ever.
    expiry: Option<Expiry>,
    keeps: Option<Duration>,
    is_over: bool,
}

/// What a server's stream brought next.
#[derive(Debug)]
pub(crate) enum Piece {
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
        keeps: Option<Duration>,
        due: Instant,
    ) -> Self {
        Self {
            body,
            cutter: EventCutter::default(),
            progress,
            expiry: Some(Expiry::new(&connection, due + EXPIRY_SLACK)),
            connection: Some(connection),
            keeps,
            is_over: false,
        }
    }

    /// Returns the next whole events.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if the stream broke, or brought nothing until `until`.
    pub(crate) async fn next(&mut self, until: Instant) -> Result<Piece, HopError> {
        if self.is_over {
            return Ok(Piece::End);
        }
        loop {
            let frame = timeout_at(TokioInstant::from_std(until), self.body.frame()).await;
            let piece = match frame {
                Err(_elapsed) => {
                    return Err(HopError::new(AttemptFailure::Silent, &"no event in time"));
                }
                Ok(Some(Err(error))) => {
                    return Err(HopError::new(AttemptFailure::Broken, &with_causes(&error)));
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => return self.end(),
            };
            let whole = self.cutter.push(&piece).map_err(|_too_large| {
                HopError::new(AttemptFailure::Broken, &"an event is too large")
            })?;
            if !whole.is_empty() {
                return Ok(Piece::Events(whole));
            }
        }
    }

    fn end(&mut self) -> Result<Piece, HopError> {
        if self.cutter.has_rest() {
            return Err(HopError::new(
                AttemptFailure::Broken,
                &"the last event is cut",
            ));
        }
        self.is_over = true;
        self.expiry = None;
        self.progress.note_health(ServerHealth::record_success);
        if let Some(connection) = self.connection.take() {
            connection::give_back(self.progress.server(), connection, self.keeps);
        }
        Ok(Piece::End)
    }
}
