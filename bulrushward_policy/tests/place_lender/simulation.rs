//! Routers, servers and callers of a scarce service, with messages that are delayed and lost.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    overload_admission::OverloadAdmission,
    place_borrower::{BorrowEnd, BorrowStep, PlaceBorrower},
    place_lender::{Answer, Ask, PlaceLender, PlaceUse, notice_receivers},
    place_pools::{pool_count, pool_of},
    scarcity::Scarcity,
    usual_demand::UsualDemand,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

pub const SLOTS: usize = 6;
/// Requests that a server queues beyond its slots.
const QUEUE: usize = 4;
const WORK_MS: f64 = 60.0;
pub const TARGET: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(4);
const ROUND: Duration = Duration::from_millis(250);
/// Largest number of servers whose response times one datagram of gossip reports.
const MAX_REPORTED: usize = 32;
const TICK: Duration = Duration::from_millis(10);
/// Time after which a message that matters is sent once more.
const RESEND: Duration = Duration::from_millis(20);
pub const HOT: usize = 0;
pub const LARGE: usize = 1;

/// Lender of a pool: the first or the second in the order that all routers share.
type Lender = (u32, usize);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Each router admits by response times and chooses a server itself.
    Today,
    Lent,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub mode: Mode,
    pub seed: u64,
    pub routers: usize,
    pub servers: usize,
    pub organisations: usize,
    /// Fraction of the capacity that is usually asked for.
    pub usual_load: f64,
    /// Factor of all requests in the crowd.
    pub crowd: f64,
    /// Factor of the requests of the hot organisation in the crowd.
    pub hot: f64,
    /// Factor of the usual requests of the large organisation.
    pub large: f64,
    /// Seconds of the crowd, and of the whole run.
    pub crowd_s: (f64, f64),
    pub end_s: f64,
    pub loss: f64,
    /// Longest one-way delay of a message, in milliseconds.
    pub delay_ms: f64,
    /// Fraction of the requests that are less urgent.
    pub lookups: f64,
    /// Fraction of the callers that leave after 350 ms.
    pub leavers: f64,
    /// Factor by which the first server is slower.
    pub slow: f64,
    /// Slots that the first server has in fact.
    pub cold_slots: usize,
    /// Time at which the lender is killed.
    pub kill_s: Option<f64>,
    /// Whether half of the routers use another lender.
    pub is_split: bool,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            mode: Mode::Lent,
            seed: 7,
            routers: 31,
            servers: 3,
            organisations: 24,
            usual_load: 0.48,
            crowd: 2.5,
            hot: 1.0,
            large: 1.0,
            crowd_s: (4.0, 14.0),
            end_s: 20.0,
            loss: 0.01,
            delay_ms: 2.0,
            lookups: 0.19,
            leavers: 0.0,
            slow: 1.0,
            cold_slots: SLOTS,
            kill_s: None,
            is_split: false,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub overdue: u32,
    pub refused: u32,
    pub left: u32,
    /// Requests that reached a server, and those of them that it rejected.
    pub arrivals: u32,
    pub rejected: u32,
    /// Refused attempts, and those of them that had waited for longer than the target latency.
    pub refusals: u32,
    pub late_refusals: u32,
    pub by_organisation: HashMap<usize, (u32, u32)>,
    /// Asked and served by kind, the more urgent first, and refused.
    pub by_kind: [(u32, u32); 2],
    pub refused_by_kind: [u32; 2],
    pub messages: u32,
    pub run_twice: u32,
    /// Requests that ended while the crowd lasted.
    pub ended_in_crowd: u32,
}

impl Outcome {
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked)
    }

    /// Returns the served fraction of the organisations other than the hot one.
    pub fn others_served(&self) -> f64 {
        let others = self.by_organisation.iter().filter(|(key, _)| **key != HOT);
        let (asked, served) = others.fold((0, 0), |sum, (_, one)| (sum.0 + one.0, sum.1 + one.1));
        f64::from(served) / f64::from(asked)
    }

    pub fn organisation_served(&self, organisation: usize) -> f64 {
        let (asked, served) = self.by_organisation[&organisation];
        f64::from(served) / f64::from(asked)
    }

    pub fn kind_served(&self, kind: usize) -> f64 {
        f64::from(self.by_kind[kind].1) / f64::from(self.by_kind[kind].0)
    }

    /// Returns the worth of all answers relative to that of all requests.
    pub fn worth(&self) -> f64 {
        (f64::from(self.in_time) + 0.5 * f64::from(self.late)) / f64::from(self.asked)
    }
}

#[derive(Clone, Copy, Debug)]
struct Req {
    organisation: usize,
    kind: usize,
    router: usize,
    came: Instant,
    /// Time at which this attempt of the caller came.
    attempt: Instant,
    retries: u32,
    rejections: u32,
    excluded: Option<u32>,
    /// Ask whose place the request uses.
    place: Option<(Lender, u64)>,
    is_over: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    /// A caller's attempt reaches its router.
    Attempt(usize),
    Leave(usize),
    ServerGets {
        server: usize,
        req: usize,
        sent: Instant,
    },
    ServerEnds {
        server: usize,
        req: usize,
        sent: Instant,
    },
    RouterGets {
        req: usize,
        server: usize,
        sent: Instant,
        is_rejected: bool,
    },
    Ask {
        lender: Lender,
        id: u64,
    },
    Withdraw {
        lender: Lender,
        id: u64,
    },
    Done {
        lender: Lender,
        id: u64,
        used: PlaceUse,
    },
    Answer {
        lender: Lender,
        id: u64,
        answer: Answer,
        load: f64,
    },
    Notice {
        router: usize,
        load: f64,
    },
    Tick,
    Gossip,
}

struct Server {
    running: usize,
    waiting: VecDeque<(usize, Instant)>,
}

struct Router {
    admission: OverloadAdmission,
    scarcity: Scarcity,
    usual: UsualDemand,
    borrower: PlaceBorrower<Lender>,
}

pub struct Simulation {
    run: Run,
    /// Draws what callers send, so that it is the same in all modes.
    demand: Pcg64,
    rng: Pcg64,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    lenders: BTreeMap<Lender, PlaceLender<usize>>,
    /// Servers of each pool with their slots.
    pools: Vec<Vec<(u32, u32)>>,
    /// Server of each key.
    server_of: HashMap<u32, usize>,
    reqs: Vec<Req>,
    /// Request of each ask.
    asks: HashMap<u64, usize>,
    next_ask: u64,
    has_run: HashSet<usize>,
    outcome: Outcome,
}

fn server_key(index: usize) -> u32 {
    (index as u32).wrapping_mul(0x9e37_79b1)
}

pub fn play(run: &Run) -> Outcome {
    let start = Instant::now();
    let mut simulation = Simulation {
        demand: Pcg64::seed_from_u64(run.seed),
        rng: Pcg64::seed_from_u64(run.seed + 1_000),
        start,
        now: start,
        events: BinaryHeap::new(),
        bodies: HashMap::new(),
        next_event: 0,
        routers: (0..run.routers)
            .map(|_| Router {
                admission: OverloadAdmission::new(start),
                scarcity: Scarcity::default(),
                usual: UsualDemand::default(),
                borrower: PlaceBorrower::default(),
            })
            .collect(),
        servers: (0..run.servers)
            .map(|_| Server {
                running: 0,
                waiting: VecDeque::new(),
            })
            .collect(),
        lenders: BTreeMap::new(),
        pools: vec![Vec::new(); pool_count(run.servers) as usize],
        server_of: (0..run.servers)
            .map(|server| (server_key(server), server))
            .collect(),
        reqs: Vec::new(),
        asks: HashMap::new(),
        next_ask: 0,
        has_run: HashSet::new(),
        outcome: Outcome::default(),
        run: run.clone(),
    };
    for server in (0..run.servers).map(server_key) {
        let pool = pool_of(server, pool_count(run.servers));
        simulation.pools[pool as usize].push((server, SLOTS as u32));
    }
    simulation.at(Duration::ZERO, Event::Arrive);
    simulation.at(Duration::ZERO, Event::Tick);
    simulation.at(Duration::ZERO, Event::Gossip);
    simulation.play()
}

impl Simulation {
    fn play(mut self) -> Outcome {
        let end = self.start + Duration::from_secs_f64(self.run.end_s) + DEADLINE * 2;
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.bodies.remove(&id) {
                self.handle(event);
            }
        }
        self.outcome
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.events
            .push(Reverse((self.now + delay, self.next_event)));
        self.bodies.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Sends a datagram, which may be lost.
    fn send(&mut self, after: Duration, event: Event) {
        self.outcome.messages += 1;
        if self.rng.random_bool(self.run.loss) {
            return;
        }
        let ms = self.rng.random_range(0.2..self.run.delay_ms);
        self.at(after + Duration::from_secs_f64(ms / 1e3), event);
    }

    fn send_twice(&mut self, event: Event) {
        self.send(Duration::ZERO, event);
        self.send(RESEND, event);
    }

    fn second(&self) -> f64 {
        self.now.duration_since(self.start).as_secs_f64()
    }

    /// Returns whether a lender is alive; router 0 is the first lender of pool 0.
    fn lends(&self, lender: Lender) -> bool {
        lender != (0, 0) || self.is_alive(0)
    }

    fn is_alive(&self, router: usize) -> bool {
        router != 0 || self.run.kill_s.is_none_or(|at| self.second() < at)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Attempt(req) => self.attempt(req),
            Event::Leave(req) => self.leave(req),
            Event::ServerGets { server, req, sent } => self.server_gets(server, req, sent),
            Event::ServerEnds { server, req, sent } => {
                self.servers[server].running -= 1;
                let in_crowd = (self.run.crowd_s.0..self.run.crowd_s.1).contains(&self.second());
                self.outcome.ended_in_crowd += u32::from(in_crowd);
                self.reply(server, req, sent, false);
                self.start_waiting(server);
            }
            Event::RouterGets {
                req,
                server,
                sent,
                is_rejected,
            } => self.router_gets(req, server, sent, is_rejected),
            Event::Ask { lender, id } if self.lends(lender) => self.lender_asked(lender, id),
            Event::Withdraw { lender, id } if self.lends(lender) => {
                if let Some(known) = self.lenders.get_mut(&lender) {
                    known.withdraw(id, self.now);
                }
                self.poll_lender(lender);
            }
            Event::Done { lender, id, used } if self.lends(lender) => {
                if let Some(known) = self.lenders.get_mut(&lender) {
                    known.finish(id, used, self.now);
                }
                self.poll_lender(lender);
            }
            Event::Ask { .. } | Event::Withdraw { .. } | Event::Done { .. } => {}
            Event::Answer {
                lender,
                id,
                answer,
                load,
            } => self.answered(lender, id, answer, load),
            Event::Notice { router, load } => {
                let scarcity = &mut self.routers[router].scarcity;
                scarcity.record_load(load, self.now);
            }
            Event::Tick => self.tick(),
            Event::Gossip => self.gossip(),
        }
    }

    fn arrive(&mut self) {
        if self.second() >= self.run.end_s {
            return;
        }
        let capacity = (self.run.servers * SLOTS) as f64 / (WORK_MS / 1e3);
        let in_crowd = (self.run.crowd_s.0..self.run.crowd_s.1).contains(&self.second());
        let others = (self.run.organisations - 2) as f64;
        let usual = self.run.usual_load * capacity / (1.0 + self.run.large + others);
        let (crowd, hot) = if in_crowd {
            (self.run.crowd, self.run.hot)
        } else {
            (1.0, 1.0)
        };
        let rates = [hot, self.run.large, others].map(|factor| usual * crowd * factor);
        let total: f64 = rates.iter().sum();
        let draw = self.demand.random_range(0.0..total);
        let organisation = if draw < rates[0] {
            HOT
        } else if draw < rates[0] + rates[1] {
            LARGE
        } else {
            self.demand.random_range(LARGE + 1..self.run.organisations)
        };
        let kind = usize::from(self.demand.random_bool(self.run.lookups));
        let id = self.reqs.len();
        self.reqs.push(Req {
            organisation,
            kind,
            router: self.demand.random_range(0..self.run.routers),
            came: self.now,
            attempt: self.now,
            retries: 0,
            rejections: 0,
            excluded: None,
            place: None,
            is_over: false,
        });
        self.outcome.asked += 1;
        self.outcome
            .by_organisation
            .entry(organisation)
            .or_default()
            .0 += 1;
        self.outcome.by_kind[kind].0 += 1;
        self.at(Duration::ZERO, Event::Attempt(id));
        if self.demand.random_bool(self.run.leavers) {
            self.at(Duration::from_millis(350), Event::Leave(id));
        }
        let gap = -(1.0 - self.demand.random::<f64>()).ln() / total;
        self.at(Duration::from_secs_f64(gap), Event::Arrive);
    }

    fn attempt(&mut self, id: usize) {
        if self.reqs[id].is_over {
            return;
        }
        if !self.is_alive(self.reqs[id].router) {
            self.reqs[id].router = self.rng.random_range(1..self.run.routers);
        }
        self.reqs[id].attempt = self.now;
        let router = self.reqs[id].router;
        let pressure = self.routers[router]
            .admission
            .response_time(self.run.servers, self.now)
            .div_duration_f64(TARGET);
        let router = &mut self.routers[router];
        let is_scarce = router.scarcity.update(pressure, self.now);
        let organisation = self.reqs[id].organisation.to_string();
        router.usual.record(&organisation, is_scarce, self.now);
        if is_scarce && self.run.mode == Mode::Lent {
            self.borrow_place(id);
        } else {
            self.send_by_own_choice(id);
        }
    }

    /// Returns the lenders of a random server's pool in their order, as this router sees it.
    fn lenders_of(&mut self, router: usize) -> [Lender; 2] {
        let server = self.rng.random_range(0..self.run.servers);
        let pool = pool_of(server_key(server), pool_count(self.run.servers));
        if self.run.is_split && router.is_multiple_of(2) {
            [(pool, 1), (pool, 0)]
        } else {
            [(pool, 0), (pool, 1)]
        }
    }

    fn borrow_place(&mut self, id: usize) {
        let ask = self.next_ask;
        self.next_ask += 1;
        self.asks.insert(ask, id);
        let router = self.reqs[id].router;
        let lenders = self.lenders_of(router);
        let lender = self.routers[router].borrower.begin(ask, &lenders, self.now);
        match lender {
            Some(lender) => self.send(Duration::ZERO, Event::Ask { lender, id: ask }),
            None => self.send_by_own_choice(id),
        }
    }

    fn lender_asked(&mut self, lender: Lender, id: u64) {
        let req = self.reqs[self.asks[&id]];
        let now = self.now;
        let known = self
            .lenders
            .entry(lender)
            .or_insert_with(|| PlaceLender::new(now));
        known.set_servers(&self.pools[lender.0 as usize], now);
        let organisation = req.organisation.to_string();
        let usual_rate = self.routers[req.router].usual.rate(&organisation);
        let ask = Ask {
            id,
            borrower: req.router,
            kind: req.kind as u32,
            priority: req.kind as u8,
            organisation: req.organisation as u64,
            usual_rate,
            target: req.came + TARGET,
            deadline: req.attempt + DEADLINE,
            excluded: req.excluded.into_iter().collect(),
        };
        let answer = known.ask(ask, &mut self.rng, now);
        self.answer(lender, req.router, id, answer);
        self.poll_lender(lender);
    }

    fn poll_lender(&mut self, lender: Lender) {
        let Some(known) = self.lenders.get_mut(&lender) else {
            return;
        };
        for reply in known.poll(&mut self.rng, self.now) {
            self.answer(lender, reply.borrower, reply.id, reply.answer);
        }
    }

    fn answer(&mut self, lender: Lender, _router: usize, id: u64, answer: Answer) {
        let load = self.lenders[&lender].load();
        let event = Event::Answer {
            lender,
            id,
            answer,
            load,
        };
        if matches!(answer, Answer::Granted { .. }) {
            self.send_twice(event);
        } else {
            self.send(Duration::ZERO, event);
        }
    }

    fn answered(&mut self, lender: Lender, id: u64, answer: Answer, load: f64) {
        let req = self.asks[&id];
        let router = &mut self.routers[self.reqs[req].router];
        router.scarcity.record_load(load, self.now);
        let end = router.borrower.receive(lender, id, answer, self.now);
        match (end, answer) {
            (Some(end), _) => self.borrow_ended(lender, id, end),
            (None, Answer::Granted { .. }) if self.reqs[req].place != Some((lender, id)) => {
                let used = PlaceUse::NotUsed;
                self.send_twice(Event::Done { lender, id, used });
            }
            _ => {}
        }
    }

    fn borrow_ended(&mut self, lender: Lender, id: u64, end: BorrowEnd) {
        let req = self.asks[&id];
        match end {
            BorrowEnd::NoLender => self.send_by_own_choice(req),
            BorrowEnd::Answered(Answer::Granted { server, .. }) => {
                self.reqs[req].place = Some((lender, id));
                self.send_to(req, self.server_of[&server]);
            }
            BorrowEnd::Answered(Answer::Refused { retry_after, .. }) => {
                self.refuse(req, retry_after);
            }
            BorrowEnd::Answered(Answer::Waiting) => unreachable!("waiting ends nothing"),
        }
    }

    fn send_by_own_choice(&mut self, id: usize) {
        let req = self.reqs[id];
        let organisation = req.organisation.to_string();
        let admission = &mut self.routers[req.router].admission;
        let is_admitted = admission.admit(
            &organisation,
            TARGET,
            self.run.servers,
            self.now,
            &mut self.rng,
        );
        if is_admitted {
            let mut server = self.rng.random_range(0..self.run.servers);
            if req.excluded == Some(server_key(server)) {
                server = (server + 1) % self.run.servers;
            }
            self.send_to(id, server);
        } else {
            let ms = self.rng.random_range(300..900);
            self.refuse(id, Duration::from_millis(ms));
        }
    }

    fn send_to(&mut self, req: usize, server: usize) {
        let sent = self.now;
        let event = Event::ServerGets { server, req, sent };
        self.at(Duration::from_millis(1), event);
    }

    fn server_gets(&mut self, server: usize, req: usize, sent: Instant) {
        self.outcome.arrivals += 1;
        if self.servers[server].waiting.len() >= QUEUE {
            self.outcome.rejected += 1;
            self.reply(server, req, sent, true);
            return;
        }
        self.servers[server].waiting.push_back((req, sent));
        self.start_waiting(server);
    }

    fn start_waiting(&mut self, server: usize) {
        let (slots, factor) = if server == 0 {
            (self.run.cold_slots, self.run.slow)
        } else {
            (SLOTS, 1.0)
        };
        while self.servers[server].running < slots {
            let Some((req, sent)) = self.servers[server].waiting.pop_front() else {
                return;
            };
            self.servers[server].running += 1;
            self.outcome.run_twice += u32::from(!self.has_run.insert(req));
            let ms = WORK_MS * factor * self.rng.random_range(0.5..1.5);
            let event = Event::ServerEnds { server, req, sent };
            self.at(Duration::from_secs_f64(ms / 1e3), event);
        }
    }

    fn reply(&mut self, server: usize, req: usize, sent: Instant, is_rejected: bool) {
        let event = Event::RouterGets {
            req,
            server,
            sent,
            is_rejected,
        };
        self.at(Duration::from_millis(1), event);
    }

    fn router_gets(&mut self, id: usize, server: usize, sent: Instant, is_rejected: bool) {
        if !self.is_alive(self.reqs[id].router) {
            self.reqs[id].is_over = true;
            return;
        }
        let router = &mut self.routers[self.reqs[id].router];
        let key = server_key(server);
        if is_rejected {
            router.admission.record_rejection(key, TARGET, self.now);
            router.scarcity.record_rejection(self.now);
        } else {
            let time = self.now.duration_since(sent);
            router
                .admission
                .record_response(key, time, TARGET, self.now);
        }
        let used = if is_rejected {
            PlaceUse::Rejected
        } else {
            let response = self.now.duration_since(sent);
            PlaceUse::Ended { response }
        };
        if let Some((lender, ask)) = self.reqs[id].place.take() {
            self.send_twice(Event::Done {
                lender,
                id: ask,
                used,
            });
        }
        if is_rejected {
            self.reqs[id].rejections += 1;
            self.reqs[id].excluded = Some(key);
            if self.reqs[id].rejections >= 2 {
                let ms = self.rng.random_range(150..600);
                self.refuse(id, Duration::from_millis(ms));
            } else if self.run.mode == Mode::Lent {
                self.borrow_place(id);
            } else {
                self.send_by_own_choice(id);
            }
            return;
        }
        let req = &mut self.reqs[id];
        if std::mem::replace(&mut req.is_over, true) {
            return;
        }
        let (time, last) = (self.now - req.came, self.now - req.attempt);
        if last > DEADLINE {
            self.outcome.overdue += 1;
            return;
        }
        if time <= TARGET {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
        self.outcome.by_kind[req.kind].1 += 1;
        let counts = self.outcome.by_organisation.entry(req.organisation);
        counts.or_default().1 += 1;
    }

    /// Refuses an attempt; callers come back once.
    fn refuse(&mut self, id: usize, retry_after: Duration) {
        let req = &mut self.reqs[id];
        if req.is_over {
            return;
        }
        self.outcome.refusals += 1;
        self.outcome.late_refusals += u32::from(self.now - req.attempt > TARGET);
        if req.retries > 0 {
            req.is_over = true;
            self.outcome.refused_by_kind[req.kind] += 1;
            self.outcome.refused += 1;
            return;
        }
        req.retries += 1;
        req.rejections = 0;
        req.excluded = None;
        req.router = self.rng.random_range(0..self.run.routers);
        self.at(retry_after, Event::Attempt(id));
    }

    fn leave(&mut self, id: usize) {
        if std::mem::replace(&mut self.reqs[id].is_over, true) {
            return;
        }
        self.outcome.left += 1;
        let router = self.reqs[id].router;
        let asks = self.asks.iter().filter(|(_, req)| **req == id);
        for ask in asks.map(|(ask, _)| *ask).collect::<Vec<_>>() {
            if let Some(lender) = self.routers[router].borrower.withdraw(ask) {
                self.send(Duration::ZERO, Event::Withdraw { lender, id: ask });
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..self.routers.len() {
            if !self.is_alive(index) {
                continue;
            }
            for step in self.routers[index].borrower.poll(self.now) {
                match step {
                    BorrowStep::Send { to, id } => {
                        self.send(Duration::ZERO, Event::Ask { lender: to, id });
                    }
                    BorrowStep::End { id, end } => self.borrow_ended((0, 0), id, end),
                }
            }
        }
        for lender in self.lenders.keys().copied().collect::<Vec<_>>() {
            if !self.lends(lender) {
                continue;
            }
            self.poll_lender(lender);
            let known = self.lenders.get_mut(&lender);
            let notice = known.and_then(|known| known.take_notice(self.now));
            for _receiver in 0..notice.map_or(0, |_| notice_receivers(self.run.routers)) {
                let router = self.rng.random_range(0..self.run.routers);
                let load = notice.unwrap_or_default();
                self.send(Duration::ZERO, Event::Notice { router, load });
            }
        }
        self.at(TICK, Event::Tick);
    }

    fn gossip(&mut self) {
        for from in 0..self.routers.len() {
            let admission = &mut self.routers[from].admission;
            let mut report = admission.take_report(self.run.routers as u32);
            report.sort_unstable_by_key(|times| times.server);
            let report: Vec<_> = report
                .sample(&mut self.rng, MAX_REPORTED)
                .copied()
                .collect();
            for _receiver in 0..4 {
                let to = self.rng.random_range(0..self.run.routers);
                for times in &report {
                    self.routers[to].admission.merge(*times, self.now);
                }
            }
        }
        self.at(ROUND, Event::Gossip);
    }
}
