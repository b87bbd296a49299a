//! A router process that can be started, signalled and restarted.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

pub(crate) const CALLERS_PORT: u16 = 8_227;
pub(crate) const READINESS_PORT: u16 = 8_220;
const FLEET_STATE_PORT: u16 = 8_229;
/// Grace period of a stopping router.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);
/// Number of loopback addresses reserved for the routers of one soak process.
pub(crate) const MAX_ROUTERS: u32 = 64;

/// A router process with its index and address in the fleet.
#[derive(Debug)]
pub(crate) struct RouterProcess {
    pub(crate) index: usize,
    pub(crate) ip: IpAddr,
    daemon: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    /// When SIGSTOP was sent to the process; `None` while it is not paused.
    paused_since: Option<Instant>,
    /// Whether SIGTERM was sent to the process.
    is_stopping: bool,
    /// Times at which the process or its link to the store was disturbed, in order.
    disturbances: Vec<Instant>,
    /// Those that were unplanned.
    unplanned: Vec<Instant>,
    /// Times at which its processes received SIGTERM, in order.
    stops: Vec<Instant>,
    /// Starts and ends of its pauses, in order.
    pauses: Vec<(Instant, Instant)>,
    /// When the process was last asked to stop or killed, if it was not started since.
    absent_since: Option<Instant>,
    /// Times between the requested end of a process and the start of the next one, in order.
    absences: Vec<(Instant, Instant)>,
}

/// Returns whether there was no disturbance within `time` before `moment`.
pub(crate) fn was_undisturbed(disturbances: &[Instant], moment: Instant, time: Duration) -> bool {
    let mut before = disturbances.iter().filter(|at| **at <= moment);
    before.all(|at| moment.duration_since(*at) > time)
}

/// Returns the loopback address of a router, which no other soak process uses.
fn ip(index: usize) -> IpAddr {
    let host = std::process::id() * MAX_ROUTERS + index as u32 + 1;
    let [_, a, b, c] = host.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a, b, c))
}

impl RouterProcess {
    /// Prepares a router that reads its configuration from the store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings of the router cannot be written.
    pub(crate) fn new(
        index: usize,
        daemon: &Path,
        folder: &Path,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = ip(index);
        let settings = format!(
            "node = \"router-{index}\"\nfailure_domain = \"a\"\n\
             callers_address = \"{ip}:{CALLERS_PORT}\"\n\
             readiness_address = \"{ip}:{READINESS_PORT}\"\n\
             knowledge_address = \"{ip}:{FLEET_STATE_PORT}\"\n\
             datagram_port = 7340\nplaces_port = 7342\nmetrics_port = 7341\n\
             seeds = [\"{first}:{FLEET_STATE_PORT}\"]\nstore_address = \"{store}\"\n\
             stop_grace_s = {grace_s}\nleaving_known_ms = 2000\n\
             config_known_ms = 2000\nevacuation_known_ms = 2000\nrepeat_ratio = 0.2\nextra_repeats = 50\nrepeat_window_s = 10\n",
            first = self::ip(0),
            grace_s = STOP_GRACE.as_secs(),
        );
        fs::create_dir_all(folder)?;
        fs::write(folder.join(format!("router-{index}.toml")), settings)?;
        Ok(Self {
            index,
            ip,
            daemon: daemon.to_owned(),
            folder: folder.to_owned(),
            child: None,
            paused_since: None,
            is_stopping: false,
            disturbances: vec![Instant::now()],
            unplanned: vec![Instant::now()],
            stops: Vec::new(),
            pauses: Vec::new(),
            absent_since: None,
            absences: Vec::new(),
        })
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Starts the process, which appends to the router's log file.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("router-{}.log", self.index)))?;
        let child = Command::new(&self.daemon)
            .arg("--settings")
            .arg(self.folder.join(format!("router-{}.toml", self.index)))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        let is_planned = self.is_stopping;
        self.child = Some(child);
        self.is_stopping = false;
        self.end_pause();
        if let Some(since) = self.absent_since.take() {
            self.absences.push((since, Instant::now()));
        }
        self.record_disturbance(is_planned);
        Ok(())
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        self.record_disturbance(matches!(signal, Signal::SIGTERM | Signal::SIGHUP));
        if matches!(signal, Signal::SIGTERM | Signal::SIGKILL) {
            self.absent_since.get_or_insert_with(Instant::now);
        }
        match signal {
            Signal::SIGSTOP if self.child.is_some() => {
                self.paused_since.get_or_insert_with(Instant::now);
            }
            Signal::SIGCONT => self.end_pause(),
            Signal::SIGKILL => {
                self.end_pause();
                self.is_stopping = false;
            }
            Signal::SIGTERM if self.child.is_some() && !self.is_stopping => {
                self.is_stopping = true;
                self.stops.push(Instant::now());
            }
            _ => {}
        }
        if let Some(child) = &self.child {
            let pid = Pid::from_raw(child.id().cast_signed());
            // An error means that the process has ended, which `has_ended` detects.
            let _delivered = kill(pid, signal);
        }
    }

    fn end_pause(&mut self) {
        if let Some(since) = self.paused_since.take() {
            self.pauses.push((since, Instant::now()));
        }
    }

    pub(crate) fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Returns whether there is a process that is neither paused nor stopping.
    pub(crate) fn is_up(&self) -> bool {
        self.child.is_some() && self.paused_since.is_none() && !self.is_stopping
    }

    /// Returns whether the process has ended; `None` if there is no process.
    pub(crate) fn has_ended(&mut self) -> Option<bool> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok().flatten();
        if status.is_some() {
            self.child = None;
        }
        Some(status.is_some())
    }

    /// Returns the id of the process, if there is one.
    pub(crate) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process with this id has not ended.
    pub(crate) fn is_running(&mut self, process: Option<u32>) -> bool {
        self.process_id() == process && self.has_ended() == Some(false)
    }

    /// Returns the peak resident memory of the process in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Records a disturbance and whether it was planned.
    pub(crate) fn record_disturbance(&mut self, is_planned: bool) {
        let now = Instant::now();
        self.disturbances.push(now);
        if !is_planned {
            self.unplanned.push(now);
        }
    }

    /// Returns the times at which the router's processes received SIGTERM.
    pub(crate) fn stops(&self) -> &[Instant] {
        &self.stops
    }

    /// Returns the starts and ends of the pauses of the router's processes.
    pub(crate) fn pauses(&self) -> &[(Instant, Instant)] {
        &self.pauses
    }

    /// Returns the times for which there was no process, with those for which it was stopping.
    pub(crate) fn absences(&self) -> &[(Instant, Instant)] {
        &self.absences
    }

    /// Returns the times at which the router was disturbed without a plan.
    pub(crate) fn unplanned(&self) -> &[Instant] {
        &self.unplanned
    }

    /// Returns the time since the last disturbance.
    pub(crate) fn time_since_disturbance(&self) -> Duration {
        self.disturbances
            .last()
            .map_or(Duration::MAX, Instant::elapsed)
    }

    /// Returns whether the router is up and has been undisturbed for `time`.
    pub(crate) fn is_undisturbed(&self, time: Duration) -> bool {
        self.is_up() && self.time_since_disturbance() > time
    }

    /// Returns whether the router was undisturbed for `time` before `moment`.
    pub(crate) fn was_undisturbed(&self, moment: Instant, time: Duration) -> bool {
        was_undisturbed(&self.disturbances, moment, time)
    }

    fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process was killed, so the call returns soon.
            let _status = child.wait();
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}
