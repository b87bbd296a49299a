//! A small fleet of real processes before in-process stand-ins.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod raw;

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

use self::raw::RawBackend;

/// API key of the test organisation.
pub const API_KEY: &str = "test-key";
/// Time after which a condition that should come true counts as failed.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// First port of the tests.
const FIRST_PORT: u16 = 10_000;
/// Ports of one test.
const PORTS_PER_SLOT: u16 = 100;
/// Tests that may run at the same time.
const SLOTS: u16 = 220;
/// Port that is tried next, counted from the first of the test.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(25);

/// A process of the fleet.
#[derive(Debug)]
pub struct Process {
    pub node: String,
    pub admin: SocketAddr,
    pub control: SocketAddr,
    /// Listener for callers or, at an agent, for routers.
    pub data: SocketAddr,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process can be signalled");
    }

    /// Waits for the end of the process and returns whether it ended well.
    pub async fn ended(&mut self) -> bool {
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
                start.elapsed() < PATIENCE,
                "process {} did not end",
                self.node
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns whether the process was stopped by a signal and not continued.
    pub fn is_frozen(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| stat.contains(") T "))
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().cast_signed())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that ended already cannot be killed.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Stand-ins and the processes before them.
#[derive(Debug)]
pub struct Fleet {
    pub kv: FakeKeyValue,
    pub vm_list: FakeVmList,
    pub engines: Vec<FakeEngine>,
    pub plains: Vec<FakePlain>,
    pub routers: Vec<Process>,
    pub agents: Vec<Process>,
    pub http: reqwest::Client,
    /// Where processes that start from now on write their events; else to the test's own.
    pub log: Option<PathBuf>,
}

/// What a fleet consists of; each process may have fail points.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: Vec<&'static str>,
    pub engines: Vec<&'static str>,
    pub plains: Vec<&'static str>,
    pub engine_settings: EngineSettings,
    pub text: String,
}

impl Plan {
    /// Plans a fleet without fail points.
    pub fn new(routers: usize, engines: usize, plains: usize) -> Self {
        Self {
            routers: vec![""; routers],
            engines: vec![""; engines],
            plains: vec![""; plains],
            engine_settings: EngineSettings {
                token_time: Duration::from_millis(5),
                ..EngineSettings::default()
            },
            text: text(""),
        }
    }
}

impl Fleet {
    /// Starts a fleet without fail points.
    pub async fn start(routers: usize, engines: usize, plains: usize) -> Self {
        Self::start_plan(Plan::new(routers, engines, plains)).await
    }

    /// Starts a fleet and puts its text in force.
    pub async fn start_plan(layout: Plan) -> Self {
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
        for (n, fail_points) in layout.routers.iter().enumerate() {
            let process = fleet.spawn("router", &format!("router-{n}"), fail_points, &[]);
            fleet.routers.push(process);
        }
        for (n, fail_points) in layout.engines.iter().enumerate() {
            let engine = FakeEngine::start(layout.engine_settings)
                .await
                .expect("the engine starts");
            let url = engine.url();
            fleet.engines.push(engine);
            fleet.add_agent(&format!("engine-{n}"), "assess", &url, fail_points);
        }
        for (n, fail_points) in layout.plains.iter().enumerate() {
            let plain = FakePlain::start(PlainSettings::default()).await;
            let plain = plain.expect("the plain service starts");
            let url = plain.url();
            fleet.plains.push(plain);
            fleet.add_agent(&format!("plain-{n}"), "registry", &url, fail_points);
        }
        fleet.list_vms();
        fleet.wait_until_answering().await;
        let (status, answer) = fleet.submit(0, 0, &layout.text).await;
        assert_eq!(status, 200, "the text is accepted: {answer}");
        fleet.wait_in_force(1).await;
        fleet
    }

    /// Starts an agent before a backend server.
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

    /// Starts an agent before a raw backend server and waits until it admits attempts.
    ///
    /// An agent tells the revision that it heard of a moment before it admits by it.
    pub async fn add_raw_agent(&mut self, service: &str, backend: &RawBackend) {
        self.add_agent("raw", service, &backend.url(), "");
        self.list_vms();
        self.wait_until_answering().await;
        self.wait_in_force(1).await;
        let agent = self.agents.last().expect("it was added");
        let incarnation = self.incarnation(&agent.node);
        eventually("the agent admits attempts", async || {
            let attempt = u128::from(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
            let frames = run_attempt(self, agent, incarnation, attempt, None).await;
            matches!(frames.first(), Some(Frame::Admitted { .. }))
        })
        .await;
        backend.forget();
    }

    /// Starts a router with further settings and waits until it has the configuration.
    pub async fn add_router(&mut self, node: &str, arguments: &[&str]) {
        let process = self.spawn("router", node, "", arguments);
        self.routers.push(process);
        self.list_vms();
        self.wait_until_answering().await;
        self.wait_in_force(1).await;
    }

    /// Starts an agent that routers reach through a relay, and waits until routers know it.
    pub async fn add_relayed_agent(&mut self, backend: &str, url: &str) -> FaultyProxy {
        self.add_relayed_agent_for("assess", backend, url).await
    }

    pub async fn add_relayed_agent_for(
        &mut self,
        service: &str,
        backend: &str,
        url: &str,
    ) -> FaultyProxy {
        let inner = free_address();
        let relay = FaultyProxy::start(inner).expect("the relay starts");
        let (inner, advertised) = (inner.to_string(), relay.address().to_string());
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
        self.list_vms();
        self.wait_until_answering().await;
        relay
    }

    /// Returns the incarnation of a process as its peers know it.
    pub fn incarnation(&self, node: &str) -> u64 {
        let agent = self
            .agents
            .iter()
            .find(|agent| agent.node == node)
            .expect("it exists");
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
        let answer = transport::call(agent.control, &exchange, PATIENCE);
        answer.expect("the agent answers").0.own.incarnation
    }

    /// Returns the agent before a backend server.
    pub fn agent(&self, backend: &str) -> &Process {
        let node = format!("agent-{backend}");
        self.agents
            .iter()
            .find(|agent| agent.node == node)
            .expect("the agent exists")
    }

    /// Counts the executions of an action's path over all plain servers.
    pub fn executions(&self, path: &str) -> usize {
        let all = self.plains.iter().flat_map(FakePlain::executions);
        all.filter(|execution| execution.action.path == path)
            .map(|execution| execution.count as usize)
            .sum()
    }

    /// Waits until an agent has no attempt that runs or waits.
    pub async fn wait_idle(&self, agent: &Process) {
        let url = format!("http://{}/metrics", agent.admin);
        eventually(&format!("{} is idle", agent.node), async || {
            let Ok(answer) = self.http.get(&url).send().await else {
                return false;
            };
            let text = answer.text().await.unwrap_or_default();
            ["agent_running 0", "agent_queued 0"]
                .iter()
                .all(|line| text.contains(line))
        })
        .await;
    }

    /// Writes the VM list anew from the processes.
    pub fn list_vms(&self) {
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
        let more: &[&str] = if role == "router" {
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
            .args(more)
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

    async fn wait_until_answering(&self) {
        for process in self.routers.iter().chain(&self.agents) {
            let url = format!("http://{}/health/live", process.admin);
            eventually(&format!("{} answers", process.node), async || {
                self.http.get(&url).send().await.is_ok()
            })
            .await;
        }
    }

    /// Submits a text through a router and returns the status and the answer.
    pub async fn submit(&self, router: usize, base: u64, text: &str) -> (u16, Value) {
        let body = json!({
            "base": base, "text": text, "author": "tester", "why": "test",
            "submission": format!("{:x}", 0x1000 + base),
        });
        let url = format!("http://{}/admin/config", self.routers[router].admin);
        let answer = self
            .http
            .post(url)
            .json(&body)
            .send()
            .await
            .expect("the router answers");
        let status = answer.status().as_u16();
        (status, answer.json().await.expect("the answer is JSON"))
    }

    pub async fn status(&self, router: usize) -> Value {
        let url = format!("http://{}/admin/status", self.routers[router].admin);
        let answer = self.http.get(url).send().await.expect("the router answers");
        answer.json().await.expect("the status is JSON")
    }

    /// Waits until every router knows every process with this revision.
    pub async fn wait_in_force(&self, revision: u64) {
        let count = self.routers.len() + self.agents.len();
        for router in 0..self.routers.len() {
            eventually(&format!("revision {revision} is in force"), async || {
                let status = self.status(router).await;
                let members = status["members"].as_array().cloned().unwrap_or_default();
                members.len() == count
                    && members.iter().all(|member| member["revision"] == revision)
            })
            .await;
        }
    }

    /// Sends a chat request; the answer may still be on its way.
    pub async fn chat(&self, router: usize, body: &Value) -> reqwest::Response {
        self.try_chat(router, body)
            .await
            .expect("the router answers")
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
            .expect("the router answers")
    }
}

/// Returns the standard text with further lines at its end.
pub fn text(more: &str) -> String {
    let digest: [u8; 32] = Sha256::digest(API_KEY.as_bytes()).into();
    let hash = digest.iter().fold(String::new(), |mut hash, byte| {
        write!(hash, "{byte:02x}").expect("a string takes text");
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
{more}"#
    )
}

/// Builds a chat request with an opening of its own.
pub fn chat_request(opening: &str, stream: bool, max_tokens: u64) -> Value {
    json!({
        "model": "tutor",
        "messages": [{"role": "user", "content": opening}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Returns the backend server that answered.
pub fn backend(answer: &reqwest::Response) -> String {
    header(answer, "x-bulrushward-backend")
}

pub fn header(answer: &reqwest::Response, name: &str) -> String {
    let value = answer
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns an address that nothing listens at.
///
/// The ports lie below those that the system gives to outgoing connections, and each test that
/// runs at the same time has its own range and, even beside tests of another checkout, its own
/// address of the loopback network.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = [127, high + 1, middle, low];
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_SLOT;
        let port = FIRST_PORT + test_slot() * PORTS_PER_SLOT + offset;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a number that no other test on this machine has while this one runs.
fn test_slot() -> u16 {
    static SLOT: OnceLock<(u16, File)> = OnceLock::new();
    SLOT.get_or_init(|| {
        let folder = std::env::temp_dir().join("bulrushward-test-ports");
        std::fs::create_dir_all(&folder).expect("the folder of the locks can be made");
        // The lock ends with the test, however it ends.
        (0..SLOTS)
            .find_map(|slot| {
                let lock = File::create(folder.join(format!("{slot}.lock"))).ok()?;
                lock.try_lock().ok()?;
                Some((slot, lock))
            })
            .expect("fewer tests than slots run at the same time")
    })
    .0
}

/// Finds the first of a row of names that a key function places on the wanted server first.
pub fn name_placed_on(wanted: &str, servers: &[&str], chat_of: impl Fn(&str) -> u64) -> String {
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    (0..10_000)
        .map(|n| format!("case-{n}"))
        .find(|name| servers[rank(chat_of(name), &candidates)[0]] == wanted)
        .expect("some name is placed there")
}

/// Returns the placement key of an action that the caller named.
pub fn action_chat(key: &str) -> u64 {
    shard_of(action_from_key("examiners", "registry", key), 64) as u64
}

/// Returns the placement key of a chat by its opening.
pub fn opening_chat(opening: &str) -> u64 {
    let opening = format!("user\u{0}{}", json!(opening));
    chat_key::from_opening("examiners", "tutor", [opening.as_str()])
}

/// Sends one attempt to an agent as a router would and returns all frames of the answer.
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
    let body = encode(&req).expect("encodes");
    let answer = fleet
        .http
        .post(url)
        .body(body)
        .send()
        .await
        .expect("the agent answers");
    let mut decoder = FrameDecoder::default();
    decoder.push(&answer.bytes().await.expect("the answer is whole"));
    let mut frames = Vec::new();
    while let Some(frame) = decoder.next_frame().expect("frames decode") {
        frames.push(frame);
    }
    frames
}

/// An exchange that asks a process for its own side and leaves nothing behind there.
pub fn probe_exchange(process: &Process) -> Exchange {
    let own = MemberRecord {
        node: process.node.clone(),
        // A process ignores what others say about an earlier start of itself.
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

/// Sends an exchange to a process and returns its side, or `None` if it does not answer.
pub async fn exchange_with(address: SocketAddr, exchange: Exchange) -> Option<Exchange> {
    let call = move || transport::call(address, &exchange, Duration::from_millis(500));
    let answer = tokio::task::spawn_blocking(call).await;
    let (answer, _) = answer.expect("the call ends").ok()?;
    Some(answer)
}

/// Returns the revision that a process has in force, or `None` if it does not answer.
pub async fn revision_of(process: &Process) -> Option<u64> {
    let answer = exchange_with(process.control, probe_exchange(process)).await?;
    Some(answer.own.revision)
}

/// Returns the value of a counter without labels.
pub async fn counter(fleet: &Fleet, process: &Process, name: &str) -> u64 {
    let url = format!("http://{}/metrics", process.admin);
    let answer = fleet
        .http
        .get(url)
        .send()
        .await
        .expect("the metrics answer");
    let text = answer.text().await.expect("the metrics are text");
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("there is no counter {name}"))
}

/// Returns tables of organisations, about 100 bytes each.
pub fn organisations(count: usize) -> String {
    (0..count).fold(String::new(), |mut text, index| {
        write!(
            text,
            "\n[[organisation]]\nname = \"org-{index}\"\nkey_sha256 = [\"{index:064x}\"]\n"
        )
        .expect("a string takes text");
        text
    })
}

/// Returns an address that nothing listens at.
pub fn unused_address() -> SocketAddr {
    free_address()
}
