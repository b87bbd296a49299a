//! Tests of what a router believes about a server's load and health, and where prompts are cached.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    prompt_homes::PromptHomes,
    server_health::ServerHealth,
    server_load::{PeerShare, ServerLoad},
};

const MS: Duration = Duration::from_millis(1);

#[test]
fn own_requests_count_at_once() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.begin(500);
    load.begin(700);
    assert_eq!(
        (load.requests(now), load.all_unread_tokens(now)),
        (2, 1_200)
    );
    load.read(500);
    load.end();
    assert_eq!((load.requests(now), load.all_unread_tokens(now)), (1, 700));
}

#[test]
fn a_fresh_report_tells_of_others_and_own_requests_are_not_counted_twice() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.begin(0);
    load.begin(0);
    load.report(9, now);
    assert_eq!(load.requests(now), 9);
    load.end();
    assert_eq!(load.requests(now + 100 * MS), 8);
}

#[test]
fn peers_go_before_a_report_that_grew_old() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.report(9, now);
    let share = PeerShare {
        requests: 4,
        unread_tokens: 900,
    };
    load.set_peers(share, now + 400 * MS);
    assert_eq!(load.requests(now + 400 * MS), 4);
    assert_eq!(load.all_unread_tokens(now + 400 * MS), 900);
}

#[test]
fn without_peers_a_report_fades() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    load.report(10, now);
    assert_eq!(load.requests(now + 1_000 * MS), 5);
    assert_eq!(load.requests(now + 2_500 * MS), 0);
}

#[test]
fn peers_that_fell_silent_say_nothing() {
    let now = Instant::now();
    let mut load = ServerLoad::default();
    let share = PeerShare {
        requests: 4,
        unread_tokens: 900,
    };
    load.set_peers(share, now);
    assert_eq!(load.requests(now + 2_000 * MS), 0);
    assert_eq!(load.all_unread_tokens(now + 2_000 * MS), 0);
}

#[test]
fn an_unreachable_server_rests_longer_each_time() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    assert!(!health.rests(now));
    health.unreachable(now);
    assert!(health.rests(now + 300 * MS));
    assert!(!health.rests(now + 500 * MS));
    health.unreachable(now + 500 * MS);
    assert!(health.rests(now + 1_200 * MS));
    for _ in 0..40 {
        health.unreachable(now);
    }
    assert!(health.rest_left(now) <= Duration::from_secs(3));
    health.served(now);
    assert!(!health.rests(now));
}

#[test]
fn a_server_that_fails_part_of_its_requests_counts_as_loaded_until_that_is_past() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    for request in 0..30 {
        if request % 2 == 0 {
            health.failed(now);
        } else {
            health.served(now);
        }
    }
    assert!(health.extra_load(now) > 5.0);
    assert!(health.extra_load(now + 10_000 * MS) < 0.5);
}

#[test]
fn ordinary_errors_cost_a_server_nothing() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    for request in 0..100 {
        if request % 8 == 0 {
            health.failed(now);
        } else {
            health.served(now);
        }
    }
    assert!(health.extra_load(now) < 1.0);
}

#[test]
fn a_session_remembers_its_latest_servers() {
    let mut homes = PromptHomes::new(2.try_into().expect("not zero"));
    assert!(homes.note(1, 10));
    assert!(homes.note(1, 11));
    assert!(!homes.note(1, 10));
    assert_eq!(homes.homes(1).collect::<Vec<_>>(), [10, 11]);
    for server in 12..15 {
        homes.note(1, server);
    }
    assert_eq!(homes.homes(1).collect::<Vec<_>>(), [14, 13, 12, 10]);
}

#[test]
fn the_sessions_used_last_are_remembered() {
    let mut homes = PromptHomes::new(2.try_into().expect("not zero"));
    homes.note(1, 10);
    homes.note(2, 10);
    homes.note(1, 10);
    homes.note(3, 10);
    assert_eq!(homes.len(), 2);
    assert_eq!(homes.homes(2).count(), 0);
    assert_eq!(homes.homes(1).count(), 1);
}
