//! Servers that die for another reason under streams of seconds do not bar sound content, while a deadly request is barred.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    crash_evidence::{BarPolicy, CrashEvidence},
    run_survival::RunSurvival,
};
use bulrushward_protocol::{Content, ContentKind, ServerKey};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// Time step of the model.
const TICK: Duration = Duration::from_millis(50);
const TICKS_PER_SECOND: u64 = 20;
/// Ticks between two gossip rounds.
const ROUND: u64 = 5;
const PEERS_PER_ROUND: usize = 4;
const PEERS_AT_ONCE: usize = 6;
const REPORTS_PER_MESSAGE: usize = 12;
/// Ticks from the arrival of a stream to its first event, and between two events.
const PREFILL: u64 = 4;
const PAUSE: u64 = 4;
/// Ticks that a stream takes.
const LENGTH: std::ops::Range<u64> = 40..400;
/// Part that all prompts share, and session to which a tenth of the requests belongs.
const SHARED: u128 = 1;
const HOT: u128 = 100;
const SESSIONS: u128 = 200;
/// Whole request that crashes servers with its first event.
const DEADLY: Content = Content {
    kind: ContentKind::Request,
    hash: 7,
};
/// Sound requests that may be refused, and one of how many beyond them.
const MAX_REFUSED: usize = 5;
const REFUSED_OF: usize = 500;
/// Time after the third crash from which a deadly request may reach few servers.
const LEARNING_TIME: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;

/// How servers die for reasons other than the content of requests.
#[derive(Clone, Copy, Debug)]
enum Deaths {
    None,
    /// One server after the other, in ticks between two.
    Series(u64),
    /// A third of the servers at once, in ticks between two times.
    Domains(u64),
}

#[derive(Debug)]
struct Stream {
    router: usize,
    server: usize,
    contents: Vec<Content>,
    begun: u64,
    ends: u64,
    survival: RunSurvival,
}

struct Fleet {
    rng: SmallRng,
    start: Instant,
    tick: u64,
    routers: Vec<CrashEvidence>,
    /// Incarnation of each server.
    servers: Vec<ServerKey>,
    next_server: ServerKey,
    streams: Vec<Stream>,
    next_request: u128,
    sound: usize,
    refused: usize,
    deadly_crashes: Vec<Instant>,
    deadly_sent: Vec<Instant>,
}

impl Fleet {
    fn new(routers: usize, servers: usize, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            tick: 0,
            routers: (0..routers)
                .map(|_| CrashEvidence::new(BarPolicy::DIRECT))
                .collect(),
            servers: (1..=servers as ServerKey).collect(),
            next_server: servers as ServerKey,
            streams: Vec::new(),
            next_request: 1_000,
            sound: 0,
            refused: 0,
            deadly_crashes: Vec::new(),
            deadly_sent: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    /// Sends some random peers what a router knows; every fourth message is lost.
    fn tell(&mut self, from: usize, peers: usize) {
        let now = self.now();
        let reports = self.routers[from].reports(now, REPORTS_PER_MESSAGE);
        for _peer in 0..peers.min(self.routers.len() - 1) {
            let to = self.rng.random_range(0..self.routers.len());
            if !self.rng.random_bool(0.25) {
                self.routers[to].merge(&reports, now);
            }
        }
    }

    /// A stream arrives at a random router, which refuses it or sends it to a random server.
    fn arrive(&mut self, contents: Vec<Content>) {
        let now = self.now();
        let router = self.rng.random_range(0..self.routers.len());
        let evidence = &mut self.routers[router];
        let is_refused = contents
            .iter()
            .any(|content| evidence.refusal(*content, || router == 0, now).is_some());
        let is_deadly = contents[0] == DEADLY;
        if !is_deadly {
            self.sound += 1;
            self.refused += usize::from(is_refused);
        }
        if is_refused {
            return;
        }
        if is_deadly {
            self.deadly_sent.push(now);
        }
        for content in &contents {
            self.routers[router].record_sent(*content, now);
        }
        self.streams.push(Stream {
            router,
            server: self.rng.random_range(0..self.servers.len()),
            contents,
            begun: self.tick,
            ends: self.tick + self.rng.random_range(LENGTH),
            survival: RunSurvival::default(),
        });
    }

    fn arrive_sound(&mut self) {
        self.next_request += 1;
        let session = if self.rng.random_bool(0.1) {
            HOT
        } else {
            HOT + self.rng.random_range(0..SESSIONS)
        };
        let request = Content::request(self.next_request);
        self.arrive(vec![request, Content::part(SHARED), Content::part(session)]);
    }

    /// A server dies, and another one takes its place.
    fn crash(&mut self, server: usize) {
        let now = self.now();
        let key = self.servers[server];
        self.next_server += 1;
        self.servers[server] = self.next_server;
        let (cut, kept) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream: &Stream| stream.server == server);
        self.streams = kept;
        for stream in cut.into_iter().filter(|cut| cut.survival.is_suspect()) {
            for content in &stream.contents {
                self.routers[stream.router].record_crash(*content, 1, key, now);
            }
            self.tell(stream.router, PEERS_AT_ONCE);
        }
    }

    fn advance_streams(&mut self) {
        let (now, tick) = (self.now(), self.tick);
        let mut crashed = Vec::new();
        for stream in &mut self.streams {
            let age = tick - stream.begun;
            if age < PREFILL || !(age - PREFILL).is_multiple_of(PAUSE) {
                continue;
            }
            if stream.contents[0] == DEADLY {
                crashed.push(stream.server);
            }
            let has_survived = stream.survival.record_events(now);
            if has_survived || tick >= stream.ends {
                for content in &stream.contents {
                    self.routers[stream.router].record_served(*content, now);
                }
            }
        }
        self.streams
            .retain(|stream| tick < stream.ends || stream.contents[0] == DEADLY);
        for server in crashed {
            self.deadly_crashes.push(now);
            self.crash(server);
        }
    }

    fn run(&mut self, seconds: u64, rate: f64, deaths: Deaths, deadly_pause: Option<u64>) {
        for _tick in 0..seconds * TICKS_PER_SECOND {
            self.tick += 1;
            self.advance_streams();
            let at = |every: u64| self.tick.is_multiple_of(every);
            match deaths {
                Deaths::Series(every) if at(every) => {
                    let server = self.rng.random_range(0..self.servers.len());
                    self.crash(server);
                }
                Deaths::Domains(every) if at(every) => {
                    let domain = self.rng.random_range(0..3);
                    for server in (domain..self.servers.len()).step_by(3) {
                        self.crash(server);
                    }
                }
                Deaths::None | Deaths::Series(_) | Deaths::Domains(_) => {}
            }
            for router in 0..self.routers.len() {
                if (self.tick + router as u64).is_multiple_of(ROUND) {
                    self.tell(router, PEERS_PER_ROUND);
                }
            }
            let mean = rate / TICKS_PER_SECOND as f64;
            for _request in 0..mean as u32 + u32::from(self.rng.random_bool(mean.fract())) {
                self.arrive_sound();
            }
            if deadly_pause.is_some_and(|pause| self.tick.is_multiple_of(pause)) {
                self.arrive(vec![DEADLY, Content::part(SHARED), Content::part(HOT)]);
            }
        }
    }

    fn late(&self) -> usize {
        let Some(third) = self.deadly_crashes.get(2) else {
            return 0;
        };
        let due = *third + LEARNING_TIME;
        self.deadly_sent.iter().filter(|at| **at > due).count()
    }
}

// Guards against refusing sound streams because servers die under them for another reason, and against a deadly request
// that is taken for a sound one beside them.
#[rstest]
#[case::three_routers(3, 12, 20.0)]
#[case::many_routers(24, 45, 100.0)]
#[case::large_fleet(68, 122, 200.0)]
fn sound_streams_go_on_while_servers_die(
    #[case] routers: usize,
    #[case] servers: usize,
    #[case] rate: f64,
    #[values(
        Deaths::None,
        Deaths::Series(20),
        Deaths::Series(40),
        Deaths::Domains(120)
    )]
    deaths: Deaths,
    #[values(None, Some(30))] deadly_pause: Option<u64>,
) {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(routers, servers, seed);
        fleet.run(10, rate, Deaths::None, None);
        fleet.run(30, rate, deaths, deadly_pause);
        assert!(
            fleet.refused <= MAX_REFUSED + fleet.sound / REFUSED_OF,
            "seed {seed}: {} of {} sound streams refused",
            fleet.refused,
            fleet.sound
        );
        assert!(
            fleet.late() <= MAX_LATE,
            "seed {seed}: {} of {} deadly requests sent late",
            fleet.late(),
            fleet.deadly_sent.len()
        );
    }
}
