//! Settings of an admission queue, and what goes in and out of it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{AttemptId, KindId, OrganisationId, RefusalReason, WorkUnits};

use crate::load_bound::LoadBound;

/// Settings of one kind of work.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// The kind.
    pub name: KindId,
    /// Priority: the higher starts first.
    pub priority: u8,
    /// Share of places, running and waiting, that other kinds cannot take; from 0 to 1.
    pub reserved_share: f64,
    /// Longest time from the offer until the answer is of no use.
    pub deadline: Duration,
}

/// Settings of the admission at one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Attempts that run at the same time.
    pub concurrency: usize,
    /// Attempts that may wait.
    pub queue: usize,
    /// Bound on running and waiting work.
    pub bound: LoadBound,
    /// Kinds of work; others have the lowest priority and no reserved share.
    pub kinds: Vec<KindSettings>,
    /// Shares of contended places; 1 for organisations that are not listed.
    pub weights: HashMap<OrganisationId, f64>,
}

/// An attempt that asks for admission.
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
    /// Time after which the answer is of no use.
    pub deadline: Instant,
}

/// What becomes of an offered attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts now.
    Start,
    /// It waits until a later call returns it.
    Queue,
    /// It did not run and will not.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}
