//! Many clients send long bodies while servers read slowly: what a router holds for them exceeds its memory.

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
    router::Bounds,
    server::{Behaviour, Reading, Server},
};

const ROUTERS: usize = 2;
const SERVERS: usize = 4;
const CLIENTS_PER_ROUTER: usize = 104;
/// `MaxBodyBytes` of the configuration; the bodies have three quarters of it.
const MAX_BODY_BYTES: usize = 4_194_304;
const BODY_BYTES: usize = MAX_BODY_BYTES / 4 * 3;
/// Time between two long requests of a client.
const PERIOD: Duration = Duration::from_millis(6_500);
const RUN_TIME: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_secs(15);
/// Bytes that a slow server reads in a tenth of a second, so that a body takes five seconds.
const SLOW_BYTES: usize = BODY_BYTES / 50;
/// Requests from kept connections that may be passed on and end without an answer.
const ALLOWED_LOST: usize = 3;
const BOUNDS: Bounds = Bounds { memory_mb: 260 };

const CONFIG: &str = r#"{"Version":1,
"Routes":[{"Name":"review","Host":"desk.example","Prefix":"/stream/","Kind":"streaming","Service":"assessor","TimeoutMs":15000,"TargetLatencyMs":2000,"GapAimMs":250,"Priority":0,"Attempts":1,"StickySessions":true},
{"Name":"lookup","Host":"desk.example","Prefix":"/lookup/","Kind":"safe","Service":"registry","TimeoutMs":1200,"TargetLatencyMs":150,"Priority":1,"Attempts":2}],
"Services":[{"Name":"assessor","ConnectionLimit":370,"HealthCheckPath":"/health","Engine":{"Slots":64}},{"Name":"registry","ConnectionLimit":400,"HealthCheckPath":"/health"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"garage","AccessKeys":["k1"]}]}"#;

struct Ended {
    id: String,
    router: usize,
    sent: Instant,
    ended: Instant,
    answer: Answer,
}

pub fn run(folder: &Path, is_troubled: bool) -> io::Result<Verdict> {
    let engine = Behaviour {
        reading: if is_troubled {
            Reading::Paced(SLOW_BYTES)
        } else {
            Reading::Fast
        },
        long_bytes: 1 << 16,
        work: Duration::from_millis(20),
        long_work: Duration::from_millis(100),
        events: 12,
        event_gap: Duration::from_millis(50),
        slots: 64,
        queue: 128,
    };
    let plain = Behaviour {
        reading: Reading::Fast,
        slots: 64,
        ..engine
    };
    let (fleet, servers) = Fleet::start(folder, ROUTERS, CONFIG, "", |store, record| {
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let (id, zone) = (format!("i-a{index}"), format!("z{index}"));
            servers.push(Server::start(
                &id, "assessor", &zone, engine, store, record,
            )?);
        }
        for index in 0..2 {
            let (id, zone) = (format!("i-r{index}"), format!("z{index}"));
            servers.push(Server::start(&id, "registry", &zone, plain, store, record)?);
        }
        Ok(servers)
    })?;
    for router in &fleet.routers {
        router.watch(BOUNDS, &fleet.record);
    }
    let ended = Arc::new(Mutex::new(Vec::new()));
    let body: Arc<Vec<u8>> = Arc::new((0..BODY_BYTES).map(|at| b'a' + (at % 23) as u8).collect());
    let begin = Instant::now();
    let clients: Vec<_> = (0..ROUTERS * CLIENTS_PER_ROUTER)
        .map(|index| {
            let (ended, body, record) = (Arc::clone(&ended), Arc::clone(&body), fleet.record.clone());
            let router = index % ROUTERS;
            let address = fleet.routers[router].callers();
            thread::spawn(move || {
                let mut client = Client::new(address, "desk.example", "k1");
                let first = PERIOD.mul_f64((index / ROUTERS) as f64 / CLIENTS_PER_ROUTER as f64);
                for round in 0.. {
                    let due = first + PERIOD * round;
                    if due > RUN_TIME {
                        return;
                    }
                    thread::sleep(due.saturating_sub(begin.elapsed()));
                    let lookup = format!("l{index}x{round}");
                    client.send(&Request {
                        id: &lookup,
                        method: "GET",
                        path: "/lookup/1",
                        deadline: Duration::from_millis(2_500),
                        body: b"",
                        prompt: None,
                    });
                    if !client.is_kept() {
                        continue;
                    }
                    let id = format!("s{index}x{round}");
                    let prompt = format!(
                        "X-Model: m\r\nX-Token-Counts: 11000,64\r\nX-Prompt-Prefix: 1:512,{:x}:9000,{:x}:1300\r\n",
                        100 + index % 40,
                        crate::util::hash(&id)
                    );
                    let sent = Instant::now();
                    let answer = client.send(&Request {
                        id: &id,
                        method: "POST",
                        path: "/stream/1",
                        deadline: DEADLINE,
                        body: &body,
                        prompt: Some(prompt),
                    });
                    record.line(&format!("client {index}: {id} after {} ms: {}", sent.elapsed().as_millis(), answer.text()));
                    ended.lock().unwrap().push(Ended { id, router, sent, ended: Instant::now(), answer });
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let reached: Vec<String> = servers
        .iter()
        .flat_map(|server| server.reached.lock().unwrap().clone())
        .collect();
    let ended = ended.lock().unwrap();
    let served = ended
        .iter()
        .filter(|ended| ended.answer.is_served())
        .count();
    let peaks: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| *router.peak_kb.lock().unwrap() >> 10)
        .collect();
    let kills: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| router.memory_kills.lock().unwrap().clone())
        .collect();
    // Those that were passed on to a server and whose kept connection ended when their router was killed.
    let lost = ended.iter().filter(|request| {
        let is_closed = matches!(request.answer, Answer::Closed { head: false, .. });
        let in_time =
            |at: &Instant| request.sent < *at && *at < request.ended + Duration::from_millis(100);
        is_closed && kills[request.router].iter().any(in_time) && reached.contains(&request.id)
    });
    let lost = lost.count();
    let text = format!(
        "{} long requests, {served} served, {lost} passed on from a kept connection and closed without an answer; peaks of memory {peaks:?} MB, killed {:?} times",
        ended.len(),
        kills.iter().map(Vec::len).collect::<Vec<_>>()
    );
    fleet.record.line(&text);
    if served == 0 && lost == 0 {
        return Ok(Verdict::CouldNotRun(text));
    }
    println!("{text}");
    if lost > ALLOWED_LOST {
        return Ok(Verdict::Broken(format!("LOST, {text}")));
    }
    Ok(Verdict::Held)
}
