//! Tests of `bulrushctl` against a stub of a router's admin API.

mod stub;

use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

use bulrushward_protocol::MemberState;
use stub::{Fault, Stub, member};
use tokio::{net::TcpSocket, task::spawn_blocking};

const TEXT: &str = r#"# The whole fleet.
[[service]]
name = "assessment"
protocol = "chat"
servers = ["engine-1", "engine-2"] # two of them

[[service]]
name = "registry"
protocol = "plain"
draining = ["registry-9"]
"#;
const EDITED: &str = "[[service]]\nname = \"registry\"\nprotocol = \"plain\"\n";
const NOTE: [&str; 4] = ["--author", "asha", "--why", "a test"];

/// Exit code and output of a run of the tool.
#[derive(Debug)]
struct Run {
    code: i32,
    stdout: String,
    stderr: String,
}

impl Run {
    #[track_caller]
    fn succeeds(self) -> String {
        assert_eq!(self.code, 0, "{self:?}");
        assert_eq!(self.stderr, "");
        self.stdout
    }

    /// Checks the exit code and that standard error is one line that contains `expected_part`.
    #[track_caller]
    fn fails(&self, code: i32, expected_part: &str) -> &str {
        assert_eq!(self.code, code, "{self:?}");
        assert!(
            self.stderr.contains(expected_part),
            "{self:?} lacks {expected_part:?}"
        );
        assert_eq!(self.stderr.lines().count(), 1, "{self:?}");
        &self.stdout
    }
}

/// Runs the tool with the addresses of some routers.
async fn run(routers: &[SocketAddr], args: &[&str]) -> Run {
    let routers: Vec<_> = routers.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushctl"));
    command.env_clear().args(args);
    if !routers.is_empty() {
        command
            .env("BULRUSHWARD_ROUTER", routers.join(","))
            .env("BULRUSHWARD_TIMEOUT_SECONDS", "1");
    }
    let output = spawn_blocking(move || command.output()).await;
    let Output {
        status,
        stdout,
        stderr,
    } = output
        .expect("the task completes")
        .expect("the tool starts");
    Run {
        code: status.code().expect("the tool exits with a code"),
        stdout: String::from_utf8(stdout).expect("the output is UTF-8"),
        stderr: String::from_utf8(stderr).expect("the output is UTF-8"),
    }
}

/// Runs the tool with an author and a reason.
async fn run_with_note(routers: &[SocketAddr], args: &[&str]) -> Run {
    run(routers, &[args, &NOTE].concat()).await
}

/// Writes a configuration text to a file and returns its path.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    fs::write(&path, text).expect("the directory of test files is writable");
    path.display().to_string()
}

/// A bound port without a listener, which refuses connections and cannot be taken by other tests.
struct ClosedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ClosedPort {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket can be created");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any).expect("a port is free");
        let address = socket.local_addr().expect("the socket is bound");
        Self {
            address,
            _socket: socket,
        }
    }
}

#[tokio::test]
async fn invalid_settings_are_reported_with_their_value() {
    let cases: [(&[&str], &str); 12] = [
        (&[], "COMMAND"),
        (&["status"], "--router"),
        (
            &["status", "--router", "router-1"],
            "\"router-1\", expected IP:PORT",
        ),
        (
            &["status", "--router", "[::1]:80,x"],
            "\"x\", expected IP:PORT",
        ),
        (
            &["status", "--router", "[::1]:80", "--timeout-seconds", "0"],
            "found \"0\", expected 1 to 3600 seconds",
        ),
        (
            &["history", "--router", "[::1]:80", "--limit", "ten"],
            "--limit (BULRUSHWARD_LIMIT): found \"ten\"",
        ),
        (
            &["show", "--router", "[::1]:80", "--revision", "-"],
            "--revision",
        ),
        (
            &["submit", "f", "--router", "[::1]:80", "--author", "a"],
            "--why",
        ),
        (
            &[
                "submit", "f", "--router", "[::1]:80", "--author", " ", "--why", "w",
            ],
            "--author (BULRUSHWARD_AUTHOR): found 1 bytes",
        ),
        (
            &[
                "submit", "f", "--router", "[::1]:80", "--author", "a", "--why", "w", "--wait=0",
            ],
            "--wait (BULRUSHWARD_WAIT): found \"0\", expected 1 to 3600 seconds",
        ),
        (
            &[
                "submit", "f", "--router", "[::1]:80", "--author", "a", "--why", "w", "--base", "x",
            ],
            "--base (BULRUSHWARD_BASE): found \"x\"",
        ),
        (&["submit", "--verbose"], "--verbose"),
    ];
    for (args, expected_part) in cases {
        run(&[], args).await.fails(2, expected_part);
    }
    let text = file("bad_settings", EDITED);
    let closed = ClosedPort::new();
    let missing = run_with_note(&[closed.address], &["submit", &text]).await;
    missing.fails(2, "--base (BULRUSHWARD_BASE): missing");
}

#[tokio::test]
async fn help_explains_every_flag() {
    for command in [
        "submit", "show", "diff", "history", "status", "drain", "undrain",
    ] {
        let help = run(&[], &[command, "--help"]).await.succeeds();
        for flag in ["--router", "--timeout-seconds", "--json"] {
            assert!(help.contains(flag), "{command} lacks {flag}");
        }
        let flags = help.matches("        --").count();
        assert_eq!(
            help.matches("default").count(),
            flags,
            "a default for each flag:\n{help}"
        );
        assert_eq!(help.matches("[env:BULRUSHWARD_").count(), flags, "{help}");
    }
}

#[tokio::test]
async fn check_reports_all_errors_with_their_lines() {
    let good = file("check_good", TEXT);
    let output = run(&[], &["check", &good]).await.succeeds();
    assert_eq!(output, format!("{good} has no errors\n"));
    let bad = file(
        "check_bad",
        "# revision: 4\n[fleet]\nload_multiple = 1\nx = 2\n",
    );
    let failed = run(&[], &["check", &bad]).await;
    let expected = [
        format!("{bad}:3:17: load_multiple: found 1, expected a number above 1 and at most 100"),
        format!("{bad}:4:1: unknown key \"x\" in [fleet], expected one of load_multiple, "),
    ];
    let stdout = failed.fails(1, "has 2 errors; correct it and try again");
    for (line, expected) in stdout.lines().zip(&expected) {
        assert!(line.starts_with(expected), "{line}");
    }
    let json = run(&[], &["check", &bad, "--json"]).await;
    let json: serde_json::Value = serde_json::from_str(&json.stdout).expect("the output is JSON");
    assert_eq!(json["errors"][1]["line"], 4);
    run(&[], &["check", "/nonexistent"])
        .await
        .fails(1, "file \"/nonexistent\" could not be read");
}

#[tokio::test]
async fn a_shown_text_can_be_edited_and_submitted() {
    let stub = Stub::start().await;
    let routers = [stub.address];
    run(&routers, &["show"])
        .await
        .fails(1, "no configuration has been accepted yet");
    let first = file("first", TEXT);
    let output = run_with_note(&routers, &["submit", &first, "--base", "0"]).await;
    assert_eq!(output.succeeds(), "revision 1 is accepted\n");
    let shown = run(&routers, &["show"]).await.succeeds();
    assert_eq!(shown, format!("# revision: 1\n{TEXT}"));
    let second = file("second", &shown.replace("two of them", "both"));
    let diff = run(&routers, &["diff", &second]).await.succeeds();
    assert!(
        diff.starts_with(&format!("--- revision 1\n+++ {second}\n@@ ")),
        "{diff}"
    );
    let output = run_with_note(&routers, &["submit", &second])
        .await
        .succeeds();
    assert_eq!(output, "revision 2 is accepted\n");
    assert_eq!(stub.text(), TEXT.replace("two of them", "both"));
    let same = run(&routers, &["diff", &second]).await.succeeds();
    assert_eq!(same, "no difference from revision 2\n");
    let old = run(&routers, &["show", "--revision", "1"]).await.succeeds();
    assert_eq!(old, shown);
    run(&routers, &["show", "--revision", "9"])
        .await
        .fails(1, "revision 9 does not exist");
    let repeated = run_with_note(&routers, &["submit", &second])
        .await
        .succeeds();
    assert_eq!(repeated, "revision 2 is accepted\n");
    let unchanged = run_with_note(&routers, &["submit", &second, "--base", "2"]).await;
    assert!(
        unchanged
            .succeeds()
            .contains("already has this text; nothing was changed")
    );
    assert_eq!(stub.state().texts.len(), 2);
}

#[tokio::test]
async fn a_conflict_shows_what_changed() {
    let stub = Stub::start().await;
    stub.accept(TEXT);
    stub.accept(EDITED);
    let edited = file("conflict", &format!("# revision: 1\n{EDITED}# mine\n"));
    let failed = run_with_note(&[stub.address], &["submit", &edited]).await;
    let stdout = failed.fails(1, "submit again with --base 2");
    assert!(
        stdout.starts_with("--- revision 1\n+++ revision 2\n@@ "),
        "{stdout}"
    );
    assert_eq!(stub.state().texts.len(), 2);
}

#[tokio::test]
async fn errors_prevent_a_submission() {
    let stub = Stub::start().await;
    let bad = file("submit_bad", "x = 1\n");
    let failed = run_with_note(&[stub.address], &["submit", &bad, "--base", "0"]).await;
    failed.fails(
        1,
        "has 1 error; correct it and try again, nothing was changed",
    );
    assert_eq!(stub.state().submissions, 0);
    stub.state()
        .faults
        .extend([Fault::TextError, Fault::BadRequest]);
    let good = file("submit_good", &format!("# revision: 0\n{EDITED}"));
    let failed = run_with_note(&[stub.address], &["submit", &good]).await;
    let stdout = failed.fails(1, "has 1 error");
    assert_eq!(stdout, format!("{good}:3:1: new rule\n"));
    let failed = run_with_note(&[stub.address], &["submit", &good]).await;
    failed.fails(
        1,
        "refused the request with status 400: the key-value service is down",
    );
}

#[tokio::test]
async fn the_next_router_confirms_a_submission_with_a_lost_response() {
    let stub = Stub::start().await;
    stub.state().faults.push_back(Fault::ResponseLost);
    let text = file("lost", EDITED);
    let closed = ClosedPort::new();
    let routers = [closed.address, stub.address, stub.address];
    let output = run_with_note(&routers, &["submit", &text, "--base", "0"]).await;
    assert_eq!(output.succeeds(), "revision 1 is accepted\n");
    assert_eq!(stub.state().texts.len(), 1);
    assert_eq!(stub.state().submissions, 2);
}

#[tokio::test]
async fn running_the_command_again_resolves_an_unknown_outcome() {
    let stub = Stub::start().await;
    let routers = [stub.address];
    let text = file("unknown", EDITED);
    for fault in [
        Fault::ResponseLost,
        Fault::Unknown,
        Fault::MalformedResponse,
    ] {
        stub.state().faults.push_back(fault);
        let failed = run_with_note(&routers, &["submit", &text, "--base", "0"]).await;
        failed.fails(1, "it is not known whether the change was accepted");
    }
    let output = run_with_note(&routers, &["submit", &text, "--base", "0"]).await;
    assert_eq!(output.succeeds(), "revision 1 is accepted\n");
    assert_eq!(stub.state().texts.len(), 1);
}

#[tokio::test]
async fn unreachable_routers_are_reported() {
    let closed = [ClosedPort::new(), ClosedPort::new()];
    let (one, two) = (closed[0].address, closed[1].address);
    let text = file("down", &format!("# revision: 0\n{EDITED}"));
    let commands: [&[&str]; 6] = [
        &["submit", &text, NOTE[0], NOTE[1], NOTE[2], NOTE[3]],
        &["drain", "engine-1", NOTE[0], NOTE[1], NOTE[2], NOTE[3]],
        &["show"],
        &["diff", &text],
        &["history"],
        &["status"],
    ];
    for args in commands {
        let failed = run(&[one, two], args).await;
        failed.fails(1, &format!("{one}: Connection refused"));
        failed.fails(1, &format!("{two}: Connection refused"));
        assert_eq!(failed.stdout, "");
    }
    let stub = Stub::start().await;
    stub.state().faults.push_back(Fault::NotRun);
    let failed = run_with_note(&[stub.address], &["submit", &text]).await;
    failed.fails(
        1,
        "status 503: the key-value service is down, try again after 3 s",
    );
    assert!(!failed.stderr.contains("not known"), "{failed:?}");
}

#[tokio::test]
async fn wait_returns_once_the_revision_is_active() {
    let stub = Stub::start().await;
    stub.state().polls_until_active = Some(3);
    stub.state().members = vec![
        member("agent-1", MemberState::Live, 0),
        member("agent-2", MemberState::Live, 0),
        member("agent-3", MemberState::Leaving, 0),
    ];
    let text = file("wait", EDITED);
    let args = ["submit", &text, "--base", "0", "--wait"];
    let output = run_with_note(&[stub.address], &args).await.succeeds();
    assert!(
        output.contains("active on all 2 live processes after "),
        "{output}"
    );
    assert_eq!(stub.state().polls_until_active, Some(0));
}

#[tokio::test]
async fn wait_reports_processes_without_the_revision() {
    let stub = Stub::start().await;
    let text = file("wait_missing", EDITED);
    let args = ["submit", &text, "--base", "0", "--wait=1", "--json"];
    let failed = run_with_note(&[stub.address], &args).await;
    failed.fails(1, "no live process is known");
    stub.state().members = vec![
        member("agent-1", MemberState::Live, 1),
        member("agent-2", MemberState::Live, 0),
        member("agent-3", MemberState::Left, 0),
    ];
    let failed = run_with_note(&[stub.address], &args).await;
    let expected_part =
        "not active on 1 of 2 live processes: agent-2 (revision 0, last heard from 150 ms ago)";
    let stdout = failed.fails(1, expected_part);
    let json: serde_json::Value = serde_json::from_str(stdout).expect("the output is JSON");
    assert_eq!(json["revision"], 1);
    assert_eq!(json["spread"]["missing"][0]["node"], "agent-2");
}

#[tokio::test]
async fn history_and_status_are_listed() {
    let stub = Stub::start().await;
    let routers = [stub.address];
    let empty = run(&routers, &["history"]).await.succeeds();
    assert_eq!(empty, "no configuration has been accepted yet\n");
    stub.accept(TEXT);
    stub.accept(EDITED);
    let history = run(&routers, &["history"]).await.succeeds();
    let expected = "revision 2  2025-12-03T22:13:20Z  seed: start\n\
                    revision 1  2025-12-03T22:13:20Z  seed: start\n";
    assert_eq!(history, expected);
    let newest = run(&routers, &["history", "--limit=1", "--diff"])
        .await
        .succeeds();
    assert_eq!(
        newest,
        "revision 2  2025-12-03T22:13:20Z  seed: start\n+ a line\n"
    );
    let json = run(&routers, &["history", "--json"]).await.succeeds();
    let json: serde_json::Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!(json["entries"][0]["at_ms"], 1_764_800_000_000_i64);
    stub.state().members = vec![
        member("agent-20", MemberState::Leaving, 2),
        member("agent-1", MemberState::Live, 1),
    ];
    let status = run(&routers, &["status"]).await.succeeds();
    let expected = "\
newest revision 2 according to router-1
NODE      ROLE   STATE    DOMAIN       SERVICE     BACKEND              REVISION  LOAD  QUEUED  REFUSALS  AGE
agent-1   agent  live     kathmandu-1  assessment  backend-of-agent-1   1         4096  2       -         150 ms
agent-20  agent  leaving  kathmandu-1  assessment  backend-of-agent-20  2         4096  2       -         150 ms
";
    assert_eq!(status, expected);
    let json = run(&routers, &["status", "--json"]).await.succeeds();
    let json: serde_json::Value = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!(json["members"][0]["state"], "leaving");
}

#[tokio::test]
async fn drain_and_undrain_edit_one_line() {
    let stub = Stub::start().await;
    let routers = [stub.address];
    run_with_note(&routers, &["drain", "engine-2"])
        .await
        .fails(1, "no configuration has been accepted yet");
    stub.accept(TEXT);
    let output = run_with_note(&routers, &["drain", "engine-2"])
        .await
        .succeeds();
    assert_eq!(output, "revision 2 is accepted\n");
    let drained = TEXT.replace(
        "# two of them\n",
        "# two of them\ndraining = [\"engine-2\"]\n",
    );
    assert_eq!(stub.text(), drained);
    let again = run_with_note(&routers, &["drain", "engine-2"])
        .await
        .succeeds();
    assert_eq!(
        again,
        "revision 2 already has this text; nothing was changed\n"
    );
    run_with_note(&routers, &["undrain", "engine-2"])
        .await
        .succeeds();
    assert_eq!(stub.text(), drained.replace("[\"engine-2\"]\n\n", "[]\n\n"));
    run_with_note(&routers, &["undrain", "registry-9"])
        .await
        .succeeds();
    assert!(
        stub.text()
            .contains("protocol = \"plain\"\ndraining = []\n")
    );
    let failed = run_with_note(&routers, &["drain", "engine-9"]).await;
    failed.fails(
        1,
        "backend server \"engine-9\" is not in any service of the active configuration",
    );
}

#[tokio::test]
async fn drain_finds_an_announced_backend_server() {
    let stub = Stub::start().await;
    stub.accept("[[service]]\nname = \"assessment\"\nprotocol = \"chat\"\n");
    stub.state().members = vec![member("agent-1", MemberState::Live, 1)];
    let args = ["drain", "backend-of-agent-1"];
    run_with_note(&[stub.address], &args).await.succeeds();
    assert!(
        stub.text()
            .ends_with("draining = [\"backend-of-agent-1\"]\n")
    );
}

#[tokio::test]
async fn drain_is_retried_after_a_conflict() {
    let stub = Stub::start().await;
    stub.accept(TEXT);
    stub.state().faults.extend([Fault::ConcurrentChange; 2]);
    let output = run_with_note(&[stub.address], &["drain", "engine-1"])
        .await
        .succeeds();
    assert_eq!(output, "revision 4 is accepted\n");
    let text = stub.text();
    assert!(text.ends_with("# faster\n# faster\n"), "{text}");
    assert!(text.contains("draining = [\"engine-1\"]"), "{text}");
    stub.state().faults.extend([Fault::ConcurrentChange; 5]);
    let failed = run_with_note(&[stub.address], &["drain", "engine-2"]).await;
    failed.fails(
        1,
        "others changed the configuration during each of 5 attempts; nothing was changed",
    );
}
