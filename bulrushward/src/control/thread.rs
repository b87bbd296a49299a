//! The control thread, which owns the member table and the configuration and publishes snapshots.

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
    Command, Control, Snapshot, exchange,
    exchange::IncomingExchange,
    fetch,
    members::Members,
    revision_pipeline::{Origin, ParsedRevision, RevisionPipeline, TaskResult},
    store_watch::{StoreWatch, set_watcher},
    vm_list,
    vm_list::jittered,
    watchers::is_watcher,
};
use crate::{
    error::{ControlSnafu, DaemonError},
    metrics::ControlMetrics,
    settings::CommonSettings,
};

/// Number of peers to which an urgent change is sent immediately.
const GOSSIP_FANOUT: usize = 3;
/// Maximum number of quarantine records in one gossip exchange.
const MAX_QUARANTINE_RECORDS: usize = 16;
/// Capacity of the channels to the control thread.
const CHANNEL_CAPACITY: usize = 64;
/// Time that shutdown waits for exchanges in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the running control threads of a process.
#[derive(Debug)]
pub(crate) struct ControlThread {
    stop: Arc<AtomicBool>,
    listener: JoinHandle<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Stops the threads. Peers keep the last record of this process until it expires.
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
    let (incoming_tx, incoming) = mpsc::channel(CHANNEL_CAPACITY);
    let listener =
        exchange::start_listener(listener, incoming_tx, metrics.clone(), Arc::clone(&stop));
    let (revision_pipeline, task_results) = RevisionPipeline::new(metrics.clone());
    let control_loop = ControlLoop {
        control: Arc::clone(&control),
        members: Members::new(control.identity.clone(), Instant::now()),
        configured_peers: settings.peers.clone(),
        interval: settings.exchange_interval,
        metrics,
        exchange_results: mpsc::channel(CHANNEL_CAPACITY),
        revision_pipeline,
        store,
        watcher: watch::Sender::new(true),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    let stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        runtime.block_on(control_loop.run(commands, incoming, task_results, vm_list, stopped));
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

/// Result of a gossip exchange with a peer.
struct ExchangeResult {
    /// The peer, if its name is known.
    node: Option<NodeId>,
    /// The peer's side of the exchange; `None` if it did not respond.
    response: Option<Exchange>,
}

/// State of the control thread.
struct ControlLoop {
    control: Arc<Control>,
    members: Members,
    /// Bootstrap addresses from the settings.
    configured_peers: Vec<SocketAddr>,
    interval: Duration,
    metrics: ControlMetrics,
    exchange_results: (mpsc::Sender<ExchangeResult>, mpsc::Receiver<ExchangeResult>),
    revision_pipeline: RevisionPipeline,
    store: Arc<RevisionStore>,
    /// Whether this process is a watcher of the key-value service.
    watcher: watch::Sender<bool>,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut incoming: mpsc::Receiver<IncomingExchange>,
        mut task_results: mpsc::Receiver<TaskResult>,
        vm_list: Box<dyn VmList>,
        stop: Arc<AtomicBool>,
    ) {
        let (revisions_tx, mut revisions) = mpsc::channel(1);
        let (vms_tx, mut vms) = mpsc::channel(1);
        let store_watch = StoreWatch {
            store: Arc::clone(&self.store),
            active_revision: self.control.revisions(),
            watcher: self.watcher.subscribe(),
            revisions: revisions_tx,
        };
        tokio::spawn(store_watch.run());
        tokio::spawn(vm_list::poll(vm_list, vms_tx));
        self.members
            .set_bootstrap_addresses(self.configured_peers.clone());
        let mut tick = tokio::time::interval(self.interval);
        while !stop.load(Ordering::Relaxed) {
            tokio::select! {
                _ = tick.tick() => {
                    tick.reset_after(jittered(self.interval));
                    self.gossip(1);
                    self.publish_snapshot();
                    self.update_watcher();
                }
                Some(incoming) = incoming.recv() => self.respond(incoming),
                Some(result) = self.exchange_results.1.recv() => self.handle_response(result),
                Some(accepted) = revisions.recv() => self.receive_revision(accepted, Origin::KeyValue),
                Some(result) = task_results.recv() => self.handle_task_result(result),
                Some(vms) = vms.recv() => self.apply_vm_list(&vms),
                Some(command) = commands.recv() => match command {
                    Command::Gossip => self.gossip(GOSSIP_FANOUT),
                    Command::Apply(accepted) => self.receive_revision(accepted, Origin::Submission),
                },
            }
        }
    }

    /// Starts gossip exchanges with `count` random peers.
    fn gossip(&mut self, count: usize) {
        for _ in 0..count {
            let Some((node, address)) = self.members.pick_peer(Instant::now()) else {
                return;
            };
            self.start_exchange(node, address);
        }
    }

    fn start_exchange(&mut self, node: Option<NodeId>, peer: SocketAddr) {
        let exchange = self.outgoing_exchange(node.as_deref());
        let results = self.exchange_results.0.clone();
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let response = exchange::send(peer, exchange, metrics).await;
            let _ended = results.send(ExchangeResult { node, response }).await;
        });
    }

    fn respond(&mut self, incoming: IncomingExchange) {
        let IncomingExchange {
            mut exchange,
            reply,
        } = incoming;
        let config_request = exchange.configuration.take();
        self.merge_exchange(&exchange);
        let own = match config_request {
            Some(config_request) => {
                let newest = self.newest();
                let mut own = self.base_exchange();
                own.configuration = fetch::respond(&config_request, newest.as_ref());
                own
            }
            None => self.outgoing_exchange(Some(&exchange.own.node)),
        };
        // Fails only if the listener no longer waits for the reply.
        let _listener_gone = reply.send(own);
    }

    fn handle_response(&mut self, result: ExchangeResult) {
        let Some(exchange) = result.response else {
            if let Some(node) = result.node {
                self.members.mark_unreachable(&node);
                self.publish_snapshot();
            }
            return;
        };
        self.merge_exchange(&exchange);
    }

    fn merge_exchange(&mut self, exchange: &Exchange) {
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
        if self.revision_pipeline.add_source(peer, revision, now) {
            self.fetch_next();
        }
        if changed {
            self.publish_snapshot();
        }
    }

    /// Returns this process's side of a gossip exchange with a peer.
    fn outgoing_exchange(&mut self, peer: Option<&str>) -> Exchange {
        let now = Instant::now();
        let mut exchange = self.base_exchange();
        exchange.members = self.members.outgoing_records(now);
        exchange.suspects = self.members.outgoing_suspicions(peer, now);
        let mut quarantine = self.control.lock_quarantine();
        exchange.quarantine = quarantine.reports(now, MAX_QUARANTINE_RECORDS);
        drop(quarantine);
        exchange
    }

    /// Returns this process's side of an exchange without records of other members.
    fn base_exchange(&mut self) -> Exchange {
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
        let base_exchange = self.base_exchange();
        let newest = self.newest();
        self.revision_pipeline.fetch_next(base_exchange, newest);
    }

    fn handle_task_result(&mut self, result: TaskResult) {
        let now = Instant::now();
        match result {
            TaskResult::Fetch(peer, result) => {
                if self.revision_pipeline.finish_fetch(peer, result, now) {
                    self.notify_outdated_peers();
                }
                self.fetch_next();
            }
            TaskResult::Parse(accepted, origin, result) => {
                let parsed = self
                    .revision_pipeline
                    .finish_parse(accepted, origin, result, now);
                if let Some(parsed) = parsed {
                    self.activate(parsed);
                }
            }
        }
    }

    /// Handles a revision from the key-value service or from a submission.
    fn receive_revision(&mut self, accepted: AcceptedRevision, origin: Origin) {
        if self.revision_pipeline.enqueue(accepted, origin) {
            self.notify_outdated_peers();
        }
    }

    /// Sends the newest revision number to a few peers with an older one, without waiting until its
    /// text is parsed here.
    fn notify_outdated_peers(&mut self) {
        let revision = self.newest().map_or(0, |newest| newest.revision);
        let outdated_peers = self
            .members
            .outdated_peers(revision, GOSSIP_FANOUT, Instant::now());
        for (node, address) in outdated_peers {
            self.start_exchange(Some(node), address);
        }
    }

    /// Returns the newest revision that this process can send to peers.
    fn newest(&self) -> Option<AcceptedRevision> {
        let pending = self.revision_pipeline.pending().cloned();
        pending.or_else(|| self.control.snapshot().accepted.clone())
    }

    /// Activates a revision: publishes it to the traffic threads and gossips it to a peer.
    fn activate(&mut self, parsed: ParsedRevision) {
        let ParsedRevision {
            accepted,
            config,
            origin,
        } = parsed;
        let revision = accepted.revision;
        self.control.lock_quarantine().configure(&config.fleet);
        self.store.cache_revision(&accepted);
        let mut snapshot = self.with_members(&self.control.snapshot());
        snapshot.revision = revision;
        snapshot.accepted = Some(accepted);
        snapshot.config = Arc::new(config);
        self.control.snapshot.store(Arc::new(snapshot));
        self.control.revisions.send_replace(revision);
        info!(event = "configuration-adopted", revision, %origin);
        self.gossip(1);
    }

    fn publish_snapshot(&self) {
        let snapshot = self.with_members(&self.control.snapshot());
        self.control.snapshot.store(Arc::new(snapshot));
    }

    /// Copies a snapshot and replaces its members with the current ones.
    fn with_members(&self, current: &Snapshot) -> Snapshot {
        let now = Instant::now();
        let (loads, service_peer_count) = self.members.service_loads(now);
        Snapshot {
            revision: current.revision,
            accepted: current.accepted.clone(),
            config: Arc::clone(&current.config),
            members: self.members.all(now),
            loads,
            service_peer_count,
            taken_at: Some(now),
        }
    }

    /// Decides again whether this process is a watcher of the key-value service.
    fn update_watcher(&self) {
        let members = &self.control.snapshot().members;
        set_watcher(
            &self.watcher,
            is_watcher(&self.control.own_record(), members),
        );
    }

    fn apply_vm_list(&mut self, vms: &[Vm]) {
        let own = &self.control.identity.node;
        if vms
            .iter()
            .any(|vm| vm.node == *own && vm.state == VmState::Leaving)
        {
            self.control.leave();
        }
        let listed = vms.iter().map(|vm| vm.control_address);
        self.members.set_bootstrap_addresses(
            listed
                .chain(self.configured_peers.iter().copied())
                .collect(),
        );
    }
}
