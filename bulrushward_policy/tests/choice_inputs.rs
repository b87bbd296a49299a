//! Tests of what a router believes about a server's load and health, and where prompts are cached.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    server_health::ServerHealth,
    server_load::{PeerLoad, ServerLoad},
    session_locations::SessionLocations,
};

const MS: Duration = Duration::from_millis(1);

#[test]
fn own_requests_count_at_once() {
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
fn a_fresh_report_tells_of_others_and_own_requests_are_not_counted_twice() {
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
fn peers_go_before_a_report_that_grew_old() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.record_report(9, now);
    let share = PeerLoad {
        requests: 4,
        unread_tokens: 900,
    };
    load.record_peer_load(share, now + 400 * MS);
    assert_eq!(load.total_requests(now + 400 * MS), 4);
    assert_eq!(load.total_unread_tokens(now + 400 * MS), 900);
}

#[test]
fn without_peers_a_report_fades() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.record_report(10, now);
    assert_eq!(load.total_requests(now + 1_000 * MS), 5);
    assert_eq!(load.total_requests(now + 2_500 * MS), 0);
}

#[test]
fn peers_that_fell_silent_say_nothing() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    let share = PeerLoad {
        requests: 4,
        unread_tokens: 900,
    };
    load.record_peer_load(share, now);
    assert_eq!(load.total_requests(now + 2_000 * MS), 0);
    assert_eq!(load.total_unread_tokens(now + 2_000 * MS), 0);
}

#[test]
fn an_unreachable_server_rests_longer_each_time() {
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
fn a_server_that_fails_part_of_its_requests_counts_as_loaded_until_that_is_past() {
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
fn ordinary_errors_cost_a_server_nothing() {
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
fn a_session_remembers_its_latest_servers() {
    let mut homes = SessionLocations::new(2.try_into().expect("not zero"));
    assert!(homes.record(1, 10));
    assert!(homes.record(1, 11));
    assert!(!homes.record(1, 10));
    assert_eq!(homes.servers(1).collect::<Vec<_>>(), [10, 11]);
    for server in 12..15 {
        homes.record(1, server);
    }
    assert_eq!(homes.servers(1).collect::<Vec<_>>(), [14, 13, 12, 10]);
}

#[test]
fn the_sessions_used_last_are_remembered() {
    let mut homes = SessionLocations::new(2.try_into().expect("not zero"));
    homes.record(1, 10);
    homes.record(2, 10);
    homes.record(1, 10);
    homes.record(3, 10);
    assert_eq!(homes.len(), 2);
    assert_eq!(homes.servers(2).count(), 0);
    assert_eq!(homes.servers(1).count(), 1);
}
