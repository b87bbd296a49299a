//! Plays one seed: callers, faults and checks while they run, then all checks at the end.

use std::{
    fmt, io,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::task::JoinSet;

use crate::{
    callers::{self, Attempts, Seen},
    faults, promises,
    world::World,
};

const CALLERS: u64 = 24;
/// Time for all routers to serve, at the start and after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time without disturbance after which a router is held to times; outages are over by then.
const CALM: Duration = Duration::from_secs(3);
/// Time in which a configuration is in force at a calm router.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time in which a stopping router ends.
const STOP_TIME: Duration = Duration::from_secs(8);
/// Memory that a router stays under at this size, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 << 10;
/// Time between two looks at what routers do.
const LOOK: Duration = Duration::from_millis(200);

/// What a seed is played with.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// The daemon.
    pub daemon: PathBuf,
    /// Folder for settings and logs of the routers.
    pub logs: PathBuf,
    /// Seed of all draws.
    pub seed: u64,
    /// Time of faults.
    pub duration: Duration,
    /// Routers.
    pub routers: usize,
}

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Attempts of callers.
    pub attempts: usize,
    /// Attempts that were served.
    pub served: usize,
    /// Faults that were played.
    pub faults: usize,
    /// Checks of times at calm routers.
    pub probes: usize,
    /// Broken promises, one line each.
    pub broken: Vec<String>,
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
            self.broken.len()
        )?;
        self.broken
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// Plays a seed.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub async fn run(settings: SoakSettings) -> io::Result<SoakReport> {
    let world = World::start(&settings).await?;
    let mut broken = Vec::new();
    if !settle(&world).await {
        broken.push("promise=routers-start".to_owned());
    }
    let attempts = Arc::new(Attempts::default());
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let seed = settings.seed * CALLERS + caller;
        callers.spawn(callers::caller(
            Arc::clone(&world),
            Arc::clone(&attempts),
            seed,
        ));
    }
    let watcher = tokio::spawn(watch(Arc::clone(&world), Arc::clone(&attempts)));
    let played = faults::play(&world, settings.seed, settings.duration).await;
    if !settle(&world).await {
        broken.push("promise=routers-serve-again".to_owned());
    }
    attempts.is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let (probes, seen) = watcher.await.map_err(io::Error::other)?;
    broken.extend(seen);
    // Work that nobody waits for has ended by now.
    tokio::time::sleep(CALM / 2).await;
    let all = attempts.all();
    let ledger = world.ledger.all();
    broken.extend(promises::check(&all, &ledger));
    broken.extend(promises::check_leaving(&world, &all, &ledger));
    let served = all
        .iter()
        .filter(|attempt| matches!(&attempt.seen, Seen::Whole(answer) if answer.status == 200));
    Ok(SoakReport {
        seed: settings.seed,
        attempts: all.len(),
        served: served.count(),
        faults: played.len(),
        probes,
        broken,
    })
}

/// Waits until each router serves; returns whether that took less than its time.
async fn settle(world: &World) -> bool {
    let start = Instant::now();
    let mut probe = 0;
    for router in 0..world.caller_links.len() {
        loop {
            let written = world.written();
            let key = written.last().and_then(|last| last.config.keys.first());
            let address = world.routers()[router].address(crate::router::CALLERS_PORT);
            let id = format!("probe-settle-{router}-{probe}");
            probe += 1;
            let status =
                callers::probe(address, "/lookup/x", key.map_or("", String::as_str), &id).await;
            if status == Some(200) {
                break;
            }
            if start.elapsed() > SETTLE_TIME {
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    true
}

/// Looks after routers while they run: ends of their own, slow stops, memory, configurations in force.
async fn watch(world: Arc<World>, attempts: Arc<Attempts>) -> (usize, Vec<String>) {
    let mut broken = Vec::new();
    let mut probes = 0;
    let mut highest = vec![0; world.caller_links.len()];
    while !attempts.is_over.load(Ordering::Relaxed) {
        tokio::time::sleep(LOOK).await;
        for (router, seen) in highest.iter_mut().enumerate() {
            broken.extend(look_at_process(&world, router));
            let (was_asked, late) = look_at_config(&world, router, probes, seen).await;
            probes += usize::from(was_asked);
            broken.extend(late);
        }
    }
    (probes, broken)
}

fn look_at_process(world: &World, router: usize) -> Option<String> {
    let mut routers = world.routers();
    let process = &mut routers[router];
    let is_up = process.is_up();
    let stops_slowly = !is_up && process.undisturbed() > STOP_TIME;
    let memory = process.peak_memory_kb().unwrap_or(0);
    if is_up && process.ended() == Some(true) {
        return Some(format!("router={router} promise=runs-until-stopped"));
    }
    if stops_slowly && process.ended() == Some(false) {
        return Some(format!("router={router} promise=stops-in-its-time"));
    }
    (memory > MAX_MEMORY_KB).then(|| format!("router={router} memory_kb={memory} promise=memory"))
}

/// Asks a calm router for the newest route that must be in force, and for a key that must not be.
async fn look_at_config(
    world: &World,
    router: usize,
    probe: usize,
    highest: &mut u64,
) -> (bool, Option<String>) {
    let is_calm = || world.is_calm(CALM) && world.routers()[router].is_calm(CALM);
    let written = world.written();
    let (Some(last), true) = (written.last(), is_calm()) else {
        return (false, None);
    };
    if last.at.elapsed() < IN_FORCE || *highest == last.config.version {
        return (false, None);
    }
    let address = world.routers()[router].address(crate::router::CALLERS_PORT);
    let key = last.config.keys.first().map_or("", String::as_str);
    let path = format!("{}x", last.config.marker_prefix);
    let status = callers::probe(address, &path, key, &format!("probe-{router}-{probe}")).await;
    let is_newest =
        world.written().last().map(|newest| newest.config.version) == Some(last.config.version);
    if !is_calm() || !is_newest {
        return (false, None);
    }
    *highest = last.config.version;
    let is_old = matches!(status, Some(401 | 403 | 404));
    let late = is_old.then(|| {
        format!(
            "router={router} version={} promise=configuration-in-force",
            last.config.version
        )
    });
    (true, late)
}
