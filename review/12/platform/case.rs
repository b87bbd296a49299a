//! The configuration grows by many routes. The machines have links of 10 Mbit/s. A key that is taken away later must be refused.

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
/// Key that is taken away.
const TAKEN_KEY: &str = "t8w3r6y1z5";
/// `ConfigurationMs` of the grown sites.
const CONFIGURATION: Duration = Duration::from_millis(3_000);
const REQUESTS_PER_S: f64 = 20.0;
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Times of the larger configuration, and of the one without the key.
const GROWS_AT: Duration = Duration::from_secs(4);
const TAKEN_AT: Duration = Duration::from_secs(14);
const LENGTH: Duration = Duration::from_secs(45);

/// A request with the key that is taken away.
struct Seen {
    at: Duration,
    status: Option<u16>,
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
    store.write("op/config", Some(&large_config(1, 0, &[KEY, TAKEN_KEY])));
    let fleets: Vec<_> = (0..ROUTERS)
        .map(|index| Fleet::new(start_link(store.address, 100 + index as u8), ROUTERS as u8))
        .collect();
    let ports = fleets[0].ports();
    let fleets: Vec<_> = fleets
        .into_iter()
        .map(|fleet| fleet.with_ports(&ports))
        .collect();
    let routers: Vec<_> = fleets
        .iter()
        .enumerate()
        .map(|(index, fleet)| fleet.start(index))
        .collect();
    routers.iter().for_each(Router::wait_until_ready);
    let addresses: Vec<_> = routers.iter().map(|router| router.callers).collect();
    thread::sleep(Duration::from_secs(2));

    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let begun = Instant::now();
    let (mut sent, mut clients) = (0_u32, Vec::new());
    let added = if has_trouble() { ADDED_ROUTES } else { 0 };
    let (mut has_grown, mut taken_at) = (false, None::<Duration>);
    while begun.elapsed() < LENGTH {
        let now = begun.elapsed();
        if !has_grown && now >= GROWS_AT {
            has_grown = true;
            let config = large_config(2, added, &[KEY, TAKEN_KEY]);
            if config.len() > VALUE_BYTES {
                cannot_run("the configuration is larger than the store takes");
            }
            record.say(&format!(
                "configuration 2: {} bytes, {added} routes more",
                config.len()
            ));
            store.write("op/config", Some(&config));
        }
        if taken_at.is_none() && now >= TAKEN_AT {
            store.write("op/config", Some(&large_config(3, added, &[KEY])));
            taken_at = Some(begun.elapsed());
            record.line("configuration 3, without the key, is acknowledged");
        }
        while f64::from(sent) < now.as_secs_f64() * REQUESTS_PER_S {
            sent += 1;
            let to = addresses[sent as usize % addresses.len()];
            let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
            let id = format!("{:08x}", 0xf000_0000_u32 + sent);
            clients.push(thread::spawn(move || {
                let request = ClientRequest {
                    method: "POST",
                    path: "/lookup/x".to_owned(),
                    id: id.clone(),
                    deadline_ms: PATIENCE.as_millis() as u64,
                    body: vec![b'q'; 100],
                    key: TAKEN_KEY,
                    ..ClientRequest::default()
                };
                let answer = request.send(to, PATIENCE);
                let status = answer
                    .as_ref()
                    .map(Message::status)
                    .map_err(std::io::Error::kind);
                record.line(&format!("lookup {id} {status:?}"));
                seen.lock().unwrap().push(Seen {
                    at: now,
                    status: status.ok(),
                });
            }));
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ended = client.join();
    }
    for router in &routers {
        for line in router.log_lines("config-in-force") {
            record.line(&format!("log of {}: {line}", router.node));
        }
        for line in router.log_lines("store-lost").iter().rev().take(3) {
            record.line(&format!("log of {}: {line}", router.node));
        }
    }
    let Some(taken_at) = taken_at else {
        cannot_run("the key was not taken away");
    };
    let seen = seen.lock().unwrap();
    let served_before = seen
        .iter()
        .filter(|seen| seen.at < taken_at && seen.status == Some(200))
        .count();
    let later: Vec<_> = seen
        .iter()
        .filter(|seen| seen.at > taken_at + CONFIGURATION)
        .collect();
    let ran: Vec<_> = later
        .iter()
        .filter(|seen| seen.status == Some(200))
        .collect();
    let last = ran
        .iter()
        .map(|seen| seen.at - taken_at)
        .max()
        .unwrap_or_default();
    record.say(&format!(
        "with the key: {served_before} served before it was taken away; of {} sent later than {} ms after the acknowledgement, {} ran, \
         the last one {:.1} s after it",
        later.len(),
        CONFIGURATION.as_millis(),
        ran.len(),
        last.as_secs_f64()
    ));
    if served_before == 0 || later.is_empty() {
        cannot_run("no requests were served");
    }
    let is_broken = !ran.is_empty();
    drop(routers);
    drop(fleets);
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
