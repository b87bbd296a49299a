//! Stand-in of the platform's store: keys, ranges, watches and transactions.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, read_body};

/// Content of the store at one moment.
#[derive(Clone, Default)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    changes: Vec<(u64, String, Option<String>)>,
}

#[derive(Default)]
struct State {
    /// `Store-Era` of all answers.
    era: u32,
    /// Whether the store is away, so that calls get no answer.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value in base64, or `None` if the key was removed.
    changes: Vec<(u64, String, Option<String>)>,
    /// Revision of the change of which the answers to waiting calls are lost.
    lost_change: Option<u64>,
    /// Times of answers, and whether each was lost.
    answers: Vec<(Instant, bool)>,
}

/// The store; clones share their content.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts to serve calls and returns the address.
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ = store.serve_connection(stream);
                });
            }
        });
        Ok(address)
    }

    /// Writes a key, as the operator or a server does; the return is the acknowledgement.
    pub fn write(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Writes a key; the answers to the calls that wait for this change are lost.
    pub fn write_unheard(&self, key: &str, value: &str) {
        self.apply(key, Some(base64(value.as_bytes())), true);
    }

    /// Returns the numbers of all answers and of lost ones from `begin` on within `time`.
    pub fn answers(&self, begin: Instant, time: Duration) -> (usize, usize) {
        let state = self.0.0.lock().unwrap();
        let answers = state.answers.iter();
        let within: Vec<_> = answers
            .filter(|(at, _)| *at >= begin && *at < begin + time)
            .collect();
        (
            within.len(),
            within.iter().filter(|(_, lost)| *lost).count(),
        )
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> Copy {
        let state = self.0.0.lock().unwrap();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
        }
    }

    /// Is away for a time and comes back from a copy; the operator and the servers write again what they had written.
    ///
    /// Returns the revisions before and after.
    pub fn come_back_from(&self, copy: Copy, away: Duration) -> (u64, u64) {
        let (state, changed) = &*self.0;
        state.lock().unwrap().is_away = true;
        changed.notify_all();
        thread::sleep(away);
        let mut state = state.lock().unwrap();
        let (before, lost) = (state.revision, state.items.clone());
        let removed: Vec<_> = copy.items.keys().cloned().collect();
        (state.revision, state.items, state.changes) = (copy.revision, copy.items, copy.changes);
        state.era += 1;
        let is_theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        for (key, (value, _)) in &lost {
            let is_same = state
                .items
                .get(key)
                .is_some_and(|(copied, _)| copied == value);
            if is_theirs(key) && !is_same {
                state.revision += 1;
                let revision = state.revision;
                state.items.insert(key.clone(), (value.clone(), revision));
                state
                    .changes
                    .push((revision, key.clone(), Some(value.clone())));
            }
        }
        for key in removed
            .into_iter()
            .filter(|key| is_theirs(key) && !lost.contains_key(key))
        {
            state.revision += 1;
            let revision = state.revision;
            state.items.remove(&key);
            state.changes.push((revision, key, None));
        }
        state.is_away = false;
        changed.notify_all();
        (before, state.revision)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        self.apply(key, value, false)
    }

    fn apply(&self, key: &str, value: Option<String>, is_unheard: bool) -> u64 {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision = state.revision.max(100) + 1;
        let revision = state.revision;
        if is_unheard {
            state.lost_change = Some(revision);
        }
        match &value {
            Some(value) => drop(
                state
                    .items
                    .insert(key.to_owned(), (value.clone(), revision)),
            ),
            None => drop(state.items.remove(key)),
        }
        state.changes.push((revision, key.to_owned(), value));
        changed.notify_all();
        revision
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            if self.0.0.lock().unwrap().is_away {
                return Ok(());
            }
            let (status, text) = self.respond(head.second_word(), &body);
            if status == 0 {
                // The store went away while the call waited.
                return Ok(());
            }
            let era = self.0.0.lock().unwrap().era;
            if self.is_lost(head.second_word(), &text) {
                // A connection on which a response is lost returns nothing further.
                let mut rest = [0; 1];
                let _ = reader.read(&mut rest);
                return Ok(());
            }
            let length = text.len();
            write!(
                out,
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n{text}"
            )?;
        }
        Ok(())
    }

    /// Records an answer; returns whether it is lost.
    fn is_lost(&self, target: &str, text: &str) -> bool {
        let mut state = self.0.0.lock().unwrap();
        let tells = |revision: u64| {
            target.starts_with("/-/kv-watch") && text.contains(&format!("\"Revision\":{revision},"))
        };
        let is_lost = state.lost_change.is_some_and(tells);
        state.answers.push((Instant::now(), is_lost));
        is_lost
    }

    fn respond(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| decode_percent(value))
                .unwrap_or_default()
        };
        match path {
            "/-/kv-key" => self.key(&parameter("Key")),
            "/-/kv-range" => self.range(&parameter("Prefix"), &parameter("After")),
            "/-/kv-watch" => {
                let wait = parameter("WaitMs").parse().unwrap_or(0);
                let after = parameter("After").parse().unwrap_or(0);
                self.watch(&parameter("Prefix"), after, Duration::from_millis(wait))
            }
            "/-/kv-txn" => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        match state.items.get(key) {
            Some((value, revision)) => (
                200,
                format!(
                    "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0,\"AsOf\":{}}}",
                    state.revision
                ),
            ),
            None => (404, format!("{{\"AsOf\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let items: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"Items\":[{items}],\"MorePages\":false,\"AsOf\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed) = &*self.0;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            if state.is_away {
                return (0, String::new());
            }
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let newer = state
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = newer
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Executes a transaction that writes one key without a precondition, which is all that routers send.
    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let field = |name: &str| {
            let rest = text.split_once(&format!("\"{name}\":\""))?.1;
            Some(rest.split_once('"')?.0.to_owned())
        };
        match (field("Key"), field("Value")) {
            (Some(key), _) if key.starts_with("op/") || key.starts_with("servers/") => {
                (403, "{}".to_owned())
            }
            (Some(key), Some(value)) => {
                let revision = self.change(&key, Some(value));
                (200, format!("{{\"Revision\":{revision}}}"))
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
