//! The control state of a process: members, configuration, quarantine.
//!
//! One thread owns it and publishes immutable snapshots; traffic threads read the newest one.

mod adoption;
mod configuration;
mod exchange;
mod fetch;
mod members;
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
    mean_load::MeanLoadEstimator,
    membership::LoadReport,
    quarantine::{Quarantine, Verdict},
};
use bulrushward_protocol::{
    Fingerprint, Incarnation, MemberRecord, MemberState, Revision, Role, WorkUnits,
};
use bulrushward_revisions::AcceptedRevision;
use tokio::sync::{mpsc, watch};

pub(crate) use self::thread::{ControlThread, start};

/// Quarantined contents that a process remembers.
const QUARANTINE_CAPACITY: usize = 4_096;

/// What the traffic threads know about the fleet.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Revision in force, 0 before the first.
    pub(crate) revision: Revision,
    /// The text of that revision.
    pub(crate) accepted: Option<AcceptedRevision>,
    /// Its parsed form.
    pub(crate) config: Arc<Config>,
    /// Known processes without this one.
    pub(crate) members: Vec<Member>,
    /// Loads of the other agents of this agent's service.
    pub(crate) loads: Vec<LoadReport>,
    /// Number of the other agents of this agent's service.
    pub(crate) mates: usize,
    /// When the members were read; `None` before the first time.
    pub(crate) read: Option<Instant>,
}

impl Snapshot {
    /// Returns the agents of a service that answer.
    pub(crate) fn agents_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        let answering = self.members.iter().filter(|member| member.answers);
        answering
            .map(|member| &member.record)
            .filter(|record| record.role == Role::Agent)
            .filter(move |record| record.service.as_deref() == Some(service))
    }
}

/// A known process.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its newest record.
    pub(crate) record: MemberRecord,
    /// When the record arrived.
    pub(crate) heard: Instant,
    /// Whether there was news of it lately and this process can reach it.
    pub(crate) answers: bool,
}

/// What the control thread is told by the traffic threads.
#[derive(Debug)]
pub(crate) enum Command {
    /// Something that peers should know at once has changed.
    Spread,
    /// A submission was accepted through this process.
    Adopt(AcceptedRevision),
}

/// The part of the control state that traffic threads see.
#[derive(Debug)]
pub(crate) struct Control {
    /// The record of this process as it was at the start.
    identity: MemberRecord,
    snapshot: ArcSwap<Snapshot>,
    revisions: watch::Sender<Revision>,
    /// Revision that the traffic threads decide by.
    in_force: AtomicU64,
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
        let quarantine = Quarantine::new(
            fleet.quarantine_crashes,
            fleet.quarantine,
            QUARANTINE_CAPACITY,
        );
        Self {
            identity,
            snapshot: ArcSwap::default(),
            revisions: watch::Sender::new(0),
            in_force: AtomicU64::new(0),
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

    /// Tells about new revisions in force.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Follows revisions from the first on, also one that was adopted before this call.
    pub(crate) fn all_revisions(&self) -> watch::Receiver<Revision> {
        let mut revisions = self.revisions.subscribe();
        revisions.mark_changed();
        revisions
    }

    /// Notes that the traffic threads decide by a revision; peers hear of it at once.
    pub(crate) fn put_in_force(&self, revision: Revision) {
        self.in_force.fetch_max(revision, Ordering::Relaxed);
        self.send(Command::Spread);
    }

    /// Returns the start of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    /// Returns this process's record as it is now.
    pub(crate) fn own_record(&self) -> MemberRecord {
        let mut own = self.identity.clone();
        own.load = self.load.load(Ordering::Relaxed);
        own.queued = self.queued.load(Ordering::Relaxed);
        own.revision = self.in_force.load(Ordering::Relaxed);
        if self.is_leaving() {
            own.state = MemberState::Leaving;
        }
        own
    }

    /// Takes the load of this agent for the next exchange.
    pub(crate) fn publish_load(&self, load: WorkUnits, queued: u32) {
        self.load.store(load, Ordering::Relaxed);
        self.queued.store(queued, Ordering::Relaxed);
    }

    /// Returns the mean load of the backend servers of this agent's service, on the low side, as
    /// it would be with more work here.
    pub(crate) fn mean_load_with(&self, work: WorkUnits) -> f64 {
        let own = self.load.load(Ordering::Relaxed).saturating_add(work);
        let snapshot = self.snapshot();
        let since = snapshot.read.map_or(Duration::ZERO, |read| read.elapsed());
        let reports: Vec<LoadReport> = snapshot
            .loads
            .iter()
            .map(|report| LoadReport {
                load: report.load,
                age: report.age + since,
            })
            .collect();
        let mut mean_load = self
            .mean_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let members = snapshot.mates.max(self.listed_mates(&snapshot));
        mean_load.estimate(own, &reports, members, Instant::now())
    }

    /// Returns the number of other backend servers that the text lists for this agent's service.
    ///
    /// They count before they are heard of, so that an agent that has just started is bounded.
    fn listed_mates(&self, snapshot: &Snapshot) -> usize {
        let service = self.identity.service.as_deref();
        let service = service.and_then(|name| snapshot.config.service(name));
        service.map_or(0, |service| {
            let taking = service
                .servers
                .iter()
                .filter(|server| !service.draining.contains(server));
            taking
                .filter(|server| Some(*server) != self.identity.backend.as_ref())
                .count()
        })
    }

    /// Returns the number of other agents of this agent's service that take new work.
    pub(crate) fn mates(&self) -> usize {
        self.snapshot().mates
    }

    /// Announces that this process takes nothing new; there is no way back.
    pub(crate) fn leave(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            self.send(Command::Spread);
        }
    }

    /// Returns whether this process takes nothing new.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that a request content was to blame for a crash of a backend server.
    pub(crate) fn crashed(&self, fingerprint: Fingerprint) {
        self.lock_quarantine()
            .record_crash(fingerprint, Instant::now());
        self.send(Command::Spread);
    }

    /// Returns what is known about a request content.
    pub(crate) fn quarantine_verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.lock_quarantine().verdict(fingerprint, Instant::now())
    }

    /// Puts an accepted submission in force here and tells the peers.
    pub(crate) fn adopt(&self, accepted: AcceptedRevision) {
        self.send(Command::Adopt(accepted));
    }

    fn send(&self, command: Command) {
        // The control thread ends only after the traffic threads.
        let _ended = self.commands.send(command);
    }

    fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
