//! Raw HTTP for messages that HTTP libraries do not send.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{API_KEY, TEST_TIMEOUT};

/// Maximum bytes of an endless response, so that a test that does not stop reading still ends.
const MAX_ENDLESS_BYTES: usize = 16 << 20;
/// Response to a health probe.
const HEALTHY_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Response of a raw backend server.
#[derive(Clone, Debug)]
pub enum RawResponse {
    /// These bytes, after which the connection is closed.
    Bytes(String),
    /// These bytes before the request is read to its end, and a reset after a pause.
    EarlyThenReset(String, Duration),
    /// The first text, and then the second one until the connection is closed.
    Endless(&'static str, String),
    /// An endless sequence of headers.
    EndlessHeaders,
}

/// A backend server that sends the same bytes in response to every request except health probes.
#[derive(Debug)]
pub struct RawBackend {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    task: tokio::task::JoinHandle<()>,
}

impl RawBackend {
    pub async fn start(response: RawResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let requests = Arc::default();
        let task = tokio::spawn(serve(listener, response, Arc::clone(&requests)));
        Self {
            address,
            requests,
            task,
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the requests received so far, except health probes.
    pub fn requests(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.clone()
    }

    /// Clears the list of received requests.
    pub fn clear_requests(&self) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.clear();
    }
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, response: RawResponse, requests: Arc<Mutex<Vec<String>>>) {
    while let Ok((connection, _peer)) = listener.accept().await {
        tokio::spawn(serve_one(
            connection,
            response.clone(),
            Arc::clone(&requests),
        ));
    }
}

async fn serve_one(
    mut connection: TcpStream,
    response: RawResponse,
    requests: Arc<Mutex<Vec<String>>>,
) {
    let request = match response {
        RawResponse::EarlyThenReset(..) => read_start(&mut connection).await,
        RawResponse::Bytes(_) | RawResponse::Endless(..) | RawResponse::EndlessHeaders => {
            read_request(&mut connection).await
        }
    };
    if request.starts_with("GET /health ") {
        // Fails if the client has disconnected, which needs no handling.
        let _sent = connection.write_all(HEALTHY_RESPONSE).await;
        return;
    }
    requests
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(request);
    match response {
        RawResponse::Bytes(bytes) => {
            // Fails if the agent has disconnected, which needs no handling.
            let _sent = connection.write_all(bytes.as_bytes()).await;
        }
        RawResponse::EarlyThenReset(bytes, pause) => {
            let _sent = connection.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(pause).await;
            // What was not read resets the connection.
            connection
                .set_zero_linger()
                .expect("the linger option can be set");
        }
        RawResponse::Endless(head, part) => {
            let mut sent = connection.write_all(head.as_bytes()).await;
            while sent.is_ok() {
                sent = connection.write_all(part.as_bytes()).await;
            }
        }
        RawResponse::EndlessHeaders => {
            let mut sent = connection.write_all(b"HTTP/1.1 200 OK\r\n").await;
            let line = b"x-more: and more\r\n";
            let mut bytes = 0;
            while sent.is_ok() && bytes < MAX_ENDLESS_BYTES {
                sent = connection.write_all(line).await;
                bytes += line.len();
            }
        }
    }
}

/// Reads the beginning of a request.
async fn read_start(connection: &mut TcpStream) -> String {
    let mut buf = [0; 4096];
    let len = connection.read(&mut buf).await.unwrap_or_default();
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

async fn read_request(connection: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !is_complete(&request) {
        match connection.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(length) => request.extend_from_slice(&buf[..length]),
        }
    }
    String::from_utf8_lossy(&request).into_owned()
}

pub(super) fn is_complete(request: &[u8]) -> bool {
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

/// Sends bytes to a listener and returns everything it sends until it closes the connection.
///
/// The sending half stays open, so that only the listener can close the connection.
pub async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = TcpStream::connect(address)
        .await
        .expect("the listener accepts the connection");
    // Fails if the listener closes the connection before it has read everything.
    let _sent = connection.write_all(bytes).await;
    read_to_end(&mut connection).await
}

/// Reads until the peer closes the connection.
pub async fn read_to_end(connection: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        while let Ok(length) = connection.read(&mut buf).await {
            if length == 0 {
                break;
            }
            response.extend_from_slice(&buf[..length]);
        }
    };
    let in_time = tokio::time::timeout(TEST_TIMEOUT, read).await;
    in_time.expect("the listener closes the connection in time");
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends one byte at a time until the peer closes the connection, and returns what it sent.
pub async fn send_slowly(address: SocketAddr, head: &[u8], byte: u8, pause: Duration) -> String {
    let connection = TcpStream::connect(address)
        .await
        .expect("the listener accepts the connection");
    let (mut reading, mut writing) = connection.into_split();
    writing.write_all(head).await.expect("the head is sent");
    let sender = tokio::spawn(async move {
        while writing.write_all(&[byte]).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    });
    let mut response = Vec::new();
    // A connection reset after the response ends it as well.
    let read = tokio::time::timeout(TEST_TIMEOUT, reading.read_to_end(&mut response)).await;
    sender.abort();
    let _reset = read.expect("the listener closes the connection in time");
    String::from_utf8_lossy(&response).into_owned()
}

/// Builds a request head with the API key and `connection: close`.
pub fn request_head(method: &str, path: &str, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\n{headers}\r\n"
    )
}

/// Returns the status code of a response, or 0 if it has none.
pub fn status(response: &str) -> u16 {
    let status = response.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .unwrap_or_default()
}
