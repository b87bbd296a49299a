//! One of three model servers answers with bytes that are no answer, without end, in the bodies of its streams. Plain requests
//! to a sound service, at the same routers, must still be answered within their route's `TimeoutMs` and half a second.

#[path = "../../stand_ins_3/platform/common.rs"]
mod common;

use std::{
    io::{BufReader, Write},
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

const ROUTERS: u8 = 2;
const MODEL_SERVERS: u8 = 3;
/// Streams and plain requests a second: a fifth of those in the sheet of dodo-draft-grown, which has ten fronts.
const STREAMS_PER_S: f64 = 82.0;
const PLAIN_PER_S: f64 = 28.8;
/// Route of the plain requests, and how long their clients wait.
const TIMEOUT: Duration = Duration::from_millis(600);
const HALF_SECOND: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Gap without an event after which clients abandon a stream.
const STREAM_GAP: Duration = Duration::from_secs(4);
const STREAM_DEADLINE: Duration = Duration::from_secs(12);
const EVENTS: u32 = 49;
const EVENT_PAUSE: Duration = Duration::from_millis(80);
const LENGTH: Duration = Duration::from_secs(20);
/// Begin and length of the disruption.
const TROUBLE_AT: Duration = Duration::from_secs(5);
const TROUBLE_FOR: Duration = Duration::from_millis(6_500);
/// What the server in trouble repeats.
const PATTERN: &str = "\n";

/// A plain request as its client saw it.
struct Seen {
    /// Time to the complete answer, if there was one.
    answered: Option<Duration>,
}

fn start_model_server(
    id: String,
    host: u8,
    in_trouble: Arc<AtomicBool>,
    record: &Arc<Record>,
) -> SocketAddr {
    let listener = listen(ip(host));
    let address = listener.local_addr().unwrap();
    let record = Arc::clone(record);
    serve_each(listener, move |stream| {
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let name = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let is_endless = in_trouble.load(Ordering::SeqCst);
            record.line(&format!(
                "run server={id} request={name} endless={is_endless}"
            ));
            let mut writer = &stream;
            let mut send = |text: &str| writer.write_all(text.as_bytes()).is_ok();
            if !send(&stream_head(&id, &name)) {
                return;
            }
            for event in 1..=EVENTS {
                thread::sleep(EVENT_PAUSE);
                if !send(&chunk(&format!("id: {event}\ndata: {name} {event}\n\n"))) {
                    return;
                }
                if is_endless && event == 3 {
                    let block = chunk(&PATTERN.repeat(65_536 / PATTERN.len()));
                    while send(&block) {}
                    record.line(&format!("closed-by-caller server={id} request={name}"));
                    return;
                }
            }
            if !send("0\r\n\r\n") {
                return;
            }
        }
    });
    address
}

/// Returns the session that a request belongs to.
fn session(id: &str) -> String {
    let number = u32::from_str_radix(id, 16).unwrap_or_default();
    format!("{:x}", 0xc0_0000 + number % 200)
}

/// Reads a stream as a client does, which abandons it after a gap without an event.
fn read_stream(to: SocketAddr, id: &str, record: &Record) {
    let request = ClientRequest {
        method: "POST",
        path: "/query/x".to_owned(),
        id: id.to_owned(),
        deadline_ms: STREAM_DEADLINE.as_millis() as u64,
        headers: vec![
            ("X-Model".to_owned(), "m".to_owned()),
            ("X-Token-Counts".to_owned(), "829,80".to_owned()),
            (
                "X-Prompt-Prefix".to_owned(),
                format!("5c1e07a2:400,{}:299,{id}:130", session(id)),
            ),
        ],
        body: vec![b'q'; 500],
        ..ClientRequest::default()
    };
    let begun = Instant::now();
    let result = (|| -> std::io::Result<&str> {
        let mut stream = connect(to, Duration::from_secs(1))?;
        stream.write_all(&request.bytes())?;
        let until = begun + STREAM_GAP;
        let mut reader = BufReader::with_capacity(65_536, DeadlineReader { stream, until });
        let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Ok("refused");
        }
        let mut last = 0;
        while let Some(text) = read_chunk(&mut reader)? {
            let text = String::from_utf8_lossy(&text).into_owned();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            if let Some(id) = ids.filter_map(|id| id.parse::<u32>().ok()).last() {
                last = id;
                reader.get_mut().until = (Instant::now() + STREAM_GAP).min(begun + STREAM_DEADLINE);
            }
        }
        Ok(if last == EVENTS { "complete" } else { "short" })
    })();
    let ms = begun.elapsed().as_millis();
    match result {
        Ok(end) => record.line(&format!("stream {id} {end} ms={ms}")),
        Err(error) => record.line(&format!("stream {id} given-up {} ms={ms}", error.kind())),
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(Path::new(&folder));
    let store = Store::start(ip(1));
    let in_trouble = Arc::new(AtomicBool::new(false));
    for index in 0..MODEL_SERVERS {
        let id = format!("m-{index}");
        let trouble = if index == 0 {
            Arc::clone(&in_trouble)
        } else {
            Arc::default()
        };
        let address = start_model_server(id.clone(), 60 + index, trouble, &record);
        let entry = entry("assessor-models", address, 64, unix_ms(), "ready");
        store.write(&format!("servers/{id}"), Some(&entry));
    }
    for index in 0..3 {
        let id = format!("p-{index}");
        let address = start_plain_server(ip(80 + index), &id, Duration::from_millis(15), &record);
        let entry = entry("registry-app", address, 6, unix_ms(), "ready");
        store.write(&format!("servers/{id}"), Some(&entry));
    }
    let route = |name, kind, service, timeout_ms, target_ms| Route {
        name,
        kind,
        service,
        timeout_ms,
        target_ms,
        pause_ms: 500,
        attempts: 2,
        is_resumable: false,
    };
    let routes = [
        route(
            "query",
            "streaming",
            "assessor-models",
            STREAM_DEADLINE.as_millis() as u64,
            1_000,
        ),
        route(
            "lookup",
            "safe",
            "registry-app",
            TIMEOUT.as_millis() as u64,
            150,
        ),
    ];
    let services = [("assessor-models", 370, true), ("registry-app", 110, false)];
    store.write("op/config", Some(&config(1, &routes, &services)));
    let fleet = Fleet::new(store.address, ROUTERS);
    let routers: Vec<_> = (0..usize::from(ROUTERS))
        .map(|index| fleet.start(index))
        .collect();
    routers.iter().for_each(Router::wait_until_ready);
    thread::sleep(Duration::from_secs(2));

    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let begun = Instant::now();
    let mut clients = Vec::new();
    let (mut streams, mut plain, mut probes, mut unready) = (0_u32, 0_u32, 0_u32, 0_u32);
    while begun.elapsed() < LENGTH {
        let now = begun.elapsed();
        let is_trouble_time = now >= TROUBLE_AT && now < TROUBLE_AT + TROUBLE_FOR;
        in_trouble.store(has_trouble() && is_trouble_time, Ordering::SeqCst);
        while f64::from(streams) < now.as_secs_f64() * STREAMS_PER_S {
            streams += 1;
            let to = routers[streams as usize % routers.len()].callers;
            let (id, record) = (
                format!("{:08x}", 0xa000_0000_u32 + streams),
                Arc::clone(&record),
            );
            clients.push(thread::spawn(move || read_stream(to, &id, &record)));
        }
        while f64::from(plain) < now.as_secs_f64() * PLAIN_PER_S {
            plain += 1;
            let to = routers[plain as usize % routers.len()].callers;
            let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
            let id = format!("{:08x}", 0xb000_0000_u32 + plain);
            clients.push(thread::spawn(move || {
                let request = ClientRequest {
                    method: "POST",
                    path: "/lookup/x".to_owned(),
                    id: id.clone(),
                    deadline_ms: PATIENCE.as_millis() as u64,
                    headers: vec![],
                    body: vec![b'q'; 100],
                    ..ClientRequest::default()
                };
                let sent = Instant::now();
                let answer = request.send(to, PATIENCE);
                let took = sent.elapsed();
                let status = answer
                    .as_ref()
                    .map(Message::status)
                    .map_err(std::io::Error::kind);
                record.line(&format!("lookup {id} {status:?} ms={}", took.as_millis()));
                let answered = answer.is_ok().then_some(took);
                seen.lock().unwrap().push(Seen { answered });
            }));
        }
        if now.as_secs() >= u64::from(probes) {
            probes += 1;
            for router in &routers {
                let is_ready = router.is_ready(Duration::from_secs(1));
                unready += u32::from(!is_ready);
                record.line(&format!("readiness {} ready={is_ready}", router.node));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ended = client.join();
    }
    let seen = seen.lock().unwrap();
    let lasts_longer = |limit: Duration| {
        let late = seen
            .iter()
            .filter(|seen| seen.answered.is_none_or(|took| took > limit));
        late.count()
    };
    let (late, unanswered) = (lasts_longer(TIMEOUT), lasts_longer(TIMEOUT + HALF_SECOND));
    let never = seen.iter().filter(|seen| seen.answered.is_none()).count();
    record.say(&format!(
        "{} plain requests: {late} unanswered at TimeoutMs ({} ms), {unanswered} of these also half a second later, {never} never \
         answered; {unready} of {} readiness probes failed",
        seen.len(),
        TIMEOUT.as_millis(),
        probes * u32::from(ROUTERS),
    ));
    let is_broken = unanswered >= 8 && unanswered * 4 > late;
    drop(routers);
    drop(fleet);
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
