//! The store loses its answers to the calls that wait for a change of the configuration, and to no others.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Fleet, Verdict,
    client::{Answer, Client, Request},
    server::{Behaviour, Reading, Server},
};

const ROUTERS: usize = 2;
/// `ConfigurationMs` and `StabilityWindowMs` of the deployment.
const CONFIGURATION: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Largest time and share of the disruption `platform_lost` on the site.
const LOST_TIME: Duration = Duration::from_millis(4_500);
const LOST_SHARE: f64 = 0.35;
/// Time between the two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);
const RUN_TIME: Duration = Duration::from_secs(20);

/// Returns a configuration in which the organisation has the key, or not any more.
fn config(version: u32, has_key: bool) -> String {
    let keys = if has_key { "\"k1\",\"k9\"" } else { "\"k1\"" };
    format!(
        r#"{{"Version":{version},
"Routes":[{{"Name":"issue","Host":"desk.example","Prefix":"/issue/","Kind":"unsafe","Service":"registry","TimeoutMs":1200,"TargetLatencyMs":150,"Priority":1,"Attempts":1}}],
"Services":[{{"Name":"registry","ConnectionLimit":96,"HealthCheckPath":"/health"}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"garage","AccessKeys":[{keys}]}}]}}"#
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
    let (fleet, servers) =
        Fleet::start(folder, ROUTERS, &config(10, false), "", |store, record| {
            (0..3)
                .map(|index| {
                    let (id, zone) = (format!("i-r{index}"), format!("z{index}"));
                    Server::start(&id, "registry", &zone, behaviour, store, record)
                })
                .collect::<io::Result<Vec<_>>>()
        })?;
    let begin = Instant::now();
    fleet.store.write("op/config", &config(17, true));
    fleet
        .record
        .line("operator: version 17 gives the key k9 to the organisation, acknowledged");
    thread::sleep(CHANGE_INTERVAL);
    let revoked = Instant::now();
    if is_troubled {
        fleet.store.write_unheard("op/config", &config(23, false));
    } else {
        fleet.store.write("op/config", &config(23, false));
    }
    fleet
        .record
        .line("operator: version 23 takes the key k9 away, acknowledged");
    let results = Arc::new(Mutex::new(Vec::<(String, Duration, Answer)>::new()));
    let clients: Vec<_> = (0..ROUTERS)
        .map(|index| {
            let (results, record) = (Arc::clone(&results), fleet.record.clone());
            let address = fleet.routers[index].callers();
            thread::spawn(move || {
                for round in 0.. {
                    if revoked.elapsed() > RUN_TIME {
                        return;
                    }
                    let id = format!("k{index}x{round}");
                    let sent = revoked.elapsed();
                    let answer = Client::new(address, "desk.example", "k9").send(&Request {
                        id: &id,
                        method: "POST",
                        path: "/issue/1",
                        deadline: Duration::from_millis(2_500),
                        body: b"certificate",
                        prompt: None,
                    });
                    record.line(&format!(
                        "client: {id} with the key k9 to router {index}, {} ms after version 23: {}",
                        sent.as_millis(),
                        answer.text()
                    ));
                    results.lock().unwrap().push((id, sent, answer));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (answers, lost) = fleet.store.answers(begin, LOST_TIME);
    let ran: Vec<String> = servers
        .iter()
        .flat_map(|server| server.ran.lock().unwrap().clone())
        .collect();
    let results = results.lock().unwrap();
    // The store has been without disruption, and the routers in touch, for the whole window before.
    let bound = CONFIGURATION.max(STABILITY_WINDOW + Duration::from_millis(100));
    let late: Vec<_> = results
        .iter()
        .filter(|(id, sent, _)| *sent > bound && ran.contains(id))
        .collect();
    let last = late
        .iter()
        .map(|(_, sent, _)| sent.as_millis())
        .max()
        .unwrap_or(0);
    let refused = results
        .iter()
        .filter(|(.., answer)| matches!(answer, Answer::Complete { status: 401, .. }))
        .count();
    let text = format!(
        "{} requests with the key that was taken away, {refused} refused with 401; {} that were sent later than {} ms after the acknowledgement ran, the last one sent after {last} ms; the store lost {lost} of {answers} answers in {} ms",
        results.len(),
        late.len(),
        bound.as_millis(),
        LOST_TIME.as_millis()
    );
    fleet.record.line(&text);
    println!("{text}");
    if refused == 0 || lost as f64 > LOST_SHARE * answers as f64 || (lost == 0) == is_troubled {
        return Ok(Verdict::CouldNotRun(text));
    }
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("CONFIG, {text}")))
}
