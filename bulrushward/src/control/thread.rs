//! The control thread: owns members and configuration, publishes snapshots.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use bulrushward_clients::{Vm, VmList, VmState};
use bulrushward_protocol::{Exchange, MemberRecord, NodeId};
use bulrushward_revisions::{AcceptedRevision, RevisionStore};
use bulrushward_transport::Listener;
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use tracing::{error, info};

use super::{
    Command, Control, Snapshot,
    adoption::{Adoption, Finished, Origin, Readable},
    configuration::{Follower, set_watcher},
    exchange,
    exchange::Question,
    fetch,
    members::Members,
    vm_list,
    vm_list::jittered,
    watchers::is_watcher,
};
use crate::{
    error::{ControlSnafu, DaemonError},
    metrics::ControlMetrics,
    settings::CommonSettings,
};

/// Peers that are told at once about something new.
const SPREAD_PEERS: usize = 3;
/// Quarantine records that go into one exchange.
const QUARANTINE_IN_EXCHANGE: usize = 16;
/// Messages that may wait for the control thread.
const CHANNEL_CAPACITY: usize = 64;
/// Time that a stopping process waits for exchanges that have begun.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The running control threads of a process.
#[derive(Debug)]
pub(crate) struct ControlThread {
    stop: Arc<AtomicBool>,
    listener: JoinHandle<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Ends the threads; peers keep this process's last record until it grows old.
    pub(crate) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in [self.listener, self.thread] {
            // A thread that panicked has logged why.
            let _panicked = thread.join();
        }
    }
}

/// Starts the control threads.
pub(crate) fn start(
    settings: &CommonSettings,
    identity: MemberRecord,
    store: Arc<RevisionStore>,
    vm_list: Box<dyn VmList>,
    metrics: ControlMetrics,
) -> Result<(Arc<Control>, ControlThread), DaemonError> {
    let listener = Listener::bind(settings.control_address).context(ControlSnafu)?;
    let (commands_tx, commands) = mpsc::unbounded_channel();
    let control = Arc::new(Control::new(identity, commands_tx));
    let stop = Arc::new(AtomicBool::new(false));
    let (questions_tx, questions) = mpsc::channel(CHANNEL_CAPACITY);
    let listener =
        exchange::start_listener(listener, questions_tx, metrics.clone(), Arc::clone(&stop));
    let (adoption, finished) = Adoption::new(metrics.clone());
    let state = State {
        control: Arc::clone(&control),
        members: Members::new(control.identity.clone(), Instant::now()),
        seeds: settings.peers.clone(),
        interval: settings.exchange_interval,
        metrics,
        answers: mpsc::channel(CHANNEL_CAPACITY),
        adoption,
        store,
        watcher: watch::Sender::new(true),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    let stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        runtime.block_on(state.run(commands, questions, finished, vm_list, stopped));
        runtime.shutdown_timeout(STOP_TIMEOUT);
    });
    Ok((
        control,
        ControlThread {
            stop,
            listener,
            thread,
        },
    ))
}

/// What came of an exchange with a peer.
struct PeerAnswer {
    /// The peer, if it was known.
    node: Option<NodeId>,
    /// Its side of the exchange, unless it did not answer.
    exchange: Option<Exchange>,
}

struct State {
    control: Arc<Control>,
    members: Members,
    seeds: Vec<SocketAddr>,
    interval: Duration,
    metrics: ControlMetrics,
    answers: (mpsc::Sender<PeerAnswer>, mpsc::Receiver<PeerAnswer>),
    adoption: Adoption,
    store: Arc<RevisionStore>,
    /// Whether this process watches the key-value service.
    watcher: watch::Sender<bool>,
}

impl State {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut questions: mpsc::Receiver<Question>,
        mut finished: mpsc::Receiver<Finished>,
        vm_list: Box<dyn VmList>,
        stop: Arc<AtomicBool>,
    ) {
        let (found_tx, mut found) = mpsc::channel(1);
        let (vms_tx, mut vms) = mpsc::channel(1);
        let follower = Follower {
            store: Arc::clone(&self.store),
            known: self.control.revisions(),
            watcher: self.watcher.subscribe(),
            found: found_tx,
        };
        tokio::spawn(follower.run());
        tokio::spawn(vm_list::follow(vm_list, vms_tx));
        self.members.set_contacts(self.seeds.clone());
        let mut tick = tokio::time::interval(self.interval);
        while !stop.load(Ordering::Relaxed) {
            tokio::select! {
                _ = tick.tick() => {
                    tick.reset_after(jittered(self.interval));
                    self.exchange(1);
                    self.publish();
                    self.choose_watcher();
                }
                Some(question) = questions.recv() => self.answer(question),
                Some(answer) = self.answers.1.recv() => self.take_answer(answer),
                Some(accepted) = found.recv() => self.read(accepted, Origin::KeyValue),
                Some(finished) = finished.recv() => self.finished(finished),
                Some(vms) = vms.recv() => self.take_vms(&vms),
                Some(command) = commands.recv() => match command {
                    Command::Spread => self.exchange(SPREAD_PEERS),
                    Command::Adopt(accepted) => self.read(accepted, Origin::Submission),
                },
            }
        }
    }

    /// Starts exchanges with random peers.
    fn exchange(&mut self, count: usize) {
        for _ in 0..count {
            let Some((node, address)) = self.members.peer(Instant::now()) else {
                return;
            };
            self.send(node, address);
        }
    }

    fn send(&mut self, node: Option<NodeId>, peer: SocketAddr) {
        let exchange = self.own_side(node.as_deref());
        let answers = self.answers.0.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let exchange = exchange::send(peer, exchange, metrics).await;
            let _ended = answers.send(PeerAnswer { node, exchange }).await;
        });
    }

    fn answer(&mut self, question: Question) {
        let Question {
            mut exchange,
            answer,
        } = question;
        let wanted = exchange.configuration.take();
        self.take(&exchange);
        let own = match wanted {
            Some(wanted) => {
                let accepted = self.newest();
                let mut own = self.bare_side();
                own.configuration = fetch::answer(&wanted, accepted.as_ref());
                own
            }
            None => self.own_side(Some(&exchange.own.node)),
        };
        // The listener gave up if it no longer waits.
        let _gave_up = answer.send(own);
    }

    fn take_answer(&mut self, answer: PeerAnswer) {
        let Some(exchange) = answer.exchange else {
            if let Some(node) = answer.node {
                self.members.unreachable(&node);
                self.publish();
            }
            return;
        };
        self.take(&exchange);
    }

    fn take(&mut self, exchange: &Exchange) {
        let now = Instant::now();
        let (peer, revision) = (exchange.own.control_address, exchange.revision);
        let changed = self.members.merge(exchange, now);
        if self.members.is_superseded() && !self.control.is_leaving() {
            error!(event = "name-taken", node = self.control.identity.node);
            self.control.leave();
        }
        self.control
            .lock_quarantine()
            .merge(&exchange.quarantine, now);
        if self.adoption.offer(peer, revision, now) {
            self.fetch_next();
        }
        if changed {
            self.publish();
        }
    }

    /// Returns this process's side of an exchange of records with a peer.
    fn own_side(&mut self, peer: Option<&str>) -> Exchange {
        let now = Instant::now();
        let mut exchange = self.bare_side();
        exchange.members = self.members.records(now);
        exchange.suspects = self.members.suspicions(peer, now);
        let mut quarantine = self.control.lock_quarantine();
        exchange.quarantine = quarantine.records(now, QUARANTINE_IN_EXCHANGE);
        drop(quarantine);
        exchange
    }

    /// Returns this process's side of an exchange without records of others.
    fn bare_side(&mut self) -> Exchange {
        let own = self.control.own_record();
        let own = self.members.refresh_own(&own, Instant::now());
        Exchange {
            revision: self.newest().map_or(0, |newest| newest.revision),
            own,
            members: Vec::new(),
            suspects: Vec::new(),
            quarantine: Vec::new(),
            configuration: None,
        }
    }

    fn fetch_next(&mut self) {
        let own_side = self.bare_side();
        let known = self.newest();
        self.adoption.fetch_next(own_side, known);
    }

    fn finished(&mut self, finished: Finished) {
        let now = Instant::now();
        match finished {
            Finished::Fetch(peer, result) => {
                if self.adoption.fetched(peer, result, now) {
                    self.tell();
                }
                self.fetch_next();
            }
            Finished::Parse(accepted, origin, result) => {
                let readable = self.adoption.parsed(accepted, origin, result, now);
                if let Some(readable) = readable {
                    self.put_in_force(readable);
                }
            }
        }
    }

    /// Takes a revision of the key-value service or of an operator.
    fn read(&mut self, accepted: AcceptedRevision, origin: Origin) {
        if self.adoption.read(accepted, origin) {
            self.tell();
        }
    }

    /// Tells a few peers that are behind of the newest revision, before its text is read here.
    fn tell(&mut self) {
        let revision = self.newest().map_or(0, |newest| newest.revision);
        let behind = self.members.behind(revision, SPREAD_PEERS, Instant::now());
        for (node, address) in behind {
            self.send(Some(node), address);
        }
    }

    /// Returns the newest revision that this process can hand on.
    fn newest(&self) -> Option<AcceptedRevision> {
        let upcoming = self.adoption.upcoming().cloned();
        upcoming.or_else(|| self.control.snapshot().accepted.clone())
    }

    /// Puts a revision in force.
    fn put_in_force(&mut self, readable: Readable) {
        let Readable {
            accepted,
            config,
            origin,
        } = readable;
        let revision = accepted.revision;
        self.control
            .lock_quarantine()
            .reconfigure(config.fleet.quarantine_crashes, config.fleet.quarantine);
        self.store.cache_revision(&accepted);
        let mut snapshot = self.with_members(&self.control.snapshot());
        snapshot.revision = revision;
        snapshot.accepted = Some(accepted);
        snapshot.config = Arc::new(config);
        self.control.snapshot.store(Arc::new(snapshot));
        self.control.revisions.send_replace(revision);
        info!(event = "configuration-adopted", revision, %origin);
        self.exchange(1);
    }

    fn publish(&self) {
        let snapshot = self.with_members(&self.control.snapshot());
        self.control.snapshot.store(Arc::new(snapshot));
    }

    /// Copies a snapshot with the members as they are now.
    fn with_members(&self, current: &Snapshot) -> Snapshot {
        let now = Instant::now();
        let (loads, mates) = self.members.mates(now);
        Snapshot {
            revision: current.revision,
            accepted: current.accepted.clone(),
            config: Arc::clone(&current.config),
            members: self.members.all(now),
            loads,
            mates,
            read: Some(now),
        }
    }

    /// Decides anew whether this process watches the key-value service.
    fn choose_watcher(&self) {
        let members = &self.control.snapshot().members;
        set_watcher(
            &self.watcher,
            is_watcher(&self.control.own_record(), members),
        );
    }

    fn take_vms(&mut self, vms: &[Vm]) {
        let own = &self.control.identity.node;
        if vms
            .iter()
            .any(|vm| vm.node == *own && vm.state == VmState::Leaving)
        {
            self.control.leave();
        }
        let listed = vms.iter().map(|vm| vm.control_address);
        self.members
            .set_contacts(listed.chain(self.seeds.iter().copied()).collect());
    }
}
