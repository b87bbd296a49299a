//! A change of the store is known at all routers in time though every call that waits for it has gone silent.

use std::time::{Duration, Instant};

use bulrushward_policy::{fleet_turns::FleetTurns, store_wait::WaitLog};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use rstest::rstest;

/// Time step of the model.
const STEP: u64 = 5;
/// Bound within which a configuration must be in force, and an order to empty a failure domain known.
const BOUND: u64 = 2_000;
/// Interval of the checks of a fleet, and of the rounds of gossip.
const CHECK_INTERVAL: u64 = 400;
const ROUND: u64 = 250;
const PEERS_PER_ROUND: usize = 4;
const PEERS_AT_ONCE: usize = 6;
/// Time for which news are told.
const TELL_TIME: u64 = 1_500;
/// Time of a call, and of a datagram.
const CALL: u64 = 20;
const DATAGRAM: u64 = 10;
const LOSS: f64 = 0.25;
/// Largest difference of a clock from the true time.
const CLOCK_SKEW: u64 = 100;

struct Router {
    hash: u64,
    clock: u64,
    next_check: u64,
    next_round: u64,
    /// When a call ends by which the change becomes known.
    known_at: Option<u64>,
    /// When a check has shown that the waiting call has lost its response.
    lost_at: Option<u64>,
    is_known: bool,
}

/// Returns after which time all routers know a change that is made `phase` ms after the waiting calls went silent.
fn time_to_know(routers: usize, gone: usize, phase: u64, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let turns = FleetTurns::new(Duration::from_millis(CHECK_INTERVAL));
    let hashes: Vec<u64> = (0..routers + gone).map(|_| rng.random()).collect();
    let until_next = |router: &Router, now: u64| {
        let time_of_day = Duration::from_millis(router.clock + now);
        turns
            .until_next(router.hash, &hashes, time_of_day)
            .as_millis() as u64
    };
    let mut fleet: Vec<Router> = hashes[..routers]
        .iter()
        .map(|hash| Router {
            hash: *hash,
            clock: 1_000_000 + rng.random_range(0..=2 * CLOCK_SKEW),
            next_check: 0,
            next_round: rng.random_range(0..ROUND),
            known_at: None,
            lost_at: None,
            is_known: false,
        })
        .collect();
    for router in &mut fleet {
        router.next_check = until_next(router, 0);
    }
    let mut datagrams: Vec<(u64, usize)> = Vec::new();
    let mut now = 0;
    loop {
        now += STEP;
        let is_changed = now >= phase;
        for (_, to) in datagrams.extract_if(.., |(due, _)| *due <= now) {
            let router = &mut fleet[to];
            if router.known_at.is_none() && !router.is_known {
                router.known_at = Some(now + CALL);
            }
        }
        for router in &mut fleet {
            if now >= router.next_check {
                router.next_check = now + until_next(router, now);
                if is_changed && !router.is_known && router.lost_at.is_none() {
                    let lost = WaitLog::lost_at(at(now + CALL), Duration::ZERO) - start;
                    router.lost_at = Some(lost.as_millis() as u64);
                }
            }
            if router.lost_at.is_some_and(|lost| now >= lost) && router.known_at.is_none() {
                router.known_at = Some(now + CALL);
            }
            let is_learned = !router.is_known && router.known_at.is_some_and(|known| now >= known);
            router.is_known |= is_learned;
            let is_round = now >= router.next_round;
            if is_round {
                router.next_round = now + ROUND;
            }
            let known_at = router.known_at.filter(|_| router.is_known);
            let tells = known_at.is_some_and(|known| now < known + TELL_TIME);
            let peers = match (is_learned, is_round && tells) {
                (true, _) => PEERS_AT_ONCE,
                (false, true) => PEERS_PER_ROUND,
                (false, false) => 0,
            };
            if peers == 0 {
                continue;
            }
            for to in (0..routers).sample(&mut rng, peers) {
                if !rng.random_bool(LOSS) {
                    datagrams.push((now + DATAGRAM, to));
                }
            }
        }
        if fleet.iter().all(|router| router.is_known) {
            return now - phase;
        }
        assert!(now < phase + 60_000, "the change never becomes known");
    }
}

// Guards against waits that add up to more than the bound: until some router checks its waiting call, until that call is
// given up, and until the others hear of the change and ask for it themselves.
#[rstest]
#[case(5, 0)]
#[case(8, 0)]
#[case(8, 1)]
#[case(24, 2)]
#[case(300, 5)]
#[case(1_000, 10)]
fn a_change_is_known_everywhere_within_the_bound(#[case] routers: usize, #[case] gone: usize) {
    let plays = if routers > 100 { 10 } else { 100 };
    let mut worst = 0;
    for seed in 0..plays {
        // The phases are spread over a cycle of the checks.
        let phase = 1_000 + seed * 37 * 13 % 8_000;
        let took = time_to_know(routers, gone, phase, seed);
        worst = worst.max(took);
    }
    assert!(worst <= BOUND, "{worst} ms");
}
