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

use bulrushward_platform::{Vm, VmList, VmState};
use bulrushward_protocol::{Exchange, MemberRecord, NodeId, Revision, transport::Listener};
use bulrushward_revisions::{Accepted, RevisionStore};
use rand::RngExt;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tracing::{error, info, warn};

use super::{
    Command, Control, Snapshot, configuration, exchange, exchange::Question, members::Members,
};
use crate::{
    error::{ControlSnafu, DaemonError},
    metrics::ControlMetrics,
    settings::CommonSettings,
};

/// Time between two readings of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Peers that are told at once about something new.
const SPREAD_PEERS: usize = 3;
/// Quarantine records that go into one exchange.
const QUARANTINE_IN_EXCHANGE: usize = 16;
/// Messages that may wait for the control thread.
const CHANNEL_CAPACITY: usize = 64;
/// Part of the exchange interval by which exchanges are shifted at random.
const JITTER: f64 = 0.2;

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
    let state = State {
        control: Arc::clone(&control),
        members: Members::new(control.identity.clone(), Instant::now()),
        seeds: settings.peers.clone(),
        interval: settings.exchange_interval,
        metrics,
        answers: mpsc::channel(CHANNEL_CAPACITY),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    let stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        runtime.block_on(state.run(commands, questions, store, vm_list, stopped));
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
}

impl State {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut questions: mpsc::Receiver<Question>,
        store: Arc<RevisionStore>,
        vm_list: Box<dyn VmList>,
        stop: Arc<AtomicBool>,
    ) {
        let (accepted_tx, mut accepted) = mpsc::channel(1);
        let (vms_tx, mut vms) = mpsc::channel(1);
        tokio::spawn(configuration::follow(
            store,
            self.control.revisions(),
            accepted_tx,
        ));
        tokio::spawn(follow_vm_list(vm_list, vms_tx));
        self.members.set_contacts(self.seeds.clone());
        let mut tick = tokio::time::interval(self.interval);
        while !stop.load(Ordering::Relaxed) {
            tokio::select! {
                _ = tick.tick() => {
                    tick.reset_after(jittered(self.interval));
                    self.exchange(1);
                    self.publish();
                }
                Some(question) = questions.recv() => self.answer(question),
                Some(answer) = self.answers.1.recv() => self.take_answer(answer),
                Some(accepted) = accepted.recv() => self.adopt(accepted, "key-value service"),
                Some(vms) = vms.recv() => self.take_vms(&vms),
                Some(command) = commands.recv() => match command {
                    Command::Spread => self.exchange(SPREAD_PEERS),
                    Command::Adopt(accepted) => self.adopt(accepted, "submission"),
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
            self.send(node, address, false);
        }
    }

    /// Starts an exchange, with the configuration if the peer is known to be behind.
    fn send(&mut self, node: Option<NodeId>, peer: SocketAddr, with_configuration: bool) {
        let mut exchange = self.own_side();
        if with_configuration {
            exchange.configuration = self.configuration_for(0);
        }
        let answers = self.answers.0.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let exchange = exchange::send(peer, exchange, metrics).await;
            let _ended = answers.send(PeerAnswer { node, exchange }).await;
        });
    }

    fn answer(&mut self, question: Question) {
        let Question { exchange, answer } = question;
        let revision = exchange.revision;
        self.take(exchange);
        let mut own = self.own_side();
        own.configuration = self.configuration_for(revision);
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
        let behind = exchange.revision < self.control.snapshot().revision;
        let (node, address) = (exchange.own.node.clone(), exchange.own.control_address);
        self.take(exchange);
        if behind {
            self.send(Some(node), address, true);
        }
    }

    fn take(&mut self, exchange: Exchange) {
        let now = Instant::now();
        let changed = self.members.merge(&exchange.own, &exchange.members, now);
        if self.members.is_superseded() && !self.control.is_leaving() {
            error!(event = "name-taken", node = self.control.identity.node);
            self.control.leave();
        }
        self.control
            .lock_quarantine()
            .merge(&exchange.quarantine, now);
        if let Some(bytes) = exchange.configuration {
            match Accepted::decode(&bytes) {
                Ok(accepted) => self.adopt(accepted, "peer"),
                Err(error) => warn!(event = "configuration-refused", %error),
            }
        }
        if changed {
            self.publish();
        }
    }

    fn own_side(&mut self) -> Exchange {
        let now = Instant::now();
        let own = self.members.refresh_own(&self.control.own_record(), now);
        Exchange {
            revision: own.revision,
            own,
            members: self.members.records(now),
            quarantine: self
                .control
                .lock_quarantine()
                .records(now, QUARANTINE_IN_EXCHANGE),
            configuration: None,
        }
    }

    fn configuration_for(&self, revision: Revision) -> Option<Vec<u8>> {
        let snapshot = self.control.snapshot();
        if revision >= snapshot.revision {
            return None;
        }
        snapshot
            .accepted
            .as_ref()
            .and_then(|accepted| accepted.encode().ok())
    }

    /// Puts a revision in force if it is newer than the one in force.
    fn adopt(&mut self, accepted: Accepted, origin: &'static str) {
        let current = self.control.snapshot();
        if accepted.revision <= current.revision {
            return;
        }
        let config = match bulrushward_config::parse(&accepted.text) {
            Ok(config) => config,
            Err(errors) => {
                warn!(event = "configuration-refused", revision = accepted.revision, %errors);
                return;
            }
        };
        let revision = accepted.revision;
        self.control
            .lock_quarantine()
            .reconfigure(config.fleet.quarantine_crashes, config.fleet.quarantine);
        let mut snapshot = self.with_members(&current);
        snapshot.revision = revision;
        snapshot.accepted = Some(accepted);
        snapshot.config = Arc::new(config);
        self.control.snapshot.store(Arc::new(snapshot));
        self.control.revisions.send_replace(revision);
        info!(event = "configuration-adopted", revision, origin);
        self.exchange(SPREAD_PEERS);
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

async fn follow_vm_list(vm_list: Box<dyn VmList>, tx: mpsc::Sender<Vec<Vm>>) {
    let mut available = true;
    while !tx.is_closed() {
        let answer = vm_list.list().await;
        if available != answer.is_ok() {
            available = answer.is_ok();
            warn!(
                event = "vm-list",
                available,
                error = answer.as_ref().err().map(ToString::to_string)
            );
        }
        if let Ok(vms) = answer {
            let _receiver_gone = tx.send(vms).await;
        }
        tokio::time::sleep(jittered(VM_LIST_INTERVAL)).await;
    }
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
