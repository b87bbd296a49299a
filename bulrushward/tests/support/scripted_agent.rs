//! An agent that sends scripted frames, for connections that a real agent cannot be made to end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushward_protocol::{
    AttemptId, Frame, RunRequest, decode, encode_frame, format_id, headers,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Time for which a connection stays open after its last frame.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// What an agent sends on one connection.
#[derive(Clone, Debug)]
pub enum Answer {
    /// It admits the attempt and sends frames of it.
    Frames(Vec<Frame>),
    /// A frame of a response that does not say to which attempt it belongs.
    Unnamed(Frame),
    /// An error of the HTTP server, whose body is no frame.
    Error,
}

impl From<Vec<Frame>> for Answer {
    fn from(frames: Vec<Frame>) -> Self {
        Self::Frames(frames)
    }
}

impl Answer {
    /// Returns the bytes of the response, whose body ends with the connection.
    fn response(&self, attempt: AttemptId) -> Vec<u8> {
        let (status, named, frames) = match self {
            Self::Frames(frames) => {
                let admitted = Frame::Admitted { attempt, load: 1 };
                let frames: Vec<_> = [admitted].into_iter().chain(frames.clone()).collect();
                (
                    200,
                    format!("{}: {}\r\n", headers::ATTEMPT, format_id(attempt)),
                    frames,
                )
            }
            Self::Unnamed(frame) => (200, String::new(), vec![frame.clone()]),
            Self::Error => (500, String::new(), Vec::new()),
        };
        let head = format!("HTTP/1.1 {status} X\r\n{named}connection: close\r\n\r\n");
        let mut response = head.into_bytes();
        for frame in &frames {
            response.extend_from_slice(&encode_frame(frame).expect("the frame encodes"));
        }
        if matches!(self, Self::Error) {
            response.extend_from_slice(b"an unexpected error");
        }
        response
    }
}

/// An agent that sends the answers of one connection after another and then closes the connection. The last answer is
/// repeated.
#[derive(Debug)]
pub struct ScriptedAgent {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl ScriptedAgent {
    pub async fn start(script: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let connections = Arc::default();
        let task = tokio::spawn(serve(listener, script.into(), Arc::clone(&connections)));
        Self {
            address,
            connections,
            task,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections on which an attempt was sent or resumed.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

impl Drop for ScriptedAgent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, script: Arc<[Answer]>, connections: Arc<AtomicUsize>) {
    while let Ok((mut connection, _peer)) = listener.accept().await {
        let (script, connections) = (Arc::clone(&script), Arc::clone(&connections));
        tokio::spawn(async move {
            let Some(attempt) = read_attempt(&mut connection).await else {
                return;
            };
            let index = connections.fetch_add(1, Ordering::SeqCst);
            let response = script[index.min(script.len() - 1)].response(attempt);
            // Fails if the router has disconnected, which needs no handling.
            let _sent = connection.write_all(&response).await;
            tokio::time::sleep(CLOSE_DELAY).await;
        });
    }
}

/// Returns the attempt that a request runs or resumes; `None` for other requests.
async fn read_attempt(connection: &mut TcpStream) -> Option<AttemptId> {
    let (head, body) = read_request(connection).await?;
    let path = head.split(' ').nth(1)?;
    if path == "/inner/run" {
        return Some(decode::<RunRequest>(&body).ok()?.attempt);
    }
    let (id, _from) = path.strip_prefix("/inner/attempts/")?.split_once('?')?;
    AttemptId::from_str_radix(id, 16).ok()
}

async fn read_request(connection: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut request = Vec::new();
    loop {
        let end = request.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&request[..end]).to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length = length.map_or(Some(0), |length| length.parse().ok())?;
            let body = &request[end + 4..];
            if body.len() >= length {
                return Some((head, body.to_vec()));
            }
        }
        if connection.read_buf(&mut request).await.ok()? == 0 {
            return None;
        }
    }
}
