//! Router processes as the deploy file starts them, and the platform that watches over them.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::util::{
    CALLERS_PORT, CONTROL_PORT, DATAGRAM_PORT, METRICS_PORT, PLACES_PORT, READY_PORT, Record,
    SIGKILL, SIGTERM, send_signal,
};

/// Pause before an ended process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which the memory of a process is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);

/// Bounds of the deployment of which settings are made.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Memory of a machine in megabytes; a process that exceeds it is killed.
    pub memory_mb: u64,
}

/// One router and its machine.
pub struct Router {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Times at which the platform killed a process for its memory.
    pub memory_kills: Mutex<Vec<Instant>>,
    pub peak_kb: Mutex<u64>,
}

impl Router {
    /// Writes the settings of a router as the platform renders `deploy/router.toml`.
    pub fn new(
        index: usize,
        ips: &[IpAddr],
        store: SocketAddr,
        more: &str,
        folder: &Path,
    ) -> io::Result<Arc<Self>> {
        let ip = ips[index];
        let seeds: Vec<_> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let name = format!("front-z{index}-1");
        let text = format!(
            "node = \"{name}\"\nfailure_domain = \"z{index}\"\ncallers_address = \"{ip}:{CALLERS_PORT}\"\n\
             readiness_address = \"{ip}:{READY_PORT}\"\nknowledge_address = \"{ip}:{CONTROL_PORT}\"\n\
             first_start = true\ndatagram_port = {DATAGRAM_PORT}\nplaces_port = {PLACES_PORT}\n\
             metrics_port = {METRICS_PORT}\nseeds = [{seeds}]\nstore_address = \"{store}\"\nstop_grace_s = 8\n\
             leaving_known_ms = 2000\nconfig_known_ms = 2000\nrepeat_ratio = 0.2\nextra_repeats = 52\n\
             repeat_window_s = 10\n{more}",
            seeds = seeds.join(", "),
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Arc::new(Self {
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: Mutex::default(),
            memory_kills: Mutex::default(),
            peak_kb: Mutex::default(),
        }))
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/dist/bulrushward-directd");
        // SAFETY: the call takes two integers and is allowed between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|name| Some((*name, std::env::var_os(name)?))),
            )
            .env("BULRUSHWARD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            send_signal(child.id(), signal);
        }
    }

    /// Returns whether the router answers 200 to the platform's question.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            use std::io::{Read, Write};
            let mut stream = TcpStream::connect(SocketAddr::new(self.ip, READY_PORT))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Waits until the router is ready; returns whether it is within ten seconds.
    pub fn wait_ready(&self) -> bool {
        (0..200).any(|_| {
            let is_ready = self.is_ready();
            if !is_ready {
                thread::sleep(Duration::from_millis(50));
            }
            is_ready
        })
    }

    /// Watches the process as the platform does: one that exceeds its memory is killed, one that ends is started again.
    pub fn watch(self: &Arc<Self>, bounds: Bounds, record: &Record) {
        let (router, record) = (Arc::clone(self), record.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(MEMORY_INTERVAL);
                let mut child = router.child.lock().unwrap();
                let Some(process) = child.as_mut() else {
                    return;
                };
                if let Ok(Some(status)) = process.try_wait() {
                    drop(child);
                    record.line(&format!("platform: {} ended: {status}", router.name));
                    thread::sleep(RESTART_PAUSE);
                    if router.child.lock().unwrap().is_some() && router.start().is_err() {
                        return;
                    }
                    continue;
                }
                let used = resident_kb(process.id());
                let mut peak = router.peak_kb.lock().unwrap();
                *peak = (*peak).max(used);
                drop(peak);
                if used > bounds.memory_mb << 10 {
                    record.line(&format!(
                        "platform: {} holds {} MB of {} MB and is killed",
                        router.name,
                        used >> 10,
                        bounds.memory_mb
                    ));
                    send_signal(process.id(), SIGKILL);
                    router.memory_kills.lock().unwrap().push(Instant::now());
                    // Its memory is gone when it has ended.
                    let _ = process.wait();
                }
            }
        });
    }

    /// Ends the process for good.
    pub fn end(&self) {
        let Some(mut child) = self.child.lock().unwrap().take() else {
            return;
        };
        send_signal(child.id(), SIGTERM);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(1) {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        send_signal(child.id(), SIGKILL);
        let _ = child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Ends the calling process when its parent ends, however that happens.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: this option takes a signal number and touches no memory.
    let _ = unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    Ok(())
}

/// Returns the resident memory of a process in kilobytes; 0 if it has ended.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0)
}
