//! Kinds of work and their reserved slots.

use std::time::Duration;

use bulrushward_protocol::{AttemptId, KindId, OrganisationId};

use super::settings::{AdmissionSettings, KindSettings};
use crate::fair_queue::FairQueue;

/// Deadline of kinds without settings.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// The attempts of one kind of work.
#[derive(Debug)]
pub(super) struct Kind {
    pub(super) settings: KindSettings,
    /// Slots for running attempts that other kinds cannot take.
    pub(super) reserved_running: usize,
    /// Slots for waiting attempts that other kinds cannot take.
    pub(super) reserved_queue: usize,
    pub(super) running: usize,
    pub(super) queue: FairQueue<OrganisationId, AttemptId>,
}

/// Returns the index of a kind; kinds without settings share the last one.
pub(super) fn find_kind(kinds: &[Kind], name: &str) -> usize {
    let known = kinds.iter().position(|kind| kind.settings.name == name);
    known.unwrap_or(kinds.len() - 1)
}

/// Sorts the kinds by priority and computes their reserved slots.
pub(super) fn build_kinds(settings: &AdmissionSettings) -> Vec<Kind> {
    let shares: f64 = settings.kinds.iter().map(share).sum();
    let scale = 1.0 / shares.max(1.0);
    let mut kinds: Vec<Kind> = settings
        .kinds
        .iter()
        .map(|kind| Kind {
            settings: kind.clone(),
            reserved_running: (share(kind) * scale * settings.concurrency as f64) as usize,
            reserved_queue: (share(kind) * scale * settings.queue as f64) as usize,
            running: 0,
            queue: FairQueue::default(),
        })
        .collect();
    kinds.sort_by_key(|kind| std::cmp::Reverse(kind.settings.priority));
    kinds.push(Kind {
        settings: KindSettings {
            name: KindId::new(),
            priority: 0,
            reserved_share: 0.0,
            deadline: MAX_DEADLINE,
        },
        reserved_running: 0,
        reserved_queue: 0,
        running: 0,
        queue: FairQueue::default(),
    });
    kinds
}

fn share(kind: &KindSettings) -> f64 {
    kind.reserved_share.clamp(0.0, 1.0)
}
