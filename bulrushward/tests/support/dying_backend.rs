//! A backend server whose process ends while it sends a response.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::TEST_TIMEOUT;

/// Time for which a response is in transit before the process ends.
const TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Response to a health probe, and to requests before the one in which the process ends.
const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A backend server that sends given bytes in response to the next request after [`Self::arm`] and then closes all its sockets
/// in order, as the system does for a process that was killed.
#[derive(Debug)]
pub struct DyingBackend {
    address: SocketAddr,
    is_armed: Arc<AtomicBool>,
}

impl DyingBackend {
    pub fn start(response: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let is_armed = Arc::new(AtomicBool::new(false));
        let armed = Arc::clone(&is_armed);
        thread::spawn(move || serve(&listener, response.as_bytes(), &armed));
        Self { address, is_armed }
    }

    /// Lets the process end in its next response, except to a health probe.
    pub fn arm(&self) {
        self.is_armed.store(true, Ordering::SeqCst);
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

fn serve(listener: &TcpListener, response: &[u8], is_armed: &AtomicBool) {
    while let Ok((mut connection, _peer)) = listener.accept() {
        let limit = Some(TEST_TIMEOUT);
        connection
            .set_read_timeout(limit)
            .expect("the limit is valid");
        let req = read_request(&mut connection);
        if req.is_empty() {
            continue;
        }
        if req.starts_with("GET /health ") || !is_armed.load(Ordering::SeqCst) {
            // Fails if the client has disconnected, which needs no handling.
            let _sent = connection.write_all(EMPTY_RESPONSE);
            continue;
        }
        connection
            .write_all(response)
            .expect("the agent reads the response");
        thread::sleep(TRANSIT_TIME);
        return;
    }
}

/// Reads a request completely, so that the connection is not reset when it closes.
fn read_request(connection: &mut TcpStream) -> String {
    let mut req = Vec::new();
    let mut buf = [0; 4096];
    while !super::raw::is_complete(&req) {
        match connection.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => req.extend_from_slice(&buf[..len]),
        }
    }
    String::from_utf8_lossy(&req).into_owned()
}
