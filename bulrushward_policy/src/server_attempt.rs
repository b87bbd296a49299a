//! Whether a request may be retried after an attempt at one backend server failed.
//!
//! Handles: servers that shed load, crash, lose responses or send corrupt data, both for requests
//! that may be retried and for those that must run at most once.
//!
//! For direct routers; routers that send requests to agents use [`crate::attempt`]. Metrics and log
//! lines call an attempt a hop.

use strum::{Display, IntoStaticStr};

use crate::fleet_retry_budget::RetryCause;

/// How an attempt at one server failed.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptFailure {
    /// The request was never sent: no connection could be made, or the idle one had closed.
    NotSent,
    /// The request was never sent: the server did not answer an attempt to connect, as if it was cut off.
    Unreachable,
    /// All connections that this router may open to the server are in use.
    Crowded,
    /// The failure domain of the server was emptied before the request was sent.
    DomainEmptied,
    /// The server, by its own report or its entry, took no more requests before the request was sent.
    Withheld,
    /// The content of the request was barred before the request was sent.
    ContentBarred,
    /// The router stops, and too little time is left to send the request.
    Stopping,
    /// The server responded that it did not run the request.
    Rejected,
    /// The address now belongs to another server, which did not run the request.
    Misdirected,
    /// The server responded with an error; the request has run.
    ServerError,
    /// The connection broke or the response was invalid; the request may have run.
    Broken,
    /// The response ended with its connection, and nothing shows that it is complete; the request has run.
    Unconfirmed,
    /// The response ended with its connection, and its server has stopped to listen; the request has run.
    ServerGone,
    /// The server acknowledged nothing in time, as if it was cut off; the request may have run.
    CutOff,
    /// The server sent nothing within the timeout; the request may have run.
    Silent,
}

impl AttemptFailure {
    /// Returns whether the server certainly has not run and will not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent
                | Self::Unreachable
                | Self::Crowded
                | Self::DomainEmptied
                | Self::Withheld
                | Self::ContentBarred
                | Self::Stopping
                | Self::Rejected
                | Self::Misdirected
        )
    }

    /// Returns the cause of a retry after this failure.
    #[must_use]
    pub fn retry_cause(self) -> RetryCause {
        match self {
            Self::ServerError => RetryCause::ErrorResponse,
            _ => RetryCause::ServerUnusable,
        }
    }

    /// Returns whether the server received the request.
    #[must_use]
    pub fn reached_server(self) -> bool {
        !matches!(
            self,
            Self::NotSent
                | Self::Unreachable
                | Self::Crowded
                | Self::DomainEmptied
                | Self::ContentBarred
                | Self::Stopping
        )
    }
}

/// Tracks the attempts of one request.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    idempotent: bool,
    max_servers: u32,
    /// Failed attempts that reached a server.
    reached: u32,
    /// Failed attempts in which the request was not sent.
    unsent: u32,
    may_have_run: bool,
}

/// Attempts without a connection after which a request is refused; they cost the servers no work.
const MAX_UNSENT: u32 = 4;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAttempt {
    /// The request may be sent to another server.
    Send {
        /// Whether the attempt counts as a retry because the request has reached a server before.
        retry: bool,
    },
    /// The request has not run and will not.
    NotRun,
    /// The request has run or may have run.
    Unknown,
}

impl AttemptHistory {
    /// Creates the history of a new request that may reach at most `max_servers` servers.
    #[must_use]
    pub fn new(idempotent: bool, max_servers: u32) -> Self {
        Self {
            idempotent,
            max_servers: max_servers.max(1),
            reached: 0,
            unsent: 0,
            may_have_run: false,
        }
    }

    /// Returns whether the request has reached a server before.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.reached > 0
    }

    /// Returns the number of failed attempts.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.reached + self.unsent
    }

    /// Returns the outcome of the request if no further attempt is made.
    #[must_use]
    pub fn outcome(&self) -> NextAttempt {
        if self.may_have_run {
            NextAttempt::Unknown
        } else {
            NextAttempt::NotRun
        }
    }

    /// Records a failed attempt and decides whether another one may follow.
    pub fn record_failure(&mut self, failure: AttemptFailure) -> NextAttempt {
        if failure.reached_server() {
            self.reached += 1;
        } else {
            self.unsent += 1;
        }
        self.may_have_run |= !failure.is_not_run();
        let safe =
            (self.idempotent || !self.may_have_run) && failure != AttemptFailure::ContentBarred;
        if safe && self.reached < self.max_servers && self.unsent < MAX_UNSENT {
            return NextAttempt::Send {
                retry: self.is_retry(),
            };
        }
        self.outcome()
    }
}
