//! Registered servers during and after outages of the store.

use std::time::{Duration, Instant};

use bulrushward_policy::server_registry::{EntrySnapshot, ServerRegistry};

const MS: Duration = Duration::from_millis(1);

fn known(registry: &ServerRegistry<u32>) -> Vec<&str> {
    registry.records().map(|(id, _)| id).collect()
}

fn registry_of_two(now: Instant) -> ServerRegistry<u32> {
    let mut registry = ServerRegistry::default();
    registry.replace(vec![("a".into(), 1), ("b".into(), 2)], 10, now);
    registry
}

/// Returns a registry after a store outage of five seconds, and the time at which it ended.
fn after_outage(start: Instant) -> (ServerRegistry<u32>, Instant) {
    let mut registry = registry_of_two(start);
    registry.store_failed(start);
    let recovered = start + 5_000 * MS;
    registry.store_responded(recovered);
    (registry, recovered)
}

fn change(registry: &mut ServerRegistry<u32>, id: &str, record: Option<u32>, now: Instant) {
    let base = registry.revision();
    assert!(registry.apply_changes(base, &[(id.to_owned(), record)], base + 1, now));
}

#[test]
fn an_entry_is_removed_immediately_while_the_store_responds() {
    let start = Instant::now();
    let mut registry = registry_of_two(start);
    change(&mut registry, "a", None, start + MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_period() {
    let (mut registry, recovered) = after_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, recovered);
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(!registry.remove_lapsed(recovered + 1_900 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
    assert!(registry.remove_lapsed(recovered + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn an_entry_that_is_registered_again_stays() {
    let (mut registry, recovered) = after_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, recovered);
    change(&mut registry, "a", Some(3), recovered + 1_000 * MS);
    assert!(!registry.remove_lapsed(recovered + 9_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_entry_removed_after_an_outage_is_kept_no_longer_than_one_that_lapsed_in_it() {
    let (mut registry, recovered) = after_outage(Instant::now());
    // The server leaves shortly after the outage and does not register again.
    change(&mut registry, "a", None, recovered + 1_600 * MS);
    assert!(registry.remove_lapsed(recovered + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn a_router_that_alone_was_cut_off_does_not_keep_removed_entries() {
    let start = Instant::now();
    let mut registry = registry_of_two(start);
    registry.store_failed(start);
    // A newer revision from a peer shows that the store was available all the time.
    registry.replace(
        vec![("a".into(), 1), ("b".into(), 2)],
        12,
        start + 4_800 * MS,
    );
    let recovered = start + 5_000 * MS;
    registry.store_responded(recovered);
    change(&mut registry, "a", None, recovered + 100 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn a_short_gap_is_not_an_outage() {
    let start = Instant::now();
    let mut registry = registry_of_two(start);
    registry.store_failed(start);
    registry.store_responded(start + 500 * MS);
    change(&mut registry, "a", None, start + 600 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn no_entry_is_removed_while_the_store_is_down() {
    let (mut registry, recovered) = after_outage(Instant::now());
    registry.replace(vec![("b".into(), 2)], 11, recovered);
    registry.store_failed(recovered + 100 * MS);
    assert!(!registry.remove_lapsed(recovered + 4_000 * MS));
    assert_eq!(known(&registry), ["a", "b"]);
}

#[test]
fn an_older_revision_is_ignored() {
    let start = Instant::now();
    let mut registry = registry_of_two(start);
    registry.replace(vec![("c".into(), 3)], 9, start);
    assert_eq!(known(&registry), ["a", "b"]);
    assert_eq!(registry.revision(), 10);
}

/// Returns the snapshot of a peer that was cut off while `a` was removed, and its recovery time.
fn snapshot_of_recovered_peer(start: Instant) -> (Vec<EntrySnapshot<u32>>, Instant) {
    let (mut peer, recovered) = after_outage(start);
    peer.replace(vec![("b".into(), 2)], 20, recovered);
    assert_eq!(known(&peer), ["a", "b"]);
    (peer.snapshot(), recovered)
}

#[test]
fn entries_that_lapsed_for_a_cut_off_peer_are_removed_by_a_router_without_an_outage() {
    let start = Instant::now();
    let (snapshot, recovered) = snapshot_of_recovered_peer(start);
    let mut registry = registry_of_two(start);
    registry.replace_from_snapshot(snapshot, 20, |_| false, recovered + 500 * MS);
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn entries_that_lapsed_for_a_peer_are_kept_by_a_router_whose_store_is_still_down() {
    let start = Instant::now();
    let (snapshot, recovered) = snapshot_of_recovered_peer(start);
    let mut registry = registry_of_two(start);
    registry.store_failed(start + 100 * MS);
    registry.replace_from_snapshot(snapshot, 20, |_| false, recovered + 500 * MS);
    assert_eq!(known(&registry), ["a", "b"]);
    let own_recovery = recovered + 3_000 * MS;
    registry.store_responded(own_recovery);
    assert!(registry.remove_lapsed(own_recovery + 2_200 * MS));
    assert_eq!(known(&registry), ["b"]);
}

#[test]
fn changes_older_than_an_applied_snapshot_do_not_undo_it() {
    let start = Instant::now();
    let mut registry = registry_of_two(start);
    let base = registry.revision();
    let entry = |id: &str, record| EntrySnapshot {
        id: id.to_owned(),
        record,
        has_lapsed: false,
    };
    registry.replace_from_snapshot(vec![entry("b", 2)], 13, |_| false, start);
    let older = [("a".to_owned(), Some(7))];
    assert!(!registry.apply_changes(base, &older, 11, start + MS));
    assert_eq!(known(&registry), ["b"]);
    assert_eq!(registry.revision(), 13);
}
