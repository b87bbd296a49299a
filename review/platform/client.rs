//! Stand-in of a client on a connection that it keeps.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Head, read_body};

/// A request of a client.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
    /// Headers of the prompt, if the request has one.
    pub prompt: Option<String>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A complete response, with the value of `X-Server-Stamp`.
    Complete {
        status: u16,
        stamp: Option<String>,
        body: Vec<u8>,
    },
    /// The connection ended without a complete response; the number of bytes of one that came.
    Closed { head: bool, error: String },
    /// The client gave up at its deadline.
    TimeOver,
}

impl Answer {
    /// Returns whether the request was served: a success with the signature of a server.
    pub fn is_served(&self) -> bool {
        matches!(
            self,
            Self::Complete {
                status: 200,
                stamp: Some(_),
                ..
            }
        )
    }

    pub fn text(&self) -> String {
        match self {
            Self::Complete { status, body, .. } if *status != 200 => {
                format!("{status} {}", String::from_utf8_lossy(body).trim())
            }
            Self::Complete { status, .. } => format!("{status}"),
            Self::Closed { head, error } => {
                format!("closed without a complete answer (head: {head}): {error}")
            }
            Self::TimeOver => "no answer by the deadline".to_owned(),
        }
    }
}

/// A client with a connection that it uses for many requests.
pub struct Client {
    router: SocketAddr,
    host: String,
    key: String,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(router: SocketAddr, host: &str, key: &str) -> Self {
        Self {
            router,
            host: host.to_owned(),
            key: key.to_owned(),
            connection: None,
        }
    }

    /// Returns whether the client has a connection on which a request was answered.
    pub fn is_kept(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and waits for its response.
    pub fn send(&mut self, request: &Request<'_>) -> Answer {
        let mut has_head = false;
        match self.exchange(request, &mut has_head) {
            Ok(answer) => answer,
            Err(error) => {
                self.connection = None;
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) {
                    Answer::TimeOver
                } else {
                    Answer::Closed {
                        head: has_head,
                        error: error.to_string(),
                    }
                }
            }
        }
    }

    fn exchange(&mut self, request: &Request<'_>, has_head: &mut bool) -> io::Result<Answer> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.router, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let reader = self.connection.as_mut().unwrap();
        let end = Instant::now() + request.deadline;
        let left = || {
            end.saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1))
        };
        reader.get_ref().set_write_timeout(Some(left()))?;
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Milliseconds: {}\r\nAuthorization: Token {}\r\n",
            request.method,
            request.path,
            self.host,
            request.id,
            request.deadline.as_millis(),
            self.key
        );
        if let Some(prompt) = &request.prompt {
            head += prompt;
        }
        if request.method != "GET" {
            head += &format!("Content-Length: {}\r\n", request.body.len());
        }
        head += "\r\n";
        reader.get_mut().write_all(head.as_bytes())?;
        reader.get_mut().write_all(request.body)?;
        reader.get_ref().set_read_timeout(Some(left()))?;
        let Some(head) = Head::read(reader)? else {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "end of the connection",
            ));
        };
        *has_head = true;
        reader.get_ref().set_read_timeout(Some(left()))?;
        let body = read_body(reader, &head)?;
        if head
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        {
            self.connection = None;
        }
        Ok(Answer::Complete {
            status: head.second_word().parse().unwrap_or(0),
            stamp: head.get("x-server-stamp").map(str::to_owned),
            body,
        })
    }
}
