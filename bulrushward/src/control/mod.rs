//! Control state of a process: fleet members, configuration and quarantined requests.
//!
//! The control thread owns this state and publishes immutable snapshots of it. Traffic threads
//! read the newest snapshot.

mod exchange;
mod fetch;
mod members;
mod quarantine;
mod revision_pipeline;
mod store_watch;
mod thread;
mod vm_list;
mod watchers;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use bulrushward_config::Config;
use bulrushward_policy::{
    crash_evidence::Verdict, mean_load::MeanLoadEstimator, membership::LoadReport,
};
use bulrushward_protocol::{
    Fingerprint, Incarnation, MemberRecord, MemberState, Revision, Role, WorkUnits,
};
use bulrushward_revisions::AcceptedRevision;
use tokio::sync::{mpsc, watch};

use self::quarantine::Quarantine;
pub(crate) use self::thread::{ControlThread, start};

/// Immutable view of the fleet for the traffic threads.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Active configuration revision, 0 before the first.
    pub(crate) revision: Revision,
    /// The active revision with its configuration text.
    pub(crate) accepted: Option<AcceptedRevision>,
    /// Parsed form of the active revision.
    pub(crate) config: Arc<Config>,
    /// Known processes, except this one.
    pub(crate) members: Vec<Member>,
    /// Loads reported by the other agents of this agent's service.
    pub(crate) loads: Vec<LoadReport>,
    /// Number of other live agents of this agent's service.
    pub(crate) service_peer_count: usize,
    /// When the member table was copied into this snapshot; `None` in the initial empty snapshot.
    pub(crate) taken_at: Option<Instant>,
}

impl Snapshot {
    /// Returns the agents of a service that are believed to be reachable.
    pub(crate) fn reachable_agents<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        let members = self.members.iter().filter(|member| member.is_reachable);
        members
            .map(|member| &member.record)
            .filter(|record| record.role == Role::Agent)
            .filter(move |record| record.service.as_deref() == Some(service))
    }
}

/// A process of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Newest known record of the process.
    pub(crate) record: MemberRecord,
    /// When the newest record arrived.
    pub(crate) received: Instant,
    /// Whether the newest record is recent and the member is not suspected of being unreachable.
    pub(crate) is_reachable: bool,
}

/// Message from a traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Gossip immediately, because state that peers need has changed.
    Gossip,
    /// Activate a submission that was accepted through this process.
    Apply(AcceptedRevision),
}

/// Handle through which traffic threads read and update the control state.
#[derive(Debug)]
pub(crate) struct Control {
    /// Record of this process as it was at startup.
    identity: MemberRecord,
    snapshot: ArcSwap<Snapshot>,
    /// Newest revision that the control thread has published in a snapshot.
    revisions: watch::Sender<Revision>,
    /// Revision that the traffic threads use, which the record of this process reports.
    active_revision: AtomicU64,
    load: AtomicU64,
    queued: AtomicU32,
    leaving: AtomicBool,
    quarantine: Mutex<Quarantine>,
    mean_load: Mutex<MeanLoadEstimator>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Control {
    fn new(identity: MemberRecord, commands: mpsc::UnboundedSender<Command>) -> Self {
        let fleet = bulrushward_config::Fleet::default();
        let quarantine = Quarantine::new(&identity, &fleet);
        Self {
            identity,
            snapshot: ArcSwap::default(),
            revisions: watch::Sender::new(0),
            active_revision: AtomicU64::new(0),
            load: AtomicU64::new(0),
            queued: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            quarantine: Mutex::new(quarantine),
            mean_load: Mutex::default(),
            commands,
        }
    }

    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns a receiver of newly published revisions.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Like [`Self::revisions`], but also reports a revision that was published before this call.
    pub(crate) fn revisions_including_current(&self) -> watch::Receiver<Revision> {
        let mut revisions = self.revisions.subscribe();
        revisions.mark_changed();
        revisions
    }

    /// Records that the traffic threads now use a revision, and gossips it to peers immediately.
    pub(crate) fn set_active_revision(&self, revision: Revision) {
        self.active_revision.fetch_max(revision, Ordering::Relaxed);
        self.send(Command::Gossip);
    }

    /// Returns the incarnation of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// Returns the current record of this process.
    pub(crate) fn own_record(&self) -> MemberRecord {
        let mut own = self.identity.clone();
        own.load = self.load.load(Ordering::Relaxed);
        own.queued = self.queued.load(Ordering::Relaxed);
        own.revision = self.active_revision.load(Ordering::Relaxed);
        if self.is_leaving() {
            own.state = MemberState::Leaving;
        }
        own
    }

    /// Sets the load of this agent that the next gossip exchange reports.
    pub(crate) fn publish_load(&self, load: WorkUnits, queued: u32) {
        self.load.store(load, Ordering::Relaxed);
        self.queued.store(queued, Ordering::Relaxed);
    }

    /// Estimates the mean load of the backend servers of this agent's service, assuming that
    /// `work` is added to this agent.
    ///
    /// The estimate is too low rather than too high, as described at [`MeanLoadEstimator`].
    pub(crate) fn mean_load_with(&self, work: WorkUnits) -> f64 {
        let own = self.load.load(Ordering::Relaxed).saturating_add(work);
        let snapshot = self.snapshot();
        let snapshot_age = snapshot
            .taken_at
            .map_or(Duration::ZERO, |taken_at| taken_at.elapsed());
        let reports: Vec<LoadReport> = snapshot
            .loads
            .iter()
            .map(|report| LoadReport {
                load: report.load,
                age: report.age + snapshot_age,
            })
            .collect();
        let mut mean_load = self
            .mean_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let peer_count = snapshot
            .service_peer_count
            .max(self.configured_peer_count(&snapshot));
        mean_load.estimate(own, &reports, peer_count, Instant::now())
    }

    /// Returns the number of other backend servers that the configuration lists for this agent's
    /// service.
    ///
    /// These count even before gossip has reported them, so that the load bound already applies
    /// to an agent that has just started.
    fn configured_peer_count(&self, snapshot: &Snapshot) -> usize {
        let service = self.identity.service.as_deref();
        let service = service.and_then(|name| snapshot.config.service(name));
        service.map_or(0, |service| {
            let accepting = service
                .servers
                .iter()
                .filter(|server| !service.draining.contains(server));
            accepting
                .filter(|server| Some(*server) != self.identity.backend.as_ref())
                .count()
        })
    }

    /// Returns the number of other agents of this agent's service that accept new work.
    pub(crate) fn service_peer_count(&self) -> usize {
        self.snapshot().service_peer_count
    }

    /// Marks this process as leaving, which is irreversible, and gossips it immediately.
    pub(crate) fn leave(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            self.send(Command::Gossip);
        }
    }

    /// Returns whether this process is leaving and accepts no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records that a request of an organisation, identified by its fingerprint, crashed a backend server.
    pub(crate) fn record_crash(&self, fingerprint: Fingerprint, organisation: &str) {
        self.lock_quarantine()
            .record_crash(fingerprint, organisation, Instant::now());
        self.send(Command::Gossip);
    }

    /// Returns whether a request is quarantined or suspected of crashing backend servers.
    pub(crate) fn quarantine_verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.lock_quarantine().verdict(fingerprint, Instant::now())
    }

    /// Activates an accepted submission in this process and notifies peers.
    pub(crate) fn apply_submission(&self, accepted: AcceptedRevision) {
        self.send(Command::Apply(accepted));
    }

    fn send(&self, command: Command) {
        // The control thread outlives the traffic threads, so this send cannot fail.
        let _ended = self.commands.send(command);
    }

    fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
