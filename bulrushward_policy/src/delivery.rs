//! Whether the request on a connection is delivered, and how its connection may be closed.
//!
//! Handles: peers behind a partition that is shorter or longer than a request's wait, lost acknowledgements, peers that
//! read slowly or begin to read late, and requests that are given up at any of these times.

use std::time::{Duration, Instant};

/// Time without an acknowledgement after which a request is given up; a lossy link needs several retransmissions.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// The same for a server that takes no more requests, which must not receive this one much later.
const WITHHELD_STALL_LIMIT: Duration = Duration::from_millis(500);

/// Returns the time without an acknowledgement after which a request is given up.
#[must_use]
pub fn stall_limit(is_withheld: bool) -> Duration {
    if is_withheld {
        WITHHELD_STALL_LIMIT
    } else {
        STALL_LIMIT
    }
}

/// What the operating system knows about the bytes that were written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendQueue {
    /// Bytes of the current request that were written.
    pub written: u64,
    /// Bytes that were written and not acknowledged.
    pub unacknowledged: u64,
    /// Whether some of them were sent; those beyond the peer's window were not.
    pub is_in_flight: bool,
}

/// Progress of the current request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// All of it was acknowledged.
    Delivered,
    /// Some of it was not, but the peer acknowledges what fits its window, or the limit has not passed.
    Pending,
    /// The peer has acknowledged nothing for too long.
    Stalled,
}

/// Observes the delivery of one request.
#[derive(Clone, Debug)]
pub struct DeliveryWatch {
    /// Smallest size of the request, in bytes.
    len: u64,
    /// Bytes written when they were all acknowledged at the latest observation.
    settled: Option<u64>,
    /// Bytes acknowledged at the latest observation.
    acknowledged: u64,
    /// Time at which the peer had last acknowledged something, or had nothing to acknowledge.
    progress: Instant,
}

impl DeliveryWatch {
    /// Creates a watch for a request of more than `len` bytes that is sent now.
    #[must_use]
    pub fn new(len: u64, now: Instant) -> Self {
        Self {
            len,
            settled: None,
            acknowledged: 0,
            progress: now,
        }
    }

    /// Records an observation; the delivery has stalled if the peer has acknowledged nothing for `limit`.
    pub fn observe(&mut self, queue: SendQueue, limit: Duration, now: Instant) -> Delivery {
        let acknowledged = queue.written.saturating_sub(queue.unacknowledged);
        let has_advanced = acknowledged > self.acknowledged;
        self.acknowledged = acknowledged;
        if queue.unacknowledged == 0 {
            self.progress = now;
            // More may be written once there is room, so the queue may be empty only briefly.
            let is_settled = self.settled.replace(queue.written) == Some(queue.written);
            return if is_settled && queue.written > self.len {
                Delivery::Delivered
            } else {
                Delivery::Pending
            };
        }
        self.settled = None;
        if has_advanced || !queue.is_in_flight {
            self.progress = now;
        }
        if now.saturating_duration_since(self.progress) >= limit {
            Delivery::Stalled
        } else {
            Delivery::Pending
        }
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// In order: what was written is still delivered.
    InOrder,
    /// By a reset, which discards what was not delivered.
    Reset,
}

/// Requests on a connection, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCycle {
    is_open: bool,
}

impl RequestCycle {
    /// Records that a request is about to be sent.
    pub fn begin(&mut self) {
        self.is_open = true;
    }

    /// Records that the response to the request is complete.
    pub fn complete(&mut self) {
        self.is_open = false;
    }

    /// Returns how the connection is to be closed now.
    ///
    /// Closing gives up a request without a complete response; it must not be delivered later.
    #[must_use]
    pub fn close(&self) -> Close {
        if self.is_open {
            Close::Reset
        } else {
            Close::InOrder
        }
    }
}
