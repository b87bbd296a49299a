//! A store that returns from a copy brings back nothing that routers knew to be over, and keeps nothing from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    emptied_domains::EmptiedDomains,
    server_registry::ServerRegistry,
    store_revision::{
        MAX_ERA, SETTLING_TIME, StoreEra, StoreRevision, era, position, revision_in_era,
    },
};
use proptest::{collection::vec, prelude::*};

const DOMAINS: [&str; 2] = ["a", "b"];
const SERVERS: [&str; 2] = ["s-1", "s-2"];
/// Time after the return in which operator and servers have written again what they know.
const REWRITTEN: Duration = Duration::from_secs(2);

/// Entry of a server: number of its process, and whether this is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    process: u32,
    is_leaving: bool,
}

/// What operator and servers have written last, each with the number of the write.
#[derive(Clone, Debug, Default)]
struct Contents {
    emptied: BTreeSet<usize>,
    entries: BTreeMap<usize, Entry>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Order {
        domain: usize,
    },
    Withdraw {
        domain: usize,
    },
    Restart {
        server: usize,
    },
    Leave {
        server: usize,
    },
    End {
        server: usize,
    },
    /// The store copies itself.
    Copy,
    /// The store returns from its latest copy.
    Return,
    Read {
        router: usize,
        lists: bool,
    },
    Exchange {
        from: usize,
        to: usize,
    },
    RestartRouter {
        router: usize,
    },
    Wait {
        ms: u64,
    },
}

/// The store, with what has been written to it.
#[derive(Debug, Default)]
struct Store {
    era: StoreEra,
    revision: u64,
    contents: Contents,
    /// Changed domains and servers of this era by revision.
    changes: Vec<(u64, Change)>,
    copy: (u64, Contents),
    /// What operator and servers know to be the case.
    truth: Contents,
    /// Number of changes to the orders for a domain.
    writes: [u32; DOMAINS.len()],
    processes: u32,
    returned: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Domain(usize),
    Server(usize),
}

impl Store {
    fn position(&self) -> StoreRevision {
        position(self.era, self.revision)
    }

    fn write(&mut self, change: Change) {
        self.revision += 1;
        self.changes.push((self.revision, change));
        match change {
            Change::Domain(domain) if self.truth.emptied.contains(&domain) => {
                self.contents.emptied.insert(domain);
            }
            Change::Domain(domain) => {
                self.contents.emptied.remove(&domain);
            }
            Change::Server(server) => match self.truth.entries.get(&server) {
                Some(entry) => drop(self.contents.entries.insert(server, *entry)),
                None => drop(self.contents.entries.remove(&server)),
            },
        }
    }

    fn order(&mut self, domain: usize, is_emptied: bool) {
        let has_changed = if is_emptied {
            self.truth.emptied.insert(domain)
        } else {
            self.truth.emptied.remove(&domain)
        };
        if has_changed {
            self.writes[domain] += 1;
            self.write(Change::Domain(domain));
        }
    }

    fn set_server(&mut self, server: usize, entry: Option<Entry>) {
        match entry {
            Some(entry) => self.truth.entries.insert(server, entry),
            None => self.truth.entries.remove(&server),
        };
        self.write(Change::Server(server));
    }

    fn return_from_copy(&mut self, now: Instant) {
        self.era += 1;
        (self.revision, self.contents) = self.copy.clone();
        self.changes.clear();
        self.returned = Some(now);
    }

    /// Writes again what the copy lacked, some time after the return.
    fn rewrite(&mut self, now: Instant) {
        if self.returned.is_none_or(|at| now < at + REWRITTEN) {
            return;
        }
        self.returned = None;
        for domain in 0..DOMAINS.len() {
            if self.truth.emptied.contains(&domain) != self.contents.emptied.contains(&domain) {
                self.write(Change::Domain(domain));
            }
        }
        for server in 0..SERVERS.len() {
            if self.truth.entries.get(&server) != self.contents.entries.get(&server) {
                self.write(Change::Server(server));
            }
        }
    }
}

#[derive(Debug)]
struct Router {
    registry: ServerRegistry<Entry>,
    emptied: EmptiedDomains,
    /// Orders that were read, with the number of the write.
    known_orders: BTreeMap<usize, u32>,
    /// Processes that were known to be leaving.
    leaving: BTreeSet<u32>,
}

impl Router {
    fn new() -> Self {
        let is_outdated = |listed: &Entry, known: &Entry| {
            listed.process < known.process || (listed.process == known.process && known.is_leaving)
        };
        Self {
            registry: ServerRegistry::new(is_outdated),
            emptied: EmptiedDomains::default(),
            known_orders: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    fn read(&mut self, store: &Store, lists: bool, now: Instant) {
        self.read_servers(store, lists, now);
        self.read_orders(store, lists, now);
        for (domain, name) in DOMAINS.iter().enumerate() {
            if store.contents.emptied.contains(&domain) && self.emptied.contains(name) {
                self.known_orders.insert(domain, store.writes[domain]);
            }
        }
    }

    /// Returns whether the store has the changes since a position.
    fn can_watch(store: &Store, after: StoreRevision) -> bool {
        era(after) == store.era && after > 0
    }

    fn read_servers(&mut self, store: &Store, lists: bool, now: Instant) {
        let named = |server: usize| SERVERS[server].to_owned();
        let after = self.registry.revision();
        if lists || !Self::can_watch(store, after) {
            let entries = store.contents.entries.iter();
            let listed = entries.map(|(server, entry)| (named(*server), *entry));
            let listed = listed.collect();
            self.registry.replace(listed, store.position(), now);
            return;
        }
        let written = store
            .changes
            .iter()
            .filter_map(|(revision, change)| match change {
                Change::Server(server) if *revision > revision_in_era(after) => Some(*server),
                _ => None,
            });
        let changes = written.map(|server| {
            let entry = store.contents.entries.get(&server).copied();
            (named(server), entry)
        });
        let changes: Vec<_> = changes.collect();
        let applied = self
            .registry
            .apply_changes(after, &changes, store.position(), now);
        assert!(applied);
        self.registry.use_returned(now);
    }

    fn read_orders(&mut self, store: &Store, lists: bool, now: Instant) {
        let after = self.emptied.revision().unwrap_or_default();
        if lists || !Self::can_watch(store, after) {
            let listed = store.contents.emptied.iter();
            let listed = listed.map(|domain| DOMAINS[*domain].to_owned());
            self.emptied.replace(listed, store.position(), now);
            return;
        }
        let written = store
            .changes
            .iter()
            .filter_map(|(revision, change)| match change {
                Change::Domain(domain) if *revision > revision_in_era(after) => Some(*domain),
                _ => None,
            });
        let changes = written.map(|domain| {
            let is_emptied = store.contents.emptied.contains(&domain);
            (DOMAINS[domain].to_owned(), is_emptied)
        });
        let changes: Vec<_> = changes.collect();
        let applied = self
            .emptied
            .apply_changes(after, &changes, store.position(), now);
        assert!(applied.is_some());
    }

    fn receive(&mut self, from: &Self, now: Instant) {
        if let Some(report) = from.emptied.report(now) {
            self.emptied.merge(&report, now);
        }
        if from.registry.revision() > self.registry.revision() {
            let (snapshot, revision) = (from.registry.snapshot(), from.registry.revision());
            self.registry
                .replace_from_snapshot(snapshot, revision, |entry| entry.is_leaving, now);
        }
    }

    /// Returns what has gone back, and remembers which servers leave.
    fn check(&mut self, store: &Store) -> Option<String> {
        for (domain, name) in DOMAINS.iter().enumerate() {
            let (write, is_emptied) = (store.writes[domain], self.emptied.contains(name));
            let is_in_force = store.truth.emptied.contains(&domain);
            if is_in_force && !is_emptied && self.known_orders.get(&domain) == Some(&write) {
                return Some(format!("the order for {name} is lost"));
            }
        }
        for (id, entry) in self.registry.records() {
            if entry.is_leaving {
                self.leaving.insert(entry.process);
            } else if self.leaving.contains(&entry.process) {
                return Some(format!("{id} does not leave any more"));
            }
        }
        None
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (domain, server, router) = (0..DOMAINS.len(), 0..SERVERS.len(), 0..2_usize);
    vec(
        prop_oneof![
            2 => domain.clone().prop_map(|domain| Step::Order { domain }),
            1 => domain.prop_map(|domain| Step::Withdraw { domain }),
            1 => server.clone().prop_map(|server| Step::Restart { server }),
            1 => server.clone().prop_map(|server| Step::Leave { server }),
            1 => server.prop_map(|server| Step::End { server }),
            2 => Just(Step::Copy),
            2 => Just(Step::Return),
            6 => (router.clone(), any::<bool>()).prop_map(|(router, lists)| Step::Read { router, lists }),
            3 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Exchange { from, to }),
            1 => router.prop_map(|router| Step::RestartRouter { router }),
            3 => (0..6_000_u64).prop_map(|ms| Step::Wait { ms }),
        ],
        1..50,
    )
}

fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut store = Store::default();
    for server in 0..SERVERS.len() {
        store.processes += 1;
        let entry = Entry {
            process: store.processes,
            is_leaving: false,
        };
        store.set_server(server, Some(entry));
    }
    let mut routers = [Router::new(), Router::new()];
    for step in steps {
        now += Duration::from_millis(1);
        store.rewrite(now);
        match step {
            Step::Order { domain } => store.order(domain, true),
            Step::Withdraw { domain } => store.order(domain, false),
            Step::Restart { server } => {
                store.processes += 1;
                let entry = Entry {
                    process: store.processes,
                    is_leaving: false,
                };
                store.set_server(server, Some(entry));
            }
            Step::Leave { server } => {
                if let Some(entry) = store.truth.entries.get(&server).copied() {
                    store.set_server(
                        server,
                        Some(Entry {
                            is_leaving: true,
                            ..entry
                        }),
                    );
                }
            }
            Step::End { server } => store.set_server(server, None),
            Step::Copy => store.copy = (store.revision, store.contents.clone()),
            Step::Return if store.returned.is_none() => store.return_from_copy(now),
            Step::Read { router, lists } => routers[router].read(&store, lists, now),
            Step::Exchange { from, to } if from != to => {
                let mut receiver = std::mem::replace(&mut routers[to], Router::new());
                receiver.receive(&routers[from], now);
                routers[to] = receiver;
            }
            Step::Return | Step::Exchange { .. } => {}
            Step::RestartRouter { router } => routers[router] = Router::new(),
            Step::Wait { ms } => now += Duration::from_millis(ms),
        }
        for router in &mut routers {
            router.registry.remove_lapsed(now);
            prop_assert_eq!(router.check(&store), None);
        }
    }
    // What is read after a while is what the store has.
    now += REWRITTEN;
    store.rewrite(now);
    for router in &mut routers {
        router.read(&store, false, now);
    }
    now += SETTLING_TIME;
    for router in &mut routers {
        router.read(&store, false, now);
        router.registry.remove_lapsed(now);
        let entries = router
            .registry
            .records()
            .map(|(id, entry)| (id.to_owned(), *entry));
        let expected = store.truth.entries.iter();
        let expected: Vec<_> = expected
            .map(|(server, entry)| (SERVERS[*server].to_owned(), *entry))
            .collect();
        prop_assert_eq!(entries.collect::<Vec<_>>(), expected);
        let emptied: Vec<_> = router.emptied.domains().collect();
        let expected: Vec<_> = store
            .truth
            .emptied
            .iter()
            .map(|domain| DOMAINS[*domain])
            .collect();
        prop_assert_eq!(emptied, expected);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Routers ignored all that the store listed after its return, or would have followed a copy that lacks orders in force.
    #[test]
    fn a_store_that_returns_from_a_copy_is_followed_and_undoes_nothing(steps in steps()) {
        play(steps)?;
    }
}

#[test]
fn positions_of_later_eras_are_greater() {
    let known = position(3, 9_000);
    assert_eq!((era(known), revision_in_era(known)), (3, 9_000));
    assert!(position(4, 1) > known);
    assert!(position(3, 9_001) > known);
    assert_eq!(position(0, 9_000), 9_000);
    assert_eq!(era(position(MAX_ERA + 1, u64::MAX)), MAX_ERA);
}
