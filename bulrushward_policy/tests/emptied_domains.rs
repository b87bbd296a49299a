//! Orders to empty failure domains: a late message must not undo an order or its withdrawal, and routers that the store
//! rejects must learn of both from their peers in time.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bulrushward_policy::emptied_domains::{EmptiedDomains, EmptiedReport};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

/// A change in the store: the domain and whether it is emptied. The change at index `i` has revision `i + 1`.
type History = Vec<(String, bool)>;

fn domains_at(history: &History, revision: u64) -> BTreeSet<String> {
    let mut domains = BTreeSet::new();
    for (domain, is_emptied) in &history[..revision as usize] {
        if *is_emptied {
            domains.insert(domain.clone());
        } else {
            domains.remove(domain);
        }
    }
    domains
}

fn listed(history: &History, revision: u64, now: Instant) -> EmptiedDomains {
    let mut view = EmptiedDomains::default();
    view.replace(domains_at(history, revision), revision, now);
    view
}

fn known(view: &EmptiedDomains) -> BTreeSet<String> {
    view.domains().map(str::to_owned).collect()
}

/// A message that reaches a router, made at some revision of the store.
#[derive(Clone, Copy, Debug)]
enum Message {
    Listing(u64),
    Changes(u64, u64),
    Report(u64),
}

fn messages(changes: u64) -> impl Strategy<Value = Vec<Message>> {
    let revision = 0..=changes;
    let message = prop_oneof![
        revision.clone().prop_map(Message::Listing),
        (revision.clone(), revision.clone())
            .prop_map(|(one, two)| Message::Changes(one.min(two), one.max(two))),
        revision.prop_map(Message::Report),
    ];
    prop::collection::vec(message, 1..30)
}

fn cases() -> impl Strategy<Value = (History, Vec<Message>)> {
    let change = ("[abc]", any::<bool>());
    prop::collection::vec(change, 1..30).prop_flat_map(|history| {
        let messages = messages(history.len() as u64);
        (Just(history), messages)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn a_view_never_goes_back_and_is_what_the_store_held((history, messages) in cases()) {
        let now = Instant::now();
        let mut view = EmptiedDomains::default();
        for message in messages {
            let before = view.revision();
            let told = match message {
                Message::Listing(revision) => {
                    view.replace(domains_at(&history, revision), revision, now);
                    Some(revision)
                }
                Message::Changes(after, revision) => {
                    let changes = &history[after as usize..revision as usize];
                    let applied = view.apply_changes(after, changes, revision, now);
                    prop_assert_eq!(applied.is_some(), before >= Some(after));
                    applied.map(|_| revision)
                }
                Message::Report(revision) => {
                    let report = listed(&history, revision, now).report(now);
                    view.merge(&report.expect("the peer knows the orders"), now);
                    Some(revision)
                }
            };
            prop_assert_eq!(view.revision(), before.max(told));
            if let Some(revision) = view.revision() {
                prop_assert_eq!(known(&view), domains_at(&history, revision));
            }
        }
    }
}

#[test]
fn each_order_is_told_of_once() {
    let now = Instant::now();
    let mut view = EmptiedDomains::default();
    assert_eq!(view.report(now), None);
    let told = |changes: Vec<_>| changes.len();
    assert_eq!(told(view.replace(["a".to_owned()], 4, now)), 1);
    assert_eq!(told(view.replace(["a".to_owned()], 5, now)), 0);
    let on_and_off = [("b".to_owned(), true), ("b".to_owned(), false)];
    let applied = view.apply_changes(3, &on_and_off, 7, now);
    assert_eq!(applied.map(told), Some(0));
    let withdrawn = [("a".to_owned(), false)];
    let applied = view.apply_changes(7, &withdrawn, 8, now + Duration::from_secs(3));
    let changes = applied.expect("nothing is missing");
    assert_eq!(
        (changes[0].is_emptied, changes[0].age),
        (false, Duration::from_secs(3))
    );
}

#[test]
fn a_domain_that_was_emptied_is_remembered_for_a_minute() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut view = EmptiedDomains::default();
    view.replace(["a".to_owned()], 1, start);
    assert_eq!(view.recently_emptied_at("a", start), None);
    view.apply_changes(1, &[("a".to_owned(), false)], 2, at(10));
    assert_eq!(view.recently_emptied_at("a", at(69)), Some(at(10)));
    assert_eq!(view.recently_emptied_at("a", at(70)), None);
    // A router that has just started learns of it from a peer.
    let mut peer = EmptiedDomains::default();
    let report = view.report(at(20)).expect("the orders are known");
    peer.merge(&report, at(21));
    assert_eq!(peer.recently_emptied_at("a", at(30)), Some(at(11)));
    view.apply_changes(2, &[("a".to_owned(), true)], 3, at(30));
    assert_eq!(view.recently_emptied_at("a", at(30)), None);
}

#[test]
fn many_orders_are_not_cut_to_fit_a_datagram() {
    let now = Instant::now();
    let mut view = EmptiedDomains::default();
    view.replace((0..9).map(|index| format!("domain-{index}")), 1, now);
    let fits = |view: &EmptiedDomains| {
        let report = view.report(now);
        report.as_ref().map(EmptiedReport::fits_datagram)
    };
    assert_eq!(fits(&view), Some(true));
    view.replace((0..900).map(|index| format!("domain-{index}")), 2, now);
    assert_eq!(fits(&view), Some(false));
}

/// Time between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(250);
/// Routers that each router sends to in a round.
const RECEIVERS: usize = 4;
/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.1;

/// Lets only the first `informed` routers read an order and later its withdrawal from the store; returns the longer of
/// the times until all know.
fn spread_time(routers: usize, informed: usize) -> Duration {
    let mut rng = Pcg64::seed_from_u64(routers as u64);
    let mut now = Instant::now();
    let mut fleet = vec![EmptiedDomains::default(); routers];
    for router in &mut fleet {
        router.replace(Vec::new(), 1, now);
    }
    let all: Vec<usize> = (0..routers).collect();
    let mut longest = Duration::ZERO;
    for (revision, is_emptied) in [(2, true), (3, false)] {
        let changes = [("a".to_owned(), is_emptied)];
        for router in &mut fleet[..informed] {
            router.apply_changes(revision - 1, &changes, revision, now);
        }
        let start = now;
        while fleet
            .iter()
            .any(|router| router.contains("a") != is_emptied)
        {
            assert!(now - start < Duration::from_mins(1), "the order spreads");
            now += ROUND;
            let sent: Vec<_> = fleet.iter().filter_map(|from| from.report(now)).collect();
            for report in sent {
                for to in all.sample(&mut rng, RECEIVERS) {
                    if !rng.random_bool(LOSS) {
                        fleet[*to].merge(&report, now);
                    }
                }
            }
        }
        longest = longest.max(now - start);
    }
    longest
}

#[rstest]
#[case::one_of_a_few(5, 1, 5_000)]
#[case::one_of_tens(88, 1, 5_000)]
#[case::one_of_hundreds(300, 1, 5_000)]
#[case::one_of_a_thousand(1_000, 1, 5_000)]
#[case::most_of_tens(88, 79, 1_000)]
#[case::most_of_hundreds(300, 270, 2_000)]
fn routers_that_the_store_turns_away_learn_of_an_order_in_time(
    #[case] routers: usize,
    #[case] informed: usize,
    #[case] limit_ms: u64,
) {
    let time = spread_time(routers, informed);
    println!("{routers} routers, {informed} of them informed by the store: {time:?}");
    assert!(time <= Duration::from_millis(limit_ms), "{time:?}");
}

// A router that starts after a withdrawal lists no order, but must learn from its peers that the servers may be cold.
#[rstest]
#[case::listing_before_the_withdrawal_is_told(94)]
#[case::same_revision(95)]
#[case::newer_listing(100)]
fn a_withdrawal_before_the_listing_is_learnt_from_peers(#[case] listed_at: u64) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let domain = "a".to_owned();
    let mut peer = EmptiedDomains::default();
    peer.replace([domain.clone()], 90, start);
    peer.apply_changes(90, &[(domain, false)], 95, at(1_000));
    let report = peer.report(at(2_000)).expect("the orders are known");
    let mut own = EmptiedDomains::default();
    own.replace([], listed_at, at(2_000));
    assert!(own.merge(&report, at(2_010)).is_empty());
    let withdrawn = own
        .recently_emptied_at("a", at(2_020))
        .expect("it is known");
    assert!((at(1_000)..=at(1_020)).contains(&withdrawn));
    // Further datagrams move it no further.
    own.merge(&report, at(2_300));
    assert_eq!(own.recently_emptied_at("a", at(2_310)), Some(withdrawn));
}

// An order that was given and withdrawn again unnoticed by this router is another withdrawal.
#[test]
fn a_second_withdrawal_that_was_missed_counts() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let change = |is_emptied| [("a".to_owned(), is_emptied)];
    let (mut peer, mut own) = (EmptiedDomains::default(), EmptiedDomains::default());
    for view in [&mut peer, &mut own] {
        view.replace(["a".to_owned()], 1, start);
        view.apply_changes(1, &change(false), 2, at(1));
    }
    peer.apply_changes(2, &change(true), 3, at(10));
    peer.apply_changes(3, &change(false), 4, at(30));
    own.merge(&peer.report(at(30)).expect("the orders are known"), at(30));
    assert_eq!(own.recently_emptied_at("a", at(30)), Some(at(30)));
}
