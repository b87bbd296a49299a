//! Routers together stay within a server's limit, and each of them gets a part of it.
//!
//! Patterns: fleets of 1 to 1,000 routers, with one request a second each or all of them at one router; all servers
//! limited; messages late or lost; limits that change; routers that start and die; a fleet that is cut in two.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    fleet_share::FleetPosition,
    server_limit::{LOAN_TIME, LimitShare, LoanAnswer, LoanAsk, MIN_RATE, Quota, UnitRoom},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_secs(4);
/// Times after which an ask without an answer is repeated, and given up at last.
const REPEAT_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(15),
    Duration::from_millis(30),
];
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Time from its start until a router takes units.
const SETTLING_TIME: Duration = Duration::from_millis(1_050);

fn allowed(rate: f64) -> usize {
    (rate * 1.5 * SPAN.as_secs_f64() + 5.0) as usize
}

/// Where the requests of a fleet come in.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    /// At all routers alike, so many a second each.
    Even(f64),
    /// At one router only.
    AtOne(f64),
}

/// A fleet of routers and servers that all name the same limit.
#[derive(Clone, Copy, Debug)]
struct Play {
    routers: usize,
    servers: usize,
    rate: f64,
    demand: Demand,
    /// Part of the messages that are lost, and of the others that are late.
    loss: f64,
    /// Time at which the limit changes to another one.
    change: Option<(Duration, f64)>,
    /// Interval at which a router restarts, as another member.
    restart: Option<Duration>,
    /// Time from which the halves of the fleet cannot reach each other.
    cut: Option<Duration>,
    length: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            routers: 4,
            servers: 13,
            rate: 3.4,
            demand: Demand::Even(10.0),
            loss: 0.0,
            change: None,
            restart: None,
            cut: None,
            length: Duration::from_secs(20),
        }
    }
}

struct Router {
    /// Name by which it is ranked.
    name: u64,
    started: Instant,
    shares: Vec<LimitShare>,
    served: u32,
    refused: u32,
}

impl Router {
    fn new(name: u64, started: Instant, play: &Play, rate: f64) -> Self {
        Self {
            name,
            started,
            shares: vec![LimitShare::new(rate); play.servers],
            served: 0,
            refused: 0,
        }
    }

    fn is_settled(&self, now: Instant) -> bool {
        now >= self.started + SETTLING_TIME
    }
}

#[derive(Debug, Default)]
struct Totals {
    /// Requests that were served by each router at the end.
    served: Vec<u32>,
    refused: u32,
    /// Requests at each server with their times.
    arrivals: Vec<Vec<Duration>>,
}

impl Totals {
    /// Returns the most requests that a server got in a span that begins at `from` or later.
    fn worst(&self, from: Duration) -> usize {
        let worst = self.arrivals.iter().map(|arrivals| {
            let mut span = VecDeque::new();
            let mut most = 0;
            for at in arrivals.iter().filter(|at| **at >= from) {
                span.push_back(*at);
                while span.front().is_some_and(|first| *first + SPAN <= *at) {
                    span.pop_front();
                }
                most = most.max(span.len());
            }
            most
        });
        worst.max().unwrap_or(0)
    }

    fn total(&self) -> u32 {
        let arrivals = self.arrivals.iter().map(Vec::len);
        arrivals.sum::<usize>() as u32
    }
}

fn play(play: &Play, seed: u64) -> Totals {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let long_ago = start.checked_sub(SETTLING_TIME * 2).unwrap_or(start);
    let mut rate = play.rate;
    let mut names: Vec<u64> = (0..play.routers as u64).collect();
    let mut routers: Vec<_> = names
        .iter()
        .map(|name| Router::new(*name, long_ago, play, rate))
        .collect();
    let mut totals = Totals {
        arrivals: vec![Vec::new(); play.servers],
        ..Totals::default()
    };
    let steps = play.length.div_duration_f64(STEP) as u32;
    let mut ranks = Ranks::default();
    for step in 0..steps {
        let at = STEP * step;
        let now = start + at;
        if let Some((when, changed)) = play.change
            && (when..when + STEP).contains(&at)
        {
            rate = changed;
            for share in routers.iter_mut().flat_map(|router| &mut router.shares) {
                share.set_rate(rate);
            }
        }
        let is_restart =
            |every: Duration| step > 0 && at.as_millis().is_multiple_of(every.as_millis());
        if play.restart.is_some_and(is_restart) {
            // The ended one remains a member for long.
            let index = rng.random_range(0..routers.len());
            let name = names.len() as u64;
            names.push(name);
            routers[index] = Router::new(name, now, play, rate);
            ranks = Ranks::default();
        }
        let (count, at_one) = match play.demand {
            Demand::Even(each) => (each * play.routers as f64, false),
            Demand::AtOne(all) => (all, true),
        };
        let expected = count * STEP.as_secs_f64();
        let requests = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        for _ in 0..requests {
            let router = if at_one {
                0
            } else {
                rng.random_range(0..routers.len())
            };
            let mut fleet = Fleet {
                play,
                routers: &mut routers,
                names: &names,
                ranks: &mut ranks,
                at,
            };
            match fleet.send(router, &mut rng, now) {
                Some((server, delay)) => {
                    totals.arrivals[server].push(at + delay);
                    routers[router].served += 1;
                }
                None => routers[router].refused += 1,
            }
        }
    }
    for arrivals in &mut totals.arrivals {
        arrivals.sort_unstable();
    }
    totals.served = routers.iter().map(|router| router.served).collect();
    totals.refused = routers.iter().map(|router| router.refused).sum();
    totals
}

/// Ranks of all members for each server, as they are used often.
#[derive(Default)]
struct Ranks(Vec<Vec<u64>>);

impl Ranks {
    /// Returns the members in the order of their ranks.
    fn of(&mut self, names: &[u64], servers: usize, server: usize) -> &[u64] {
        if self.0.is_empty() {
            let ranked = (0..servers as u64).map(|server| {
                let mut ranked = names.to_vec();
                ranked.sort_by_cached_key(|name| FleetPosition::ranked(*name, names, server).rank);
                ranked
            });
            self.0 = ranked.collect();
        }
        &self.0[server]
    }
}

struct Fleet<'a> {
    play: &'a Play,
    routers: &'a mut [Router],
    names: &'a [u64],
    ranks: &'a mut Ranks,
    at: Duration,
}

impl Fleet<'_> {
    fn position(&mut self, router: usize, server: usize, now: Instant) -> Option<FleetPosition> {
        if !self.routers[router].is_settled(now) {
            return None;
        }
        let name = self.routers[router].name;
        let ranked = self.ranks.of(self.names, self.play.servers, server);
        let rank = ranked.iter().position(|member| *member == name)?;
        Some(FleetPosition {
            rank: rank as u32,
            members: ranked.len() as u32,
        })
    }

    /// Sends a request if the router has or borrows a unit; returns the server and the delay.
    fn send(&mut self, router: usize, rng: &mut Pcg64, now: Instant) -> Option<(usize, Duration)> {
        let mut free = Vec::new();
        for server in 0..self.play.servers {
            let position = self.position(router, server, now);
            if self.routers[router].shares[server].room(position, rng, now) == UnitRoom::Free {
                free.push(server);
            }
        }
        if let Some(server) = free.choose(rng) {
            let position = self.position(router, *server, now);
            assert!(self.routers[router].shares[*server].take(position, now));
            return Some((*server, Duration::ZERO));
        }
        self.ask(router, rng, now)
    }

    /// Asks a random owner of a random server's units.
    fn ask(&mut self, router: usize, rng: &mut Pcg64, now: Instant) -> Option<(usize, Duration)> {
        let server = rng.random_range(0..self.play.servers);
        let rate = self.routers[router].shares[server].rate();
        let members = self.names.len() as u32;
        let owners = Quota::new(rate, members).owners(members) as usize;
        let ranked = self.ranks.of(self.names, self.play.servers, server);
        let names: Vec<u64> = ranked[..owners].to_vec();
        let is_alive = |name: &u64| self.routers.iter().position(|r| r.name == *name);
        let alive: Vec<usize> = names.iter().filter_map(is_alive).collect();
        let owner = *alive.choose(rng)?;
        let half = |index: usize| index < self.play.routers / 2;
        let is_cut = self.play.cut.is_some_and(|cut| self.at >= cut);
        if owner == router || (is_cut && half(owner) != half(router)) {
            return None;
        }
        let ask = LoanAsk {
            id: rng.random(),
            has_share: self
                .position(router, server, now)
                .is_some_and(|position| position.rank < owners as u32),
        };
        let mut delay = || match rng.random::<f64>() {
            draw if draw < self.play.loss => None,
            draw if draw < 2.0 * self.play.loss => Some(Duration::from_millis(300)),
            _ => Some(Duration::from_millis(2)),
        };
        let mut first: Option<(Duration, LoanAnswer)> = None;
        for repeated in REPEAT_TIMES {
            if first.is_some_and(|(delay, _)| delay <= repeated) {
                break;
            }
            let Some(asked) = delay().map(|there| repeated + there) else {
                continue;
            };
            let position = self.position(owner, server, now + asked);
            let share = &mut self.routers[owner].shares[server];
            let answer = share.lend(ask, position, now + asked);
            let answered = delay().map(|back| (asked + back, answer));
            first = first
                .into_iter()
                .chain(answered)
                .min_by_key(|(delay, _)| *delay);
        }
        let (delay, answer) = first?;
        (answer == LoanAnswer::Lent && delay <= ANSWER_TIME).then_some((server, delay))
    }
}

/// Routers that each kept a server's limit for themselves would send many times as much together.
#[rstest]
fn a_limit_holds_for_all_routers_together_and_is_used(
    #[values(1, 2, 4, 30, 300, 1_000)] routers: usize,
    #[values(0.3, 3.4, 40.0)] rate: f64,
    #[values(0.0, 0.1)] loss: f64,
) {
    let settings = Play {
        routers,
        rate,
        loss,
        servers: 6,
        demand: Demand::Even((60.0 * rate / routers as f64).max(1.0)),
        ..Play::default()
    };
    let totals = play(&settings, 7);
    let worst = totals.worst(Duration::ZERO);
    assert!(worst <= allowed(rate), "{worst} requests");
    let used = f64::from(totals.total()) / (rate * 6.0 * settings.length.as_secs_f64());
    assert!(used > 0.6, "{used} of the limit is used");
}

/// A router without a unit of its own would never serve while all servers are limited.
#[rstest]
fn no_router_with_demand_is_starved(#[values(4, 30, 300)] routers: usize) {
    let settings = Play {
        routers,
        rate: 3.0,
        servers: 10,
        demand: Demand::Even(1.0),
        length: Duration::from_secs(routers as u64 * 2).max(Duration::from_secs(40)),
        ..Play::default()
    };
    let totals = play(&settings, 11);
    // What the servers take in this time would be enough for each router to serve many.
    let mean = f64::from(totals.total()) / routers as f64;
    assert!(mean >= 10.0, "{mean}");
    let least = totals.served.iter().min().copied().unwrap_or(0);
    assert!(f64::from(least) >= 0.1 * mean, "{least} of {mean}");
}

/// Equal shares would leave most of a limit unused if all callers come to one router.
#[rstest]
fn a_router_with_all_of_the_demand_gets_most_of_the_limit(
    #[values(2, 4, 30, 300)] routers: usize,
    #[values(0.0, 0.1)] loss: f64,
) {
    let settings = Play {
        routers,
        loss,
        rate: 3.0,
        servers: 4,
        demand: Demand::AtOne(120.0),
        ..Play::default()
    };
    let totals = play(&settings, 13);
    assert!(totals.worst(Duration::ZERO) <= allowed(3.0));
    let used = f64::from(totals.total()) / (12.0 * settings.length.as_secs_f64());
    assert!(used > 0.5, "{used} of the limit is used");
}

/// Routers that start, die or are cut off would use the units of others besides their own.
#[rstest]
fn a_limit_holds_while_routers_restart_and_cannot_reach_each_other(
    #[values(3, 30, 300)] routers: usize,
    #[values(None, Some(Duration::from_secs(8)))] cut: Option<Duration>,
    #[values(0.5, 3.4)] rate: f64,
) {
    let settings = Play {
        routers,
        cut,
        rate,
        loss: 0.05,
        servers: 5,
        restart: Some(Duration::from_millis(1_500)),
        ..Play::default()
    };
    let totals = play(&settings, 17);
    let worst = totals.worst(Duration::ZERO);
    assert!(worst <= allowed(rate), "{worst} requests");
    assert!(totals.total() > 0);
}

/// A lower limit holds within the time that servers allow, although units of the higher one are in use.
#[rstest]
fn a_changed_limit_holds(
    #[values(4, 100)] routers: usize,
    #[values((6.0, 1.5), (1.0, 8.0), (2.0, 0.2))] (from, to): (f64, f64),
) {
    let change = Duration::from_secs(8);
    let settings = Play {
        routers,
        rate: from,
        servers: 5,
        demand: Demand::Even(60.0 / routers as f64),
        change: Some((change, to)),
        ..Play::default()
    };
    let totals = play(&settings, 19);
    assert!(totals.worst(Duration::ZERO) <= allowed(from.max(to)));
    assert!(totals.worst(change + Duration::from_secs(3)) <= allowed(to));
}

#[test]
fn absurd_rates_leave_a_unit_now_and_then() {
    let quota = Quota::new(0.0, 5);
    assert_eq!(quota.units, 1);
    assert_eq!(quota.window, Duration::from_secs_f64(1.0 / MIN_RATE));
    assert!(Quota::new(1e300, 5).units >= 1_000_000);
}

/// A unit that is lent may be used until its time is over; used again before a window after that, it would be doubled.
#[test]
fn a_lent_unit_is_free_a_window_after_its_last_use() {
    let now = Instant::now();
    let position = Some(FleetPosition {
        rank: 0,
        members: 1,
    });
    let mut share = LimitShare::new(1.0);
    let ask = LoanAsk {
        id: 1,
        has_share: false,
    };
    assert_eq!(share.lend(ask, position, now), LoanAnswer::Lent);
    // An ask that is repeated, as its answer may be lost, gets the same unit.
    assert_eq!(share.lend(ask, position, now), LoanAnswer::Lent);
    let other = LoanAsk { id: 2, ..ask };
    assert_ne!(share.lend(other, position, now), LoanAnswer::Lent);
    let window = Duration::from_secs(1);
    assert!(!share.take(position, now + window));
    assert!(share.take(position, now + window + LOAN_TIME));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any fleet keeps any limit, whatever messages are lost.
    #[test]
    fn a_limit_holds_in_any_fleet(
        routers in 1_usize..200,
        servers in 1_usize..8,
        rate in 0.05_f64..30.0,
        each in 0.2_f64..20.0,
        loss in 0.0_f64..0.4,
        restarts in proptest::option::of(500_u64..5_000),
        seed in any::<u64>(),
    ) {
        let settings = Play {
            routers,
            servers,
            rate,
            loss,
            demand: Demand::Even(each),
            restart: restarts.map(|ms| Duration::from_millis(ms / 10 * 10)),
            length: Duration::from_secs(12),
            ..Play::default()
        };
        let worst = play(&settings, seed).worst(Duration::ZERO);
        prop_assert!(worst <= allowed(rate), "{} requests, {} allowed", worst, allowed(rate));
    }
}
