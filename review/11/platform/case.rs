//! The configuration grows by many routes, and then all processes are killed. The machines have links of 10 Mbit/s. The fleet must
//! serve again.

#[path = "../../stand_ins_3/platform/common.rs"]
mod common;
#[path = "../../stand_ins_3/platform/thin.rs"]
mod thin;

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;
use thin::*;

const ROUTERS: usize = 2;
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);
const REQUESTS_PER_S: f64 = 20.0;
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Times of the larger configuration, of the one after it, and of the end.
const GROWS_AT: Duration = Duration::from_secs(4);
const KILL_AT: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(45);
/// Time for which killed processes are down.
const DOWN: Duration = Duration::from_secs(1);

/// When a request was sent, and whether it was served.
struct Seen {
    at: Duration,
    is_served: bool,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let store = Store::start(ip(1));
    for index in 0..3 {
        let id = format!("p-{index}");
        let address = start_plain_server(ip(80 + index), &id, Duration::from_millis(15), &record);
        let entry = entry("registry-app", address, 6, unix_ms(), "ready");
        store.write(&format!("servers/{id}"), Some(&entry));
    }
    store.write("op/config", Some(&large_config(1, 0, &[KEY])));
    let fleets: Vec<_> = (0..ROUTERS)
        .map(|index| Fleet::new(start_link(store.address, 100 + index as u8), ROUTERS as u8))
        .collect();
    let ports = fleets[0].ports();
    let fleets: Vec<_> = fleets
        .into_iter()
        .map(|fleet| fleet.with_ports(&ports))
        .collect();
    let start = |index: usize| fleets[index].start(index);
    let mut routers: Vec<_> = (0..ROUTERS).map(|index| Some(start(index))).collect();
    routers.iter().flatten().for_each(Router::wait_until_ready);
    let addresses: Vec<_> = routers
        .iter()
        .flatten()
        .map(|router| router.callers)
        .collect();
    thread::sleep(Duration::from_secs(2));

    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let begun = Instant::now();
    let (mut sent, mut version, mut clients) = (0_u32, 1, Vec::new());
    let (mut killed_at, mut back_at) = (None::<Duration>, None::<Duration>);
    while begun.elapsed() < LENGTH {
        let now = begun.elapsed();
        if version == 1 && now >= GROWS_AT {
            version = 2;
            let config = large_config(version, ADDED_ROUTES, &[KEY]);
            if config.len() > VALUE_BYTES {
                cannot_run("the configuration is larger than the store takes");
            }
            record.say(&format!(
                "configuration {version}: {} bytes, {ADDED_ROUTES} routes more",
                config.len()
            ));
            store.write("op/config", Some(&config));
        }
        if version == 2 && now >= KILL_AT {
            version = 3;
            store.write(
                "op/config",
                Some(&large_config(version, ADDED_ROUTES, &[KEY])),
            );
            record.line("configuration 3 is acknowledged");
            if has_trouble() {
                routers.iter_mut().for_each(|router| *router = None);
                killed_at = Some(now);
                record.line("all processes are killed");
            }
        }
        if let Some(killed_at) = killed_at
            && back_at.is_none()
            && now >= killed_at + DOWN
        {
            routers = (0..ROUTERS).map(|index| Some(start(index))).collect();
            back_at = Some(begun.elapsed());
            record.line("all processes are started");
        }
        while f64::from(sent) < now.as_secs_f64() * REQUESTS_PER_S {
            sent += 1;
            let to = addresses[sent as usize % addresses.len()];
            let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
            let id = format!("{:08x}", 0xe000_0000_u32 + sent);
            clients.push(thread::spawn(move || {
                let request = ClientRequest {
                    method: "POST",
                    path: "/lookup/x".to_owned(),
                    id: id.clone(),
                    deadline_ms: PATIENCE.as_millis() as u64,
                    body: vec![b'q'; 100],
                    ..ClientRequest::default()
                };
                let answer = request.send(to, PATIENCE);
                let status = answer
                    .as_ref()
                    .map(Message::status)
                    .map_err(std::io::Error::kind);
                record.line(&format!("lookup {id} {status:?}"));
                let is_served = status.is_ok_and(|status| status == 200);
                seen.lock().unwrap().push(Seen { at: now, is_served });
            }));
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ended = client.join();
    }
    for router in routers.iter().flatten() {
        let ready = router.is_ready(Duration::from_secs(1));
        record.say(&format!("{} ready={ready}", router.node));
        for line in router.log_lines("store-lost").iter().rev().take(3) {
            record.line(&format!("log of {}: {line}", router.node));
        }
    }
    let seen = seen.lock().unwrap();
    let share = |from: Duration, to: Duration| {
        let within: Vec<_> = seen
            .iter()
            .filter(|seen| seen.at >= from && seen.at < to)
            .collect();
        let served = within.iter().filter(|seen| seen.is_served).count();
        (served, within.len())
    };
    let before = share(Duration::ZERO, KILL_AT);
    let after = share(back_at.unwrap_or(KILL_AT + DOWN) + RECOVERY, LENGTH);
    record.say(&format!(
        "served before the final fault: {} of {}; sent later than {} s after the machines are back: {} of {}",
        before.0,
        before.1,
        RECOVERY.as_secs(),
        after.0,
        after.1
    ));
    if before.1 == 0 || after.1 == 0 {
        cannot_run("no requests were sent");
    }
    let is_broken = after.0 * 4 < after.1 && before.0 * 4 >= before.1;
    drop(routers);
    drop(fleets);
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
