//! A server's stream of events, split at event boundaries.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    body_end::Framing, server_attempt::AttemptFailure, server_health::ServerHealth,
    stream_pace::StreamPace,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{sleep, timeout};

use crate::{
    attempt::AttemptError,
    bounded_stream::BoundedStreamHandle,
    buffered_body::Reservation,
    connection::{self, CloseTimer, Connection},
    events::{EventScan, EventSplitter, has_event},
    read_timeout,
    response_end::ResponseEnd,
    servers::InProgress,
    stream_ids::{ResumePoint, StreamIds},
};

/// Time after a request's deadline at which its stream is closed even if the caller does not read it.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// Largest comments that are held back until the next event, in bytes.
const MAX_WITHHELD: usize = 64 << 10;
/// Time for further events to arrive that are passed on together.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// A server's stream after the response head; closes the connection if dropped before the end of the stream.
#[derive(Debug)]
pub(crate) struct ServerStream {
    body: Incoming,
    splitter: EventSplitter,
    pub(crate) progress: InProgress,
    connection: Option<Connection>,
    handle: BoundedStreamHandle,
    /// Memory of the incomplete event.
    reservation: Reservation,
    pace: StreamPace,
    /// Events that are passed on together, as the stream is held back.
    gathered: BytesMut,
    /// Comments that are passed on with the next event.
    withheld: BytesMut,
    /// End of the stream that follows the gathered events.
    end: Option<Result<StreamItem, AttemptError>>,
    /// Keeps a caller that does not read its stream from occupying the server forever.
    close_timer: Option<CloseTimer>,
    keep_alive_timeout: Option<Duration>,
    /// Time at which what has arrived is read, if no event was complete in time.
    overdue: Option<Instant>,
    is_complete: bool,
    response_end: ResponseEnd,
    ids: StreamIds,
    has_had_event: bool,
}

/// What is known of a stream when the head of its response has arrived.
#[derive(Debug)]
pub(crate) struct StreamHead {
    pub(crate) resumed_at: Option<ResumePoint>,
    pub(crate) progress: InProgress,
    pub(crate) connection: Connection,
    pub(crate) keep_alive_timeout: Option<Duration>,
    pub(crate) end: ResponseEnd,
}

/// Next item of a server's stream.
#[derive(Debug)]
pub(crate) enum StreamItem {
    /// Complete events.
    Events(Bytes),
    /// Comments only, which are no progress.
    Comments(Bytes),
    /// Regular end of the stream.
    End,
}

impl ServerStream {
    /// Wraps the body of a response whose head was read.
    ///
    /// A stream that was resumed after an event must go on with later ones. Its connection is closed soon after `deadline`
    /// at the latest.
    pub(crate) fn new(
        body: Incoming,
        head: StreamHead,
        deadline: Instant,
        reservation: Reservation,
    ) -> Self {
        let StreamHead {
            resumed_at,
            progress,
            connection,
            keep_alive_timeout,
            end,
        } = head;
        Self {
            body,
            splitter: EventSplitter::default(),
            progress,
            close_timer: Some(CloseTimer::new(&connection, deadline + CLOSE_GRACE)),
            handle: connection.stream.clone(),
            connection: Some(connection),
            reservation,
            pace: StreamPace::new(Instant::now()),
            gathered: BytesMut::new(),
            withheld: BytesMut::new(),
            end: None,
            keep_alive_timeout,
            overdue: None,
            is_complete: false,
            response_end: end,
            ids: StreamIds::new(resumed_at),
            has_had_event: false,
        }
    }

    /// Returns the next complete events or comments.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError`] if the stream broke, or if no event was complete by `until` whatever else has arrived.
    pub(crate) async fn next(&mut self, until: Instant) -> Result<StreamItem, AttemptError> {
        if !self.withheld.is_empty() {
            return Ok(StreamItem::Comments(self.withheld.split().freeze()));
        }
        self.read(until).await
    }

    /// Returns the next complete events together with the comments before them, or comments alone at the end.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError`] as [`Self::next`] does, or if there are too many comments.
    pub(crate) async fn next_event(&mut self, until: Instant) -> Result<StreamItem, AttemptError> {
        loop {
            match self.read(until).await? {
                StreamItem::Comments(comments) => {
                    if self.withheld.len() + comments.len() > MAX_WITHHELD {
                        return Err(AttemptError::new(
                            AttemptFailure::Broken,
                            &"too many comments without an event",
                        ));
                    }
                    self.withheld.extend_from_slice(&comments);
                }
                item if self.withheld.is_empty() => return Ok(item),
                StreamItem::End => {
                    return Ok(StreamItem::Comments(self.withheld.split().freeze()));
                }
                StreamItem::Events(events) => {
                    let mut events_after_comments = self.withheld.split();
                    events_after_comments.extend_from_slice(&events);
                    return Ok(StreamItem::Events(events_after_comments.freeze()));
                }
            }
        }
    }

    async fn read(&mut self, until: Instant) -> Result<StreamItem, AttemptError> {
        if self.end.is_some() && !self.gathered.is_empty() {
            return Ok(self.take_gathered());
        }
        if let Some(end) = self.end.take() {
            return end;
        }
        if self.is_complete {
            return Ok(StreamItem::End);
        }
        loop {
            let wait = self.pace.wait(Instant::now());
            if !self.gathered.is_empty() && !wait.is_zero() {
                return Ok(self.take_gathered());
            }
            if self.is_overdue(until) {
                return Err(AttemptError::new(
                    AttemptFailure::Silent,
                    &"no event in time",
                ));
            }
            let item = match self.read_frame(wait, until).await {
                None if self.gathered.is_empty() => Err(AttemptError::new(
                    AttemptFailure::Silent,
                    &"no event in time",
                )),
                None => return Ok(self.take_gathered()),
                Some(Some(Err(error))) => Err(AttemptError::of_connection(&error)),
                Some(Some(Ok(frame))) => match self.push(&frame.into_data().unwrap_or_default()) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) if self.pace.is_held_back() => {
                        self.gathered.extend_from_slice(&events);
                        if self.end.is_some() {
                            return Ok(self.take_gathered());
                        }
                        continue;
                    }
                    Ok(events) => Ok(self.item(events)),
                    Err(error) => Err(error),
                },
                // The end follows once the gathered events are passed on.
                Some(None) if !self.gathered.is_empty() => return Ok(self.take_gathered()),
                Some(None) => self.finish().await,
            };
            if self.gathered.is_empty() {
                return item;
            }
            self.end = Some(item);
            return Ok(self.take_gathered());
        }
    }

    fn take_gathered(&mut self) -> StreamItem {
        let events = self.gathered.split().freeze();
        self.item(events)
    }

    fn item(&mut self, events: Bytes) -> StreamItem {
        if !has_event(&events) {
            return StreamItem::Comments(events);
        }
        self.overdue = None;
        self.has_had_event = true;
        StreamItem::Events(events)
    }

    /// Returns whether an event was due by `until` and is not among what had arrived until then.
    fn is_overdue(&mut self, until: Instant) -> bool {
        let now = Instant::now();
        if now < until || !self.gathered.is_empty() {
            self.overdue = None;
            return false;
        }
        let limit = *self
            .overdue
            .get_or_insert(now + read_timeout::CATCH_UP_TIME);
        let is_overdue = now >= limit;
        if is_overdue {
            self.overdue = None;
        }
        is_overdue
    }

    /// Reads the next frame after `wait`; returns `None` if there is none in time.
    async fn read_frame(
        &mut self,
        wait: Duration,
        until: Instant,
    ) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if !self.gathered.is_empty() {
            return timeout(GATHER_TIME, self.body.frame()).await.ok();
        }
        let frame = async {
            if !wait.is_zero() {
                sleep(wait).await;
            }
            self.body.frame().await
        };
        read_timeout::until(until, frame).await
    }

    /// Returns the events that a chunk completes.
    fn push(&mut self, chunk: &[u8]) -> Result<Bytes, AttemptError> {
        self.handle.allowance().record_content(chunk.len());
        let events = self.splitter.push(chunk).map_err(|_too_large| {
            AttemptError::new(AttemptFailure::Broken, &"an event is too large")
        })?;
        if !self.reservation.resize(self.splitter.capacity()) {
            let detail = "no memory for incomplete responses";
            let error = AttemptError::new(AttemptFailure::Broken, &detail);
            if events.is_empty() {
                return Err(error);
            }
            // Complete events are passed on first, as the stream is resumed after them.
            self.end = Some(Err(error));
        }
        let EventScan { ids, filler } = EventScan::new(&events);
        let now = Instant::now();
        self.pace.record_chunk(chunk.len(), ids.len(), now);
        let mut allowance = self.handle.allowance();
        allowance.record_events(ids.len());
        let is_allowed = allowance.take_back(filler);
        drop(allowance);
        if !is_allowed {
            let detail = "too many bytes without an event";
            let error = AttemptError::new(AttemptFailure::Broken, &detail);
            if ids.is_empty() {
                return Err(error);
            }
            self.end = Some(Err(error));
        }
        if ids.is_empty() {
            return Ok(events);
        }
        let recorded = self.ids.record(ids);
        recorded.map_err(|error| AttemptError::new(AttemptFailure::Broken, &error))?;
        Ok(events)
    }

    /// Returns the id of the last event that goes on with the stream.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.ids.last(self.splitter.last_id())
    }

    /// Returns the id of the first event that had one.
    pub(crate) fn first_id(&self) -> Option<&str> {
        self.ids.first()
    }

    /// Returns the place after which another server may continue the stream, if an event has had an id.
    pub(crate) fn resume_point(&self) -> Option<ResumePoint> {
        Some(self.ids.resume_point(self.last_id()?))
    }

    /// Returns how the response marks the end of the stream.
    pub(crate) fn framing(&self) -> Framing {
        self.response_end.framing()
    }

    /// Closes the connection, so that the server stops its work.
    pub(crate) fn close(&mut self) {
        self.close_timer = None;
        self.connection = None;
    }

    async fn finish(&mut self) -> Result<StreamItem, AttemptError> {
        if self.splitter.has_partial_event() {
            return Err(AttemptError::new(
                AttemptFailure::Broken,
                &"the last event is incomplete",
            ));
        }
        if !self.has_had_event {
            // It does not show that a resumed stream had no further event.
            return Err(AttemptError::new(
                AttemptFailure::Broken,
                &"the stream ended without an event",
            ));
        }
        self.close_timer = None;
        // Released first, as the confirmation may need its place.
        if let Some(connection) = self.connection.take() {
            connection::release(self.progress.server(), connection, self.keep_alive_timeout);
        }
        self.response_end.confirm(self.progress.server()).await?;
        self.is_complete = true;
        self.progress.update_health(ServerHealth::record_success);
        Ok(StreamItem::End)
    }
}
