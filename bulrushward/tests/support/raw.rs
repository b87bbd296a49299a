//! HTTP byte by byte, for what libraries do not send.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{API_KEY, PATIENCE};

/// Most bytes that an endless answer has before it ends after all.
const ENDLESS_BYTES: usize = 16 << 20;
/// Answer to a health probe.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// What a raw backend server answers with.
#[derive(Clone, Debug)]
pub enum RawAnswer {
    /// These bytes, and then the end of the connection.
    Bytes(String),
    /// Header lines without end.
    EndlessHeaders,
}

/// A backend server that answers every request with the same bytes, except for health probes.
#[derive(Debug)]
pub struct RawBackend {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    task: tokio::task::JoinHandle<()>,
}

impl RawBackend {
    pub async fn start(answer: RawAnswer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let requests = Arc::default();
        let task = tokio::spawn(serve(listener, answer, Arc::clone(&requests)));
        Self {
            address,
            requests,
            task,
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the requests so far, except for health probes.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.clone()
    }

    /// Forgets the requests so far.
    pub fn forget(&self) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.clear();
    }
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, answer: RawAnswer, requests: Arc<Mutex<Vec<String>>>) {
    while let Ok((connection, _peer)) = listener.accept().await {
        tokio::spawn(serve_one(connection, answer.clone(), Arc::clone(&requests)));
    }
}

async fn serve_one(
    mut connection: TcpStream,
    answer: RawAnswer,
    requests: Arc<Mutex<Vec<String>>>,
) {
    let request = read_request(&mut connection).await;
    if request.starts_with("GET /health ") {
        // A prober that went away needs no answer.
        let _sent = connection.write_all(HEALTHY).await;
        return;
    }
    requests
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(request);
    match answer {
        RawAnswer::Bytes(bytes) => {
            // An agent that went away needs no answer.
            let _sent = connection.write_all(bytes.as_bytes()).await;
        }
        RawAnswer::EndlessHeaders => {
            let mut sent = connection.write_all(b"HTTP/1.1 200 OK\r\n").await;
            let line = b"x-more: and more\r\n";
            let mut bytes = 0;
            while sent.is_ok() && bytes < ENDLESS_BYTES {
                sent = connection.write_all(line).await;
                bytes += line.len();
            }
        }
    }
}

async fn read_request(connection: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !is_whole(&request) {
        match connection.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(length) => request.extend_from_slice(&buf[..length]),
        }
    }
    String::from_utf8_lossy(&request).into_owned()
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length
        .and_then(|length| length.parse().ok())
        .unwrap_or_default();
    body.len() >= length
}

/// Sends bytes to a listener and returns everything that it answers until it closes.
///
/// The connection is kept open for sending, so that only the listener can end it.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).await.expect("it listens");
    // A listener may close before it has read everything.
    let _sent = connection.write_all(bytes).await;
    read_to_end(&mut connection).await
}

/// Reads until the other side closes.
pub async fn read_to_end(connection: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        while let Ok(length) = connection.read(&mut buf).await {
            if length == 0 {
                break;
            }
            answer.extend_from_slice(&buf[..length]);
        }
    };
    let in_time = tokio::time::timeout(PATIENCE, read).await;
    in_time.expect("the listener closes the connection in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends bytes one after another until the other side closes; returns what it answered.
pub async fn trickle(address: SocketAddr, head: &[u8], byte: u8, pause: Duration) -> String {
    let connection = TcpStream::connect(address).await.expect("it listens");
    let (mut reading, mut writing) = connection.into_split();
    writing.write_all(head).await.expect("the head is sent");
    let sender = tokio::spawn(async move {
        while writing.write_all(&[byte]).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    });
    let mut answer = Vec::new();
    // A reset after the answer ends it as well.
    let read = tokio::time::timeout(PATIENCE, reading.read_to_end(&mut answer)).await;
    sender.abort();
    let _reset = read.expect("the listener closes the connection in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Builds the head of a request with the API key and `connection: close`.
pub fn head(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\n{more}\r\n"
    )
}

/// Returns the status of an answer, or 0 if there is none.
pub fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .unwrap_or_default()
}
