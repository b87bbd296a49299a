//! Faults from outside: signals, links, store, servers, configurations; in series and overlapping.

use std::{io, sync::Arc, time::Duration};

use bulrushward_fakes::{Direction, FaultyProxy, NetworkFault};
use bulrushward_platform_stand_in::FaultRates;
use nix::sys::signal::Signal;
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::world::World;

/// Pause between the beginnings of two faults, in milliseconds; shorter than most faults last.
const PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Faults of a series, after which changes come in quiet, so that their times can be checked.
const SERIES: usize = 8;
/// Quiet time before and after such changes; longer than what routers need to be held to times.
const QUIET: Duration = Duration::from_millis(3_400);
/// Time after which a leaving server is gone, in milliseconds.
const LEAVING_MS: u64 = 2_600;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Fault {
    RouterStops,
    RouterKilled,
    RouterPauses,
    RouterReloads,
    AllRoutersKilled,
    StoreBusy,
    StoreLinkHangs,
    StoreLinkSilent,
    StoreLinkSlow,
    StoreForgets,
    ServerCrashes,
    ServerFails,
    ServerLeaves,
    ServerLinkSilent,
    ServerLinkCut,
    ServerLinkOneWay,
    ServerLinkSlow,
    CallerLinkCut,
    CallerLinkSilent,
    ConfigChanges,
    KeyRevoked,
}

/// Plays faults drawn from a seed until `end`; returns those that were played.
pub(crate) async fn play(world: &Arc<World>, seed: u64, duration: Duration) -> Vec<Fault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let kinds: Vec<_> = Fault::iter().collect();
    let end = tokio::time::Instant::now() + duration;
    let mut played = Vec::new();
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let fault = *kinds.choose(&mut rng).expect("there are kinds");
        played.push(fault);
        running.spawn(strike_apart(Arc::clone(world), fault, rng.next_u64()));
        if played.len() % SERIES == 0 {
            while running.join_next().await.is_some() {}
            tokio::time::sleep(QUIET).await;
            for change in [Fault::ServerLeaves, Fault::KeyRevoked] {
                running.spawn(strike_apart(Arc::clone(world), change, rng.next_u64()));
            }
            tokio::time::sleep(QUIET).await;
        }
    }
    while running.join_next().await.is_some() {}
    played
}

async fn strike_apart(world: Arc<World>, fault: Fault, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    if let Err(error) = strike(&world, fault, &mut rng).await {
        eprintln!("fault {fault} failed: {error}");
    }
}

async fn strike(world: &World, fault: Fault, rng: &mut Pcg64Mcg) -> io::Result<()> {
    let router = rng.random_range(0..world.store_links.len());
    let time = Duration::from_millis(rng.random_range(200..2_500));
    match fault {
        Fault::RouterStops => stop_router(world, router).await,
        Fault::RouterKilled => kill_router(world, router, time / 2).await,
        Fault::RouterPauses => {
            world.routers()[router].signal(Signal::SIGSTOP);
            tokio::time::sleep(time).await;
            world.routers()[router].signal(Signal::SIGCONT);
            Ok(())
        }
        Fault::RouterReloads => {
            world.routers()[router].signal(Signal::SIGHUP);
            Ok(())
        }
        Fault::AllRoutersKilled => {
            for router in 0..world.store_links.len() {
                world.routers()[router].kill();
            }
            tokio::time::sleep(time / 4).await;
            for router in 0..world.store_links.len() {
                start_router(world, router)?;
            }
            Ok(())
        }
        Fault::StoreBusy => {
            world.store.set_busy(true);
            world.disturb();
            tokio::time::sleep(time).await;
            world.store.set_busy(false);
            world.disturb();
            Ok(())
        }
        Fault::StoreLinkHangs | Fault::StoreLinkSlow => {
            let hangs = fault == Fault::StoreLinkHangs;
            disturb_link(world, &world.store_links[router], hangs, time).await;
            world.routers()[router].disturb();
            Ok(())
        }
        Fault::StoreLinkSilent => {
            silence(world, &world.store_links[router]);
            Ok(())
        }
        Fault::StoreForgets => {
            world.store.drop_history();
            world.disturb();
            Ok(())
        }
        Fault::ServerCrashes
        | Fault::ServerFails
        | Fault::ServerLeaves
        | Fault::ServerLinkSilent
        | Fault::ServerLinkCut
        | Fault::ServerLinkOneWay
        | Fault::ServerLinkSlow => strike_server(world, fault, rng, time).await,
        Fault::CallerLinkCut => {
            world.disturb();
            world.caller_links[router].close_connections();
            Ok(())
        }
        Fault::CallerLinkSilent => {
            silence(world, &world.caller_links[router]);
            Ok(())
        }
        Fault::ConfigChanges => {
            let keys = world.written().last().map(|last| last.config.keys.clone());
            world.write_config(keys.unwrap_or_default());
            Ok(())
        }
        Fault::KeyRevoked => {
            world.write_config(vec![format!("key-{}", rng.next_u32())]);
            Ok(())
        }
    }
}

async fn strike_server(
    world: &World,
    fault: Fault,
    rng: &mut Pcg64Mcg,
    time: Duration,
) -> io::Result<()> {
    let servers = world.servers();
    let Some(server) = servers.choose(rng) else {
        return Ok(());
    };
    if fault != Fault::ServerLeaves {
        world.disturb();
    }
    match fault {
        Fault::ServerCrashes => {
            server.relay.take_down().await;
            tokio::time::sleep(time).await;
            let id = server.stand_in.id.clone();
            // It starts again under its id, or is gone for good and another one comes.
            if rng.random_bool(0.5) {
                return world.add_server(&id, server.service).await;
            }
            world.store.set_server(&id, None);
            world.forget_server(&id);
            let other = format!("{}-{}", server.service, rng.next_u32());
            world.add_server(&other, server.service).await
        }
        Fault::ServerFails => {
            let mut share = || rng.random_range(0.0..0.25);
            server.stand_in.set_fault_rates(FaultRates {
                refused: share(),
                no_response: share(),
                truncated: share(),
                server_error: share(),
                hung: share() / 4.0,
            });
            tokio::time::sleep(time).await;
            server.stand_in.set_fault_rates(FaultRates::default());
            Ok(())
        }
        Fault::ServerLeaves => {
            let other = format!("{}-{}", server.service, rng.next_u32());
            world.add_server(&other, server.service).await?;
            if world.forget_server(&server.stand_in.id).is_none() {
                return Ok(());
            }
            world.let_leave(server);
            tokio::time::sleep(Duration::from_millis(LEAVING_MS)).await;
            world.store.set_server(&server.stand_in.id, None);
            tokio::time::sleep(Duration::from_millis(LEAVING_MS)).await;
            Ok(())
        }
        Fault::ServerLinkSilent => {
            silence(world, &server.relay);
            Ok(())
        }
        Fault::ServerLinkOneWay => {
            server.relay.stall(Direction::FromTarget);
            Ok(())
        }
        Fault::ServerLinkCut => {
            server.relay.close_connections();
            Ok(())
        }
        _ => {
            let hangs = rng.random_bool(0.3);
            disturb_link(world, &server.relay, hangs, time).await;
            Ok(())
        }
    }
}

fn silence(world: &World, link: &FaultyProxy) {
    world.disturb();
    link.stall(Direction::ToTarget);
    link.stall(Direction::FromTarget);
}

async fn disturb_link(world: &World, link: &FaultyProxy, hangs: bool, time: Duration) {
    world.disturb();
    let delay = if hangs {
        Duration::ZERO
    } else {
        Duration::from_millis(60)
    };
    link.set_fault(NetworkFault {
        refuse: false,
        hang: hangs,
        delay,
    })
    .await;
    tokio::time::sleep(time).await;
    link.set_fault(NetworkFault::default()).await;
    world.disturb();
}

async fn stop_router(world: &World, router: usize) -> io::Result<()> {
    world.routers()[router].signal(Signal::SIGTERM);
    // The process ends by itself within its grace time; the promises check that it does.
    while world.routers()[router].ended() == Some(false) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    start_router(world, router)
}

async fn kill_router(world: &World, router: usize, time: Duration) -> io::Result<()> {
    world.routers()[router].kill();
    tokio::time::sleep(time).await;
    start_router(world, router)
}

/// Starts a router unless an overlapping fault has done so.
fn start_router(world: &World, router: usize) -> io::Result<()> {
    let mut routers = world.routers();
    if routers[router].ended() == Some(false) {
        return Ok(());
    }
    routers[router].start()
}
