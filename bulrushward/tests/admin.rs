//! The interface for operators: metrics, health, the admin API, log events and the page that
//! documents them.

mod support;

use std::{collections::BTreeSet, fs, path::Path, process::Command};

use bulrushward_fakes::FakeKeyValue;
use bulrushward_protocol::{Frame, RefusalReason};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use strum::IntoEnumIterator;
use support::{
    Fleet, chat_request, eventually,
    raw::{request_head, send_bytes, status},
    run_attempt,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The page that documents flags, metrics, refusals and events for operators.
const OPERATORS_PAGE: &str = include_str!("../../docs/OPERATORS.md");
/// Suffixes of sample names for each type of metric.
const SAMPLE_SUFFIXES: [(&str, &[&str]); 3] = [
    ("counter", &["_total"]),
    ("gauge", &[""]),
    ("histogram", &["_bucket", "_sum", "_count"]),
];

/// Returns the names in the first column of the table under a heading of the page.
fn names_in_section(heading: &str) -> BTreeSet<String> {
    let section = OPERATORS_PAGE
        .split("\n## ")
        .find(|part| part.starts_with(heading));
    let section = section.expect("the page has the section");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`'))
        .map(|(name, _rest)| name.to_owned())
        .collect()
}

async fn metrics(fleet: &Fleet, address: std::net::SocketAddr) -> String {
    let url = format!("http://{address}/metrics");
    let response = fleet
        .http
        .get(url)
        .send()
        .await
        .expect("the admin listener responds");
    let content_type = support::header(&response, "content-type");
    assert!(content_type.starts_with("application/openmetrics-text; version=1.0.0"));
    response.text().await.expect("the response is complete")
}

/// Parses a text in the `OpenMetrics` format and returns the names of its metrics.
fn parse_metrics(text: &str) -> BTreeSet<String> {
    assert!(
        text.ends_with("\n# EOF\n"),
        "the text does not end with # EOF: {text}"
    );
    let mut names = BTreeSet::new();
    let mut current = (String::new(), "");
    for line in text.lines().take_while(|line| *line != "# EOF") {
        if let Some(declared) = line.strip_prefix("# TYPE ") {
            let (name, kind) = declared.split_once(' ').expect("a name and a type");
            let kind = SAMPLE_SUFFIXES.iter().find(|(known, _)| *known == kind);
            current = (name.to_owned(), kind.expect("a known type").0);
            assert!(names.insert(name.to_owned()), "{name} is declared twice");
        } else if !line.starts_with("# HELP ") && !line.starts_with("# UNIT ") {
            let (sample, value) = line.rsplit_once(' ').expect("a sample and its value");
            value.parse::<f64>().expect("the value is a number");
            let name = sample.split('{').next().expect("a name");
            let suffixes = SAMPLE_SUFFIXES.iter().find(|(kind, _)| *kind == current.1);
            let suffixes = suffixes.expect("a type was declared").1;
            let known = suffixes
                .iter()
                .any(|suffix| name == current.0.clone() + suffix);
            assert!(
                known,
                "sample {name} does not belong to metric {}",
                current.0
            );
        }
    }
    names
}

#[tokio::test(flavor = "multi_thread")]
async fn the_operators_page_lists_exactly_the_metrics() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    // A metric family appears once it has a sample, so the test causes a response, a final refusal
    // and a refusal at admission.
    let response = fleet.chat(0, &chat_request("a", false, 4)).await;
    assert_eq!(response.status(), 200);
    let refused = fleet.call(0, "GET", "/a", None, "").await;
    assert_eq!(refused.status(), 503);
    fleet.add_agent("stray", "undeclared", &fleet.engines[0].url(), "");
    fleet.update_vm_list();
    fleet.wait_until_active(1).await;
    let agent = &fleet.agents[1];
    let frames = run_attempt(&fleet, agent, fleet.incarnation(&agent.node), 1, None).await;
    assert!(matches!(frames[..], [Frame::Refused(_)]), "{frames:?}");
    let mut exposed = BTreeSet::new();
    for process in fleet.routers.iter().chain(&fleet.agents) {
        exposed.extend(parse_metrics(&metrics(&fleet, process.admin).await));
    }
    assert_eq!(exposed, names_in_section("Metrics"));
}

#[rstest]
fn the_operators_page_lists_every_flag(#[values("router", "agent")] role: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_bulrushwardd"))
        .args([role, "--help"])
        .output()
        .expect("the daemon starts");
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    let flags: BTreeSet<&str> = help
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.contains('='))
        .map(|word| word.split('=').next().expect("a name"))
        .collect();
    assert!(flags.len() > 10, "{flags:?}");
    let listed = names_in_section("Settings");
    for flag in &flags {
        assert!(listed.contains(*flag), "{flag} is missing on the page");
        let variable = flag[2..].to_uppercase().replace('-', "_");
        assert!(OPERATORS_PAGE.contains(&format!("`BULRUSHWARD_{variable}`")));
    }
}

#[test]
fn the_operators_page_lists_exactly_the_refusal_reasons() {
    let reasons: BTreeSet<String> = RefusalReason::iter()
        .map(|reason| reason.to_string())
        .collect();
    assert_eq!(names_in_section("Refusals"), reasons);
}

/// Collects the names of the log events in the sources of a package.
fn collect_events(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("the source directory exists") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_events(&path, names);
            continue;
        }
        let text = fs::read_to_string(&path).expect("the source is text");
        let found = text.split("event = \"").skip(1);
        names.extend(found.filter_map(|rest| Some(rest.split_once('"')?.0.to_owned())));
    }
}

#[test]
fn the_operators_page_lists_exactly_the_events() {
    let mut names = BTreeSet::new();
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    collect_events(&package.join("src"), &mut names);
    collect_events(&package.join("../bulrushward_claims/src"), &mut names);
    collect_events(&package.join("../bulrushward_logging/src"), &mut names);
    assert_eq!(names_in_section("Events"), names);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_is_ready_from_its_first_configuration_until_its_stop() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    let readiness = async |fleet: &Fleet, address| {
        let url = format!("http://{address}/health/ready");
        let response = fleet.http.get(url).send().await;
        response.map_or(0, |response| response.status().as_u16())
    };
    assert_eq!(readiness(&fleet, fleet.routers[0].admin).await, 200);
    // A running response delays the stop, so that the health listener can be checked meanwhile.
    let running = fleet.chat(0, &chat_request("a", true, 400)).await;
    fleet.routers[0].signal(Signal::SIGTERM);
    eventually("the router is not ready", async || {
        readiness(&fleet, fleet.routers[0].admin).await == 503
    })
    .await;
    let url = format!("http://{}/health/live", fleet.routers[0].admin);
    let live = fleet
        .http
        .get(url)
        .send()
        .await
        .expect("the admin listener responds");
    assert_eq!(live.status(), 200);
    let body = running.text().await.expect("the response is complete");
    assert!(body.contains("data: [DONE]"));
    assert!(fleet.routers[0].wait_for_exit().await);

    // A process without peers and without a stored configuration is not ready.
    fleet.vm_list.set(Vec::new());
    fleet.kv = FakeKeyValue::start()
        .await
        .expect("the key-value service starts");
    let new_router = fleet.spawn("router", "new", "", &[]);
    eventually("the router responds", async || {
        readiness(&fleet, new_router.admin).await != 0
    })
    .await;
    assert_eq!(readiness(&fleet, new_router.admin).await, 503);
    let body = serde_json::json!({
        "base": 0, "text": support::config_text(""), "author": "a", "why": "b", "submission": "1",
    });
    let url = format!("http://{}/admin/config", new_router.admin);
    let response = fleet.http.post(url).json(&body).send().await;
    assert_eq!(response.expect("the admin listener responds").status(), 200);
    eventually("the router is ready", async || {
        readiness(&fleet, new_router.admin).await == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_of_the_admin_listener_are_json() {
    let fleet = Fleet::start(1, 0, 1).await;
    let (router, agent) = (fleet.routers[0].admin, fleet.agents[0].admin);
    let length = "content-length: 1\r\n";
    for (address, method, path, headers, body, expected) in [
        (router, "GET", "/", "", "", 404),
        (router, "POST", "/metrics", "", "", 404),
        (router, "DELETE", "/admin/config", "", "", 404),
        (router, "GET", "/admin/config?revision=9", "", "", 404),
        (router, "GET", "/admin/config?revision=x", "", "", 400),
        (router, "GET", "/admin/history?limit=-1", "", "", 400),
        (router, "POST", "/admin/config", length, "{", 400),
        (agent, "GET", "/admin/status", "", "", 404),
    ] {
        let request = request_head(method, path, headers) + body;
        let response = send_bytes(address, request.as_bytes()).await;
        assert_eq!(status(&response), expected, "{method} {path}: {response}");
        let (_head, body) = response.split_once("\r\n\r\n").expect("a head");
        let body: Value = serde_json::from_str(body).expect("the body is JSON");
        assert!(!body["message"].as_str().expect("a message").is_empty());
        assert_eq!(body["outcome"], "not-run");
    }
}

/// Returns the log lines of an event.
fn events(log: &Path, name: &str) -> Vec<String> {
    let log = fs::read_to_string(log).expect("the log can be read");
    let wanted = format!(" event={name} ");
    let lines = log.lines().filter(|line| line.contains(&wanted));
    lines.map(ToOwned::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_ends_in_one_event_with_all_its_fields() {
    let mut fleet = Fleet::start(1, 1, 0).await;
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.log", std::process::id()));
    fleet.log = Some(log.clone());
    fleet.add_router("logged", &[]).await;
    let response = fleet.chat(1, &chat_request("a", false, 4)).await;
    let bytes = response
        .bytes()
        .await
        .expect("the response is complete")
        .len();
    fleet
        .chat(1, &chat_request("b", true, 4))
        .await
        .bytes()
        .await
        .expect("the response is complete");
    fleet.call(1, "GET", "/none", None, "").await;
    let body = chat_request("c", true, 4_000).to_string();
    let length = format!("content-length: {}\r\n", body.len());
    let request = request_head("POST", "/v1/chat/completions", &length) + &body;
    let mut caller = tokio::net::TcpStream::connect(fleet.routers[1].data)
        .await
        .expect("the router listens");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    caller.read_u8().await.expect("the response starts");
    drop(caller);
    eventually("the loss of the caller is logged", async || {
        events(&log, "caller-gone").len() == 1
    })
    .await;
    let ended = events(&log, "answer-ended");
    assert_eq!(ended.len(), 2, "{ended:?}");
    assert!(ended[0].contains(&format!(" bytes={bytes} ")), "{ended:?}");
    let answered = events(&log, "request-answered");
    let refused = events(&log, "request-refused");
    let gone = events(&log, "caller-gone");
    assert_eq!((answered.len(), refused.len()), (3, 1));
    for line in ended.iter().chain(&answered).chain(&refused).chain(&gone) {
        for field in [
            "request",
            "organisation",
            "service",
            "kind",
            "chat",
            "outcome",
        ] {
            assert!(line.contains(&format!(" {field}=")), "{field}: {line}");
        }
        assert!(
            line.contains("ms=") || line.contains("milliseconds="),
            "{line}"
        );
    }
    for line in ended.iter().chain(&answered).chain(&gone) {
        assert!(line.contains(" backend=engine-0 "), "{line}");
    }
    let all = fs::read_to_string(&log).expect("the log can be read");
    for line in all.lines() {
        assert!(
            line.starts_with("ts=") && line.contains(" event="),
            "{line}"
        );
    }
    fs::remove_file(&log).expect("the log exists");
}
