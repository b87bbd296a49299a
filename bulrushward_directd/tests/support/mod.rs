//! Harness that runs a router process against the stand-in for the platform.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
};

use bulrushward_platform_stand_in::CallerRequest;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Returns the loopback address of one of the two routers of this test.
pub fn ip(index: u8) -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    // Process ids take 22 bits at most.
    Ipv4Addr::new(127, a | index << 7, b, c)
}

/// A router process that is killed at the end of its test.
pub struct Router {
    child: Child,
    pub callers: SocketAddr,
}

impl Router {
    /// Starts a router with further lines of settings.
    pub fn start(store: SocketAddr, further: &str) -> Self {
        Self::start_at(ip(0), store, further)
    }

    /// Starts a router at an address.
    pub fn start_at(ip: Ipv4Addr, store: SocketAddr, further: &str) -> Self {
        let settings = format!(
            "node = \"n-{ip}\"\nfailure_domain = \"a\"\ncallers_address = \"{ip}:8227\"\n\
             readiness_address = \"{ip}:8220\"\nknowledge_address = \"{ip}:8229\"\n\
             datagram_port = 7340\nmetrics_port = 7341\nstore_address = \"{store}\"\n\
             stop_grace_s = 8\nleaving_known_ms = 2000\nconfig_known_ms = 2000\n\
             repeat_ratio = 0.2\nextra_repeats = 50\nrepeat_window_s = 10\n{further}"
        );
        let path = std::env::temp_dir().join(format!("directd-{ip}-settings"));
        fs::write(&path, settings).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_bulrushward-directd"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let callers = format!("{ip}:8227").parse().expect("the address is valid");
        Self { child, callers }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).expect("the daemon is running");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Sends a request on a connection of its own and returns the response; it is empty if the router does not listen.
pub async fn send(router: SocketAddr, path: &str, id: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(router).await else {
        return String::new();
    };
    let request = CallerRequest {
        id: id.to_owned(),
        path: path.to_owned(),
        key: "key".to_owned(),
        timeout_ms: 8_000,
        session: None,
        resumed: None,
    };
    stream
        .write_all(request.text().as_bytes())
        .await
        .expect("the request can be sent");
    let mut response = String::new();
    // A response that ends early is noticed by its missing events.
    let _end = stream.read_to_string(&mut response).await;
    response
}
