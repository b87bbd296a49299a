//! Measures control traffic: real member tables that exchange encoded gossip messages.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::membership::MemberTable;
use bulrushward_protocol::{
    Exchange, MemberRecord, MemberState, NodeId, Revision, Role, decode, encode,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Figure, Size};

/// Interval at which each process starts a gossip exchange.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of bytes for records of other members in one message.
const RECORDS_BUDGET: usize = 450;
/// Number of failure domains of the planned fleet.
const FAILURE_DOMAINS: usize = 4;
/// Number of rounds over which traffic is measured, before any change is made.
const TRAFFIC_ROUNDS: u64 = 20;
/// Number of rounds after which the dissemination of a change is considered failed.
const MAX_ROUNDS: u64 = 1_200;
/// Number of processes up to which death detection is measured, as it takes the whole heartbeat
/// timeout.
const MAX_PROCESSES_FOR_DEATH_DETECTION: usize = 100;
/// Maximum control bytes per second that a process sends and receives.
const BYTES_TARGET: f64 = 3_000.0;
/// Maximum share of a core that control traffic uses.
const CORE_TARGET: f64 = 0.015;
/// Time in which an accepted configuration must be active everywhere.
const CONFIGURATION_TARGET: Duration = Duration::from_secs(6);
/// Time after which a leaving backend server must receive no new requests.
const LEAVING_TARGET: Duration = Duration::from_secs(3);

/// Processes of a fleet that gossip once a second.
#[derive(Debug)]
pub struct ControlFleet {
    tables: Vec<MemberTable>,
    revisions: Vec<Revision>,
    by_node: HashMap<NodeId, usize>,
    /// Index of the process that was stopped to measure death detection.
    stopped: Option<usize>,
    epoch: Instant,
    round: u64,
    rng: Pcg64Mcg,
    /// Bytes of all messages, by part of the message.
    bytes: BTreeMap<&'static str, u64>,
    messages: u64,
    /// Time spent in exchanges.
    busy: Duration,
}

impl ControlFleet {
    /// Creates a fleet in which every process knows all other processes.
    #[must_use]
    pub fn new(agents: usize, routers: usize, seed: u64) -> Self {
        let epoch = Instant::now();
        let records: Vec<MemberRecord> = (0..agents + routers)
            .map(|index| member_record(index, index < agents))
            .collect();
        let mut tables: Vec<MemberTable> = Vec::new();
        for record in &records {
            let mut table = MemberTable::new(record.clone(), epoch);
            table.merge(&records, epoch);
            tables.push(table);
        }
        let by_node = records.iter().enumerate();
        Self {
            by_node: by_node
                .map(|(index, record)| (record.node.clone(), index))
                .collect(),
            revisions: vec![1; tables.len()],
            tables,
            stopped: None,
            epoch,
            round: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            bytes: BTreeMap::new(),
            messages: 0,
            busy: Duration::ZERO,
        }
    }

    /// Lets every running process start one gossip exchange, in the order of their indices.
    pub fn run_round(&mut self) {
        self.round += 1;
        let now = self.now();
        let round = self.round;
        for index in 0..self.tables.len() {
            if self.stopped == Some(index) {
                continue;
            }
            if self.tables[index].heartbeat(now) {
                // The load is the number of the round, so that a copy of the record shows its age.
                self.tables[index].update_own(now, |own| own.load = round);
            }
            let peer = self.tables[index].pick_peer(now, &mut self.rng);
            let Some(peer) = peer.map(|record| record.node.clone()) else {
                continue;
            };
            let other = self.by_node[&peer];
            if self.stopped == Some(other) {
                self.tables[index].mark_unreachable(&peer);
                continue;
            }
            let started = Instant::now();
            self.send(index, other, now);
            self.send(other, index, now);
            self.busy += started.elapsed();
        }
    }

    fn now(&self) -> Instant {
        self.epoch + EXCHANGE_INTERVAL * self.round as u32
    }

    /// Sends a gossip message to another process, encoded and decoded as over the network.
    fn send(&mut self, from: usize, to: usize, now: Instant) {
        let members = self.tables[from].outgoing_records(now, RECORDS_BUDGET, &mut self.rng);
        let peer = self.tables[to].own().node.clone();
        let suspects = self.tables[from].outgoing_suspicions(Some(&peer), now);
        let exchange = Exchange {
            own: self.tables[from].own().clone(),
            members,
            suspects,
            quarantine: Vec::new(),
            revision: self.revisions[from],
            configuration: None,
        };
        let message = encode(&exchange).expect("an exchange can be encoded");
        self.count(&exchange, message.len());
        let received: Exchange = decode(&message).expect("the exchange was just encoded");
        let sender = received.own.node.clone();
        self.tables[to].merge(&[received.own], now);
        self.tables[to].merge(&received.members, now);
        self.tables[to].merge_suspicions(&sender, &received.suspects, now);
        self.revisions[to] = self.revisions[to].max(received.revision);
    }

    fn count(&mut self, exchange: &Exchange, bytes: usize) {
        // An encoded record starts with the version byte, which a message contains only once.
        let size = |record| encode(record).map_or(0, |bytes| bytes.len() - 1) as u64;
        let own = size(&exchange.own);
        let members: u64 = exchange.members.iter().map(size).sum();
        *self.bytes.entry("own-record").or_default() += own;
        *self.bytes.entry("records-of-others").or_default() += members;
        *self.bytes.entry("rest").or_default() += bytes as u64 - own - members;
        self.messages += 1;
    }

    /// Runs rounds until `is_done`; returns the elapsed time, or `None` after [`MAX_ROUNDS`].
    fn run_until(&mut self, is_done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.round;
        while self.round - start < MAX_ROUNDS {
            if is_done(self) {
                return Some(EXCHANGE_INTERVAL * (self.round - start) as u32);
            }
            self.run_round();
        }
        None
    }

    /// Returns the time until every process has received a new revision.
    pub fn time_to_disseminate_revision(&mut self) -> Option<Duration> {
        let first = self.rng.random_range(0..self.tables.len());
        self.revisions[first] += 1;
        let newest = self.revisions[first];
        self.run_until(|fleet| fleet.revisions.iter().all(|revision| *revision == newest))
    }

    /// Returns the time until no process counts a leaving agent as live.
    pub fn time_to_disseminate_leaving(&mut self) -> Option<Duration> {
        let now = self.now();
        self.tables[0].update_own(now, |own| own.state = MemberState::Leaving);
        self.run_until(|fleet| !fleet.is_live_anywhere(0))
    }

    /// Returns the time until no process counts a dead agent as live.
    ///
    /// No requests are sent to the agent, so only gossip reveals its death.
    pub fn time_to_detect_death(&mut self) -> Option<Duration> {
        self.stopped = Some(1);
        self.run_until(|fleet| !fleet.is_live_anywhere(1))
    }

    fn is_live_anywhere(&self, index: usize) -> bool {
        let node = &self.tables[index].own().node;
        let now = self.now();
        let mut others = self
            .tables
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        others.any(|(_, table)| {
            let is_live = table
                .get(node)
                .is_some_and(|record| record.state == MemberState::Live);
            is_live && !table.is_unresponsive(node, now)
        })
    }

    /// Returns the ages, in ascending order, of the load reports that the last process, a router,
    /// has.
    fn report_ages(&self) -> Vec<Duration> {
        let Some(table) = self.tables.last() else {
            return Vec::new();
        };
        let reports = table.loads(&"chat".to_owned(), self.now());
        let age = |round| EXCHANGE_INTERVAL * self.round.saturating_sub(round) as u32;
        let mut ages: Vec<Duration> = reports.iter().map(|report| age(report.load)).collect();
        ages.sort_unstable();
        ages
    }
}

/// Measures the control traffic of a fleet and how fast changes are disseminated.
#[must_use]
pub fn measure_control(size: &Size, seed: u64) -> Vec<Figure> {
    let agents = size.engines + size.plain_servers;
    let mut fleet = ControlFleet::new(agents, size.routers, seed);
    let mut figures = Vec::new();
    let mut add = |measure: &str, case: &str, value: f64, unit, target_met| {
        figures.push(Figure {
            measure: measure.to_owned(),
            policy: "product".to_owned(),
            size: size.name.to_owned(),
            case: case.to_owned(),
            value,
            unit,
            target_met,
        });
    };
    for _ in 0..TRAFFIC_ROUNDS {
        fleet.run_round();
    }
    let processes = (agents + size.routers) as f64;
    // The factor 2 counts each message at its sender and at its receiver.
    let per_second = 2.0 / (TRAFFIC_ROUNDS as f64 * EXCHANGE_INTERVAL.as_secs_f64() * processes);
    let total: u64 = fleet.bytes.values().sum();
    for (part, bytes) in &fleet.bytes {
        add(
            "control-bytes",
            part,
            *bytes as f64 * per_second,
            "bytes/s",
            None,
        );
    }
    let bytes = total as f64 * per_second;
    add(
        "control-bytes",
        "all",
        bytes,
        "bytes/s",
        Some(bytes <= BYTES_TARGET),
    );
    add(
        "control-messages",
        "all",
        fleet.messages as f64 * per_second,
        "messages/s",
        None,
    );
    // The measured time of an exchange is divided equally between its two processes.
    let core = fleet.busy.as_secs_f64() / (TRAFFIC_ROUNDS as f64 * processes);
    add(
        "control-core",
        "exchange",
        core,
        "cores",
        Some(core <= CORE_TARGET),
    );
    let mut add_time = |measure: &str, elapsed: Option<Duration>, target: Option<Duration>| {
        let seconds = elapsed.map_or(f64::INFINITY, |elapsed| elapsed.as_secs_f64());
        let met = target.map(|target| seconds <= target.as_secs_f64());
        add(measure, "steady", seconds, "s", met);
    };
    add_time(
        "configuration-spread",
        fleet.time_to_disseminate_revision(),
        Some(CONFIGURATION_TARGET),
    );
    add_time(
        "leaving-spread",
        fleet.time_to_disseminate_leaving(),
        Some(LEAVING_TARGET),
    );
    add_time(
        "heartbeat-interval",
        Some(fleet.tables[0].heartbeat_interval()),
        None,
    );
    add_time(
        "silent-after",
        Some(fleet.tables[0].heartbeat_timeout()),
        None,
    );
    if fleet.tables.len() <= MAX_PROCESSES_FOR_DEATH_DETECTION {
        add_time(
            "death-noticed-by-silence",
            fleet.time_to_detect_death(),
            None,
        );
        let ages = fleet.report_ages();
        for (name, quantile) in [("report-age-p50", 0.5), ("report-age-p95", 0.95)] {
            let index = (ages.len() as f64 * quantile) as usize;
            add_time(name, ages.get(index).copied(), None);
        }
    }
    figures
}

/// Returns a member record like those of the planned fleet.
pub(crate) fn member_record(index: usize, is_agent: bool) -> MemberRecord {
    let role = if is_agent { Role::Agent } else { Role::Router };
    let high = (index / 250) as u8;
    let address: SocketAddr = ([10, 20, high, (index % 250) as u8], 7_101).into();
    MemberRecord {
        node: format!("{role}-{index:04}"),
        incarnation: 1_790_000_000_000 + index as u64,
        version: 1,
        role,
        state: MemberState::Live,
        control_address: address,
        data_address: address,
        failure_domain: format!("domain-{}", index % FAILURE_DOMAINS),
        service: is_agent.then(|| "chat".to_owned()),
        backend: is_agent.then(|| format!("engine-{index:04}")),
        load: 0,
        queued: 0,
        revision: 1,
    }
}
