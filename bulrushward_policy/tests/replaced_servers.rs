//! A crash after which many servers come back under other ids costs each of them a few requests, not one of each router.

use std::time::{Duration, Instant};

use bulrushward_policy::replaced_servers::ReplacedServers;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(250);
/// Routers that each router sends to in a round.
const RECEIVERS: usize = 4;
/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.1;
/// Servers of the service, of which the first ones have been replaced.
const SERVERS: u32 = 117;
const REPLACED: u32 = 29;

/// Lets each router send requests to random servers for 4 s; returns the requests that met a replaced server.
fn misdirected(routers: usize, requests_of_each: f64, has_gossip: bool) -> usize {
    let mut rng = Pcg64::seed_from_u64(routers as u64);
    let mut fleet = vec![ReplacedServers::default(); routers];
    let all: Vec<usize> = (0..routers).collect();
    let mut now = Instant::now();
    let mut count = 0;
    for _round in 0..16 {
        now += ROUND;
        for router in &all {
            let expected = requests_of_each * ROUND.as_secs_f64();
            let requests = expected as u32 + u32::from(rng.random_bool(expected.fract()));
            for _request in 0..requests {
                let usable: Vec<_> = (0..SERVERS)
                    .filter(|server| !fleet[*router].contains(*server, now))
                    .collect();
                let server = *usable.choose(&mut rng).expect("some servers are left");
                if server < REPLACED {
                    count += 1;
                    fleet[*router].record(server, now);
                }
            }
        }
        if !has_gossip {
            continue;
        }
        for from in &all {
            let report = fleet[*from].report(now);
            for to in all.sample(&mut rng, RECEIVERS) {
                if !rng.random_bool(LOSS) {
                    for server in &report {
                        fleet[*to].record(*server, now);
                    }
                }
            }
        }
    }
    count
}

#[rstest]
#[case::tens(25, 26.0)]
#[case::many_tens(68, 13.0)]
#[case::hundreds(300, 5.0)]
fn routers_tell_each_other_of_replaced_servers(#[case] routers: usize, #[case] rate: f64) {
    let (with_gossip, alone) = (
        misdirected(routers, rate, true),
        misdirected(routers, rate, false),
    );
    assert!(
        with_gossip * 3 < alone,
        "{with_gossip} of {alone} without gossip"
    );
}

#[test]
fn a_server_is_tried_again_after_a_while_and_told_of_once() {
    let start = Instant::now();
    let mut servers = ReplacedServers::default();
    assert!(servers.record(7, start));
    assert!(!servers.record(7, start + Duration::from_secs(1)));
    assert_eq!(servers.report(start + Duration::from_secs(1)), [7]);
    assert!(servers.report(start + Duration::from_secs(2)).is_empty());
    assert!(servers.contains(7, start + Duration::from_secs(9)));
    assert!(!servers.contains(7, start + Duration::from_secs(10)));
}

#[test]
fn what_is_remembered_is_bounded() {
    let now = Instant::now();
    let mut servers = ReplacedServers::default();
    let known = (0..10_000).filter(|server| servers.record(*server, now));
    assert_eq!(known.count(), 1_024);
    assert_eq!(servers.report(now).len(), 64);
}
