//! Membership converges, disseminates leaving members first and removes dead ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_policy::membership::MemberTable;
use bulrushward_protocol::{MemberRecord, MemberState, Role, Suspicion};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Byte budget of the records in one message.
const BUDGET: usize = 450;

fn record(node: usize, incarnation: u64, version: u64, state: MemberState) -> MemberRecord {
    let address: SocketAddr = ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into();
    MemberRecord {
        node: format!("agent-{node:04}"),
        incarnation,
        version,
        role: Role::Agent,
        state,
        control_address: address,
        data_address: address,
        failure_domain: format!("domain-{}", node % 4),
        service: Some("chat".to_owned()),
        backend: Some(format!("engine-{node:04}")),
        load: 1_000,
        queued: 0,
        revision: 12,
    }
}

fn new_table(node: usize, now: Instant) -> MemberTable {
    MemberTable::new(record(node, 1_700_000_000_000, 1, MemberState::Live), now)
}

/// One message of a gossip exchange.
struct Message {
    own: MemberRecord,
    members: Vec<MemberRecord>,
    suspects: Vec<Suspicion>,
}

/// Simulated processes, each of which starts one gossip exchange per second with a random peer.
struct Fleet {
    tables: Vec<MemberTable>,
    down: BTreeSet<usize>,
    /// Processes that cannot reach others, although others can reach them.
    isolated: BTreeSet<usize>,
    /// Processes with an index below this cannot reach the others.
    partition: usize,
    now: Instant,
    rng: Pcg64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut tables: Vec<_> = (0..count).map(|node| new_table(node, now)).collect();
        let records: Vec<_> = tables.iter().map(|table| table.own().clone()).collect();
        for table in &mut tables {
            table.merge(&records, now);
        }
        Self {
            tables,
            down: BTreeSet::new(),
            isolated: BTreeSet::new(),
            partition: 0,
            now,
            rng: Pcg64::seed_from_u64(7),
        }
    }

    fn advance_second(&mut self) {
        self.now += Duration::from_secs(1);
        for node in 0..self.tables.len() {
            if self.down.contains(&node) {
                continue;
            }
            self.tables[node].heartbeat(self.now);
            let Some(peer) = self.tables[node].pick_peer(self.now, &mut self.rng) else {
                continue;
            };
            let name = peer.node.clone();
            let peer: usize = name["agent-".len()..]
                .parse()
                .expect("the name ends in a number");
            let is_partitioned = (node < self.partition) != (peer < self.partition);
            if self.down.contains(&peer) || self.isolated.contains(&node) || is_partitioned {
                self.tables[node].mark_unreachable(&name);
                continue;
            }
            let request = self.message(node, peer);
            self.receive(peer, &request);
            let response = self.message(peer, node);
            self.receive(node, &response);
        }
    }

    fn receive(&mut self, node: usize, message: &Message) {
        let Message {
            own,
            members,
            suspects,
        } = message;
        let table = &mut self.tables[node];
        table.merge_direct(own, self.now);
        table.merge(members, self.now);
        table.merge_suspicions(&own.node, suspects, self.now);
    }

    fn message(&mut self, node: usize, peer: usize) -> Message {
        let table = &mut self.tables[node];
        Message {
            own: table.own().clone(),
            members: table.outgoing_records(self.now, BUDGET, &mut self.rng),
            suspects: table.outgoing_suspicions(Some(&format!("agent-{peer:04}")), self.now),
        }
    }

    /// Returns the number of running processes for which a member is unreachable.
    fn count_unreachable_views(&self, node: usize) -> usize {
        let name = format!("agent-{node:04}");
        let is_unreachable = |table: &MemberTable| {
            let mut known = table.known(self.now);
            known.any(|known| known.record.node == name && !known.is_reachable)
        };
        self.count(is_unreachable)
    }

    /// Returns the number of running processes whose table satisfies a predicate.
    fn count(&self, predicate: impl Fn(&MemberTable) -> bool) -> usize {
        self.tables
            .iter()
            .enumerate()
            .filter(|(node, table)| !self.down.contains(node) && predicate(table))
            .count()
    }

    /// Runs until the tables of all running processes satisfy a predicate; returns the seconds, or
    /// `None` if the limit is exceeded.
    fn seconds_until(
        &mut self,
        seconds: u32,
        predicate: impl Fn(&MemberTable) -> bool,
    ) -> Option<u32> {
        let all = self.tables.len() - self.down.len();
        for second in 0..=seconds {
            if self.count(&predicate) == all {
                return Some(second);
            }
            self.advance_second();
        }
        None
    }
}

#[test]
fn a_leaving_member_is_known_to_all_within_10_seconds_with_bounded_messages() {
    let mut fleet = Fleet::new(100);
    (0..60).for_each(|_| fleet.advance_second());
    let now = fleet.now;
    fleet.tables[7].update_own(now, |own| own.state = MemberState::Leaving);
    let leaving = |table: &MemberTable| {
        table
            .get("agent-0007")
            .is_some_and(|record| record.state == MemberState::Leaving)
    };
    let seconds = fleet.seconds_until(10, leaving);
    assert!(
        seconds.is_some(),
        "only {} of 100 processes know",
        fleet.count(leaving)
    );
}

#[test]
fn live_members_stay_responsive_and_a_dead_one_is_unresponsive_and_then_removed() {
    let mut fleet = Fleet::new(60);
    for _ in 0..120 {
        fleet.advance_second();
        let now = fleet.now;
        for node in 0..60 {
            let name = format!("agent-{node:04}");
            assert_eq!(
                fleet.count(|table| table.is_unresponsive(&name, now)),
                0,
                "{name} is unresponsive"
            );
        }
    }
    fleet.down.insert(3);
    // The last version of the dead member may spread for as long as the timeout.
    let seconds = 2 * fleet.tables[0].heartbeat_timeout().as_secs() as u32;
    (0..seconds).for_each(|_| fleet.advance_second());
    let now = fleet.now;
    assert_eq!(
        fleet.count(|table| table.is_unresponsive("agent-0003", now)),
        59
    );
    assert_eq!(fleet.count(|table| table.get("agent-0003").is_some()), 59);
    let removed = fleet.seconds_until(seconds * 4, |table| table.get("agent-0003").is_none());
    assert!(removed.is_some(), "the dead member is still known");
}

#[test]
fn a_partition_heals_after_both_sides_timed_out() {
    let mut fleet = Fleet::new(20);
    (0..20).for_each(|_| fleet.advance_second());
    fleet.partition = 8;
    let seconds = 3 * fleet.tables[0].heartbeat_timeout().as_secs();
    (0..seconds).for_each(|_| fleet.advance_second());
    let now = fleet.now;
    assert_eq!(fleet.count(|table| table.live(now).len() == 8), 8);
    assert_eq!(fleet.count(|table| table.live(now).len() == 12), 12);
    fleet.partition = 0;
    for _ in 0..60 {
        fleet.advance_second();
    }
    let now = fleet.now;
    assert_eq!(fleet.count(|table| table.live(now).len() == 20), 20);
}

#[test]
fn an_unreachable_member_gets_no_work_until_a_newer_version_is_received() {
    let now = Instant::now();
    let mut table = new_table(0, now);
    table.merge(&[record(1, 5, 1, MemberState::Live)], now);
    table.mark_unreachable("agent-0001");
    assert_eq!(table.live(now).len(), 1);
    table.merge(&[record(1, 5, 1, MemberState::Live)], now);
    assert_eq!(table.live(now).len(), 1);
    table.merge(&[record(1, 5, 2, MemberState::Live)], now);
    assert_eq!(table.live(now).len(), 2);
}

#[test]
fn a_later_process_with_the_same_name_is_detected() {
    let now = Instant::now();
    let mut table = new_table(0, now);
    table.merge(&[record(0, 1_700_000_000_000, 40, MemberState::Live)], now);
    assert_eq!(table.own().version, 41);
    assert!(!table.is_superseded());
    table.merge(&[record(0, 1_700_000_000_001, 1, MemberState::Live)], now);
    assert!(table.is_superseded());
    assert_eq!(table.own().incarnation, 1_700_000_000_000);
}

#[test]
fn the_table_is_bounded_and_members_that_left_are_evicted_first() {
    let now = Instant::now();
    let mut table = new_table(0, now);
    let records: Vec<_> = (2..8_193)
        .map(|node| record(node, 5, 1, MemberState::Live))
        .collect();
    table.merge(&records, now);
    let later = now + Duration::from_secs(1);
    table.merge(&[record(1, 5, 1, MemberState::Left)], later);
    assert_eq!(table.len(), 8_193);
    table.merge(&[record(8_193, 5, 1, MemberState::Live)], later);
    assert_eq!(table.len(), 8_193);
    assert!(table.get("agent-0001").is_none());
}

#[test]
fn in_a_large_fleet_only_direct_load_reports_count() {
    let now = Instant::now();
    let service = "chat".to_owned();
    for (count, relayed) in [(20, 19), (600, 0)] {
        let mut table = new_table(0, now);
        let records: Vec<_> = (1..count)
            .map(|node| record(node, 5, 1, MemberState::Live))
            .collect();
        table.merge(&records, now);
        assert_eq!(table.loads(&service, now).len(), relayed);
        assert_eq!(table.live_count(&service, now), count - 1);
        table.merge_direct(&record(1, 5, 2, MemberState::Live), now);
        assert_eq!(table.loads(&service, now).len(), relayed.max(1));
    }
}

#[test]
fn an_agent_picks_half_its_peers_from_its_own_service_and_some_from_other_domains() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(3);
    let mut table = new_table(0, now);
    let records: Vec<_> = (1..200)
        .map(|node| MemberRecord {
            service: Some(format!("chat-{}", node % 20)),
            ..record(node, 5, 1, MemberState::Live)
        })
        .collect();
    table.merge(&records, now);
    table.update_own(now, |own| own.service = Some("chat-4".to_owned()));
    let peers: Vec<_> = (0..1_000)
        .filter_map(|_| table.pick_peer(now, &mut rng).cloned())
        .collect();
    let service_peers = peers
        .iter()
        .filter(|peer| peer.service == table.own().service)
        .count();
    assert!(
        (400..600).contains(&service_peers),
        "{service_peers} of 1000 peers of the own service"
    );
    let others = peers
        .iter()
        .filter(|peer| peer.failure_domain != "domain-0")
        .count();
    assert!(others >= 100, "{others} of 1000 peers in other domains");
}

#[test]
fn an_unresponsive_member_is_not_sent() {
    let now = Instant::now();
    let mut table = new_table(0, now);
    table.merge(&[record(1, 5, 1, MemberState::Live)], now);
    let later = now + table.heartbeat_timeout();
    table.merge(&[record(2, 5, 1, MemberState::Live)], later);
    let sent = table.outgoing_records(later, 1_000, &mut Pcg64::seed_from_u64(1));
    assert_eq!(sent, [record(2, 5, 1, MemberState::Live)]);
}

#[test]
fn a_member_that_starts_to_leave_is_sent_first_however_often_it_was_sent_before() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = new_table(0, now);
    let records: Vec<_> = (1..20)
        .map(|node| record(node, 5, 1, MemberState::Live))
        .collect();
    table.merge(&records, now);
    for _ in 0..100 {
        table.outgoing_records(now, 4_000, &mut rng);
    }
    for node in [3, 11, 17] {
        let leaving = record(node, 5, 2, MemberState::Leaving);
        table.merge(std::slice::from_ref(&leaving), now);
        assert_eq!(table.outgoing_records(now, 100, &mut rng), [leaving]);
    }
}

fn member_state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Live),
        Just(MemberState::Leaving),
        Just(MemberState::Left)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(45),
        ..ProptestConfig::default()
    })]

    #[test]
    fn records_in_any_order_converge_and_states_never_go_back(
        records in proptest::collection::vec((1..4_usize, 1..4_u64, 1..9_u64, member_state()), 1..40),
        seed: u64,
    ) {
        let now = Instant::now();
        let records: Vec<_> = records
            .into_iter()
            .map(|(node, incarnation, version, state)| record(node, incarnation, version, state))
            .collect();
        let mut shuffled = records.clone();
        rand::seq::SliceRandom::shuffle(shuffled.as_mut_slice(), &mut Pcg64::seed_from_u64(seed));
        let mut one = new_table(0, now);
        let mut seen: BTreeMap<(String, u64), MemberState> = BTreeMap::new();
        let mut newest: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for record in &records {
            one.merge(std::slice::from_ref(record), now);
            let known = one.get(&record.node).expect("the record was merged");
            let current_version = (known.incarnation, known.version);
            let before = newest.insert(known.node.clone(), current_version);
            prop_assert!(before.is_none_or(|before| before <= current_version));
            let before = seen.insert((known.node.clone(), known.incarnation), known.state);
            prop_assert!(before.is_none_or(|before| before <= known.state), "the state went back");
        }
        let mut two = new_table(0, now);
        two.merge(&shuffled, now);
        let summary = |table: &MemberTable| -> Vec<_> {
            (1..4)
                .filter_map(|node| table.get(&format!("agent-{node:04}")))
                .map(|known| (known.node.clone(), known.incarnation, known.version, known.state))
                .collect()
        };
        // The states of an older incarnation do not matter once a newer one is known, in any order.
        prop_assert_eq!(summary(&one), summary(&two));
    }

    #[test]
    fn an_exchange_stays_within_its_byte_budget_and_lists_leaving_members_first(
        states in proptest::collection::vec(member_state(), 1..60),
        budget in 0..4_000_usize,
        seed: u64,
    ) {
        let now = Instant::now();
        let mut table = new_table(0, now);
        let records: Vec<_> = states
            .into_iter()
            .enumerate()
            .map(|(node, state)| record(node + 1, 5, 1, state))
            .collect();
        table.merge(&records, now);
        let sent = table.outgoing_records(now, budget, &mut Pcg64::seed_from_u64(seed));
        let bytes: usize = sent
            .iter()
            .map(|record| bulrushward_protocol::encode(record).expect("the record can be encoded").len())
            .sum();
        prop_assert!(bytes <= budget, "{bytes} of {budget} bytes");
        let first_live = sent.iter().position(|record| record.state == MemberState::Live);
        if let Some(first_live) = first_live {
            let leaving = records.iter().filter(|record| record.state != MemberState::Live);
            prop_assert_eq!(first_live, leaving.count());
        }
    }
}

/// Stops a member of a fleet and returns the seconds until it is unreachable for 99% of the others.
fn seconds_until_dead(count: usize, warm_up: u32) -> Option<u32> {
    let mut fleet = Fleet::new(count);
    (0..warm_up).for_each(|_| fleet.advance_second());
    fleet.down.insert(3);
    for second in 0..=120 {
        if fleet.count_unreachable_views(3) * 100 >= (count - 1) * 99 {
            return Some(second);
        }
        fleet.advance_second();
    }
    None
}

#[test]
fn a_dead_member_is_detected_within_30_seconds() {
    let seconds = seconds_until_dead(100, 60);
    println!("100 members: {seconds:?} s");
    assert!(seconds.is_some_and(|seconds| seconds <= 30), "{seconds:?}");
}

/// Lets the first processes reach no others for a minute; returns the longest time in seconds for
/// which any member was unreachable for any healthy process.
fn longest_false_suspicion(isolated: usize) -> u32 {
    const COUNT: usize = 100;
    let mut fleet = Fleet::new(COUNT);
    (0..30).for_each(|_| fleet.advance_second());
    fleet.isolated.extend(0..isolated);
    let mut since: BTreeMap<String, u32> = BTreeMap::new();
    let mut longest = 0;
    for _ in 0..60 {
        fleet.advance_second();
        let healthy = fleet.tables[isolated..].iter();
        let suspects: BTreeSet<String> = healthy
            .flat_map(|table| table.known(fleet.now).filter(|known| !known.is_reachable))
            .map(|known| known.record.node.clone())
            .collect();
        since.retain(|node, _| suspects.contains(node));
        for node in suspects {
            let seconds = since.entry(node).or_default();
            *seconds += 1;
            longest = longest.max(*seconds);
        }
    }
    longest
}

#[test]
fn processes_with_a_broken_network_do_not_convince_others_for_long() {
    for (isolated, bound) in [(1, 0), (2, 5)] {
        let seconds = longest_false_suspicion(isolated);
        println!("{isolated} isolated: {seconds} s");
        assert!(seconds <= bound, "{isolated} isolated: {seconds} s");
    }
}

#[test]
fn a_member_that_receives_a_suspicion_refutes_it() {
    let now = Instant::now();
    let mut table = new_table(0, now);
    table.merge(&[record(1, 5, 7, MemberState::Live)], now);
    let suspicion = Suspicion {
        node: "agent-0001".to_owned(),
        incarnation: 5,
        version: 9,
    };
    let suspects = [suspicion];
    for (peer, live) in [("agent-0002", 2), ("agent-0002", 2), ("agent-0003", 1)] {
        table.merge_suspicions(&peer.to_owned(), &suspects, now);
        assert_eq!(table.live(now).len(), live, "after {peer}");
    }
    assert_eq!(table.outgoing_suspicions(None, now), suspects);
    table.merge(&[record(1, 5, 9, MemberState::Live)], now);
    assert_eq!(table.live(now).len(), 1);
    let mut suspect = MemberTable::new(record(1, 5, 9, MemberState::Live), now);
    suspect.merge_suspicions(&"agent-0000".to_owned(), &suspects, now);
    assert_eq!(suspect.own().version, 10);
    table.merge(&[suspect.own().clone()], now);
    assert_eq!(table.live(now).len(), 2);
}
