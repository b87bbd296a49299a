//! A caller that reads responses byte by byte.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Read timeout of a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A response as received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body arrived.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the router listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the read timeout can be set");
    stream
}

/// Sends bytes on a new connection and reads one response.
pub fn send(address: SocketAddr, request: &[u8]) -> Response {
    let mut stream = connect(address);
    stream.write_all(request).expect("the request can be sent");
    read_response(&mut stream)
}

/// Sends a GET request; returns `None` if there is no response.
pub fn get(address: SocketAddr, path: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_response(&mut stream)).filter(|response| response.status > 0)
}

/// Reads one response, which is incomplete if the connection ends early.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Some(byte) = read_byte(stream) else {
            return Response::default();
        };
        head.push(byte);
    }
    let head = String::from_utf8(head).expect("the head is text");
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut response = Response {
        status: status.expect("the response has a status"),
        headers,
        ..Response::default()
    };
    if response.header("transfer-encoding") == Some("chunked") {
        while let Some(more) = read_chunk(stream, &mut response.body) {
            if !more {
                response.is_complete = true;
                break;
            }
        }
    } else {
        let len = response
            .header("content-length")
            .and_then(|len| len.parse().ok());
        response.body = vec![0; len.unwrap_or(0)];
        response.is_complete = stream.read_exact(&mut response.body).is_ok();
    }
    response
}

/// Reads one chunk; returns whether more follow, or `None` if the connection ended.
fn read_chunk(stream: &mut TcpStream, body: &mut Vec<u8>) -> Option<bool> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(read_byte(stream)?);
    }
    let line = String::from_utf8(line).ok()?;
    let len = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; len + 2];
    stream.read_exact(&mut chunk).ok()?;
    body.extend_from_slice(&chunk[..len]);
    Some(len > 0)
}

fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    (stream.read(&mut byte).ok()? == 1).then_some(byte[0])
}
