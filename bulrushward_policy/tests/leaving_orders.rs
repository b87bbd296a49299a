//! No order of entries, announcements, copies between routers, outages and restarts brings a leaving server back.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_registry::{ServerRegistry, StoreRevision},
    server_reports::{EntryKey, ServerReport, ServerReports, Withheld},
};
use proptest::{collection::vec, prelude::*};

const IDS: [&str; 2] = ["a", "b"];
/// Address of all servers, so that restarts are at the same one.
const ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000));
const LEAVING: ServerReport = ServerReport {
    is_leaving: true,
    pause_s: None,
    limit: None,
};

/// A process of a server, unknown to routers.
type Process = u32;

/// An entry, with the process that wrote it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    process: Process,
    names_start: bool,
    is_leaving: bool,
    /// Store revision at which it was written.
    written: StoreRevision,
}

impl Entry {
    fn key(self, id: usize) -> EntryKey {
        let start = if self.names_start {
            self.process + 1
        } else {
            0
        };
        EntryKey {
            id: id as u64,
            server: (id as u32) << 16 | start,
            names_start: self.names_start,
            address: ADDRESS,
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A process writes its entry, as one that stays or leaves.
    Write {
        id: usize,
        names_start: bool,
        leaves: bool,
    },
    /// A new process has the id.
    Restart {
        id: usize,
        names_start: bool,
    },
    /// The entry is removed, as its server has left or its lease has expired.
    Remove {
        id: usize,
    },
    /// A router reads a response that announces the leaving of a server, if it sends one.
    Announce {
        router: usize,
        id: usize,
    },
    /// Calls of a router to the store fail from now on.
    Cut {
        router: usize,
    },
    /// The store responds to a router with all changes, or lists all entries.
    Read {
        router: usize,
        lists: bool,
    },
    /// A router copies what another one knows.
    Copy {
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

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let id = 0..IDS.len();
    let router = 0..1_000_usize;
    let flag = any::<bool>();
    vec(
        prop_oneof![
            3 => (id.clone(), flag, any::<bool>())
                .prop_map(|(id, names_start, leaves)| Step::Write { id, names_start, leaves }),
            1 => (id.clone(), flag).prop_map(|(id, names_start)| Step::Restart { id, names_start }),
            1 => id.clone().prop_map(|id| Step::Remove { id }),
            3 => (router.clone(), id).prop_map(|(router, id)| Step::Announce { router, id }),
            2 => router.clone().prop_map(|router| Step::Cut { router }),
            4 => (router.clone(), flag).prop_map(|(router, lists)| Step::Read { router, lists }),
            4 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Copy { from, to }),
            1 => router.prop_map(|router| Step::RestartRouter { router }),
            3 => (0..3_000_u64).prop_map(|ms| Step::Wait { ms }),
        ],
        1..60,
    )
}

#[derive(Debug, Default)]
struct Router {
    registry: ServerRegistry<Entry>,
    reports: ServerReports,
    is_cut: bool,
    /// Processes that announced their leaving to this router.
    announced: BTreeSet<Process>,
    /// Processes that this router's registry showed as leaving or gone, and up to which revision.
    told: BTreeMap<Process, StoreRevision>,
    /// Processes that were registered.
    registered: BTreeSet<Process>,
}

#[derive(Debug, Default)]
struct Store {
    revision: StoreRevision,
    entries: BTreeMap<usize, Entry>,
    changes: Vec<(StoreRevision, usize, Option<Entry>)>,
    /// The latest process of each id, and whether it leaves.
    processes: [(Process, bool); IDS.len()],
    started: Process,
}

impl Store {
    fn write(&mut self, id: usize, entry: Option<Entry>) {
        self.revision += 1;
        self.changes.push((self.revision, id, entry));
        match entry {
            Some(entry) => self.entries.insert(id, entry),
            None => self.entries.remove(&id),
        };
    }

    fn restart(&mut self, id: usize) {
        self.started += 1;
        self.processes[id] = (self.started, false);
    }

    /// Writes the entry of the present process.
    fn register(&mut self, id: usize, names_start: bool, leaves: bool) {
        self.processes[id].1 |= leaves;
        let (process, is_leaving) = self.processes[id];
        let entry = Entry {
            process,
            names_start,
            is_leaving,
            written: self.revision + 1,
        };
        self.write(id, Some(entry));
    }
}

impl Router {
    /// Publishes the entries of the registry, as each change of the registered servers does.
    fn publish(&mut self, now: Instant) {
        for (id, entry) in self.registry.records() {
            let id = IDS
                .iter()
                .position(|known| *known == id)
                .expect("the id is known");
            self.reports.observe_entry(entry.key(id), now);
            if entry.is_leaving {
                self.told
                    .entry(entry.process)
                    .or_insert(self.registry.revision());
            }
        }
        let records = self.registry.records().map(|(_, entry)| entry.process);
        let registered: BTreeSet<_> = records.collect();
        for gone in self.registered.difference(&registered) {
            self.told.insert(*gone, self.registry.revision());
        }
        self.registered = registered;
    }

    fn read(&mut self, store: &Store, lists: bool, now: Instant) {
        self.is_cut = false;
        self.registry.store_responded(now);
        let named = |id: usize| IDS[id].to_owned();
        if lists {
            let listed = store.entries.iter().map(|(id, entry)| (named(*id), *entry));
            self.registry.replace(listed.collect(), store.revision, now);
        } else {
            let base = self.registry.revision();
            let missed = store
                .changes
                .iter()
                .filter(|(revision, ..)| *revision > base);
            let missed: Vec<_> = missed.map(|(_, id, entry)| (named(*id), *entry)).collect();
            self.registry
                .apply_changes(base, &missed, store.revision, now);
        }
        self.registry.remove_lapsed(now);
        self.publish(now);
    }

    fn copy(&mut self, from: &Self, now: Instant) {
        if from.registry.revision() <= self.registry.revision() {
            return;
        }
        let (snapshot, revision) = (from.registry.snapshot(), from.registry.revision());
        let is_leaving = |entry: &Entry| entry.is_leaving;
        self.registry
            .replace_from_snapshot(snapshot, revision, is_leaving, now);
        self.publish(now);
    }

    /// Returns the entries of the servers to which this router would send a request.
    fn sends_to(&self, now: Instant) -> Vec<Entry> {
        let records = self
            .registry
            .records()
            .filter(|(_, entry)| !entry.is_leaving);
        let sends = records.filter(|(id, entry)| {
            let id = IDS
                .iter()
                .position(|known| known == id)
                .expect("the id is known");
            self.reports.withheld(entry.key(id).server, now) != Some(Withheld::Leaving)
        });
        sends.map(|(_, entry)| *entry).collect()
    }
}

fn play(count: usize, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut now = start;
    let mut store = Store::default();
    for id in 0..IDS.len() {
        store.restart(id);
        store.register(id, true, false);
    }
    let mut routers: Vec<_> = (0..count).map(|_| Router::default()).collect();
    for router in &mut routers {
        router.read(&store, true, now);
    }
    for step in steps {
        now += Duration::from_millis(1);
        let mut touched = None;
        match step {
            Step::Write {
                id,
                names_start,
                leaves,
            } => store.register(id, names_start, leaves),
            Step::Restart { id, names_start } => {
                store.restart(id);
                store.register(id, names_start, false);
            }
            Step::Remove { id } => store.write(id, None),
            Step::Announce { router, id } => {
                let router = &mut routers[router % count];
                let (process, _) = store.processes[id];
                let entry = router
                    .registry
                    .records()
                    .find(|(known, _)| *known == IDS[id]);
                // Only a registered process is sent a request, and responds.
                if let Some((_, entry)) = entry.filter(|(_, entry)| entry.process == process) {
                    let server = entry.key(id).server;
                    router.reports.record(server, &LEAVING, Some(now), now);
                    router.announced.insert(process);
                    store.processes[id].1 = true;
                }
            }
            Step::Cut { router } => {
                let router = &mut routers[router % count];
                router.is_cut = true;
                router.registry.store_failed(now);
            }
            Step::Read { router, lists } => {
                touched = Some(router % count);
                routers[router % count].read(&store, lists, now);
            }
            Step::Copy { from, to } => {
                let (from, to) = (from % count, to % count);
                if from != to {
                    touched = Some(to);
                    let mut taken = std::mem::take(&mut routers[to]);
                    taken.copy(&routers[from], now);
                    routers[to] = taken;
                }
            }
            Step::RestartRouter { router } => routers[router % count] = Router::default(),
            Step::Wait { ms } => {
                now += Duration::from_millis(ms);
                for router in &mut routers {
                    router.registry.remove_lapsed(now);
                }
            }
        }
        let all = 0..count;
        for router in touched
            .map_or(all, |index| index..index + 1)
            .map(|index| &routers[index])
        {
            for Entry {
                process, written, ..
            } in router.sends_to(now)
            {
                prop_assert!(!router.announced.contains(&process), "announced {process}");
                let told = router.told.get(&process);
                prop_assert!(told.is_none_or(|told| written > *told), "told {process}");
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Requests reached servers that the router knew to be leaving.
    #[test]
    fn a_server_of_which_a_router_knows_that_it_leaves_gets_no_request_from_it(
        count in prop_oneof![40 => 2..4_usize, 1 => Just(68_usize)],
        steps in steps(),
    ) {
        play(count, steps)?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4))]

    #[test]
    fn in_a_fleet_of_a_thousand_routers_a_leaving_server_gets_no_request(steps in steps()) {
        play(1_000, steps)?;
    }
}
