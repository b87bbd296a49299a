//! A cold server gets no more requests in any second than it takes, summed over all routers.
//!
//! Patterns: fleets of 1 to 1,000 routers that discover each other with datagrams lost; all of them restarted while
//! every server is cold; a third of the servers cold at once; servers that become cold silently or restart under
//! their ids; entries that arrive late.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    cold_server::{ColdAllowance, ColdDemand, ColdEvidence, ColdServer, Room},
    fleet_share::{FleetMembers, FleetPosition},
    server_health::ServerHealth,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: usize = 100;
/// Steps of a gossip round.
const ROUND_STEPS: usize = 25;
const PEERS_PER_ROUND: usize = 4;
const PEERS_PER_DATAGRAM: usize = 96;
const SEEDS: u64 = 3;
/// Longest time from the sending of a request to its arrival, in steps.
const TRANSIT_STEPS: usize = 4;
/// Interval of the heartbeats that write entries, in steps.
const HEARTBEAT_STEPS: usize = 120;
/// Longest time for which a router gathers changes of entries, in steps.
const COALESCING_STEPS: usize = 160;

/// How servers become cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Turn {
    /// They start, and routers use them as soon as they know their entries.
    Start,
    /// They were warm and keep serving.
    Unannounced,
    /// They crash, and restart two seconds later under their ids.
    Restart,
}

#[derive(Clone, Debug)]
struct Run {
    routers: usize,
    /// Servers that become cold, and others, which are warm.
    cold: usize,
    warm: usize,
    turn: Turn,
    /// Requests a second that a cold server takes.
    rate: f64,
    /// Requests a second for each server.
    demand: f64,
    /// Steps at which the servers become cold and warm again, and at which the run ends.
    cold_from: usize,
    cold_until: usize,
    end: usize,
    /// Step from which the bound is checked.
    checked_from: usize,
    /// Step at which all routers are restarted.
    restart: usize,
    /// Fraction of the datagrams that are lost.
    lost: f64,
    seed: u64,
}

#[derive(Debug)]
struct Router {
    known: Vec<u64>,
    is_known: Vec<bool>,
    members: FleetMembers<u64>,
    view: Vec<u64>,
    servers: Vec<(ColdServer, ServerHealth)>,
    /// Step at which it learns the entries of the cold servers.
    learns: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Most requests that arrived at a cold server within a second.
    worst: usize,
    /// Requests to cold servers while they were cold, as a fraction of what they take.
    used: f64,
    sent: usize,
    refused: usize,
}

impl Run {
    fn bound(&self) -> usize {
        (self.rate * 1.5 + 5.0) as usize
    }
}

fn router(id: u64, run: &Run, now: Instant, learns: usize, rng: &mut Pcg64) -> Router {
    let fleet = run.routers as u64;
    let mut router = Router {
        known: Vec::new(),
        is_known: vec![false; run.routers],
        members: FleetMembers::new(id, now),
        view: Vec::new(),
        servers: vec![Default::default(); run.cold],
        learns,
    };
    let seeds: Vec<u64> = (0..SEEDS).map(|_| rng.random_range(0..fleet)).collect();
    router.learn(seeds.into_iter().chain([id]));
    router
}

impl Router {
    fn learn(&mut self, routers: impl Iterator<Item = u64>) {
        for id in routers {
            if !std::mem::replace(&mut self.is_known[id as usize], true) {
                self.known.push(id);
            }
        }
    }
}

/// Runs a gossip round: each router names others to a few peers.
fn gossip(fleet: &mut [Router], run: &Run, now: Instant, rng: &mut Pcg64) {
    for sender in 0..fleet.len() {
        let known = fleet[sender].known.clone();
        let told: Vec<u64> = known.sample(rng, PEERS_PER_DATAGRAM).copied().collect();
        let receivers = known.sample(rng, PEERS_PER_ROUND);
        for receiver in receivers.copied().collect::<Vec<_>>() {
            if !rng.random_bool(run.lost) {
                let told = told.iter().copied().chain([sender as u64]);
                fleet[receiver as usize].learn(told);
            }
        }
    }
    for router in fleet {
        if router.members.observe(router.known.iter().copied(), now) {
            router.view = router.members.members();
        }
    }
}

fn play(run: &Run) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(run.seed);
    let allowance = ColdAllowance::new(run.rate).expect("the rate is positive");
    let cold_time = STEP * (run.cold_until - run.cold_from) as u32;
    let mut now = Instant::now();
    let heartbeat = rng.random_range(1..=HEARTBEAT_STEPS);
    let mut fleet = Vec::new();
    let mut arrivals = vec![vec![0; run.end + TRANSIT_STEPS + 1]; run.cold];
    let mut outcome = Outcome::default();
    for step in 0..run.end {
        now += STEP;
        if step == 0 || step == run.restart {
            fleet = (0..run.routers as u64)
                .map(|id| {
                    let told = rng.random_range(0..=COALESCING_STEPS);
                    let learns = match run.turn {
                        Turn::Start => run.cold_from.max(step) + told,
                        Turn::Unannounced | Turn::Restart => run.cold_from + heartbeat + told,
                    };
                    router(id, run, now, learns, &mut rng)
                })
                .collect();
        }
        if step % ROUND_STEPS == 0 {
            gossip(&mut fleet, run, now, &mut rng);
        }
        for router in fleet.iter_mut().filter(|router| router.learns == step) {
            let left = run.cold_until.saturating_sub(step);
            for (cold, _) in &mut router.servers {
                cold.record_statement(STEP * left as u32, ColdEvidence::Entry, now);
            }
        }
        let expected = run.demand * (run.cold + run.warm) as f64 * STEP.as_secs_f64();
        let requests = expected as u32 + u32::from(rng.random_bool(expected.fract()));
        for _request in 0..requests {
            let index = rng.random_range(0..fleet.len());
            let router = &mut fleet[index];
            let is_known = run.turn != Turn::Start || step >= router.learns;
            let usable: Vec<usize> = (0..run.cold)
                .filter(|server| {
                    let (cold, health) = &router.servers[*server];
                    let position = router
                        .members
                        .is_settled()
                        .then(|| FleetPosition::ranked(index as u64, &router.view, *server as u64));
                    let room = cold.room(allowance, position, now);
                    is_known && !matches!(room, Room::UsedUp { .. }) && !health.is_backing_off(now)
                })
                .chain(run.cold..run.cold + run.warm)
                .collect();
            // Servers that have just started are idle, which attracts requests.
            let idle: Vec<usize> = usable
                .iter()
                .copied()
                .filter(|server| *server < run.cold)
                .collect();
            let choices = if run.turn == Turn::Unannounced || idle.is_empty() {
                usable
            } else {
                idle
            };
            let Some(server) = choices.choose(&mut rng).copied() else {
                outcome.refused += 1;
                continue;
            };
            outcome.sent += 1;
            let Some((cold, health)) = router.servers.get_mut(server) else {
                continue;
            };
            cold.record_sent(allowance, now);
            let is_down = run.turn == Turn::Restart
                && (run.cold_from.saturating_sub(2 * STEPS_PER_SECOND)..run.cold_from)
                    .contains(&step);
            if is_down {
                cold.record_unreachable(cold_time, now);
                health.record_unreachable(now);
            } else {
                cold.record_response(cold_time, now);
                health.record_success(now);
                arrivals[server][step + rng.random_range(0..=TRANSIT_STEPS)] += 1;
            }
        }
    }
    for server in &arrivals {
        let while_cold = &server[run.cold_from..run.cold_until];
        let checked = &server[run.cold_from.max(run.checked_from)..run.cold_until];
        let worst = checked
            .windows(STEPS_PER_SECOND)
            .map(|second| second.iter().sum());
        outcome.worst = outcome.worst.max(worst.max().unwrap_or(0));
        outcome.used += while_cold.iter().sum::<usize>() as f64;
    }
    outcome.used /= run.rate * cold_time.as_secs_f64() * run.cold as f64;
    outcome
}

/// A fleet that restarts while all servers are cold, with more requests than they take.
fn everything_cold(routers: usize, seed: u64) -> Run {
    Run {
        routers,
        cold: 4,
        warm: 0,
        turn: Turn::Start,
        rate: 14.0,
        demand: 60.0,
        cold_from: 0,
        cold_until: 600,
        end: 600,
        checked_from: 0,
        restart: 0,
        lost: 0.1,
        seed,
    }
}

fn assert_bound_kept(run: &Run) -> Outcome {
    let outcome = play(run);
    println!(
        "{:?} of {}: {outcome:?} {run:?}",
        outcome.worst,
        run.bound()
    );
    assert!(
        outcome.worst <= run.bound(),
        "{} of {}: {run:?}",
        outcome.worst,
        run.bound()
    );
    outcome
}

#[rstest]
fn a_cold_server_gets_no_more_than_it_bears_while_all_routers_restart(
    #[values(1, 2, 5, 22, 31, 100, 300, 1_000)] routers: usize,
) {
    if routers > 100 {
        let end = if routers > 300 { 400 } else { 500 };
        assert_bound_kept(&Run {
            cold_until: end,
            end,
            ..everything_cold(routers, 0)
        });
        return;
    }
    for seed in 0..if routers > 50 { 4 } else { 10 } {
        assert_bound_kept(&everything_cold(routers, seed));
        // The second restart finds servers that the processes before have just sent to.
        let restarted = Run {
            restart: 300,
            ..everything_cold(routers, seed)
        };
        assert_bound_kept(&restarted);
    }
}

#[rstest]
fn a_domain_that_returns_cold_is_used_within_its_bounds(
    #[values(1, 5, 22, 31)] routers: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    let run = Run {
        cold: 14,
        warm: 27,
        demand: 20.0,
        cold_from: 300,
        cold_until: 800,
        end: 1_100,
        ..everything_cold(routers, seed)
    };
    let outcome = assert_bound_kept(&run);
    assert!(outcome.used > 0.5, "{outcome:?}");
    assert_eq!(outcome.refused, 0);
}

#[rstest]
#[case::usual(8.0, Turn::Unannounced, 0)]
// Before the first entry that states it, nothing shows that a server in a crowd has become cold.
#[case::crowd(20.0, Turn::Unannounced, HEARTBEAT_STEPS + COALESCING_STEPS)]
#[case::restart(8.0, Turn::Restart, 0)]
#[case::restart_in_a_crowd(20.0, Turn::Restart, 0)]
fn a_server_that_turns_cold_unannounced_is_not_overrun_once_it_is_known(
    #[case] demand: f64,
    #[case] turn: Turn,
    #[case] unknown_steps: usize,
) {
    for seed in 0..20 {
        let run = Run {
            cold: 1,
            warm: 40,
            turn,
            demand,
            cold_from: 500,
            cold_until: 1_000,
            end: 1_000,
            checked_from: 500 + unknown_steps,
            ..everything_cold(22, seed)
        };
        assert_bound_kept(&run);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_start_of_cold_servers_is_overrun(
        routers in 1_usize..60,
        rate in 0.2_f64..60.0,
        cold_from in 0_usize..400,
        restart in 0_usize..600,
        lost in 0.0_f64..0.4,
        seed: u64,
    ) {
        let cold_until = cold_from + 400;
        let run = Run {
            rate, cold_from, restart, lost, cold_until, end: cold_until + 100,
            ..everything_cold(routers, seed)
        };
        assert_bound_kept(&run);
    }

    #[test]
    fn shares_of_routers_with_the_same_view_add_up_to_all_units(
        members in prop::collection::hash_set(any::<u64>(), 1..400),
        units in 0_u32..2_000,
        item: u64,
    ) {
        let members: Vec<u64> = members.into_iter().collect();
        let shares = members.iter().map(|own| FleetPosition::ranked(*own, &members, item).share(units));
        prop_assert_eq!(shares.sum::<u32>(), units);
    }
}

const ALONE: Option<FleetPosition> = Some(FleetPosition {
    rank: 0,
    members: 1,
});

#[test]
fn the_allowance_doubles_after_the_end_until_it_is_lifted() {
    let allowance = ColdAllowance::new(4.0).expect("the rate is positive");
    let (start, mut server) = (Instant::now(), ColdServer::default());
    assert_eq!(server.room(allowance, ALONE, start), Room::Unlimited);
    assert!(server.record_statement(Duration::from_secs(3), ColdEvidence::Entry, start));
    let free = |ms| server.room(allowance, ALONE, start + Duration::from_millis(ms));
    for (ms, expected) in [(0, 4), (3_200, 4), (3_400, 8), (4_400, 16), (5_400, 32)] {
        assert_eq!(free(ms), Room::Cold { free: expected }, "after {ms} ms");
    }
    assert_eq!(free(6_400), Room::Unlimited);
    // Its own statement that it is warm begins the ramp.
    server.record_statement(Duration::ZERO, ColdEvidence::Entry, start);
    assert_eq!(server.room(allowance, ALONE, start), Room::Cold { free: 8 });
}

#[test]
fn absurd_statements_end_and_no_rate_is_no_limit() {
    let (start, mut server) = (Instant::now(), ColdServer::default());
    server.record_statement(Duration::MAX, ColdEvidence::Response, start);
    assert!(server.cold(start + Duration::from_mins(1)).is_some());
    assert!(server.cold(start + Duration::from_mins(3)).is_none());
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(ColdAllowance::new(rate), None, "{rate}");
    }
}

#[test]
fn what_is_assumed_yields_to_the_servers_statement() {
    let allowance = ColdAllowance::new(1.0).expect("the rate is positive");
    let (now, mut server) = (Instant::now(), ColdServer::default());
    server.record_unreachable(Duration::from_secs(9), now);
    server.record_sent(allowance, now);
    let used_up = |is_assumed| Room::UsedUp {
        next: Duration::from_millis(1_050),
        is_assumed,
    };
    assert_eq!(server.room(allowance, ALONE, now), used_up(true));
    server.record_statement(Duration::from_secs(9), ColdEvidence::Entry, now);
    assert_eq!(server.room(allowance, ALONE, now), used_up(false));
    server.record_statement(Duration::ZERO, ColdEvidence::Entry, now);
    assert!(server.cold(now).is_none());
}

/// A server that has restarted would get a whole allowance more than it bears.
#[test]
fn what_was_sent_before_a_restart_was_known_counts() {
    let allowance = ColdAllowance::new(1.0).expect("the rate is positive");
    let (now, mut server) = (Instant::now(), ColdServer::default());
    server.record_sent(allowance, now);
    let mut restarted = server.after_restart();
    assert_eq!(restarted.room(allowance, ALONE, now), Room::Unlimited);
    restarted.record_statement(Duration::from_secs(9), ColdEvidence::Entry, now);
    let used_up = Room::UsedUp {
        next: Duration::from_millis(1_050),
        is_assumed: false,
    };
    assert_eq!(restarted.room(allowance, ALONE, now), used_up);
}

#[test]
fn less_urgent_requests_leave_units_to_more_urgent_ones() {
    let (now, mut demand) = (Instant::now(), ColdDemand::default());
    for priority in [0, 0, 0, 0, 0, 2, 2] {
        demand.record(priority, now);
    }
    assert_eq!(
        [0, 1, 2].map(|priority| demand.reserved(priority, now)),
        [0, 2, 2]
    );
    assert_eq!(demand.reserved(2, now + Duration::from_secs(1)), 0);
}

// Each datagram repeats the withdrawal of an order; it must not undo what the server has stated since.
#[test]
fn a_server_that_states_to_be_warm_after_its_domain_returned_stays_warm() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut server = ColdServer::default();
    assert!(server.record_domain_returned(Duration::from_secs(6), start, at(10)));
    assert!(server.is_stated(at(20)));
    server.record_statement(Duration::ZERO, ColdEvidence::Entry, at(1_500));
    assert!(!server.record_domain_returned(Duration::from_secs(6), start, at(1_510)));
    assert!(!server.is_stated(at(1_520)));
    // A later withdrawal counts.
    assert!(server.record_domain_returned(Duration::from_secs(6), at(4_000), at(4_010)));
    assert!(server.is_stated(at(4_020)));
}

// A service whose servers take many requests even when they are cold, in a fleet of one router.
#[rstest]
#[case(200.0)]
#[case(257.0)]
#[case(1_000.0)]
fn a_large_share_is_a_limit_too(#[case] rate: f64) {
    let allowance = ColdAllowance::new(rate).expect("the rate is positive");
    let (start, mut server) = (Instant::now(), ColdServer::default());
    server.record_statement(Duration::from_secs(6), ColdEvidence::Entry, start);
    let sent = (0..5_000)
        .map(|offered| start + Duration::from_micros(offered * 200))
        .filter(|now| {
            let is_sent = matches!(server.room(allowance, ALONE, *now), Room::Cold { .. });
            if is_sent {
                server.record_sent(allowance, *now);
            }
            is_sent
        });
    assert!(sent.count() as f64 <= rate * 1.5 + 5.0);
}
