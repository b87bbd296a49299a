//! Servers read the bodies of long requests late: a router gives up their connections although both sides are alive.

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
const CLIENTS: usize = 40;
const RUN_TIME: Duration = Duration::from_secs(25);
/// Time in which a server answers a long request, whether it reads the body at the beginning or at the end of it.
const LONG_TIME: Duration = Duration::from_millis(2_600);
/// Of ten requests of a client, one is long.
const LONG_EACH: usize = 10;
const LONG_BYTES: usize = 1 << 20;
const SHORT_BYTES: usize = 600;

const CONFIG: &str = r#"{"Version":1,
"Routes":[{"Name":"issue","Host":"desk.example","Prefix":"/issue/","Kind":"unsafe","Service":"registry","TimeoutMs":10000,"TargetLatencyMs":8000,"Priority":1,"Attempts":1}],
"Services":[{"Name":"registry","ConnectionLimit":300,"HealthCheckPath":"/health"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"garage","AccessKeys":["k1"]}]}"#;

pub fn run(folder: &Path, is_troubled: bool) -> io::Result<Verdict> {
    let behaviour = Behaviour {
        reading: if is_troubled {
            Reading::After(LONG_TIME)
        } else {
            Reading::Fast
        },
        long_bytes: 1 << 16,
        work: Duration::from_millis(15),
        long_work: if is_troubled {
            Duration::ZERO
        } else {
            LONG_TIME
        },
        events: 0,
        event_gap: Duration::ZERO,
        slots: 40,
        queue: 40,
    };
    let (fleet, servers) = Fleet::start(folder, ROUTERS, CONFIG, "", |store, record| {
        (0..3)
            .map(|index| {
                let (id, zone) = (format!("i-r{index}"), format!("z{index}"));
                Server::start(&id, "registry", &zone, behaviour, store, record)
            })
            .collect::<io::Result<Vec<_>>>()
    })?;
    let results = Arc::new(Mutex::new(Vec::<(bool, String, Answer)>::new()));
    let long: Arc<Vec<u8>> = Arc::new((0..LONG_BYTES).map(|at| b'a' + (at % 23) as u8).collect());
    let begin = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (results, long, record) = (
                Arc::clone(&results),
                Arc::clone(&long),
                fleet.record.clone(),
            );
            let address = fleet.routers[index % ROUTERS].callers();
            thread::spawn(move || {
                let mut client = Client::new(address, "desk.example", "k1");
                thread::sleep(Duration::from_millis(25 * index as u64));
                for round in 0.. {
                    if begin.elapsed() > RUN_TIME {
                        return;
                    }
                    let is_long = (round + index) % LONG_EACH == 0;
                    let id = format!("u{index}x{round}");
                    let body = if is_long {
                        &long[..]
                    } else {
                        &long[..SHORT_BYTES]
                    };
                    let sent = Instant::now();
                    let answer = client.send(&Request {
                        id: &id,
                        method: "POST",
                        path: "/issue/1",
                        deadline: Duration::from_secs(10),
                        body,
                        prompt: None,
                    });
                    record.line(&format!(
                        "client {index}: {id}, {} bytes, after {} ms: {}",
                        body.len(),
                        sent.elapsed().as_millis(),
                        answer.text()
                    ));
                    results.lock().unwrap().push((is_long, id, answer));
                    thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let share = |long_only: bool| {
        let of: Vec<_> = results
            .iter()
            .filter(|(is_long, ..)| *is_long || !long_only)
            .collect();
        let served = of
            .iter()
            .filter(|(_, _, answer)| answer.is_served())
            .count();
        (served, of.len())
    };
    let ((long_served, long), (served, all)) = (share(true), share(false));
    let ran: usize = servers
        .iter()
        .map(|server| server.ran.lock().unwrap().len())
        .sum();
    let text = format!(
        "of {all} requests {served} were served, of {long} long ones {long_served}; servers ran {ran}"
    );
    fleet.record.line(&text);
    println!("{text}");
    if all == 0 || long == 0 || served * 2 < all {
        return Ok(Verdict::CouldNotRun(text));
    }
    let (long_share, whole_share) = (long_served as f64 / long as f64, served as f64 / all as f64);
    if long_share < whole_share / 2.0 {
        return Ok(Verdict::Broken(format!("Sizes, {text}")));
    }
    Ok(Verdict::Held)
}
