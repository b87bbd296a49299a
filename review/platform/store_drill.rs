//! The store comes back from a copy, so that its revisions go back; then the operator empties a zone.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Fleet, Verdict,
    client::{Answer, Client, Request},
    server::{Behaviour, Reading, Server},
};

const ROUTERS: usize = 2;
const CLIENTS_PER_ROUTER: usize = 4;
/// Changes of the configuration after the copy was made, and the time between two of them.
const CHANGES: u32 = 4;
const CHANGE_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// Time from the store's return to the order; longer than `StabilityWindowMs` (4,000).
const CALM: Duration = Duration::from_millis(5_000);
/// `EvacuationMs` of the site.
const EVACUATION: Duration = Duration::from_millis(5_000);
const ORDER_TIME: Duration = Duration::from_secs(15);
const ZONE: &str = "z0";

fn config(version: u32) -> String {
    format!(
        r#"{{"Version":{version},
"Routes":[{{"Name":"issue","Host":"desk.example","Prefix":"/issue/","Kind":"unsafe","Service":"registry","TimeoutMs":1200,"TargetLatencyMs":150,"Priority":1,"Attempts":1}},
{{"Name":"idle","Host":"idle{version}.example","Prefix":"/x/","Kind":"safe","Service":"registry","TimeoutMs":1200,"TargetLatencyMs":150,"Priority":1,"Attempts":1}}],
"Services":[{{"Name":"registry","ConnectionLimit":96,"HealthCheckPath":"/health"}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"garage","AccessKeys":["k1"]}}]}}"#
    )
}

pub fn run(folder: &Path, is_troubled: bool) -> io::Result<Verdict> {
    let behaviour = Behaviour {
        reading: Reading::Fast,
        long_bytes: usize::MAX,
        work: Duration::from_millis(15),
        long_work: Duration::ZERO,
        events: 0,
        event_gap: Duration::ZERO,
        slots: 6,
        queue: 24,
    };
    let settings = "evacuation_known_ms = 5000\n";
    let (fleet, servers) = Fleet::start(folder, ROUTERS, &config(1), settings, |store, record| {
        (0..3)
            .map(|index| {
                let (id, zone) = (format!("i-r{index}"), format!("z{index}"));
                Server::start(&id, "registry", &zone, behaviour, store, record)
            })
            .collect::<io::Result<Vec<_>>>()
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let sent_at = Arc::new(Mutex::new(Vec::<(String, Instant, Answer)>::new()));
    let clients: Vec<_> = (0..ROUTERS * CLIENTS_PER_ROUTER)
        .map(|index| {
            let (is_over, sent_at, record) = (
                Arc::clone(&is_over),
                Arc::clone(&sent_at),
                fleet.record.clone(),
            );
            let address = fleet.routers[index % ROUTERS].callers();
            thread::spawn(move || {
                let mut client = Client::new(address, "desk.example", "k1");
                let mut round = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let (id, sent) = (format!("e{index}x{round}"), Instant::now());
                    let answer = client.send(&Request {
                        id: &id,
                        method: "POST",
                        path: "/issue/1",
                        deadline: Duration::from_millis(2_500),
                        body: b"certificate",
                        prompt: None,
                    });
                    record.line(&format!("client {index}: {id}: {}", answer.text()));
                    sent_at.lock().unwrap().push((id, sent, answer));
                    round += 1;
                    thread::sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    let copy = fleet.store.copy();
    fleet.record.line("platform: a copy of the store is made");
    for version in 2..2 + CHANGES {
        fleet.store.write("op/config", &config(version));
        fleet
            .record
            .line(&format!("operator: version {version}, acknowledged"));
        thread::sleep(CHANGE_INTERVAL);
    }
    if is_troubled {
        let (before, after) = fleet.store.come_back_from(copy, AWAY);
        fleet.record.line(&format!(
            "platform: the store was away for {} ms and is back from the copy; the operator has written the newest version again; revision {after}, {before} before",
            AWAY.as_millis()
        ));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(CALM);
    fleet.store.write(&format!("op/evacuate/{ZONE}"), "{}");
    let ordered = Instant::now();
    fleet.record.line(&format!(
        "operator: nothing more to zone {ZONE}, acknowledged"
    ));
    thread::sleep(ORDER_TIME);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let reached: Vec<String> = servers[0].reached.lock().unwrap().clone();
    let sent_at = sent_at.lock().unwrap();
    let is_late = |sent: &Instant| *sent > ordered + EVACUATION;
    let late: Vec<_> = sent_at
        .iter()
        .filter(|(_, sent, _)| is_late(sent))
        .collect();
    let in_zone = late.iter().filter(|(id, ..)| reached.contains(id)).count();
    let served = sent_at
        .iter()
        .filter(|(.., answer)| answer.is_served())
        .count();
    let text = format!(
        "of {} requests {served} were served; of {} that were sent later than {} ms after the order {in_zone} reached the server of the zone",
        sent_at.len(),
        late.len(),
        EVACUATION.as_millis()
    );
    fleet.record.line(&text);
    println!("{text}");
    if late.is_empty() || served * 2 < sent_at.len() {
        return Ok(Verdict::CouldNotRun(text));
    }
    if in_zone > 0 {
        return Ok(Verdict::Broken(format!("EVAC, {text}")));
    }
    Ok(Verdict::Held)
}
