//! Tests of the versions that services have had.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use bulrushward_policy::version_history::{HistoryReport, MAX_LOOK_BACK, VersionHistory};
use proptest::{collection::vec, prelude::*};

const SERVICE: u64 = 1;
const LIFE: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

fn only(
    history: &VersionHistory,
    current: impl IntoIterator<Item = Option<u64>>,
    life: Duration,
    now: Instant,
) -> Option<u64> {
    history.origin(SERVICE, current, life, now).version()
}

#[test]
fn a_version_is_the_only_one_once_the_others_are_older_than_a_stream() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    let only_now = |history: &VersionHistory, now| only(history, [Some(2)], LIFE, now);
    history.observe(SERVICE, Some(2), start);
    assert_eq!(only_now(&history, start), None);
    history.begin(start);
    history.observe(SERVICE, Some(1), start);
    assert_eq!(only_now(&history, start + LIFE), None);
    let later = start + LIFE + SECOND;
    assert_eq!(only_now(&history, later), Some(2));
    assert_eq!(only(&history, [Some(2), None], LIFE, later), None);
    assert_eq!(only(&history, [None], LIFE, later), None);
    assert_eq!(history.origin(7, [Some(2)], LIFE, later).version(), None);
    let too_long = MAX_LOOK_BACK + SECOND;
    assert_eq!(only(&history, [Some(2)], too_long, later + too_long), None);
    history.begin(later);
    assert_eq!(only_now(&history, later), None);
}

#[test]
fn a_fleet_that_starts_for_the_first_time_has_a_complete_history() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.begin_fleet(start);
    history.observe(SERVICE, Some(1), start);
    assert_eq!(only(&history, [Some(1)], LIFE, start), Some(1));
    history.observe(SERVICE, Some(2), start);
    assert_eq!(only(&history, [Some(1)], LIFE, start), None);
}

#[test]
fn a_service_with_many_versions_has_no_single_one() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.begin_fleet(start);
    for version in 0..1_000 {
        history.observe(SERVICE, Some(version), start);
    }
    assert_eq!(only(&history, [Some(999)], LIFE, start), None);
    assert_eq!(
        VersionHistory::default().report(start),
        HistoryReport::default()
    );
}

/// A version beyond the eighth was not recorded, so that the next one counted as the only one.
#[test]
fn the_latest_of_many_versions_are_remembered() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.begin_fleet(start);
    for version in 0..9 {
        history.observe(SERVICE, Some(version), start + SECOND * version as u32);
    }
    let later = start + SECOND * 38;
    assert_eq!(only(&history, [Some(9)], LIFE, later), None);
    let (mut restored, mut report) = (VersionHistory::default(), history.report(later));
    for _ in 0..3 {
        restored.restore(&report, later);
        report = restored.report(later);
    }
    assert_eq!(only(&restored, [Some(9)], LIFE, later), None);
}

/// A step of a service.
#[derive(Clone, Debug)]
enum Step {
    /// The servers have these versions from now on.
    Servers(BTreeSet<u64>),
    /// All routers die, and one starts after some seconds with what was saved.
    Loss {
        seconds: u64,
    },
    Wait {
        seconds: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let servers = prop::collection::btree_set(0..3_u64, 0..3).prop_map(Step::Servers);
    let loss = (0..20_u64).prop_map(|seconds| Step::Loss { seconds });
    let wait = (0..40_u64).prop_map(|seconds| Step::Wait { seconds });
    vec(prop_oneof![3 => servers, 1 => loss, 3 => wait], 1..30)
}

proptest! {
    /// A stream continued at the present version, though another one may have begun it.
    #[test]
    fn no_other_version_was_there_within_the_life_of_a_stream(steps in steps()) {
        let start = Instant::now();
        let mut now = start;
        let mut history = VersionHistory::default();
        history.begin_fleet(start);
        let mut current = BTreeSet::from([0]);
        let mut last_present = [None; 3];
        last_present[0] = Some(now);
        history.observe(SERVICE, Some(0), now);
        for step in steps {
            match step {
                Step::Servers(next) => {
                    for version in current.union(&next) {
                        history.observe(SERVICE, Some(*version), now);
                        last_present[*version as usize] = Some(now);
                    }
                    current = next;
                }
                Step::Wait { seconds } => now += SECOND * seconds as u32,
                Step::Loss { seconds } => {
                    for version in &current {
                        history.observe(SERVICE, Some(*version), now);
                    }
                    let report = history.report(now);
                    now += SECOND * seconds as u32;
                    history = VersionHistory::default();
                    history.begin(now);
                    for version in &current {
                        history.observe(SERVICE, Some(*version), now);
                    }
                    history.restore(&report, now);
                }
            }
            for version in &current {
                last_present[*version as usize] = Some(now);
            }
            let servers = current.iter().map(|version| Some(*version));
            if let Some(only) = only(&history, servers, LIFE, now) {
                let others = (0..3).filter(|version| *version != only);
                let mut recent = others.filter_map(|version| last_present[version as usize]);
                prop_assert!(recent.all(|at| now - at > LIFE));
            }
        }
    }
}
