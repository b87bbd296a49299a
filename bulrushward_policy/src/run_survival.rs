//! Whether a stream has shown that the content of its request does not crash the server.
//!
//! Content that crashes servers does so when they begin to run it. A stream that has gone on for longer was cut by
//! something else, and a stream that goes on speaks for its content long before it is complete.
//!
//! Handles: servers that die for another reason under many streams, each of which would be suspect otherwise.

use std::time::{Duration, Instant};

/// Time between two events after which the later one shows that the content does not crash the server.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(2);

/// Events of one run at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSurvival {
    /// The first event, or the latest one that showed that the content does not crash the server.
    since: Option<Instant>,
    has_survived: bool,
}

impl RunSurvival {
    /// Records that events arrived; returns whether they show again that the content does not crash the server.
    pub fn record_events(&mut self, now: Instant) -> bool {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) < SURVIVAL_TIME {
            return false;
        }
        self.since = Some(now);
        self.has_survived = true;
        true
    }

    /// Returns whether a crash of the server may be due to the content.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        !self.has_survived
    }
}
