//! Stand-in of a backend server: plain responses and event streams, with bodies that are read in different ways.

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Head, read_body},
    store::Store,
    util::{Record, set_receive_buffer},
};

/// How a server reads the bodies of long requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// At once, as fast as they come.
    Fast,
    /// So many bytes in each tenth of a second.
    Paced(usize),
    /// At once after a pause.
    After(Duration),
}

/// What a server does.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub reading: Reading,
    /// Length of a body from which it counts as long.
    pub long_bytes: usize,
    /// Time of work on a request.
    pub work: Duration,
    /// Time of work on a long request.
    pub long_work: Duration,
    /// Events of a stream and the time between two of them.
    pub events: u32,
    pub event_gap: Duration,
    pub slots: u32,
    pub queue: u32,
}

/// A server that is registered in the store.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Behaviour,
    record: Record,
    held: AtomicU32,
    /// Ids of the requests that it has begun to work on.
    pub ran: Mutex<Vec<String>>,
    /// Ids of the requests of which it has read the head.
    pub reached: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        behaviour: Behaviour,
        store: &Store,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if behaviour.reading != Reading::Fast {
            set_receive_buffer(listener.as_raw_fd(), 32 << 10);
        }
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            behaviour,
            record: record.clone(),
            held: AtomicU32::new(0),
            ran: Mutex::default(),
            reached: Mutex::default(),
        });
        let own = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&own);
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"1\",\"Slots\":{},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":1700000000000}}",
            server.address, behaviour.slots
        );
        store.write(&format!("servers/{id}"), &entry);
        Ok(server)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(8 << 10, stream);
        while let Some(head) = Head::read(&mut reader)? {
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            if head
                .get("x-target-instance")
                .is_some_and(|target| target != self.id)
            {
                read_body(&mut reader, &head)?;
                write!(
                    out,
                    "HTTP/1.1 421 M\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            self.reached.lock().unwrap().push(id.clone());
            let held = self.held.fetch_add(1, Ordering::SeqCst) + 1;
            let handled = if held > self.behaviour.slots + self.behaviour.queue {
                read_body(&mut reader, &head).and_then(|_| {
                    write!(out, "HTTP/1.1 503 F\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                })
            } else {
                self.run(&mut reader, &mut out, &head, &id)
            };
            self.held.fetch_sub(1, Ordering::SeqCst);
            if let Err(error) = handled {
                self.record
                    .line(&format!("server {}: {id} broken off: {error}", self.id));
                return Err(error);
            }
        }
        Ok(())
    }

    fn run(
        &self,
        reader: &mut BufReader<TcpStream>,
        out: &mut TcpStream,
        head: &Head,
        id: &str,
    ) -> io::Result<()> {
        let behaviour = self.behaviour;
        let is_long = head.length() >= behaviour.long_bytes;
        match behaviour.reading {
            Reading::Paced(bytes) if is_long => {
                let mut left = head.length();
                let mut chunk = vec![0; bytes];
                while left > 0 {
                    let count = left.min(bytes);
                    reader.read_exact(&mut chunk[..count])?;
                    left -= count;
                    thread::sleep(Duration::from_millis(100));
                }
            }
            Reading::After(pause) if is_long => {
                thread::sleep(pause);
                read_body(reader, head)?;
            }
            _ => drop(read_body(reader, head)?),
        }
        self.ran.lock().unwrap().push(id.to_owned());
        self.record.line(&format!("server {}: runs {id}", self.id));
        thread::sleep(if is_long {
            behaviour.long_work
        } else {
            behaviour.work
        });
        let stamp = format!("X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}", self.id);
        if head.second_word().contains("/stream/") {
            write!(
                out,
                "HTTP/1.1 200 OK\r\n{stamp}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )?;
            for event in 1..=behaviour.events {
                let last = if event == behaviour.events {
                    "last"
                } else {
                    "next"
                };
                let text = format!("id: {event}\ndata: {last} {id}\n\n");
                write!(out, "{:x}\r\n{text}\r\n", text.len())?;
                thread::sleep(behaviour.event_gap);
            }
            return out.write_all(b"0\r\n\r\n");
        }
        let body = format!("{id} by {}", self.id);
        write!(
            out,
            "HTTP/1.1 200 OK\r\n{stamp}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
