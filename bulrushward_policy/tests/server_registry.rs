//! Tests of the registered servers through outages of their store.

use std::time::{Duration, Instant};

use bulrushward_policy::server_registry::ServerRegistry;

const MS: Duration = Duration::from_millis(1);

fn known(registry: &ServerRegistry<u32>) -> Vec<&str> {
    registry.records().map(|(id, _)| id).collect()
}

fn listed(now: Instant) -> ServerRegistry<u32> {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![("a".into(), 1), ("b".into(), 2)], 10, now);
    registry
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.change("a", None, start + MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_until_it_could_have_come_back() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    let back = start + 5_000 * MS;
    registry.store_answered(back);
    registry.replace(vec![("b".into(), 2)], 11, back);
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(!registry.drop_lapsed(back + 1_900 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(registry.drop_lapsed(back + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_came_back_stays() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    let back = start + 5_000 * MS;
    registry.store_answered(back);
    registry.replace(vec![("b".into(), 2)], 11, back);
    registry.change("a", Some(3), back + 1_000 * MS);
    assert!(!registry.drop_lapsed(back + 9_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_entry_removed_after_the_return_is_kept_no_longer_than_one_that_lapsed_before_it() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    let back = start + 5_000 * MS;
    registry.store_answered(back);
    // A server that leaves for good just after the store's return.
    registry.change("a", None, back + 1_600 * MS);
    assert!(registry.drop_lapsed(back + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn a_router_that_alone_was_cut_off_keeps_no_removed_entry() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    // A peer's newer view shows that the store was up all the time.
    registry.replace(
        vec![("a".into(), 1), ("b".into(), 2)],
        12,
        start + 4_800 * MS,
    );
    let back = start + 5_000 * MS;
    registry.store_answered(back);
    registry.change("a", None, back + 100 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn a_short_gap_is_no_outage() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    registry.store_answered(start + 500 * MS);
    registry.change("a", None, start + 600 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn nothing_is_dropped_while_the_store_is_away() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    let back = start + 5_000 * MS;
    registry.store_answered(back);
    registry.replace(vec![("b".into(), 2)], 11, back);
    registry.store_failed(back + 100 * MS);
    assert!(!registry.drop_lapsed(back + 4_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_older_view_changes_nothing() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.replace(vec![("c".into(), 3)], 9, start);
    assert_eq!(known(&registry), ["a", "b"]);
    assert_eq!(registry.as_of(), 10);
}
