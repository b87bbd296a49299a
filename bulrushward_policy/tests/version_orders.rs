//! No order of changes, copies, saves and losses of all routers removes a version from the histories.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    stream_origin::Origin,
    version_history::{HistoryReport, VersionHistory},
};
use proptest::{collection::vec, prelude::*};

const SERVICE: u64 = 1;
const LIFE: Duration = Duration::from_secs(30);
const VERSIONS: u64 = 3;

type Versions = BTreeSet<u64>;

#[derive(Clone, Debug)]
enum Step {
    /// The servers have these versions from now on.
    Servers(Versions),
    /// A router reads all changes that it has missed.
    Read {
        router: usize,
    },
    /// A router lists the servers, as the store has dropped the changes.
    List {
        router: usize,
    },
    /// A router continues the history of another.
    Copy {
        from: usize,
        to: usize,
    },
    /// A router writes its history to the store, where it and earlier ones may be read much later.
    Save {
        router: usize,
    },
    /// All routers die; those that start read the save that is `age` writes old, if there is one.
    LoseAll {
        age: usize,
    },
    Wait {
        seconds: u32,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..1_000_usize;
    let versions = prop::collection::btree_set(0..VERSIONS, 1..3);
    vec(
        prop_oneof![
            3 => versions.prop_map(Step::Servers),
            4 => router.clone().prop_map(|router| Step::Read { router }),
            1 => router.clone().prop_map(|router| Step::List { router }),
            3 => (router.clone(), router.clone()).prop_map(|(from, to)| Step::Copy { from, to }),
            2 => router.prop_map(|router| Step::Save { router }),
            1 => (0..4_usize).prop_map(|age| Step::LoseAll { age }),
            4 => (0..40_u32).prop_map(|seconds| Step::Wait { seconds }),
        ],
        1..50,
    )
}

#[derive(Debug, Default)]
struct Router {
    history: VersionHistory,
    /// Number of changes that it has read.
    read: usize,
}

/// The changes, each with the versions that it leaves.
type Changes = Vec<Versions>;

impl Router {
    fn observe(&mut self, versions: &Versions, now: Instant) {
        for version in versions {
            self.history.observe(SERVICE, Some(*version), now);
        }
    }

    /// Reads the changes after the first `from` ones.
    fn observe_changes(&mut self, changes: &Changes, from: usize, now: Instant) {
        for versions in &changes[from.saturating_sub(1)..] {
            self.observe(versions, now);
        }
        self.read = changes.len();
    }

    fn list(&mut self, changes: &Changes, now: Instant) {
        self.history.begin(now);
        self.observe_changes(changes, changes.len(), now);
    }

    fn report(&mut self, changes: &Changes, now: Instant) -> HistoryReport {
        let known = changes[self.read - 1].clone();
        self.observe(&known, now);
        self.history.report(now)
    }
}

fn play(count: usize, steps: Vec<Step>) -> Result<u32, TestCaseError> {
    let mut now = Instant::now();
    let mut changes = vec![Versions::from([0])];
    let mut last_present = [None; VERSIONS as usize];
    let mut saves: Vec<(HistoryReport, usize)> = Vec::new();
    let mut routers: Vec<_> = (0..count).map(|_| Router::default()).collect();
    for router in &mut routers {
        router.observe_changes(&changes, 1, now);
        router.history.begin_fleet(now);
    }
    let mut believed = 0;
    for step in steps {
        match step {
            // Those that leave are present until now, as the step before recorded.
            Step::Servers(versions) => changes.push(versions),
            Step::Read { router } => {
                let router = &mut routers[router % count];
                let from = router.read;
                router.observe_changes(&changes, from, now);
            }
            Step::List { router } => routers[router % count].list(&changes, now),
            Step::Copy { from, to } => {
                let (from, to) = (from % count, to % count);
                if routers[from].read > routers[to].read {
                    let report = routers[from].report(&changes, now);
                    let before = changes[routers[to].read - 1].clone();
                    routers[to].observe(&before, now);
                    routers[to].history.restore(&report, now);
                    routers[to].read = routers[from].read;
                    let known = changes[routers[to].read - 1].clone();
                    routers[to].observe(&known, now);
                }
            }
            Step::Save { router } => {
                let router = &mut routers[router % count];
                saves.push((router.report(&changes, now), router.read));
            }
            Step::LoseAll { age } => {
                for router in &mut routers {
                    *router = Router::default();
                    router.list(&changes, now);
                    let index = saves.len().checked_sub(age + 1);
                    if let Some((report, read)) = index.map(|index| &saves[index]) {
                        router.observe_changes(&changes, *read, now);
                        router.history.restore(report, now);
                    }
                }
            }
            Step::Wait { seconds } => now += Duration::from_secs(seconds.into()),
        }
        let current = changes.last().expect("there is one");
        for version in current {
            last_present[*version as usize] = Some(now);
        }
        for router in routers.iter().filter(|router| router.read == changes.len()) {
            let versions = current.iter().map(|version| Some(*version));
            let Origin::OnlyVersion { version } =
                router.history.origin(SERVICE, versions, LIFE, now)
            else {
                continue;
            };
            believed += 1;
            let others = (0..VERSIONS).filter(|other| *other != version);
            let mut present = others.filter_map(|other| last_present[other as usize]);
            prop_assert!(present.all(|at| now - at > LIFE), "not only {version}");
        }
    }
    Ok(believed)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A stream continued at the present version, though another one may have begun it.
    #[test]
    fn a_version_is_the_only_one_only_if_no_other_was_there(count in 2..6_usize, steps in steps()) {
        play(count, steps)?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4))]

    #[test]
    fn no_router_of_a_large_fleet_misses_a_version(
        count in prop_oneof![Just(68_usize), Just(1_000)],
        steps in steps(),
    ) {
        play(count, steps)?;
    }
}

/// Guards the tests above against histories without content.
#[test]
fn what_was_saved_is_believed_after_the_loss_of_all_routers() {
    let steps = [
        Step::Save { router: 0 },
        Step::Wait { seconds: 1 },
        Step::LoseAll { age: 0 },
    ];
    assert!(play(3, steps.to_vec()).is_ok_and(|believed| believed >= 9));
}
