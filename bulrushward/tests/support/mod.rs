//! A small fleet of real processes with fake backend servers and platform services in the test's
//! own process.

#![allow(dead_code, reason = "no test binary uses all of it")]

pub mod dying_backend;
pub mod raw;
pub mod scripted_agent;

use std::{
    fmt::Write,
    fs::File,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushward_clients::{TargetGroup, TargetLabels, VmState};
use bulrushward_fakes::{
    EngineSettings, FakeEngine, FakeKeyValue, FakePlain, FakeVmList, FaultyProxy, PlainSettings,
};
use bulrushward_policy::{
    chat_key,
    claim::{action_from_key, shard_of},
    placement::{Candidate, rank},
};
use bulrushward_protocol::{
    ActionKey, AttemptId, Exchange, Frame, FrameDecoder, Incarnation, MemberRecord, MemberState,
    Role, RunRequest, encode,
};
use bulrushward_transport as transport;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use self::{
    raw::RawBackend,
    scripted_agent::{Answer, ScriptedAgent},
};

/// API key of the test organisation.
pub const API_KEY: &str = "test-key";
/// Time limit of each step of a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// First port that tests use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports reserved for one test.
const PORTS_PER_TEST: u16 = 100;
/// Maximum number of tests that run at the same time.
const MAX_CONCURRENT_TESTS: u16 = 220;
/// Offset of the next port to try, counted from the first port of the test.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A process of the fleet.
#[derive(Debug)]
pub struct Process {
    pub node: String,
    pub admin: SocketAddr,
    pub control: SocketAddr,
    /// Address of the listener for callers or, on an agent, for routers.
    pub data: SocketAddr,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process accepts signals");
    }

    /// Waits until the process exits and returns whether it succeeded.
    pub async fn wait_for_exit(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.success();
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "process {} did not exit",
                self.node
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process is stopped by a signal.
    pub fn is_frozen(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| stat.contains(") T "))
    }

    /// Returns the largest memory in use so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse().ok());
        peak.expect("the system reports the peak")
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Fake servers and platform services with the routers and agents that use them.
#[derive(Debug)]
pub struct Fleet {
    pub kv: FakeKeyValue,
    pub vm_list: FakeVmList,
    pub engines: Vec<FakeEngine>,
    pub plains: Vec<FakePlain>,
    pub routers: Vec<Process>,
    pub agents: Vec<Process>,
    pub http: reqwest::Client,
    /// File for the logs of processes that start from now on; `None` inherits standard output.
    pub log: Option<PathBuf>,
}

/// Processes of a fleet; each string configures the fail points of one process.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: Vec<&'static str>,
    pub engines: Vec<&'static str>,
    pub plains: Vec<&'static str>,
    pub engine_settings: EngineSettings,
    pub text: String,
}

impl Plan {
    /// Returns a plan without fail points.
    pub fn new(routers: usize, engines: usize, plains: usize) -> Self {
        Self {
            routers: vec![""; routers],
            engines: vec![""; engines],
            plains: vec![""; plains],
            engine_settings: EngineSettings {
                token_time: Duration::from_millis(5),
                ..EngineSettings::default()
            },
            text: config_text(""),
        }
    }
}

impl Fleet {
    /// Starts a fleet without fail points.
    pub async fn start(routers: usize, engines: usize, plains: usize) -> Self {
        Self::start_plan(Plan::new(routers, engines, plains)).await
    }

    /// Starts a fleet and waits until its configuration is active.
    pub async fn start_plan(plan: Plan) -> Self {
        let mut fleet = Self {
            kv: FakeKeyValue::start()
                .await
                .expect("the key-value service starts"),
            vm_list: FakeVmList::start().await.expect("the VM list starts"),
            engines: Vec::new(),
            plains: Vec::new(),
            routers: Vec::new(),
            agents: Vec::new(),
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("the client starts"),
            log: None,
        };
        for (n, fail_points) in plan.routers.iter().enumerate() {
            let process = fleet.spawn("router", &format!("router-{n}"), fail_points, &[]);
            fleet.routers.push(process);
        }
        for (n, fail_points) in plan.engines.iter().enumerate() {
            let engine = FakeEngine::start(plan.engine_settings)
                .await
                .expect("the engine starts");
            let url = engine.url();
            fleet.engines.push(engine);
            fleet.add_agent(&format!("engine-{n}"), "assess", &url, fail_points);
        }
        for (n, fail_points) in plan.plains.iter().enumerate() {
            let server = FakePlain::start(PlainSettings::default()).await;
            let server = server.expect("the plain service starts");
            let url = server.url();
            fleet.plains.push(server);
            fleet.add_agent(&format!("plain-{n}"), "registry", &url, fail_points);
        }
        fleet.update_vm_list();
        fleet.wait_until_live().await;
        let (status, response) = fleet.submit(0, 0, &plan.text).await;
        assert_eq!(status, 200, "the configuration is rejected: {response}");
        fleet.wait_until_active(1).await;
        fleet
    }

    /// Starts an agent for a backend server.
    pub fn add_agent(&mut self, backend: &str, service: &str, url: &str, fail_points: &str) {
        let arguments = [
            "--backend",
            backend,
            "--service",
            service,
            "--backend-url",
            url,
        ];
        let process = self.spawn(
            "agent",
            &format!("agent-{backend}"),
            fail_points,
            &arguments,
        );
        self.agents.push(process);
    }

    /// Starts an agent for a raw backend server and waits until it admits attempts.
    ///
    /// An agent reports a new revision shortly before it applies it to admissions.
    pub async fn add_raw_agent(&mut self, service: &str, backend: &RawBackend) {
        self.add_admitting_agent(service, &backend.url()).await;
        backend.clear_requests();
    }

    /// Starts an agent for a backend server that has begun to respond to requests, and waits until it admits attempts.
    pub async fn add_admitting_agent(&mut self, service: &str, url: &str) {
        self.add_agent("raw", service, url, "");
        self.update_vm_list();
        self.wait_until_live().await;
        self.wait_until_active(1).await;
        let agent = self.agents.last().expect("an agent was added");
        let incarnation = self.incarnation(&agent.node);
        eventually("the agent admits attempts", async || {
            // Each try needs a new attempt id: a known attempt gets `Frame::Admitted` even if it was
            // refused before.
            let attempt = u128::from(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed));
            let frames = run_attempt(self, agent, incarnation, attempt, None).await;
            matches!(frames.first(), Some(Frame::Admitted { .. }))
        })
        .await;
    }

    /// Starts a router with additional arguments and waits until its configuration is active.
    pub async fn add_router(&mut self, node: &str, arguments: &[&str]) {
        let process = self.spawn("router", node, "", arguments);
        self.routers.push(process);
        self.update_vm_list();
        self.wait_until_live().await;
        self.wait_until_active(1).await;
    }

    /// Starts an agent that routers reach through a proxy, and waits until it is live.
    pub async fn add_proxied_agent(&mut self, backend: &str, url: &str) -> FaultyProxy {
        self.add_proxied_agent_for("assess", backend, url).await
    }

    pub async fn add_proxied_agent_for(
        &mut self,
        service: &str,
        backend: &str,
        url: &str,
    ) -> FaultyProxy {
        let inner = free_address();
        let proxy = FaultyProxy::start(inner).expect("the proxy starts");
        self.add_agent_behind(service, backend, url, inner, proxy.address())
            .await;
        proxy
    }

    /// Starts an agent whose place for routers is taken by a scripted one behind a proxy.
    pub async fn add_proxied_scripted_agent(
        &mut self,
        backend: &str,
        script: Vec<Answer>,
    ) -> (ScriptedAgent, FaultyProxy) {
        let agent = ScriptedAgent::start(script).await;
        let proxy = FaultyProxy::start(agent.address()).expect("the proxy starts");
        let url = format!("http://{}", free_address());
        self.add_agent_behind("assess", backend, &url, free_address(), proxy.address())
            .await;
        (agent, proxy)
    }

    /// Starts an agent whose place for routers is taken by a scripted one.
    pub async fn add_scripted_agent(
        &mut self,
        backend: &str,
        script: Vec<impl Into<Answer>>,
    ) -> ScriptedAgent {
        let script = script.into_iter().map(Into::into).collect();
        let agent = ScriptedAgent::start(script).await;
        let url = format!("http://{}", free_address());
        self.add_agent_behind("assess", backend, &url, free_address(), agent.address())
            .await;
        agent
    }

    /// Starts an agent that advertises another address than its own, and waits until it is live.
    async fn add_agent_behind(
        &mut self,
        service: &str,
        backend: &str,
        url: &str,
        inner: SocketAddr,
        advertised: SocketAddr,
    ) {
        let (inner, advertised) = (inner.to_string(), advertised.to_string());
        let arguments = [
            ["--backend", backend],
            ["--service", service],
            ["--backend-url", url],
            ["--advertised-address", &advertised],
            ["--inner-address", &inner],
        ];
        let process = self.spawn_at(
            "agent",
            &format!("agent-{backend}"),
            "",
            &arguments.concat(),
        );
        self.agents.push(process);
        self.update_vm_list();
        self.wait_until_live().await;
    }

    /// Returns the incarnation that an agent reports to its peers.
    pub fn incarnation(&self, node: &str) -> u64 {
        let agent = self
            .agents
            .iter()
            .find(|agent| agent.node == node)
            .expect("the agent exists");
        let own = MemberRecord {
            node: "test".to_owned(),
            incarnation: 1,
            version: 1,
            role: Role::Router,
            state: MemberState::Live,
            control_address: free_address(),
            data_address: free_address(),
            failure_domain: "a".to_owned(),
            service: None,
            backend: None,
            load: 0,
            queued: 0,
            revision: 1,
        };
        let exchange = Exchange {
            own,
            members: Vec::new(),
            suspects: Vec::new(),
            quarantine: Vec::new(),
            revision: 1,
            configuration: None,
        };
        let response = transport::call(agent.control, &exchange, TEST_TIMEOUT);
        response.expect("the agent responds").0.own.incarnation
    }

    /// Returns the agent of a backend server.
    pub fn agent(&self, backend: &str) -> &Process {
        let node = format!("agent-{backend}");
        self.agents
            .iter()
            .find(|agent| agent.node == node)
            .expect("the agent exists")
    }

    /// Counts the executions of a path on all plain servers.
    pub fn executions(&self, path: &str) -> usize {
        let all = self.plains.iter().flat_map(FakePlain::executions);
        all.filter(|execution| execution.action.path == path)
            .map(|execution| execution.count as usize)
            .sum()
    }

    /// Waits until an agent has no running or queued attempt.
    pub async fn wait_idle(&self, agent: &Process) {
        let url = format!("http://{}/metrics", agent.admin);
        eventually(&format!("{} is idle", agent.node), async || {
            let Ok(response) = self.http.get(&url).send().await else {
                return false;
            };
            let text = response.text().await.unwrap_or_default();
            ["agent_running 0", "agent_queued 0"]
                .iter()
                .all(|line| text.contains(line))
        })
        .await;
    }

    /// Sets the VM list to the processes of the fleet.
    pub fn update_vm_list(&self) {
        let groups = self
            .routers
            .iter()
            .chain(&self.agents)
            .map(|process| TargetGroup {
                targets: vec![process.control],
                labels: TargetLabels {
                    node: process.node.clone(),
                    state: VmState::Live,
                    failure_domain: String::new(),
                },
            });
        self.vm_list.set(groups.collect());
    }

    pub fn spawn(&self, role: &str, node: &str, fail_points: &str, arguments: &[&str]) -> Process {
        let data_flag = if role == "router" {
            "--listen"
        } else {
            "--inner-address"
        };
        let data = free_address().to_string();
        let arguments = [arguments, &[data_flag, &data]].concat();
        self.spawn_at(role, node, fail_points, &arguments)
    }

    /// Starts a process whose last argument is the address of its data listener.
    pub fn spawn_at(
        &self,
        role: &str,
        node: &str,
        fail_points: &str,
        arguments: &[&str],
    ) -> Process {
        let (admin, control) = (free_address(), free_address());
        let data = arguments.last().and_then(|last| last.parse().ok());
        let data = data.expect("the last argument is an address");
        let role_arguments: &[&str] = if role == "router" {
            &["--silence-ms", "600"]
        } else {
            &[
                "--health-interval-ms",
                "200",
                "--backend-silence-ms",
                "3000",
            ]
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushwardd"));
        command
            .arg(role)
            .args(["--node", node, "--failure-domain", "a"])
            .args(["--admin-address", &admin.to_string()])
            .args(["--control-address", &control.to_string()])
            .args([
                "--key-value",
                &self.kv.url(),
                "--vm-list",
                &self.vm_list.url(),
            ])
            .args(["--exchange-interval-ms", "200", "--drain-grace-ms", "500"])
            .args(role_arguments)
            .args(arguments)
            .env("FAILPOINTS", fail_points)
            .stdin(Stdio::null());
        if let Some(log) = &self.log {
            let log = File::options().create(true).append(true).open(log);
            command.stdout(log.expect("the log can be written"));
        }
        let child = command.spawn().expect("the daemon starts");
        Process {
            node: node.to_owned(),
            admin,
            control,
            data,
            child,
        }
    }

    pub async fn wait_until_live(&self) {
        for process in self.routers.iter().chain(&self.agents) {
            let url = format!("http://{}/health/live", process.admin);
            eventually(&format!("{} responds", process.node), async || {
                self.http.get(&url).send().await.is_ok()
            })
            .await;
        }
    }

    /// Submits a configuration through a router and returns the status and the response.
    pub async fn submit(&self, router: usize, base: u64, text: &str) -> (u16, Value) {
        let body = json!({
            "base": base, "text": text, "author": "tester", "why": "test",
            "submission": format!("{:x}", 0x1000 + base),
        });
        let url = format!("http://{}/admin/config", self.routers[router].admin);
        let response = self
            .http
            .post(url)
            .json(&body)
            .send()
            .await
            .expect("the router responds");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the response is JSON"))
    }

    pub async fn status(&self, router: usize) -> Value {
        let url = format!("http://{}/admin/status", self.routers[router].admin);
        let response = self
            .http
            .get(url)
            .send()
            .await
            .expect("the router responds");
        response.json().await.expect("the status is JSON")
    }

    /// Waits until every router reports this revision as active on every process.
    pub async fn wait_until_active(&self, revision: u64) {
        let count = self.routers.len() + self.agents.len();
        for router in 0..self.routers.len() {
            eventually(&format!("revision {revision} is active"), async || {
                let status = self.status(router).await;
                let members = status["members"].as_array().cloned().unwrap_or_default();
                members.len() == count
                    && members.iter().all(|member| member["revision"] == revision)
            })
            .await;
        }
    }

    /// Sends a chat request and returns once the head of the response arrived.
    pub async fn chat(&self, router: usize, body: &Value) -> reqwest::Response {
        self.try_chat(router, body)
            .await
            .expect("the router responds")
    }

    pub async fn try_chat(
        &self,
        router: usize,
        body: &Value,
    ) -> Result<reqwest::Response, reqwest::Error> {
        let url = format!("http://{}/v1/chat/completions", self.routers[router].data);
        self.http
            .post(url)
            .bearer_auth(API_KEY)
            .json(body)
            .send()
            .await
    }

    /// Calls the plain service.
    pub async fn call(
        &self,
        router: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> reqwest::Response {
        let url = format!("http://{}/svc/registry{path}", self.routers[router].data);
        let method = method.parse().expect("the method is valid");
        let mut builder = self.http.request(method, url).bearer_auth(API_KEY);
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        builder
            .body(body.to_owned())
            .send()
            .await
            .expect("the router responds")
    }
}

/// Returns the default configuration text with additional lines at its end.
pub fn config_text(additional_lines: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(API_KEY.as_bytes()).into();
    let hash = digest.iter().fold(String::new(), |mut hash, byte| {
        write!(hash, "{byte:02x}").expect("writing to a string succeeds");
        hash
    });
    format!(
        r#"
[fleet]
load_multiple = 1.25

[[kind]]
name = "verdict"
priority = 2
first_token_ms = 500
deadline_seconds = 20
max_tokens = 64

[[kind]]
name = "review"
priority = 1
first_token_ms = 5000
deadline_seconds = 120
reserved_share = 0.2

[[service]]
name = "assess"
protocol = "chat"
models = ["tutor"]

[[service]]
name = "registry"
protocol = "plain"

[[organisation]]
name = "examiners"
key_sha256 = ["{hash}"]
{additional_lines}"#
    )
}

/// Builds a chat request whose first message is `opening`.
pub fn chat_request(opening: &str, stream: bool, max_tokens: u64) -> Value {
    json!({
        "model": "tutor",
        "messages": [{"role": "user", "content": opening}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Returns the backend server that sent a response.
pub fn backend(response: &reqwest::Response) -> String {
    header(response, "x-bulrushward-backend")
}

pub fn header(response: &reqwest::Response, name: &str) -> String {
    let value = response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns an address on which nothing listens.
///
/// The ports are below those that the system assigns to outgoing connections. Each concurrent test
/// has its own range of ports and, because tests of another checkout may run too, its own loopback
/// address.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = [127, high + 1, middle, low];
    loop {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORTS_PER_TEST;
        let port = FIRST_PORT + test_index() * PORTS_PER_TEST + offset;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a number that no concurrent test on this machine has.
fn test_index() -> u16 {
    static INDEX: OnceLock<(u16, File)> = OnceLock::new();
    INDEX
        .get_or_init(|| {
            let folder = std::env::temp_dir().join("bulrushward-test-ports");
            std::fs::create_dir_all(&folder).expect("the lock directory can be created");
            // The system releases the lock when the test exits, even if it crashes.
            (0..MAX_CONCURRENT_TESTS)
                .find_map(|index| {
                    let lock = File::create(folder.join(format!("{index}.lock"))).ok()?;
                    lock.try_lock().ok()?;
                    Some((index, lock))
                })
                .expect("the number of concurrent tests is below the maximum")
        })
        .0
}

/// Returns a name whose placement key ranks the wanted server first.
pub fn name_placed_on(
    wanted: &str,
    servers: &[&str],
    placement_key: impl Fn(&str) -> u64,
) -> String {
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    (0..10_000)
        .map(|n| format!("case-{n}"))
        .find(|name| servers[rank(placement_key(name), &candidates)[0]] == wanted)
        .expect("one of the names is placed on the wanted server")
}

/// Returns the placement key of an action with an idempotency key.
pub fn action_placement_key(key: &str) -> u64 {
    shard_of(action_from_key("examiners", "registry", key), 64) as u64
}

/// Returns the placement key of a chat with this first message.
pub fn chat_placement_key(opening: &str) -> u64 {
    let opening = format!("user\u{0}{}", json!(opening));
    chat_key::from_opening("examiners", "tutor", [opening.as_str()])
}

/// Sends an attempt to an agent as a router does and returns all frames of the response.
pub async fn run_attempt(
    fleet: &Fleet,
    agent: &Process,
    incarnation: Incarnation,
    attempt: AttemptId,
    action: Option<ActionKey>,
) -> Vec<Frame> {
    let req = RunRequest {
        request: 1,
        attempt,
        agent: incarnation,
        service: "registry".to_owned(),
        organisation: "examiners".to_owned(),
        kind: "review".to_owned(),
        chat: 1,
        work: 1,
        deadline_ms: 10_000,
        action,
        fingerprint: 1,
        suspect: false,
        revision: 1,
        method: "POST".to_owned(),
        path: "/certificates".to_owned(),
        headers: Vec::new(),
        body: "late".into(),
    };
    let url = format!("http://{}/inner/run", agent.data);
    let body = encode(&req).expect("the request encodes");
    let response = fleet
        .http
        .post(url)
        .body(body)
        .send()
        .await
        .expect("the agent responds");
    let mut decoder = FrameDecoder::default();
    decoder.push(&response.bytes().await.expect("the response is complete"));
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame().expect("the frames decode") {
        frames.push(frame);
    }
    frames
}

/// Returns an exchange that reads the state of a process without changing it.
pub fn probe_exchange(process: &Process) -> Exchange {
    let own = MemberRecord {
        node: process.node.clone(),
        // A process ignores records about earlier starts of itself.
        incarnation: 0,
        version: 0,
        role: Role::Router,
        state: MemberState::Live,
        control_address: process.control,
        data_address: process.data,
        failure_domain: "a".to_owned(),
        service: None,
        backend: None,
        load: 0,
        queued: 0,
        revision: 0,
    };
    Exchange {
        own,
        members: Vec::new(),
        suspects: Vec::new(),
        quarantine: Vec::new(),
        revision: 0,
        configuration: None,
    }
}

/// Sends an exchange to a process and returns its reply, or `None` if it does not respond.
pub async fn exchange_with(address: SocketAddr, exchange: Exchange) -> Option<Exchange> {
    let call = move || transport::call(address, &exchange, Duration::from_millis(500));
    let response = tokio::task::spawn_blocking(call).await;
    let (response, _) = response.expect("the call does not panic").ok()?;
    Some(response)
}

/// Returns the active revision of a process, or `None` if it does not respond.
pub async fn revision_of(process: &Process) -> Option<u64> {
    let response = exchange_with(process.control, probe_exchange(process)).await?;
    Some(response.own.revision)
}

/// Returns the value of a counter without labels.
pub async fn counter(fleet: &Fleet, process: &Process, name: &str) -> u64 {
    let url = format!("http://{}/metrics", process.admin);
    let response = fleet
        .http
        .get(url)
        .send()
        .await
        .expect("the metrics listener responds");
    let text = response.text().await.expect("the metrics are text");
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("counter {name} is missing"))
}

/// Returns configuration text that declares organisations, about 100 bytes each.
pub fn organisations(count: usize) -> String {
    (0..count).fold(String::new(), |mut text, index| {
        write!(
            text,
            "\n[[organisation]]\nname = \"org-{index}\"\nkey_sha256 = [\"{index:064x}\"]\n"
        )
        .expect("writing to a string succeeds");
        text
    })
}

/// Returns an address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    free_address()
}
