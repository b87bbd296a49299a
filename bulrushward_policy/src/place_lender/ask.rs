//! Asks for places, their answers, and how places were used.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::session_locations::ServerKey;

/// Id of an ask, unique among all routers.
pub type AskId = u64;
/// Hash of the name of an organisation.
pub type OrganisationKey = u64;
/// Hash of the name of a route.
pub type KindKey = u32;

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct Ask<B> {
    /// Id.
    pub id: AskId,
    /// Router of the request.
    pub borrower: B,
    /// Kind of the request.
    pub kind: KindKey,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Organisation.
    pub organisation: OrganisationKey,
    /// Usual requests per second of the organisation at the router.
    pub usual_rate: f64,
    /// Time by which the response should arrive.
    pub target: Instant,
    /// Time by which the response must arrive.
    pub deadline: Instant,
    /// Servers that the router cannot use for the request.
    pub excluded: Vec<ServerKey>,
}

/// Result of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A place at a server.
    Granted {
        /// Server.
        server: ServerKey,
        /// Time after which the place is taken back.
        valid_for: Duration,
    },
    /// Nothing, as it cannot be met.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Reason.
        reason: RefusalReason,
    },
    /// A place in the waiting line.
    Waiting,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The expected wait does not fit the deadline.
    Wait,
    /// Too many asks wait.
    LineFull,
    /// No server of the service can be used.
    NoServer,
}

/// An answer with its receiver.
#[derive(Clone, Copy, Debug)]
pub struct Reply<B> {
    /// Router of the request.
    pub borrower: B,
    /// Id of the ask.
    pub id: AskId,
    /// Answer.
    pub answer: Answer,
}

/// How a router used a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceUse {
    /// The server responded.
    Ended {
        /// Time from sending the request until the response.
        response: Duration,
    },
    /// The server rejected the request because it was full.
    Rejected,
    /// The server could not be reached or failed.
    Failed,
    /// The place was not used.
    NotUsed,
}
