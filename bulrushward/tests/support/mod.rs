//! A small fleet of real processes before in-process stand-ins.

use std::{
    fmt::Write,
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bulrushward_fakes::{EngineSettings, FakeEngine, FakeKeyValue, FakePlain, FakeVmList};
use bulrushward_platform::{TargetGroup, TargetLabels, VmState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// API key of the test organisation.
pub const API_KEY: &str = "test-key";
/// Time after which a condition that should come true counts as failed.
pub const PATIENCE: Duration = Duration::from_secs(20);
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
}

impl Fleet {
    /// Starts a fleet and puts the standard text in force.
    pub async fn start(routers: usize, engines: usize, plains: usize) -> Self {
        let settings = EngineSettings {
            token_time: Duration::from_millis(5),
            ..EngineSettings::default()
        };
        Self::start_with(routers, engines, plains, settings, &text("")).await
    }

    /// Starts a fleet with engines and a text of the test's own.
    pub async fn start_with(
        routers: usize,
        engines: usize,
        plains: usize,
        settings: EngineSettings,
        text: &str,
    ) -> Self {
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
        };
        for n in 0..routers {
            let process = fleet.spawn("router", &format!("router-{n}"), &[]);
            fleet.routers.push(process);
        }
        for n in 0..engines {
            let engine = FakeEngine::start(settings.clone())
                .await
                .expect("the engine starts");
            let url = engine.url();
            fleet.engines.push(engine);
            fleet.add_agent(&format!("engine-{n}"), "assess", &url);
        }
        for n in 0..plains {
            let plain = FakePlain::start().await.expect("the plain service starts");
            let url = plain.url();
            fleet.plains.push(plain);
            fleet.add_agent(&format!("plain-{n}"), "registry", &url);
        }
        fleet.list_vms();
        fleet.wait_until_answering().await;
        fleet.submit(0, 0, text).await;
        fleet.wait_in_force(1).await;
        fleet
    }

    /// Starts an agent before a backend server.
    pub fn add_agent(&mut self, backend: &str, service: &str, url: &str) {
        let arguments = [
            "--backend",
            backend,
            "--service",
            service,
            "--backend-url",
            url,
        ];
        let process = self.spawn("agent", &format!("agent-{backend}"), &arguments);
        self.agents.push(process);
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

    pub fn spawn(&self, role: &str, node: &str, arguments: &[&str]) -> Process {
        let (admin, control, data) = (free_address(), free_address(), free_address());
        let data_flag = if role == "router" {
            "--listen"
        } else {
            "--inner-address"
        };
        let child = Command::new(env!("CARGO_BIN_EXE_bulrushwardd"))
            .arg(role)
            .args(["--node", node, "--failure-domain", "a"])
            .args(["--admin-address", &admin.to_string()])
            .args(["--control-address", &control.to_string()])
            .args([data_flag, &data.to_string()])
            .args([
                "--key-value",
                &self.kv.url(),
                "--vm-list",
                &self.vm_list.url(),
            ])
            .args(["--exchange-interval-ms", "200", "--drain-grace-ms", "500"])
            .args(arguments)
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon starts");
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

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}
