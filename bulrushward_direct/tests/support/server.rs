//! A fake server that sends scripted bytes.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use socket2::{SockFilter, SockRef, Socket};

/// `BPF_RET | BPF_K`: the number of bytes of a packet that a filter lets pass, 0 to drop it.
const BPF_RETURN: u16 = 0x06;

/// A request as received.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of earlier requests on its connection.
    pub earlier: usize,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Sends these bytes repeatedly until the peer closes the connection.
    SendForever(Vec<u8>),
    /// Sends nothing until the peer closes the connection.
    Hang,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Resets the connection and refuses new ones from then on.
    Crash,
    /// Closes the connection and refuses new ones from then on.
    CrashQuietly,
    /// Closes the connection and refuses new ones after a pause.
    CrashSlowly(Duration),
    /// Closes all connections in order and accepts new ones, as a process that is killed and started again at once.
    Restart,
}

pub fn send_text(text: &str) -> Step {
    Step::Send(text.as_bytes().to_vec())
}

type Script = dyn Fn(&Received) -> Vec<Step> + Send + Sync;

/// A scripted server with one thread for each connection.
pub struct TestServer {
    pub id: String,
    pub address: SocketAddr,
    link: Arc<Link>,
    received: Arc<Mutex<Vec<Received>>>,
    /// Number of connections that the peer closed while a step waited for it to do so.
    disconnects: Arc<AtomicUsize>,
}

impl TestServer {
    /// Starts a server that runs the steps returned by `script` for each request.
    pub fn start(
        id: &str,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self::start_at(any_port, id, script)
    }

    /// Starts a server at an address.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the port can be bound");
        let address = listener.local_addr().expect("the listener is bound");
        let listener = Arc::new(listener);
        let link = Arc::new(Link::new(&listener));
        let accepted = Arc::clone(&link);
        let received = Arc::new(Mutex::new(Vec::new()));
        let disconnects = Arc::new(AtomicUsize::new(0));
        let script: Arc<Script> = Arc::new(script);
        let (requests, closed) = (Arc::clone(&received), Arc::clone(&disconnects));
        let crashed = Arc::new(AtomicBool::new(false));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("the connection can be accepted");
                let stream = Arc::new(stream);
                accepted.add(&stream);
                if crashed.load(Ordering::SeqCst) {
                    break;
                }
                let crashed = Arc::clone(&crashed);
                let (requests, closed) = (Arc::clone(&requests), Arc::clone(&closed));
                let script = Arc::clone(&script);
                let link = Arc::clone(&accepted);
                std::thread::spawn(move || {
                    serve(&stream, &requests, &closed, &crashed, &link, &*script);
                });
            }
        });
        Self {
            id: id.to_owned(),
            address,
            link,
            received,
            disconnects,
        }
    }

    /// Starts a server that responds to each request with its own id as the body.
    pub fn echo(id: &str) -> Self {
        let body = id.to_owned();
        Self::start(id, move |req| vec![ok_response(req, &body)])
    }

    pub fn received(&self) -> Vec<Received> {
        self.received
            .lock()
            .expect("no test panics while holding the lock")
            .clone()
    }

    /// Cuts the server off: it receives no packets until [`Self::heal`], and its peers keep what they have sent.
    pub fn cut_off(&self) {
        self.link.set_cut(true);
    }

    /// Ends a cut; what peers still have to deliver arrives from now on.
    pub fn heal(&self) {
        self.link.set_cut(false);
    }

    pub fn disconnects(&self) -> usize {
        self.disconnects.load(Ordering::SeqCst)
    }
}

/// The open sockets of a server, whose packets can be dropped before the kernel acknowledges them.
struct Link {
    listener: Weak<TcpListener>,
    accepted: Mutex<Vec<Weak<TcpStream>>>,
}

impl Link {
    fn new(listener: &Arc<TcpListener>) -> Self {
        Self {
            listener: Arc::downgrade(listener),
            accepted: Mutex::default(),
        }
    }

    fn add(&self, stream: &Arc<TcpStream>) {
        self.lock().push(Arc::downgrade(stream));
    }

    fn set_cut(&self, is_cut: bool) {
        let listener = self.listener.upgrade();
        if let Some(listener) = &listener {
            set_filter(&SockRef::from(&**listener), is_cut);
        }
        for stream in self.lock().iter().filter_map(Weak::upgrade) {
            set_filter(&SockRef::from(&*stream), is_cut);
        }
    }

    fn close_all(&self) {
        for stream in self.lock().iter().filter_map(Weak::upgrade) {
            // One that the peer has closed is shut down already.
            let _shut_down = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.accepted
            .lock()
            .expect("no test panics while holding the lock")
    }
}

/// Lets a socket drop all packets, or none.
fn set_filter(socket: &Socket, drops_all: bool) {
    if drops_all {
        socket
            .attach_filter(&[SockFilter::new(BPF_RETURN, 0, 0, 0)])
            .expect("the packet filter can be set");
    } else {
        // A socket that was accepted after the cut has none.
        let _removed = socket.detach_filter();
    }
}

/// Returns a complete signed response.
pub fn ok_response(req: &Received, body: &str) -> Step {
    response(req, "200 OK", "Signed: s\r\n", body)
}

/// Returns a complete response.
pub fn response(req: &Received, status: &str, headers: &str, body: &str) -> Step {
    let id = req.header("request").unwrap_or_default();
    send_text(&format!(
        "HTTP/1.1 {status}\r\nRequest: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns the head of a stream of events.
pub fn stream_head(req: &Received) -> Step {
    let id = req.header("request").unwrap_or_default();
    send_text(&format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    ))
}

/// Returns a chunk of a stream.
pub fn chunk(bytes: &str) -> Step {
    send_text(&format!("{:x}\r\n{bytes}\r\n", bytes.len()))
}

/// Returns a complete event.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: word-{id}\n\n")
}

fn serve(
    stream: &TcpStream,
    requests: &Mutex<Vec<Received>>,
    closed: &AtomicUsize,
    crashed: &AtomicBool,
    link: &Link,
    script: &Script,
) {
    let mut reader = BufReader::new(stream);
    for earlier in 0.. {
        let Some(mut req) = read_request(&mut reader) else {
            return;
        };
        req.earlier = earlier;
        requests
            .lock()
            .expect("no test panics while holding the lock")
            .push(req.clone());
        for step in script(&req) {
            if matches!(step, Step::Restart) {
                link.close_all();
                return;
            }
            if !run_step(stream, step, closed, crashed) {
                return;
            }
        }
    }
}

/// Runs a step; returns whether the connection stays open.
fn run_step(
    mut stream: &TcpStream,
    step: Step,
    closed: &AtomicUsize,
    crashed: &AtomicBool,
) -> bool {
    match step {
        Step::Send(bytes) => stream.write_all(&bytes).is_ok(),
        Step::SendForever(bytes) => {
            while stream.write_all(&bytes).is_ok() {}
            closed.fetch_add(1, Ordering::SeqCst);
            false
        }
        Step::Pause(time) => {
            std::thread::sleep(time);
            true
        }
        Step::Hang => {
            let _end = stream.read(&mut [0]);
            closed.fetch_add(1, Ordering::SeqCst);
            false
        }
        Step::Close | Step::Restart => false,
        Step::Crash => {
            stop_listening(stream, crashed);
            run_step(stream, Step::Reset, closed, crashed)
        }
        Step::CrashQuietly => {
            stop_listening(stream, crashed);
            false
        }
        Step::CrashSlowly(pause) => {
            // One that the peer has closed is shut down already.
            let _shut_down = stream.shutdown(Shutdown::Both);
            std::thread::sleep(pause);
            stop_listening(stream, crashed);
            false
        }
        Step::Reset => {
            SockRef::from(stream)
                .set_linger(Some(Duration::ZERO))
                .expect("the linger option can be set");
            false
        }
    }
}

/// Ends the accept loop, which closes the listener.
fn stop_listening(stream: &TcpStream, crashed: &AtomicBool) {
    crashed.store(true, Ordering::SeqCst);
    let own = stream.local_addr().expect("the stream is connected");
    // Wakes the loop.
    let _closes = TcpStream::connect(own);
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Received> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let mut req = Received {
        at: Instant::now(),
        line: line.trim_end().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        earlier: 0,
    };
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|len| *len > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        req.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let len = req
        .header("content-length")
        .and_then(|len| len.parse().ok());
    req.body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut req.body).ok()?;
    Some(req)
}

pub fn events(from: u32, to: u32) -> String {
    (from..=to).map(event).collect()
}

/// Streams events 1 to 6, or those after the last event id of the request.
pub fn complete_stream(req: &Received) -> Vec<Step> {
    let after = req
        .header("last-event")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let mut steps = vec![stream_head(req)];
    steps.extend((after + 1..=6).map(|id| chunk(&event(id))));
    steps.push(send_text("0\r\n\r\n"));
    steps
}

/// Streams three events and the beginning of a fourth, then closes the connection.
pub fn broken_stream(req: &Received) -> Vec<Step> {
    vec![
        stream_head(req),
        chunk(&event(1)),
        Step::Pause(Duration::from_millis(20)),
        chunk(&events(2, 3)),
        chunk("id: 4\ndata: wo"),
        Step::Pause(Duration::from_millis(20)),
        Step::Close,
    ]
}
