//! Signals, random numbers, the record and loopback addresses.

use std::{
    fs::File,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::Path,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and touches no memory of this process.
    let _ = unsafe { kill(pid as i32, signal) };
}

/// Sets the receive buffer of a socket, in bytes; accepted sockets inherit it from their listener.
pub fn set_receive_buffer(fd: i32, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the value outlives the call, and its length is that of an `i32`.
    let _ = unsafe { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Returns the time since the first call.
pub fn elapsed() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// Lines of what was sent, answered and run, written to `record.txt` as they come.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(File::create(
            folder.join("record.txt"),
        )?))))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", elapsed().as_secs_f64());
        let mut file = self.0.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Returns a number from a hash of a text, for ids.
pub fn hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

/// Ports of a router, the same on all of its machines.
pub const CALLERS_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const CONTROL_PORT: u16 = 8229;
pub const DATAGRAM_PORT: u16 = 7340;
pub const METRICS_PORT: u16 = 7341;
pub const PLACES_PORT: u16 = 7355;

/// Returns loopback addresses on which all ports of a router are free.
pub fn free_addresses(count: usize) -> Vec<IpAddr> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let seed = u64::from(std::process::id()) * 7919 + u64::from(now.subsec_nanos());
    let mut found = Vec::new();
    for step in 0..20_000_u64 {
        let host = seed.wrapping_mul(6_364_136_223).wrapping_add(step * 257) >> 3;
        let [a, b, c] = [(host >> 16) as u8, (host >> 8) as u8, host as u8];
        let ip = IpAddr::V4(Ipv4Addr::new(127, a | 16, b, c.clamp(2, 250)));
        if !found.contains(&ip) && is_free(ip) {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

fn is_free(ip: IpAddr) -> bool {
    let tcp = [CALLERS_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT];
    let udp = [DATAGRAM_PORT, PLACES_PORT];
    tcp.iter()
        .all(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok())
        && udp
            .iter()
            .all(|port| UdpSocket::bind(SocketAddr::new(ip, *port)).is_ok())
}
