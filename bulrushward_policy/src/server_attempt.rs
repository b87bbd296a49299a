//! What may follow after a request's hop to a backend server failed.
//!
//! Patterns answered: servers that shed, crash, lose answers or hand out wrong bytes, for requests that may
//! be repeated and for those that may run once at most.

use strum::{Display, IntoStaticStr};

/// How a hop to one server ended without an answer for the caller.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptFailure {
    /// The request was never written, as no connection could be made or the idle one had closed.
    NotSent,
    /// All connections to the server that this router may have are in use.
    Crowded,
    /// The server says that it did not run the request.
    Rejected,
    /// Another server has the address now and did not run the request.
    Misdirected,
    /// The server answered with an error of its own; the request has run.
    ServerError,
    /// The connection broke or the answer was not usable; the request may have run.
    Broken,
    /// The server sent nothing for too long; the request may have run.
    Silent,
}

impl AttemptFailure {
    /// Returns whether it is certain that the server has not run and will not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Crowded | Self::Rejected | Self::Misdirected
        )
    }

    /// Returns whether the server received the request.
    #[must_use]
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::NotSent | Self::Crowded)
    }
}

/// Tracks the hops of one request.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    idempotent: bool,
    max_servers: u32,
    arrived: u32,
    unsent: u32,
    may_have_run: bool,
}

/// Connections that may fail in a row before a request is refused; each costs no server any work.
const MAX_UNSENT: u32 = 4;

/// What to do after a failed hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another server may be sent the request; `repeat` says whether it counts as a repeat.
    Send {
        /// Whether the request has arrived at a server before.
        retry: bool,
    },
    /// The request has not run and will not.
    NotRun,
    /// The request has run or may have.
    Unknown,
}

impl AttemptHistory {
    /// Starts with a request that may be sent to `max_servers` servers.
    #[must_use]
    pub fn new(idempotent: bool, max_servers: u32) -> Self {
        Self {
            idempotent,
            max_servers: max_servers.max(1),
            arrived: 0,
            unsent: 0,
            may_have_run: false,
        }
    }

    /// Returns whether the request has arrived at a server before.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.arrived > 0
    }

    /// Returns the hops so far.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.arrived + self.unsent
    }

    /// Returns how the request ends if nothing more is sent.
    #[must_use]
    pub fn outcome(&self) -> NextAttempt {
        if self.may_have_run {
            NextAttempt::Unknown
        } else {
            NextAttempt::NotRun
        }
    }

    /// Takes in how a hop ended and decides what may follow.
    pub fn record_failure(&mut self, failure: AttemptFailure) -> NextAttempt {
        if failure.reached_server() {
            self.arrived += 1;
        } else {
            self.unsent += 1;
        }
        self.may_have_run |= !failure.is_not_run();
        let safe = self.idempotent || !self.may_have_run;
        if safe && self.arrived < self.max_servers && self.unsent < MAX_UNSENT {
            return NextAttempt::Send {
                retry: self.is_retry(),
            };
        }
        self.outcome()
    }
}
