//! A fleet learns in time which content crashes servers, and still sends what runs beside it.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use bulrushward_policy::crash_evidence::{BarPolicy, CrashEvidence};
use bulrushward_protocol::{Content, CrashReport};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

const POLICY: BarPolicy = BarPolicy::DIRECT;
/// Time step of the model.
const TICK: Duration = Duration::from_millis(25);
/// Ticks between two rounds in which a process sends some peers what it knows.
const ROUND: u64 = 10;
/// Peers that receive it in each round.
const PEERS_PER_ROUND: usize = 4;
/// Peers notified at once of a crash or of a bar.
const PEERS_AT_ONCE: usize = 6;
const REPORTS_PER_MESSAGE: usize = 12;
/// Ticks until a server begins to run a request, and crashes if it is poison.
const START: std::ops::Range<u64> = 2..8;
/// Ticks until a harmless response is complete.
const RESPONSE: std::ops::Range<u64> = 10..60;
/// Time after the crash that bars content from which it may reach few servers.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// Prompt part under which servers crash, and part that all requests share.
const POISON: u128 = 1;
const SHARED: u128 = 2;
/// First of the sessions, in which the poison requests are.
const SESSION: u128 = 100;
const SESSIONS: u128 = 60;

/// Faults of the fleet.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Probability that a message is lost.
    loss: f64,
    /// Probability that a message is late by up to a second.
    late: f64,
    /// Fraction of the processes that restart each second.
    restarts: f64,
}

/// An event of the model.
#[derive(Debug)]
enum Event {
    Message {
        to: usize,
        reports: Vec<CrashReport>,
    },
    Crash {
        process: usize,
        contents: Vec<Content>,
    },
    Served {
        process: usize,
        contents: Vec<Content>,
    },
}

/// Processes, messages on their way and requests at servers.
struct Fleet {
    rng: SmallRng,
    start: Instant,
    tick: u64,
    faults: Faults,
    processes: Vec<CrashEvidence>,
    restarted: Vec<u64>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Processes that have news.
    news: HashSet<usize>,
    next_server: u32,
    crashes: Vec<Instant>,
    /// Times at which poison requests were sent, by processes that have not just restarted.
    sent: Vec<Instant>,
    /// Sound requests, those of them that were refused, and both numbers for the session of the poison ones.
    harmless: usize,
    harmless_refused: usize,
    session: usize,
    session_refused: usize,
}

impl Fleet {
    fn new(size: usize, faults: Faults, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            tick: 0,
            faults,
            processes: (0..size).map(|_| CrashEvidence::new(POLICY)).collect(),
            restarted: vec![0; size],
            events: BTreeMap::new(),
            news: HashSet::new(),
            next_server: 0,
            crashes: Vec::new(),
            sent: Vec::new(),
            harmless: 0,
            harmless_refused: 0,
            session: 0,
            session_refused: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events
            .entry(self.tick + delay)
            .or_default()
            .push(event);
    }

    /// Sends some random peers what a process knows.
    fn tell(&mut self, from: usize, peers: usize) {
        let now = self.now();
        let reports = self.processes[from].reports(now, REPORTS_PER_MESSAGE);
        if reports.is_empty() {
            return;
        }
        for _peer in 0..peers.min(self.processes.len() - 1) {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let is_late = self.rng.random_bool(self.faults.late);
            let delay = if is_late {
                self.rng.random_range(1..40)
            } else {
                1
            };
            let to = self.rng.random_range(0..self.processes.len());
            let reports = reports.clone();
            self.schedule(delay, Event::Message { to, reports });
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Message { to, reports } => {
                self.processes[to].merge(&reports, now);
                if !self.processes[to].take_changes(now).is_empty() {
                    self.news.insert(to);
                }
            }
            Event::Crash { process, contents } => {
                for content in contents {
                    self.processes[process].record_crash(content, 1, self.next_server, now);
                }
                self.next_server += 1;
                self.news.insert(process);
                self.crashes.push(now);
            }
            Event::Served { process, contents } => {
                for content in contents {
                    if self.processes[process].record_served(content, now) {
                        self.news.insert(process);
                    }
                }
            }
        }
    }

    /// A request arrives at a random process, which refuses it or sends it.
    fn request(&mut self, parts: Vec<u128>, is_poison: bool) {
        let process = self.rng.random_range(0..self.processes.len());
        let now = self.now();
        let in_session = parts[1] == SESSION;
        let contents: Vec<_> = parts.into_iter().map(Content::part).collect();
        let evidence = &mut self.processes[process];
        let is_prober = process == 0;
        let is_refused = contents
            .iter()
            .any(|content| evidence.refusal(*content, || is_prober, now).is_some());
        if !is_poison {
            self.harmless += 1;
            self.harmless_refused += usize::from(is_refused);
            self.session += usize::from(in_session);
            self.session_refused += usize::from(in_session && is_refused);
        }
        if is_refused {
            return;
        }
        for content in &contents {
            evidence.record_sent(*content, now);
        }
        if !is_poison {
            let delay = self.rng.random_range(RESPONSE);
            return self.schedule(delay, Event::Served { process, contents });
        }
        let is_settled = self.tick >= self.restarted[process] + 120 || self.restarted[process] == 0;
        if is_settled {
            self.sent.push(now);
        }
        let delay = self.rng.random_range(START);
        self.schedule(delay, Event::Crash { process, contents });
    }

    /// Runs for some seconds with poison and harmless requests at these rates in a second.
    fn run(&mut self, seconds: u64, poison: f64, harmless: f64) {
        let ticks_per_second = Duration::from_secs(1).div_duration_f64(TICK);
        for _tick in 0..seconds * ticks_per_second as u64 {
            self.tick += 1;
            for event in self.events.remove(&self.tick).unwrap_or_default() {
                self.handle(event);
            }
            for process in std::mem::take(&mut self.news) {
                self.tell(process, PEERS_AT_ONCE);
            }
            for process in 0..self.processes.len() {
                if (self.tick + process as u64).is_multiple_of(ROUND) {
                    self.tell(process, PEERS_PER_ROUND);
                }
            }
            if self.tick.is_multiple_of(ticks_per_second as u64) {
                for process in 0..self.processes.len() {
                    if self.rng.random_bool(self.faults.restarts) {
                        self.processes[process] = CrashEvidence::new(POLICY);
                        self.restarted[process] = self.tick;
                    }
                }
            }
            for _request in 0..self.arrivals(poison / ticks_per_second) {
                self.request(vec![SHARED, SESSION, POISON], true);
            }
            for _request in 0..self.arrivals(harmless / ticks_per_second) {
                let session = SESSION + self.rng.random_range(0..SESSIONS);
                self.request(vec![SHARED, session], false);
            }
        }
    }

    fn arrivals(&mut self, mean: f64) -> u32 {
        mean as u32 + u32::from(self.rng.random_bool(mean.fract()))
    }

    /// Returns the poison requests that were sent later than the fleet has to know of the content.
    fn late(&self) -> usize {
        let Some(quarantined) = self.crashes.get(POLICY.crashes - 1) else {
            return 0;
        };
        let due = *quarantined + LEARNING_TIME;
        self.sent.iter().filter(|at| **at > due).count()
    }
}

const CALM: Faults = Faults {
    loss: 0.0,
    late: 0.0,
    restarts: 0.0,
};
const ROUGH: Faults = Faults {
    loss: 0.25,
    late: 0.2,
    restarts: 0.02,
};

// Guards against content that goes on crashing servers because the routers of a large fleet learn of it too slowly, and
// against refusing requests that have other parts in common with it.
#[rstest]
#[case::one(1, 2.0)]
#[case::four(4, 2.0)]
#[case::thirty(30, 12.0)]
#[case::three_hundred(300, 12.0)]
#[case::thousand(1_000, 40.0)]
fn a_fleet_bars_poison_in_time_and_nothing_beside_it(
    #[case] size: usize,
    #[case] poison: f64,
    #[values(CALM, ROUGH)] faults: Faults,
) {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(size, faults, seed);
        fleet.run(5, 0.0, poison * 20.0);
        fleet.run(15, poison, poison * 20.0);
        assert!(fleet.crashes.len() >= POLICY.crashes);
        assert!(
            fleet.late() <= MAX_LATE,
            "seed {seed}: {} of {} sent late",
            fleet.late(),
            fleet.sent.len()
        );
        let refused = fleet.harmless_refused as f64 / fleet.harmless as f64;
        assert!(
            refused < 0.005,
            "seed {seed}: {refused} of the harmless requests refused"
        );
        let refused = fleet.session_refused as f64 / fleet.session as f64;
        assert!(
            refused < 0.1,
            "seed {seed}: {refused} of the harmless requests of the session refused"
        );
    }
}
