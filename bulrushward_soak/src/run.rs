//! Runs one seed: callers, faults and continuous checks, then the checks of all attempts.

use std::{
    fmt, io,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::task::JoinSet;

use crate::{
    balancer,
    busy::BusyThreads,
    callers::{self, AttemptResult, Attempts},
    faults,
    harness::Harness,
    invariants, planned_stops, report_checks, whole_responses,
};

/// Smallest number of callers.
const MIN_CALLERS: u64 = 48;
/// Number of callers for each router of a large fleet.
const CALLERS_PER_ROUTER: u64 = 8;
/// Time in which all routers must serve, at the start and after the last fault.
const SERVING_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without disturbance after which the time limits of a router are checked; the effects of
/// an outage are over by then.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);
/// Time in which a configuration must be active at an undisturbed router.
const ACTIVATION_TIME: Duration = Duration::from_secs(2);
/// Time in which a stopping router must end.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Limit of a router's peak memory in a fleet of this size, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 << 10;
/// Interval at which routers are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Settings of the run of one seed.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the router daemon.
    pub daemon: PathBuf,
    /// Directory for the settings and logs of the routers.
    pub logs: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of threads that are kept busy while faults are injected.
    pub busy_threads: usize,
}

/// Result of the run of one seed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub attempts: usize,
    /// Number of these requests that got a complete response with status 200.
    pub served: usize,
    /// Number of injected random faults.
    pub faults: usize,
    /// Number of checks of the active configuration at undisturbed routers.
    pub probes: usize,
    /// Violated invariants, one line each; the lines call an invariant a promise.
    pub violations: Vec<String>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed={} attempts={} served={} faults={} probes={} broken={}",
            self.seed,
            self.attempts,
            self.served,
            self.faults,
            self.probes,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub async fn run(settings: SoakSettings) -> io::Result<SoakReport> {
    let harness = Harness::start(&settings).await?;
    let mut violations = Vec::new();
    if !wait_until_serving(&harness).await {
        violations.push("promise=routers-start".to_owned());
    }
    let attempts = Arc::new(Attempts::default());
    let mut callers = JoinSet::new();
    let routers = harness.caller_links.len();
    let caller_count = MIN_CALLERS.max(routers as u64 * CALLERS_PER_ROUTER);
    for caller in 0..caller_count {
        let seed = settings.seed * caller_count + caller;
        callers.spawn(callers::caller(
            Arc::clone(&harness),
            Arc::clone(&attempts),
            seed,
        ));
    }
    for router in 0..routers {
        callers.spawn(balancer::probe_readiness(
            Arc::clone(&harness),
            Arc::clone(&attempts),
            router,
        ));
    }
    let monitor = tokio::spawn(monitor_routers(Arc::clone(&harness), Arc::clone(&attempts)));
    let busy_threads = BusyThreads::start(settings.busy_threads);
    let injected = faults::inject_faults(&harness, settings.seed, settings.duration).await;
    drop(busy_threads);
    if !wait_until_serving(&harness).await {
        violations.push("promise=routers-serve-again".to_owned());
    }
    attempts.is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let (probes, found) = monitor.await.map_err(io::Error::other)?;
    violations.extend(found);
    // Gives servers time to cancel the work of callers that have disconnected.
    tokio::time::sleep(UNDISTURBED_TIME / 2).await;
    let all = attempts.all();
    let execution_log = harness.execution_log.all();
    violations.extend(invariants::check(&all, &execution_log, &harness.outages()));
    violations.extend(whole_responses::check(&all));
    violations.extend(whole_responses::check_completions(
        &harness,
        &all,
        &execution_log,
    ));
    violations.extend(invariants::check_leaving(&harness, &all, &execution_log));
    violations.extend(invariants::check_emptied(&harness, &all, &execution_log));
    violations.extend(invariants::check_cold(&harness));
    violations.extend(invariants::check_versions(&all));
    violations.extend(invariants::check_poison(&harness, &all));
    violations.extend(report_checks::check(&harness, &all));
    violations.extend(report_checks::check_limits(&harness, &all));
    violations.extend(planned_stops::check(&harness, &all, &execution_log));
    let served = all.iter().filter(|attempt| {
        matches!(&attempt.result, AttemptResult::Complete(response) if response.status == 200)
    });
    Ok(SoakReport {
        seed: settings.seed,
        attempts: all.len(),
        served: served.count(),
        faults: injected.len(),
        probes,
        violations,
    })
}

/// Waits until each router serves; returns whether all did so within [`SERVING_TIMEOUT`].
async fn wait_until_serving(harness: &Harness) -> bool {
    let start = Instant::now();
    let mut probe = 0;
    for router in 0..harness.caller_links.len() {
        loop {
            let written_configs = harness.written_configs();
            let key = written_configs
                .last()
                .and_then(|last| last.config.keys.first());
            let address = harness.routers()[router].address(crate::router::CALLERS_PORT);
            let id = format!("probe-settle-{router}-{probe}");
            probe += 1;
            let status =
                callers::probe(address, "/lookup/x", key.map_or("", String::as_str), &id).await;
            if status == Some(200) {
                break;
            }
            if start.elapsed() > SERVING_TIMEOUT {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    true
}

/// Checks routers while they run: unexpected ends, slow stops, memory and active configuration.
///
/// Returns the number of probes and the violations.
async fn monitor_routers(harness: Arc<Harness>, attempts: Arc<Attempts>) -> (usize, Vec<String>) {
    let mut violations = Vec::new();
    let mut probes = 0;
    let mut checked_versions = vec![0; harness.caller_links.len()];
    while !attempts.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
        harness.update_warm_servers();
        for (router, checked_version) in checked_versions.iter_mut().enumerate() {
            violations.extend(check_process(&harness, router));
            let (was_probed, violation) =
                check_active_config(&harness, router, probes, checked_version).await;
            probes += usize::from(was_probed);
            violations.extend(violation);
        }
    }
    (probes, violations)
}

fn check_process(harness: &Harness, router: usize) -> Option<String> {
    let mut routers = harness.routers();
    let process = &mut routers[router];
    let is_up = process.is_up();
    let stops_slowly = !is_up && process.time_since_disturbance() > STOP_TIMEOUT;
    let memory = process.peak_memory_kb().unwrap_or(0);
    if is_up && process.has_ended() == Some(true) {
        return Some(format!("router={router} promise=runs-until-stopped"));
    }
    if stops_slowly && process.has_ended() == Some(false) {
        return Some(format!("router={router} promise=stops-in-its-time"));
    }
    (memory > MAX_MEMORY_KB).then(|| format!("router={router} memory_kb={memory} promise=memory"))
}

/// Probes an undisturbed router for the route and key of the newest configuration.
///
/// Returns whether the probe counts and the violation, if there is one. A probe does not count if
/// a disturbance or another configuration overlaps with it.
async fn check_active_config(
    harness: &Harness,
    router: usize,
    probe: usize,
    checked_version: &mut u64,
) -> (bool, Option<String>) {
    let is_undisturbed = || {
        harness.is_undisturbed(UNDISTURBED_TIME)
            && harness.routers()[router].is_undisturbed(UNDISTURBED_TIME)
    };
    let written_configs = harness.written_configs();
    let (Some(last), true) = (written_configs.last(), is_undisturbed()) else {
        return (false, None);
    };
    if last.at.elapsed() < ACTIVATION_TIME || *checked_version == last.config.version {
        return (false, None);
    }
    let address = harness.routers()[router].address(crate::router::CALLERS_PORT);
    let key = last.config.keys.first().map_or("", String::as_str);
    let path = format!("{}x", last.config.marker_prefix);
    let status = callers::probe(address, &path, key, &format!("probe-{router}-{probe}")).await;
    let is_newest = harness
        .written_configs()
        .last()
        .map(|newest| newest.config.version)
        == Some(last.config.version);
    if !is_undisturbed() || !is_newest {
        return (false, None);
    }
    *checked_version = last.config.version;
    let has_old_config = matches!(status, Some(401 | 403 | 404));
    let violation = has_old_config.then(|| {
        format!(
            "router={router} version={} promise=configuration-in-force",
            last.config.version
        )
    });
    (true, violation)
}
