//! Injects overlapping faults: signals to routers, faults of links, store and servers, and changes of the
//! configuration and of the servers.

use std::{
    io,
    ops::Range,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bulrushward_fakes::{Direction, FaultyProxy, NetworkFault};
use bulrushward_platform_stand_in::FaultRates;
use nix::sys::signal::Signal;
use rand::{
    Rng, RngExt, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::{
    fault_log::FaultGuard,
    harness::{COLD_TIME, DOMAINS, Harness, SoakServer, failure_domain},
    invariants::{Outage, OutagePlace},
    process_ends,
};

/// Time between the starts of two faults, in milliseconds; shorter than most faults, so that
/// faults overlap.
const FAULT_INTERVAL_MS: Range<u64> = 150..900;
/// Number of random faults in a series. After each series, a server leaves, a key is revoked and a failure domain is
/// emptied without other faults, so that the time limits of these changes can be checked, and then all routers stop and start
/// one after another.
const FAULTS_PER_SERIES: usize = 8;
/// Time without other faults before and after each of these phases; longer than the undisturbed time
/// after which the time limits of routers are checked.
const QUIET_TIME: Duration = Duration::from_millis(3_400);
/// Time between the stops of two routers in the rolling stops, in milliseconds; shorter than a stop, so that
/// stops overlap.
const STOP_INTERVAL_MS: Range<u64> = 200..1_500;
/// Share of responses that pause during the rolling stops.
const PAUSE_RATE: Range<f64> = 0.05..0.3;
/// Longest time for which a router waits for a response of the store.
const LONGEST_STORE_CALL: Duration = Duration::from_millis(12_800);
/// Interval at which the end of a process or of a server's work is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A kind of fault.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Fault {
    RouterStops,
    RouterKilled,
    /// SIGSTOP, and SIGCONT after a while.
    RouterPauses,
    /// SIGHUP.
    RouterReloads,
    AllRoutersKilled,
    /// The store rejects all calls for a while.
    StoreBusy,
    /// The link holds back all bytes for a while.
    StoreLinkHangs,
    /// The existing connections of the link stall permanently.
    StoreLinkSilent,
    StoreLinkSlow,
    /// The store discards its history of changes.
    StoreForgets,
    ServerCrashes,
    /// Requests at the server fail at random for a while.
    ServerFails,
    /// A server says in its responses that it is leaving, and in its entry at once or later.
    ServerLeaves,
    /// A server rejects requests and asks for a pause.
    ServerPauses,
    /// Half of the servers of a service name limits.
    ServersLimit,
    /// The existing connections of the link stall permanently.
    ServerLinkSilent,
    /// The existing connections of the link are closed.
    ServerLinkCut,
    /// The existing connections of the link stall permanently in the direction from the server.
    ServerLinkOneWay,
    /// The link is slow or holds back all bytes for a while.
    ServerLinkSlow,
    /// The existing connections of the link are closed.
    CallerLinkCut,
    /// The existing connections of the link stall permanently.
    CallerLinkSilent,
    ConfigChanges,
    KeyRevoked,
    /// The operator empties a failure domain and takes it back after a while.
    DomainEmptied,
    /// All servers of a failure domain crash and come back cold in a crowd.
    DomainReturnsCold,
    /// Callers send prompts with a part under which engines crash; these are replaced after a while.
    PoisonArrives,
    /// The links of some servers hold back the bytes of one direction or both, and deliver them later.
    ServerLinksHeld,
}

/// Faults that each series of random faults has in addition; all others are drawn at random.
const SERIES_FAULTS: [Fault; 4] = [
    Fault::DomainEmptied,
    Fault::DomainReturnsCold,
    Fault::PoisonArrives,
    Fault::ServerLinksHeld,
];
/// Share of the servers whose links hold bytes back.
const HELD_SHARE: f64 = 0.4;
/// Time for which they do, in milliseconds; longer than most requests wait.
const HELD_MS: Range<u64> = 1_000..6_000;
/// Limits that servers name, in requests per second.
const LIMITS: Range<f64> = 0.5..6.0;
/// Time for which servers name limits; longer than the time after which they hold.
const LIMITED_TIME: Duration = Duration::from_millis(7_500);
/// Time for which callers send prompts under which engines crash.
const POISON_TIME: Duration = Duration::from_secs(5);
/// Time after which an engine that crashed is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether engines have crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a failure domain is emptied, in milliseconds; longer than the time limit of the order.
const EMPTIED_MS: Range<u64> = 3_000..7_000;

/// Injects random faults for `duration`; returns them without the changes that follow each series.
pub(crate) async fn inject_faults(
    harness: &Arc<Harness>,
    seed: u64,
    duration: Duration,
) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut series_rng = Pcg64Mcg::seed_from_u64(seed ^ 1);
    let kinds: Vec<_> = Fault::iter()
        .filter(|fault| !SERIES_FAULTS.contains(fault))
        .collect();
    let end = tokio::time::Instant::now() + duration;
    let mut injected = Vec::new();
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
        let fault = *kinds.choose(&mut rng).expect("there are kinds");
        if injected.len() % FAULTS_PER_SERIES == 0 {
            for fault in SERIES_FAULTS {
                let harness = Arc::clone(harness);
                running.spawn(inject_or_report(harness, fault, series_rng.next_u64()));
            }
            let seed = seed ^ injected.len() as u64;
            running.spawn(process_ends::end_processes(Arc::clone(harness), !seed));
        }
        injected.push(fault);
        running.spawn(inject_or_report(Arc::clone(harness), fault, rng.next_u64()));
        if injected.len() % FAULTS_PER_SERIES == 0 {
            while running.join_next().await.is_some() {}
            tokio::time::sleep(QUIET_TIME).await;
            for change in [
                Fault::ServerLeaves,
                Fault::ServerPauses,
                Fault::ServersLimit,
                Fault::KeyRevoked,
            ] {
                running.spawn(inject_or_report(
                    Arc::clone(harness),
                    change,
                    rng.next_u64(),
                ));
            }
            // The order outlasts the stops of some routers.
            running.spawn(inject_or_report(
                Arc::clone(harness),
                Fault::DomainEmptied,
                series_rng.next_u64(),
            ));
            tokio::time::sleep(QUIET_TIME).await;
            roll_stops(harness, &mut rng).await;
            tokio::time::sleep(QUIET_TIME).await;
            // Without other faults, as what routers have to know of it is checked at undisturbed ones.
            inject_or_report(Arc::clone(harness), Fault::PoisonArrives, rng.next_u64()).await;
        }
    }
    while running.join_next().await.is_some() {}
    injected
}

/// Stops and starts all routers, each before the one before it has ended, while servers pause now and then.
async fn roll_stops(harness: &Arc<Harness>, rng: &mut Pcg64Mcg) {
    let set_pause_rate = |paused| {
        for server in harness.servers() {
            server.fake_server.set_fault_rates(FaultRates {
                paused,
                ..FaultRates::default()
            });
        }
    };
    set_pause_rate(rng.random_range(PAUSE_RATE));
    let mut routers: Vec<_> = (0..harness.store_links.len()).collect();
    routers.shuffle(rng);
    let mut stops = tokio::task::JoinSet::new();
    for router in routers {
        let harness = Arc::clone(harness);
        stops.spawn(async move {
            let _logged = log_router_fault(&harness, Fault::RouterStops, router);
            if let Err(error) = stop_router(&harness, router).await {
                eprintln!("cannot start router {router}: {error}");
            }
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(STOP_INTERVAL_MS))).await;
    }
    while stops.join_next().await.is_some() {}
    set_pause_rate(0.0);
}

/// Logs a fault that concerns a router, the store or the configuration.
fn log_router_fault(harness: &Harness, fault: Fault, router: usize) -> FaultGuard<'_> {
    let log = &harness.fault_log;
    match fault {
        Fault::AllRoutersKilled => log.begin(fault, "router=all"),
        Fault::StoreBusy
        | Fault::StoreForgets
        | Fault::ConfigChanges
        | Fault::KeyRevoked
        | Fault::DomainEmptied => log.begin(fault, "store"),
        _ => {
            let process = harness.routers()[router].process_id().unwrap_or(0);
            log.begin(fault, format_args!("router={router} process={process}"))
        }
    }
}

async fn inject_or_report(harness: Arc<Harness>, fault: Fault, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    if let Err(error) = inject(&harness, fault, &mut rng).await {
        eprintln!("cannot inject fault {fault}: {error}");
    }
}

async fn inject(harness: &Harness, fault: Fault, rng: &mut Pcg64Mcg) -> io::Result<()> {
    let router = rng.random_range(0..harness.store_links.len());
    let time = Duration::from_millis(rng.random_range(200..2_500));
    let is_server_fault = matches!(
        fault,
        Fault::ServerCrashes
            | Fault::ServerFails
            | Fault::ServerLeaves
            | Fault::ServerPauses
            | Fault::ServersLimit
            | Fault::ServerLinkSilent
            | Fault::ServerLinkCut
            | Fault::ServerLinkOneWay
            | Fault::ServerLinkSlow
    );
    if is_server_fault {
        inject_server_fault(harness, fault, rng, time).await
    } else if fault == Fault::PoisonArrives {
        let _logged = harness.fault_log.begin(fault, "engines");
        send_poison(harness, rng).await
    } else if fault == Fault::ServerLinksHeld {
        let _logged = harness.fault_log.begin(fault, "servers");
        hold_links(harness, rng).await;
        Ok(())
    } else {
        let _logged = log_router_fault(harness, fault, router);
        inject_router_fault(harness, fault, router, rng, time).await
    }
}

/// Injects a fault of a router, of its links, of the store or of the configuration.
async fn inject_router_fault(
    harness: &Harness,
    fault: Fault,
    router: usize,
    rng: &mut Pcg64Mcg,
    time: Duration,
) -> io::Result<()> {
    match fault {
        Fault::RouterStops => stop_router(harness, router).await,
        Fault::RouterKilled => kill_router(harness, router, time / 2).await,
        Fault::RouterPauses => {
            harness.routers()[router].signal(Signal::SIGSTOP);
            tokio::time::sleep(time).await;
            harness.routers()[router].signal(Signal::SIGCONT);
            Ok(())
        }
        Fault::RouterReloads => {
            harness.routers()[router].signal(Signal::SIGHUP);
            Ok(())
        }
        Fault::AllRoutersKilled => {
            for router in 0..harness.store_links.len() {
                harness.routers()[router].kill();
            }
            tokio::time::sleep(time / 4).await;
            for router in 0..harness.store_links.len() {
                start_router(harness, router)?;
            }
            Ok(())
        }
        Fault::StoreBusy => {
            let from = Instant::now();
            harness.store.set_busy(true);
            harness.record_disturbance();
            tokio::time::sleep(time).await;
            harness.store.set_busy(false);
            harness.record_disturbance();
            record_outage(harness, OutagePlace::Store, from, Instant::now());
            Ok(())
        }
        Fault::StoreLinkHangs | Fault::StoreLinkSlow => {
            let hangs = fault == Fault::StoreLinkHangs;
            let from = Instant::now();
            disturb_link(harness, &harness.store_links[router], hangs, time).await;
            if hangs {
                record_outage(
                    harness,
                    OutagePlace::StoreLink(router),
                    from,
                    Instant::now(),
                );
            }
            harness.routers()[router].record_disturbance(false);
            Ok(())
        }
        Fault::StoreLinkSilent => {
            let from = Instant::now();
            stall_link(harness, &harness.store_links[router]);
            let place = OutagePlace::StoreLink(router);
            record_outage(harness, place, from, from + LONGEST_STORE_CALL);
            Ok(())
        }
        Fault::StoreForgets => {
            harness.store.drop_history();
            harness.record_disturbance();
            Ok(())
        }
        Fault::CallerLinkCut => {
            harness.record_disturbance();
            harness.caller_links[router].close_connections();
            Ok(())
        }
        Fault::CallerLinkSilent => {
            harness.record_link_outage(Outage {
                place: OutagePlace::Router(router),
                from: Instant::now(),
                until: None,
            });
            stall_link(harness, &harness.caller_links[router]);
            Ok(())
        }
        Fault::ConfigChanges => {
            let keys = harness
                .written_configs()
                .last()
                .map(|last| last.config.keys.clone());
            harness.write_config(keys.unwrap_or_default());
            Ok(())
        }
        Fault::KeyRevoked => {
            harness.write_config(vec![format!("key-{}", rng.next_u32())]);
            Ok(())
        }
        Fault::DomainEmptied => {
            let domain = DOMAINS.choose(rng).expect("there are failure domains");
            if harness.empty_domain(domain) {
                let time = Duration::from_millis(rng.random_range(EMPTIED_MS));
                tokio::time::sleep(time).await;
                harness.take_domain_back(domain);
            }
            Ok(())
        }
        Fault::DomainReturnsCold => return_domain_cold(harness, rng, time).await,
        other => unreachable!("{other} is a fault of a server"),
    }
}

/// Crashes all servers of a failure domain and starts them again, cold and in a crowd.
async fn return_domain_cold(
    harness: &Harness,
    rng: &mut Pcg64Mcg,
    time: Duration,
) -> io::Result<()> {
    let domain = DOMAINS.choose(rng).expect("there are failure domains");
    harness.record_disturbance();
    let mut servers = harness.servers();
    servers.retain(|server| failure_domain(&server.fake_server.id) == *domain);
    for server in &servers {
        server.proxy.take_down().await;
    }
    tokio::time::sleep(time).await;
    harness.set_crowded(true);
    for server in servers {
        let id = &server.fake_server.id;
        // A server that has been marked as leaving meanwhile does not come back.
        if let Some(known) = harness.remove_server(id) {
            // Another fault may have restarted it at its address.
            process_ends::end_process(harness, &known).await;
            harness.add_server(id, server.service, true).await?;
        }
    }
    tokio::time::sleep(COLD_TIME).await;
    harness.set_crowded(false);
    harness.record_disturbance();
    Ok(())
}

/// Lets the links of some servers hold back bytes for a while.
async fn hold_links(harness: &Harness, rng: &mut Pcg64Mcg) {
    let directions = [None, Some(Direction::ToTarget), Some(Direction::FromTarget)];
    let mut servers = harness.servers();
    servers.retain(|_| rng.random_bool(HELD_SHARE));
    let time = Duration::from_millis(rng.random_range(HELD_MS));
    let hold = *directions.choose(rng).expect("there are directions");
    let from = Instant::now();
    harness.record_disturbance();
    for server in &servers {
        let change = |fault: &mut NetworkFault| (fault.hang, fault.hold) = (hold.is_none(), hold);
        server.proxy.change_fault(change).await;
    }
    tokio::time::sleep(time).await;
    for server in &servers {
        let change = |fault: &mut NetworkFault| (fault.hang, fault.hold) = (false, None);
        server.proxy.change_fault(change).await;
        let place = OutagePlace::Server(server.fake_server.id.clone());
        record_outage(harness, place, from, Instant::now());
    }
    harness.record_disturbance();
}

/// Lets callers send prompts under which engines crash, and replaces these engines after a while.
async fn send_poison(harness: &Harness, rng: &mut Pcg64Mcg) -> io::Result<()> {
    let end = Instant::now() + POISON_TIME;
    let mut crashed: Vec<(Instant, Arc<SoakServer>)> = Vec::new();
    harness.is_poisoned.store(true, Ordering::Relaxed);
    // Requests that were sent before the end arrive a little later.
    while Instant::now() < end + REPLACEMENT_TIME * 2 || !crashed.is_empty() {
        if Instant::now() >= end {
            harness.is_poisoned.store(false, Ordering::Relaxed);
        }
        for server in harness.servers() {
            let id = &server.fake_server.id;
            if server.fake_server.has_crashed() && harness.remove_server(id).is_some() {
                harness.record_disturbance();
                server.proxy.take_down().await;
                harness.store.set_server(id, None);
                crashed.push((Instant::now(), server));
            }
        }
        let is_due = |(at, _): &mut (Instant, _)| at.elapsed() >= REPLACEMENT_TIME;
        for (_, server) in crashed.extract_if(.., is_due) {
            let id = format!("{}-{}", server.service, rng.next_u32());
            harness.add_server(&id, server.service, false).await?;
        }
        tokio::time::sleep(CRASH_POLL_INTERVAL).await;
    }
    Ok(())
}

fn record_outage(harness: &Harness, place: OutagePlace, from: Instant, until: Instant) {
    harness.record_link_outage(Outage {
        place,
        from,
        until: Some(until),
    });
}

async fn inject_server_fault(
    harness: &Harness,
    fault: Fault,
    rng: &mut Pcg64Mcg,
    time: Duration,
) -> io::Result<()> {
    let servers = harness.servers();
    let Some(server) = servers.choose(rng) else {
        return Ok(());
    };
    let id = &server.fake_server.id;
    let _logged = harness.fault_log.begin(fault, format_args!("server={id}"));
    let is_reported = matches!(
        fault,
        Fault::ServerLeaves | Fault::ServerPauses | Fault::ServersLimit
    );
    if !is_reported {
        harness.record_disturbance();
    }
    match fault {
        Fault::ServerCrashes => {
            server.proxy.take_down().await;
            tokio::time::sleep(time).await;
            // The server either restarts under its id or is replaced by a server with a new id.
            if rng.random_bool(0.5) {
                if let Some(known) = harness.remove_server(id) {
                    process_ends::end_process(harness, &known).await;
                }
                return harness.add_server(id, server.service, true).await;
            }
            harness.store.set_server(id, None);
            harness.remove_server(id);
            let other = format!("{}-{}", server.service, rng.next_u32());
            harness.add_server(&other, server.service, true).await
        }
        Fault::ServerFails => {
            let mut share = || rng.random_range(0.0..0.25);
            server.fake_server.set_fault_rates(FaultRates {
                refused: share(),
                no_response: share(),
                truncated: share(),
                server_error: share(),
                hung: share() / 4.0,
                paused: share(),
                not_resumed: share() * 4.0,
            });
            tokio::time::sleep(time).await;
            server.fake_server.set_fault_rates(FaultRates::default());
            Ok(())
        }
        Fault::ServerLeaves => process_ends::leave(harness, server, rng, time).await,
        Fault::ServerPauses => {
            server.fake_server.pause_for(time);
            tokio::time::sleep(time).await;
            Ok(())
        }
        Fault::ServersLimit => limit_servers(&servers, server.service, rng).await,
        Fault::ServerLinkSilent => {
            harness.record_link_outage(Outage {
                place: OutagePlace::Server(id.clone()),
                from: Instant::now(),
                until: None,
            });
            stall_link(harness, &server.proxy);
            Ok(())
        }
        Fault::ServerLinkOneWay => {
            server.proxy.stall(Direction::FromTarget);
            Ok(())
        }
        Fault::ServerLinkCut => {
            server.proxy.close_connections();
            Ok(())
        }
        _ => {
            let hangs = rng.random_bool(0.3);
            let from = Instant::now();
            disturb_link(harness, &server.proxy, hangs, time).await;
            if hangs {
                harness.record_link_outage(Outage {
                    place: OutagePlace::Server(id.clone()),
                    from,
                    until: Some(Instant::now()),
                });
            }
            Ok(())
        }
    }
}

/// Lets half of the servers of a service name a limit for a while.
async fn limit_servers(
    servers: &[Arc<SoakServer>],
    service: &str,
    rng: &mut Pcg64Mcg,
) -> io::Result<()> {
    let limit = rng.random_range(LIMITS);
    let of_service = servers.iter().filter(|server| server.service == service);
    let limited: Vec<_> = of_service.step_by(2).collect();
    for server in &limited {
        server.fake_server.name_limit(Some(limit));
    }
    tokio::time::sleep(LIMITED_TIME).await;
    for server in limited {
        server.fake_server.name_limit(None);
    }
    Ok(())
}

fn stall_link(harness: &Harness, link: &FaultyProxy) {
    harness.record_disturbance();
    link.stall(Direction::ToTarget);
    link.stall(Direction::FromTarget);
}

async fn disturb_link(harness: &Harness, link: &FaultyProxy, hangs: bool, time: Duration) {
    harness.record_disturbance();
    let delay = if hangs {
        Duration::ZERO
    } else {
        Duration::from_millis(60)
    };
    // The link of a server that has crashed stays closed.
    let set_fault = async |hang, delay| {
        let change = |fault: &mut NetworkFault| (fault.hang, fault.delay) = (hang, delay);
        link.change_fault(change).await;
    };
    set_fault(hangs, delay).await;
    tokio::time::sleep(time).await;
    set_fault(false, Duration::ZERO).await;
    harness.record_disturbance();
}

async fn stop_router(harness: &Harness, router: usize) -> io::Result<()> {
    let process = harness.routers()[router].process_id();
    harness.routers()[router].signal(Signal::SIGTERM);
    // The process ends by itself; `check_process` reports it if that takes too long. An overlapping fault may
    // already have started another process, which was not asked to stop.
    while harness.routers()[router].is_running(process) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start_router(harness, router)
}

async fn kill_router(harness: &Harness, router: usize, time: Duration) -> io::Result<()> {
    harness.routers()[router].kill();
    tokio::time::sleep(time).await;
    start_router(harness, router)
}

/// Starts a router unless an overlapping fault has already restarted it.
fn start_router(harness: &Harness, router: usize) -> io::Result<()> {
    let mut routers = harness.routers();
    if routers[router].has_ended() == Some(false) {
        return Ok(());
    }
    routers[router].start()
}
