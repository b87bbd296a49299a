//! Stand-ins for the scripts of the second review: the platform's store, HTTP helpers, and routers as processes.
//!
//! Only the standard library is used, so that `rustc` builds each script without a network.
#![allow(dead_code, reason = "no script uses all of it")]

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Prints why the case could not run, and ends the process with those that it started.
pub fn not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for child in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter_mut() {
        let _ended = child.kill();
        let _waited = child.wait();
    }
    std::process::exit(NOT_RUN);
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| not_run(&error.to_string()));
        Self { begun: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the milliseconds since the start of the script.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{:>7} ms  {text}", self.begun.elapsed().as_millis());
    }
}

/// A message as it was read from a connection; `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body has arrived.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request, or the version of a response.
    pub fn first(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request, or the status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads the first line and the headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Message { start, headers, ..Message::default() })
}

/// Reads the body that the headers of a message announce; what has arrived is kept if the connection breaks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, until_close: bool) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
    let len = message.header("content-length").and_then(|len| len.parse::<usize>().ok());
    if is_chunked {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
                .map_err(|_bad| io::Error::from(io::ErrorKind::InvalidData))?;
            let begin = message.body.len();
            message.body.resize(begin + size, 0);
            if let Err(error) = reader.read_exact(&mut message.body[begin..]) {
                message.body.truncate(begin);
                return Err(error);
            }
            let end = read_line(reader)?;
            if size == 0 || !end.is_empty() {
                break;
            }
        }
    } else if let Some(len) = len {
        message.body.resize(len, 0);
        reader.read_exact(&mut message.body)?;
    } else if until_close {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_complete = true;
    Ok(())
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut request = read_head(reader)?;
    read_body(reader, &mut request, false)?;
    Ok(request)
}

/// Sends a request on a new connection and reads its answer; an answer that broke off has `is_complete` unset.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    let _broke_off = read_body(&mut reader, &mut answer, true);
    Ok(answer)
}

/// Listens on a free address, or ends the script as not run.
pub fn listen(at: SocketAddr) -> TcpListener {
    TcpListener::bind(at).unwrap_or_else(|error| not_run(&format!("{at}: {error}")))
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                text.push(BASE64[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Key, base64 text of the value, revision.
    items: Vec<(String, String, u64)>,
    /// Revision, key, base64 text of the value or `None` if it was removed.
    log: Vec<(u64, String, Option<String>)>,
}

/// Connections that a stand-in has accepted; those that are open can go silent while new ones work.
#[derive(Clone, Default)]
pub struct Connections(Arc<AtomicU64>);

impl Connections {
    /// Makes all open connections silent for good.
    pub fn silence(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns what a new connection keeps for [`Self::wait_if_silent`].
    pub fn open(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    /// Never returns if the connection has gone silent.
    pub fn wait_if_silent(&self, opened: u64) {
        while self.open() != opened {
            thread::sleep(Duration::from_secs(3_600));
        }
    }
}

/// The platform's store as far as routers use it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub connections: Connections,
}

impl Store {
    pub fn start(at: SocketAddr) -> Self {
        let store = Self { state: Arc::default(), connections: Connections::default() };
        store.state.0.lock().unwrap().revision = 100;
        let listener = listen(at);
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ended = store.serve(&stream);
                });
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(key, Some(base64(value)));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.retain(|(known, _, _)| known != key);
        if let Some(value) = &value {
            state.items.push((key.to_owned(), value.clone(), revision));
            state.items.sort();
        }
        state.log.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        let opened = self.connections.open();
        loop {
            let request = read_request(&mut reader)?;
            let (status, json) = self.answer(&request);
            self.connections.wait_if_silent(opened);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{json}",
                json.len()
            );
            (&*stream).write_all(answer.as_bytes())?;
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.second().split_once('?').unwrap_or((request.second(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| decode_percent(value))
        };
        match path {
            "/-/kv-key" => {
                let key = field("Key").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                let as_of = state.revision;
                match state.items.iter().find(|(known, _, _)| *known == key) {
                    Some((key, value, revision)) => (
                        "200 OK",
                        format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0,\"AsOf\":{as_of}}}"),
                    ),
                    None => ("404 Not Found", format!("{{\"AsOf\":{as_of}}}")),
                }
            }
            "/-/kv-range" => {
                let prefix = field("Prefix").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                let items = state.items.iter().filter(|(key, _, _)| key.starts_with(&prefix));
                let items: Vec<_> = items
                    .map(|(key, value, revision)| format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"))
                    .collect();
                ("200 OK", format!("{{\"Items\":[{}],\"MorePages\":false,\"AsOf\":{}}}", items.join(","), state.revision))
            }
            "/-/kv-watch" => {
                let prefix = field("Prefix").unwrap_or_default();
                let after: u64 = field("After").and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait = field("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let events: Vec<_> = state
                        .log
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, value)| match value {
                            Some(value) => format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"),
                            None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return ("200 OK", format!("{{\"events\":[{}],\"AsOf\":{}}}", events.join(","), state.revision));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/kv-txn" => {
                let body = request.text();
                let quoted = |name: &str| {
                    let begin = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    Some(body[begin..].split('"').next()?.to_owned())
                };
                if let (Some(key), Some(value)) = (quoted("Key"), quoted("Value")) {
                    self.change(&key, Some(value));
                }
                ("200 OK", format!("{{\"Revision\":{}}}", self.state.0.lock().unwrap().revision))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let hex = (*first == b'%').then(|| after.get(..2)).flatten();
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        bytes.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Loopback addresses of one run, so that the fixed ports of a deployment are free.
#[derive(Clone, Copy)]
pub struct Net {
    second: u8,
    third: u8,
}

impl Net {
    pub fn new() -> Self {
        let seed = std::process::id() ^ (unix_ms() as u32);
        Self { second: 20 + (seed % 200) as u8, third: (seed / 200 % 250) as u8 }
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.second, self.third, host], port))
    }

    pub fn store(self) -> SocketAddr {
        self.at(200, 8223)
    }

    /// Returns the address of a router for callers.
    pub fn front(self, router: u8) -> SocketAddr {
        self.at(router, 8227)
    }

    pub fn ready(self, router: u8) -> SocketAddr {
        self.at(router, 8220)
    }
}

/// Folder for the settings and logs of a run, which is removed at its end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| not_run(&error.to_string()));
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.0);
        }
    }
}

/// All processes that were started.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A process that ends with this value; the index of its entry in [`STARTED`].
pub struct Process(usize);

impl Process {
    /// Starts a process, or ends the script as not run.
    pub fn start(command: &mut Command) -> Self {
        let child = command.spawn().unwrap_or_else(|error| not_run(&format!("{command:?}: {error}")));
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.push(child);
        Self(started.len() - 1)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started[self.0].try_wait().is_ok_and(|ended| ended.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        let _ended = started[self.0].kill();
        let _waited = started[self.0].wait();
    }
}

/// Size and bounds of a deployment.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub routers: u8,
    pub drain_ms: u64,
    pub configuration_ms: u64,
    pub extra_retries: u64,
}

/// Starts a router with the command of the deploy file and the settings of `deploy/router.toml`.
pub fn start_router(net: Net, router: u8, bounds: Bounds, folder: &Path) -> Process {
    let seeds: Vec<_> = (1..=bounds.routers.min(3)).map(|seed| format!("\"{}\"", net.at(seed, 8229))).collect();
    let settings = format!(
        "node = \"front-{router}\"\nfailure_domain = \"zone-{router}\"\ncallers_address = \"{}\"\nreadiness_address = \"{}\"\n\
         knowledge_address = \"{}\"\nfirst_start = true\ndatagram_port = 7340\nplaces_port = 7355\nmetrics_port = 7341\n\
         seeds = [{}]\nstore_address = \"{}\"\nstop_grace_s = 8\nleaving_known_ms = {}\nconfig_known_ms = {}\n\
         repeat_ratio = 0.2\nextra_repeats = {}\nrepeat_window_s = 10\n",
        net.front(router),
        net.ready(router),
        net.at(router, 8229),
        seeds.join(","),
        net.store(),
        bounds.drain_ms,
        bounds.configuration_ms,
        bounds.extra_retries,
    );
    let path = folder.join(format!("router-{router}.toml"));
    fs::write(&path, settings).unwrap_or_else(|error| not_run(&error.to_string()));
    let log = File::create(folder.join(format!("router-{router}.log"))).unwrap_or_else(|error| not_run(&error.to_string()));
    let log_too = log.try_clone().unwrap_or_else(|error| not_run(&error.to_string()));
    let mut command = Command::new("target/dist/bulrushward-directd");
    command.env("BULRUSHWARD_SETTINGS", &path).stdin(Stdio::null()).stdout(log).stderr(log_too);
    Process::start(&mut command)
}

/// Waits until all routers say that they are ready.
pub fn wait_until_ready(net: Net, routers: u8) {
    let until = Instant::now() + Duration::from_secs(10);
    for router in 1..=routers {
        loop {
            let probe = "GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
            let answer = call(net.ready(router), probe, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                break;
            }
            if Instant::now() > until {
                not_run(&format!("router {router} is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Returns a server's entry in the store.
pub fn server_entry(service: &str, at: SocketAddr, zone: &str, slots: u32, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{at}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\
         \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{born}}}"
    )
}
