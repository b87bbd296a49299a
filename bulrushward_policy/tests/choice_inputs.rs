//! The inputs of a server choice: load estimates, health and session locations.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    server_health::ServerHealth,
    server_load::{PeerLoad, ServerLoad},
    session_locations::SessionLocations,
};

const MS: Duration = Duration::from_millis(1);

#[test]
fn own_requests_count_immediately() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.start_request(500);
    load.start_request(700);
    assert_eq!(
        (load.total_requests(now), load.total_unread_tokens(now)),
        (2, 1_200)
    );
    load.finish_prefill(500);
    load.finish_request();
    assert_eq!(
        (load.total_requests(now), load.total_unread_tokens(now)),
        (1, 700)
    );
}

#[test]
fn a_fresh_report_adds_other_requests_and_does_not_count_own_ones_twice() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.start_request(0);
    load.start_request(0);
    load.record_report(9, now);
    assert_eq!(load.total_requests(now), 9);
    load.finish_request();
    assert_eq!(load.total_requests(now + 100 * MS), 8);
}

#[test]
fn peer_load_takes_precedence_over_an_old_report() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.record_report(9, now);
    let peer_load = PeerLoad {
        requests: 4,
        unread_tokens: 900,
    };
    load.record_peer_load(peer_load, now + 400 * MS);
    assert_eq!(load.total_requests(now + 400 * MS), 4);
    assert_eq!(load.total_unread_tokens(now + 400 * MS), 900);
}

#[test]
fn an_old_report_counts_for_less_if_there_is_no_peer_load() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.record_report(10, now);
    assert_eq!(load.total_requests(now + 1_000 * MS), 5);
    assert_eq!(load.total_requests(now + 2_500 * MS), 0);
}

#[test]
fn outdated_peer_load_is_ignored() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    let peer_load = PeerLoad {
        requests: 4,
        unread_tokens: 900,
    };
    load.record_peer_load(peer_load, now);
    assert_eq!(load.total_requests(now + 2_000 * MS), 0);
    assert_eq!(load.total_unread_tokens(now + 2_000 * MS), 0);
}

#[test]
fn the_backoff_of_an_unreachable_server_grows_up_to_a_maximum() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    assert!(!health.is_backing_off(now));
    health.record_unreachable(now);
    assert!(health.is_backing_off(now + 300 * MS));
    assert!(!health.is_backing_off(now + 500 * MS));
    health.record_unreachable(now + 500 * MS);
    assert!(health.is_backing_off(now + 1_200 * MS));
    for _ in 0..40 {
        health.record_unreachable(now);
    }
    assert!(health.backoff_remaining(now) <= Duration::from_secs(3));
    health.record_success(now);
    assert!(!health.is_backing_off(now));
}

#[test]
fn a_server_that_fails_some_requests_has_a_load_penalty_that_decays() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    for request in 0..30 {
        if request % 2 == 0 {
            health.record_failure(now);
        } else {
            health.record_success(now);
        }
    }
    assert!(health.load_penalty(now) > 5.0);
    assert!(health.load_penalty(now + 10_000 * MS) < 0.5);
}

#[test]
fn a_tolerated_failure_rate_has_no_load_penalty() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    for request in 0..100 {
        if request % 8 == 0 {
            health.record_failure(now);
        } else {
            health.record_success(now);
        }
    }
    assert!(health.load_penalty(now) < 1.0);
}

#[test]
fn the_latest_servers_of_a_session_are_kept() {
    let mut locations = SessionLocations::new(2.try_into().expect("not zero"));
    assert!(locations.record(1, 10));
    assert!(locations.record(1, 11));
    assert!(!locations.record(1, 10));
    assert_eq!(locations.servers(1).collect::<Vec<_>>(), [10, 11]);
    for server in 12..15 {
        locations.record(1, server);
    }
    assert_eq!(locations.servers(1).collect::<Vec<_>>(), [14, 13, 12, 10]);
}

#[test]
fn the_most_recently_used_sessions_are_kept() {
    let mut locations = SessionLocations::new(2.try_into().expect("not zero"));
    locations.record(1, 10);
    locations.record(2, 10);
    locations.record(1, 10);
    locations.record(3, 10);
    assert_eq!(locations.len(), 2);
    assert_eq!(locations.servers(2).count(), 0);
    assert_eq!(locations.servers(1).count(), 1);
}
