//! Ends of servers' processes as the system makes them: the listener and all connections are closed in order.

use std::{io, ops::Range, sync::Arc, time::Duration};

use bulrushward_platform_stand_in::STREAM_TIMEOUT;
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    fault_log::FaultGuard,
    harness::{Harness, SoakServer},
};

/// Number of servers that are killed in a series of faults.
const KILLS: usize = 8;
/// Time between two kills, in milliseconds; shorter than many absences, so that these overlap.
const KILL_INTERVAL_MS: Range<u64> = 100..900;
/// Share of the killed servers that return at once.
const QUICK_RESTART_RATE: f64 = 0.5;
/// Time after which a server returns at once, in milliseconds.
const QUICK_RESTART_MS: Range<u64> = 1..20;
/// Time after which other servers return, in milliseconds.
const RESTART_MS: Range<u64> = 20..2_500;
/// Time that a leaving server has until it exits, in milliseconds; shorter than many streams.
const EXIT_MS: Range<u64> = 300..2_000;
/// Time between marking a server as leaving and removing its entry, and shortest time between removing its
/// entry and stopping it.
const LEAVING_TIME: Duration = Duration::from_millis(2_600);
/// Interval at which the end of connections is awaited.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which the end of a server's work is awaited.
const WORK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Kills servers one after another, and lets one leave and exit while it works.
pub(crate) async fn end_processes(harness: Arc<Harness>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ends = JoinSet::new();
    ends.spawn(report(
        exit_after_leaving(Arc::clone(&harness), rng.next_u64()),
        "server-exits",
    ));
    for _ in 0..KILLS {
        let ms = rng.random_range(KILL_INTERVAL_MS);
        sleep(Duration::from_millis(ms)).await;
        let kill = kill(Arc::clone(&harness), rng.next_u64());
        ends.spawn(report(kill, "server-killed"));
    }
    while ends.join_next().await.is_some() {}
}

async fn report(end: impl Future<Output = io::Result<()>>, fault: &str) {
    if let Err(error) = end.await {
        eprintln!("cannot inject fault {fault}: {error}");
    }
}

fn begin<'a>(harness: &'a Harness, fault: &str, server: &SoakServer) -> FaultGuard<'a> {
    let id = &server.fake_server.id;
    let log = &harness.fault_log;
    log.begin(fault, format_args!("server={id}"))
}

/// Kills a server, which returns at its address.
async fn kill(harness: Arc<Harness>, seed: u64) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let Some(server) = harness.servers().choose(&mut rng).cloned() else {
        return Ok(());
    };
    let _logged = begin(&harness, "server-killed", &server);
    end_process(&harness, &server).await;
    let absence_ms = if rng.random_bool(QUICK_RESTART_RATE) {
        QUICK_RESTART_MS
    } else {
        RESTART_MS
    };
    sleep(Duration::from_millis(rng.random_range(absence_ms))).await;
    harness.record_disturbance();
    harness.restart_server(&server).await
}

/// Closes a server's listener and connections and waits until these are gone.
pub(crate) async fn end_process(harness: &Harness, server: &SoakServer) {
    harness.record_disturbance();
    server.proxy.take_down().await;
    while server.proxy.connections() > 0 {
        sleep(CLOSE_POLL_INTERVAL).await;
    }
}

/// Replaces a server, which exits a while after it was marked as leaving, whatever it executes then.
async fn exit_after_leaving(harness: Arc<Harness>, seed: u64) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let Some(server) = harness.servers().choose(&mut rng).cloned() else {
        return Ok(());
    };
    let _logged = begin(&harness, "server-exits", &server);
    if !replace(&harness, &server, &mut rng).await? {
        return Ok(());
    }
    harness.mark_leaving(&server);
    sleep(Duration::from_millis(rng.random_range(EXIT_MS))).await;
    end_process(&harness, &server).await;
    harness.store.set_server(&server.fake_server.id, None);
    Ok(())
}

/// Starts another server in place of one; returns whether no other fault has removed that one.
async fn replace(harness: &Harness, server: &SoakServer, rng: &mut Pcg64Mcg) -> io::Result<bool> {
    let other = format!("{}-{}", server.service, rng.next_u32());
    harness.add_server(&other, server.service, true).await?;
    Ok(harness.remove_server(&server.fake_server.id).is_some())
}

/// Replaces a server, which announces its leaving before its entry is removed.
pub(crate) async fn leave(
    harness: &Harness,
    server: &SoakServer,
    rng: &mut Pcg64Mcg,
    time: Duration,
) -> io::Result<()> {
    let id = &server.fake_server.id;
    if !replace(harness, server, rng).await? {
        return Ok(());
    }
    server.fake_server.announce_leaving();
    if rng.random_bool(0.5) {
        // The store does not know of it, and its entry lapses and returns.
        sleep(LEAVING_TIME / 2).await;
        harness.store.set_server(id, None);
        sleep(time / 2).await;
        if rng.random_bool(0.5) {
            harness.register_without_start(server);
        } else {
            harness.register(server, false);
        }
        sleep(LEAVING_TIME).await;
    }
    harness.mark_leaving(server);
    sleep(LEAVING_TIME).await;
    harness.store.set_server(id, None);
    sleep(LEAVING_TIME).await;
    let work_ends = async {
        while harness.execution_log.is_executing(id) {
            sleep(WORK_POLL_INTERVAL).await;
        }
    };
    // A request at a server that hangs ends with the timeout of its route at the latest.
    let _elapsed = timeout(STREAM_TIMEOUT, work_ends).await;
    Ok(())
}
