//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// Start line and headers of a message.
#[derive(Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; returns `None` if the connection ends before one begins.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return if head.start.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            let line = line.trim_end();
            if head.start.is_empty() {
                line.clone_into(&mut head.start);
            } else if line.is_empty() {
                return Ok(Some(head));
            } else if let Some((name, value)) = line.split_once(':') {
                head.headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: the target of a request or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the body of a message with a length or in chunks; an end before it is complete is an error.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if !head.is_chunked() {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    while read_chunk(reader, &mut body)? {}
    Ok(body)
}

/// Appends one chunk; returns whether it was not the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let begin = body.len();
    body.resize(begin + length, 0);
    reader.read_exact(&mut body[begin..])?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok(length > 0)
}
