//! Routers of a fleet of any size send their waiting calls again once after each outage of the store.

use std::time::{Duration, Instant};

use bulrushward_policy::store_recovery::{RecoveryLog, RecoveryReport};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(250);
/// Routers that each router sends to in a round.
const RECEIVERS: usize = 4;
/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.1;
/// Time that a datagram takes, at most; some routers are slow to read theirs.
const MAX_DELAY: Duration = Duration::from_millis(900);
/// Time within which all routers must know that the store has returned.
const KNOWN_LIMIT: Duration = Duration::from_secs(3);

struct Fleet {
    routers: Vec<RecoveryLog>,
    /// Times at which each router sent its waiting calls again.
    resent: Vec<Vec<Instant>>,
    now: Instant,
    rng: Pcg64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            routers: vec![RecoveryLog::default(); size],
            resent: vec![Vec::new(); size],
            // The first outage lies after the start of the process.
            now: Instant::now() + Duration::from_mins(1),
            rng: Pcg64::seed_from_u64(size as u64),
        }
    }

    /// Lets a router notice that the store has returned.
    fn notice(&mut self, router: usize) {
        let id = self.rng.random();
        self.routers[router].record(id, self.now);
        self.resent[router].push(self.now);
    }

    fn round(&mut self) {
        self.now += ROUND;
        let all: Vec<usize> = (0..self.routers.len()).collect();
        for from in &all {
            let Some(report) = self.routers[*from].report(self.now) else {
                continue;
            };
            let receivers: Vec<_> = all.sample(&mut self.rng, RECEIVERS).copied().collect();
            for to in receivers {
                if self.rng.random_bool(LOSS) {
                    continue;
                }
                let delay = MAX_DELAY.mul_f64(self.rng.random::<f64>().powi(4));
                let arrival = self.now + delay;
                if self.routers[to].merge(report, arrival) {
                    self.resent[to].push(arrival);
                }
            }
        }
    }
}

#[rstest]
#[case::one(1)]
#[case::few(5)]
#[case::tens(68)]
#[case::hundreds(300)]
#[case::a_thousand(1_000)]
fn one_router_that_notices_the_return_of_the_store_tells_all_others_once(#[case] size: usize) {
    let mut fleet = Fleet::new(size);
    for outage in 1..=3 {
        let start = fleet.now;
        fleet.notice(0);
        while fleet.now < start + Duration::from_secs(30) {
            fleet.round();
        }
        for resent in &fleet.resent {
            assert_eq!(
                resent.len(),
                outage,
                "calls are sent again once for each outage"
            );
            let last = resent.last().expect("calls were sent again");
            assert!(*last <= start + KNOWN_LIMIT);
        }
    }
}

#[rstest]
#[case::few(5)]
#[case::tens(68)]
#[case::a_thousand(1_000)]
fn routers_that_notice_the_same_return_one_after_the_other_do_not_add_up(#[case] size: usize) {
    let mut fleet = Fleet::new(size);
    for router in 0..size {
        fleet.notice(router);
        fleet.now += Duration::from_millis(700) / size as u32;
    }
    for _round in 0..100 {
        fleet.round();
    }
    assert!(fleet.resent.iter().all(|resent| resent.len() == 1));
}

#[test]
fn two_outages_in_a_row_count_twice() {
    let now = Instant::now() + Duration::from_mins(1);
    let report = |id| RecoveryReport { id, age_ms: 0 };
    let mut log = RecoveryLog::default();
    assert!(log.merge(report(1), now));
    let later = now + Duration::from_secs(2);
    assert!(log.merge(report(2), later));
    assert_eq!(log.latest(), Some(later));
    let own = later + Duration::from_millis(100);
    log.record(3, own);
    assert_eq!(log.latest(), Some(own));
}

#[test]
fn an_old_or_known_report_changes_nothing() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut log = RecoveryLog::default();
    let report = |id, age_ms| RecoveryReport { id, age_ms };
    assert!(!log.merge(report(1, 11_000), now));
    assert!(!log.merge(report(2, u32::MAX), now));
    assert!(log.merge(report(3, 500), now));
    assert!(!log.merge(report(3, 0), now + Duration::from_secs(5)));
    assert_eq!(log.report(now + Duration::from_secs(11)), None);
}
