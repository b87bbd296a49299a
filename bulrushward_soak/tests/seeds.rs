//! Runs short soaks with fixed seeds, among them seeds that once violated an invariant.

use std::{fs, path::PathBuf, time::Duration};

use bulrushward_soak::{SoakSettings, run};
use rstest::rstest;

/// Time during which faults are injected; long enough for each kind of fault to overlap with
/// others.
const DURATION: Duration = Duration::from_secs(6);
const ROUTERS: usize = 3;

#[rstest]
#[case::first(1)]
#[case::second(2)]
// A server once ran a request without id and organisation that no router had logged
// (KNOWN-RED.txt).
#[case::unlogged_request(32_020)]
// Two stops of one router overlapped, and the second waited for the process that the first had started.
#[case::overlapping_stops(1_796_360_009)]
// A router was paused for longer than the check of cancelled work allowed.
#[case::paused_router(1_796_361_012)]
// A fault of its link reopened the link of a crashed server, which served beside the one that replaced it.
#[case::reopened_link(8_103)]
// Servers got requests beyond their limits, in pauses that they had asked for, and after their entries returned though they
// had announced their leaving.
#[case::reports_of_servers(3_401)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seed_violates_no_invariant(#[case] seed: u64) {
    let target = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../target");
    let settings = SoakSettings {
        daemon: target.join("debug/bulrushward-directd"),
        logs: target.join("soak-tests").join(seed.to_string()),
        seed,
        duration: DURATION,
        routers: ROUTERS,
        busy_threads: 0,
    };
    // Logs are appended to.
    let _removed = fs::remove_dir_all(&settings.logs);
    let logs = settings.logs.clone();
    let report = run(settings).await.expect("the fleet starts");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.served > report.attempts / 2, "{report}");
    for router in 0..ROUTERS {
        // A router that outlives the store calls a port that may belong to another test by then.
        let log = fs::read_to_string(logs.join(format!("router-{router}.log"))).expect("a log");
        let last = log.lines().last().unwrap_or_default();
        assert!(!last.contains("event=store-lost"), "{last}");
    }
}
