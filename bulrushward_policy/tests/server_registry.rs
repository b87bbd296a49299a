//! Tests of the registered servers through outages of their store.

use std::time::{Duration, Instant};

use bulrushward_policy::server_registry::{EntrySnapshot, ServerRegistry};

const MS: Duration = Duration::from_millis(1);

fn known(registry: &ServerRegistry<u32>) -> Vec<&str> {
    registry.records().map(|(id, _)| id).collect()
}

fn listed(now: Instant) -> ServerRegistry<u32> {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![("a".into(), 1), ("b".into(), 2)], 10, now);
    registry
}

/// Returns a registry whose store was away for five seconds, and the time of its return.
fn back_from_outage(start: Instant) -> (ServerRegistry<u32>, Instant) {
    let mut registry = listed(start);
    registry.store_failed(start);
    let back = start + 5_000 * MS;
    registry.store_responded(back);
    (registry, back)
}

fn change(registry: &mut ServerRegistry<u32>, id: &str, record: Option<u32>, now: Instant) {
    let after = registry.revision();
    assert!(registry.apply_changes(after, &[(id.to_owned(), record)], after + 1, now));
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let start = Instant::now();
    let mut registry = listed(start);
    change(&mut registry, "a", None, start + MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_until_it_could_have_come_back() {
    let (mut registry, back) = back_from_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, back);
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(!registry.remove_lapsed(back + 1_900 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(registry.remove_lapsed(back + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_came_back_stays() {
    let (mut registry, back) = back_from_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, back);
    change(&mut registry, "a", Some(3), back + 1_000 * MS);
    assert!(!registry.remove_lapsed(back + 9_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_entry_removed_after_the_return_is_kept_no_longer_than_one_that_lapsed_before_it() {
    let (mut registry, back) = back_from_outage(Instant::now());
    // A server that leaves for good just after the store's return.
    change(&mut registry, "a", None, back + 1_600 * MS);
    assert!(registry.remove_lapsed(back + 2_200 * MS));
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
    registry.store_responded(back);
    change(&mut registry, "a", None, back + 100 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn a_short_gap_is_no_outage() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.store_failed(start);
    registry.store_responded(start + 500 * MS);
    change(&mut registry, "a", None, start + 600 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn nothing_is_dropped_while_the_store_is_away() {
    let (mut registry, back) = back_from_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, back);
    registry.store_failed(back + 100 * MS);
    assert!(!registry.remove_lapsed(back + 4_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_older_view_changes_nothing() {
    let start = Instant::now();
    let mut registry = listed(start);
    registry.replace(vec![("c".into(), 3)], 9, start);
    assert_eq!(known(&registry), ["a", "b"]);
    assert_eq!(registry.revision(), 10);
}

/// Returns what a peer tells that was cut off and in the meantime missed the removal of `a`, and when.
fn copy_of_returned_peer(start: Instant) -> (Vec<EntrySnapshot<u32>>, Instant) {
    let (mut peer, back) = back_from_outage(start);
    peer.replace(vec![("b".into(), 2)], 20, back);
    assert_eq!(known(&peer), ["a", "b"]);
    (peer.snapshot(), back)
}

#[test]
fn what_lapsed_for_a_peer_that_was_cut_off_is_gone_for_a_router_that_was_not() {
    let start = Instant::now();
    let (copy, back) = copy_of_returned_peer(start);
    let mut registry = listed(start);
    registry.replace_from_snapshot(copy, 20, back + 500 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn what_lapsed_for_a_peer_stays_with_a_router_whose_store_is_still_away() {
    let start = Instant::now();
    let (copy, back) = copy_of_returned_peer(start);
    let mut registry = listed(start);
    registry.store_failed(start + 100 * MS);
    registry.replace_from_snapshot(copy, 20, back + 500 * MS);
    assert_eq!(known(&registry), ["a", "b"]);
    let own_return = back + 3_000 * MS;
    registry.store_responded(own_return);
    assert!(registry.remove_lapsed(own_return + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn changes_that_a_copy_has_overtaken_do_not_undo_it() {
    let start = Instant::now();
    let mut registry = listed(start);
    let asked_after = registry.revision();
    let copy = |id: &str, record| EntrySnapshot {
        id: id.to_owned(),
        record,
        has_lapsed: false,
    };
    registry.replace_from_snapshot(vec![copy("b", 2)], 13, start);
    let older = [("a".to_owned(), Some(7))];
    assert!(!registry.apply_changes(asked_after, &older, 11, start + MS));
    assert_eq!(known(&registry), ["b"]);
    assert_eq!(registry.revision(), 13);
}
