//! Settings, requests and decisions of an admission queue.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{AttemptId, KindId, OrganisationId, RefusalReason, WorkUnits};

use crate::load_bound::LoadBound;

/// Settings of one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Identifier of the kind.
    pub name: KindId,
    /// Priority; higher values start first.
    pub priority: u8,
    /// Fraction of the running and waiting slots that other kinds cannot take, from 0 to 1.
    pub reserved_share: f64,
    /// Time after submission at which the response is of no use any more.
    pub deadline: Duration,
}

/// Settings of admission control for one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Largest number of running attempts.
    pub concurrency: usize,
    /// Largest number of waiting attempts.
    pub queue: usize,
    /// Bound on running and waiting work.
    pub bound: LoadBound,
    /// Kinds of work; others have the lowest priority and no reserved share.
    pub kinds: Vec<KindSettings>,
    /// Weights of organisations that compete for slots; 1 for organisations that are not listed.
    pub weights: HashMap<OrganisationId, f64>,
}

/// A request to admit an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The organisation that sent the request.
    pub organisation: OrganisationId,
    /// The kind of work.
    pub kind: KindId,
    /// Estimated work.
    pub work: WorkUnits,
    /// Time after which the response is of no use any more.
    pub deadline: Instant,
}

/// The outcome of an admission request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt starts now.
    Start,
    /// The attempt waits until a later call returns it.
    Queue,
    /// The attempt did not run and will not.
    Refuse {
        /// Why the attempt is refused.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
