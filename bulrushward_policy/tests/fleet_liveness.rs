//! Failure detection in a simulated fleet of routers that gossip over lossy datagrams.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use bulrushward_policy::fleet_liveness::FleetLiveness;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(250);
/// Routers that each router sends to in a round.
const RECEIVERS: usize = 4;
/// Routers that every router knows when it starts.
const SEEDS: usize = 3;
/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.1;

struct Fleet {
    routers: Vec<FleetLiveness<usize>>,
    dead: HashSet<usize>,
    now: Instant,
    rng: Pcg64,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            routers: vec![FleetLiveness::default(); size],
            dead: HashSet::new(),
            now: Instant::now(),
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    fn live(&self) -> Vec<usize> {
        let all = 0..self.routers.len();
        all.filter(|index| !self.dead.contains(index)).collect()
    }

    /// Lets each live router send its sample of live routers to a few of those it knows.
    fn round(&mut self) {
        self.now += ROUND;
        for from in self.live() {
            let _removed = self.routers[from].remove_expired(self.now);
            let known = self.routers[from].alive().copied();
            let receivers: Vec<_> = known
                .chain((0..SEEDS).filter(|seed| *seed != from))
                .collect();
            let chosen: Vec<_> = receivers
                .sample(&mut self.rng, RECEIVERS)
                .copied()
                .collect();
            for to in chosen {
                if self.dead.contains(&to) || self.rng.random_bool(LOSS) {
                    continue;
                }
                let sample = self.routers[from].sample(self.now, &mut self.rng);
                self.routers[to].record(from, Duration::ZERO, self.now);
                for (router, age) in sample.into_iter().filter(|(router, _)| *router != to) {
                    self.routers[to].record(router, age, self.now);
                }
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        for _round in 0..time.as_millis() / ROUND.as_millis() {
            self.round();
        }
    }

    /// Returns the number of live routers whose view is not exactly the other live routers.
    fn wrong_views(&self) -> usize {
        let live = self.live();
        let expected = live.len() - 1;
        let is_wrong = |index: &&usize| {
            let view = &self.routers[**index];
            view.count() != expected || view.alive().any(|known| self.dead.contains(known))
        };
        live.iter().filter(is_wrong).count()
    }
}

#[rstest]
fn every_router_knows_exactly_the_live_routers(
    #[values(4, 25, 100)] size: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_for(Duration::from_secs(10));
    for _round in 0..80 {
        fleet.round();
        assert_eq!(fleet.wrong_views(), 0);
    }
    // The seeds stay alive, so that the fleet cannot split into groups that do not know each other.
    fleet.dead = (SEEDS..size).step_by(5).collect();
    fleet.run_for(Duration::from_secs(12));
    for _round in 0..20 {
        fleet.round();
        assert_eq!(fleet.wrong_views(), 0);
    }
}

#[test]
fn every_router_knows_all_others_in_a_fleet_of_410() {
    let mut fleet = Fleet::new(410, 1);
    fleet.run_for(Duration::from_secs(10));
    for _round in 0..8 {
        fleet.round();
        assert_eq!(fleet.wrong_views(), 0);
    }
}

#[test]
fn an_expired_sign_of_life_does_not_revive_a_router() {
    let now = Instant::now();
    let mut view = FleetLiveness::default();
    assert!(!view.record(1, Duration::from_secs(9), now));
    assert_eq!(view.count(), 0);
    assert!(view.record(1, Duration::from_secs(3), now));
    assert!(!view.record(1, Duration::ZERO, now));
    assert!(view.remove_expired(now + Duration::from_secs(7)).is_empty());
    assert_eq!(view.remove_expired(now + Duration::from_secs(9)), [1]);
    assert!(!view.record(1, Duration::from_secs(9), now + Duration::from_secs(9)));
}

#[test]
fn what_datagrams_claim_is_bounded() {
    let now = Instant::now();
    let mut fleet = FleetLiveness::default();
    for router in 0..10_000 {
        fleet.record(router, Duration::ZERO, now);
    }
    assert_eq!(fleet.count(), 4_096);
    // A router that is known stays so, and others are remembered once there is room.
    assert!(!fleet.record(1, Duration::ZERO, now + Duration::from_secs(5)));
    assert_eq!(
        fleet.remove_expired(now + Duration::from_secs(9)).len(),
        4_095
    );
    assert!(fleet.record(9_999, Duration::ZERO, now + Duration::from_secs(9)));
}
