//! Settings of the daemon by flag and environment variable, and the signals that stop it.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Command, Output, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rstest::rstest;

/// Exit code for an invalid or missing setting.
const INVALID_SETTING_CODE: i32 = 2;
/// Exit code of a process that fails to start or is stopped by a second signal.
const FAILURE_CODE: i32 = 1;
/// Time limit for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A setting with a valid and an invalid value; a required one has no default.
struct Setting {
    flag: &'static str,
    variable: &'static str,
    valid: &'static str,
    invalid: &'static str,
    required: bool,
}

const fn required(
    flag: &'static str,
    variable: &'static str,
    valid: &'static str,
    invalid: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        valid,
        invalid,
        required: true,
    }
}

const fn optional(
    flag: &'static str,
    variable: &'static str,
    valid: &'static str,
    invalid: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        valid,
        invalid,
        required: false,
    }
}

/// Loopback address with a port that the system chooses.
const FREE_ADDRESS: &str = "127.0.0.1:0";
const URL: &str = "http://127.0.0.1:1";

const COMMON: [Setting; 11] = [
    required("--node", "BULRUSHWARD_NODE", "node-1", "node 1"),
    required("--failure-domain", "BULRUSHWARD_FAILURE_DOMAIN", "a", "a/b"),
    required(
        "--control-address",
        "BULRUSHWARD_CONTROL_ADDRESS",
        FREE_ADDRESS,
        "localhost",
    ),
    required(
        "--admin-address",
        "BULRUSHWARD_ADMIN_ADDRESS",
        FREE_ADDRESS,
        "127.0.0.1",
    ),
    required(
        "--key-value",
        "BULRUSHWARD_KEY_VALUE",
        URL,
        "http://127.0.0.1:1,127.0.0.1:2",
    ),
    required("--vm-list", "BULRUSHWARD_VM_LIST", URL, "ftp://127.0.0.1"),
    optional(
        "--peers",
        "BULRUSHWARD_PEERS",
        "127.0.0.1:1,127.0.0.1:2",
        "127.0.0.1:1,here",
    ),
    optional(
        "--exchange-interval-ms",
        "BULRUSHWARD_EXCHANGE_INTERVAL_MS",
        "500",
        "0",
    ),
    optional(
        "--platform-timeout-ms",
        "BULRUSHWARD_PLATFORM_TIMEOUT_MS",
        "500",
        "1s",
    ),
    optional(
        "--drain-grace-ms",
        "BULRUSHWARD_DRAIN_GRACE_MS",
        "500",
        "18446744073709551615",
    ),
    optional("--log", "BULRUSHWARD_LOG", "debug", "bulrushward=loud"),
];

const ROUTER: [Setting; 4] = [
    required("--listen", "BULRUSHWARD_LISTEN", FREE_ADDRESS, "0.0.0.0"),
    optional(
        "--body-limit-bytes",
        "BULRUSHWARD_BODY_LIMIT_BYTES",
        "33554432",
        "33554433",
    ),
    optional(
        "--caller-timeout-ms",
        "BULRUSHWARD_CALLER_TIMEOUT_MS",
        "86400000",
        "86400001",
    ),
    optional("--silence-ms", "BULRUSHWARD_SILENCE_MS", "1500", "-1"),
];

const AGENT: [Setting; 9] = [
    required(
        "--inner-address",
        "BULRUSHWARD_INNER_ADDRESS",
        FREE_ADDRESS,
        "127.0.0.1:99999",
    ),
    optional(
        "--advertised-address",
        "BULRUSHWARD_ADVERTISED_ADDRESS",
        "127.0.0.1:1",
        "agent:1",
    ),
    required("--backend", "BULRUSHWARD_BACKEND", "engine-1", "engine 1"),
    required(
        "--backend-url",
        "BULRUSHWARD_BACKEND_URL",
        URL,
        "127.0.0.1:1",
    ),
    required("--service", "BULRUSHWARD_SERVICE", "assess", "as\"sess"),
    optional("--health-path", "BULRUSHWARD_HEALTH_PATH", "/", "health"),
    optional(
        "--health-interval-ms",
        "BULRUSHWARD_HEALTH_INTERVAL_MS",
        "1",
        "0.5",
    ),
    optional(
        "--backend-silence-ms",
        "BULRUSHWARD_BACKEND_SILENCE_MS",
        "30000",
        "long",
    ),
    optional(
        "--answer-retention-seconds",
        "BULRUSHWARD_ANSWER_RETENTION_SECONDS",
        "86400",
        "86401",
    ),
];

fn settings(role: &str) -> impl Iterator<Item = &'static Setting> {
    let role_settings: &[Setting] = if role == "router" { &ROUTER } else { &AGENT };
    COMMON.iter().chain(role_settings)
}

fn daemon(role: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushwardd"));
    command.arg(role).env_clear().stdin(Stdio::null());
    command
}

/// Builds a daemon command with valid environment variables for all required settings except one.
fn daemon_without(role: &str, without: &str) -> Command {
    let mut command = daemon(role);
    let kept = settings(role).filter(|setting| setting.required && setting.flag != without);
    for setting in kept {
        command.env(setting.variable, setting.valid);
    }
    command
}

/// Returns the only line on standard error that is not a log line.
fn error_line(output: &Output) -> String {
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let lines: Vec<&str> = errors
        .lines()
        .filter(|line| !line.starts_with("ts="))
        .collect();
    assert_eq!(lines.len(), 1, "expected one line: {errors}");
    lines[0].to_owned()
}

/// Returns standard error, which must be a single line.
fn only_line(output: &Output) -> String {
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(errors.lines().count(), 1, "expected one line: {errors}");
    errors
}

#[rstest]
fn an_invalid_value_is_reported_in_one_line(
    #[values("router", "agent")] role: &str,
    #[values(true, false)] by_flag: bool,
) {
    for setting in settings(role) {
        let mut command = daemon_without(role, setting.flag);
        if by_flag {
            command.arg(format!("{}={}", setting.flag, setting.invalid));
        } else {
            command.env(setting.variable, setting.invalid);
        }
        let output = command.output().expect("the daemon starts");
        assert_eq!(
            output.status.code(),
            Some(INVALID_SETTING_CODE),
            "{}",
            setting.flag
        );
        let line = only_line(&output);
        let invalid = setting
            .invalid
            .rsplit(',')
            .next()
            .expect("the value has a last part");
        for part in [setting.flag, setting.variable, &format!("{invalid:?}")] {
            assert!(line.contains(part), "{line} names {part}");
        }
    }
}

#[rstest]
fn a_missing_setting_is_reported_in_one_line(#[values("router", "agent")] role: &str) {
    for setting in settings(role).filter(|setting| setting.required) {
        let output = daemon_without(role, setting.flag).output();
        let output = output.expect("the daemon starts");
        assert_eq!(
            output.status.code(),
            Some(INVALID_SETTING_CODE),
            "{}",
            setting.flag
        );
        let line = only_line(&output);
        for part in [setting.flag, setting.variable, "missing"] {
            assert!(line.contains(part), "{line} names {part}");
        }
    }
}

#[rstest]
fn a_valid_value_is_accepted_and_a_flag_overrides_its_variable(
    #[values("router", "agent")] role: &str,
    #[values(true, false)] by_flag: bool,
) {
    let used_address = TcpListener::bind(FREE_ADDRESS).expect("a port is free");
    let used_address = used_address
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    for setting in settings(role) {
        // The process fails only when it binds its listeners, so it accepted the settings.
        let occupied_flag = if setting.flag == "--admin-address" {
            "--control-address"
        } else {
            "--admin-address"
        };
        let mut command = daemon_without(role, occupied_flag);
        command.arg(format!("{occupied_flag}={used_address}"));
        if by_flag {
            command.env(setting.variable, setting.invalid);
            command.arg(format!("{}={}", setting.flag, setting.valid));
        } else {
            command.env(setting.variable, setting.valid);
        }
        let output = command.output().expect("the daemon starts");
        let line = error_line(&output);
        assert_eq!(
            output.status.code(),
            Some(FAILURE_CODE),
            "{}: {line}",
            setting.flag
        );
    }
}

#[rstest]
#[case("router", "--admin-address")]
#[case("router", "--control-address")]
#[case("router", "--listen")]
#[case("agent", "--admin-address")]
#[case("agent", "--control-address")]
#[case("agent", "--inner-address")]
fn a_port_in_use_is_reported_in_one_line(#[case] role: &str, #[case] flag: &str) {
    let used_address = TcpListener::bind(FREE_ADDRESS).expect("a port is free");
    let used_address = used_address
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let output = daemon_without(role, flag)
        .arg(format!("{flag}={used_address}"))
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(FAILURE_CODE));
    let line = error_line(&output);
    assert!(line.contains(&used_address), "{line} names {used_address}");
}

#[rstest]
#[case(&["--nod=x"])]
#[case(&["surplus"])]
fn an_unknown_argument_is_reported_in_one_line(#[case] arguments: &[&str]) {
    let output = daemon_without("router", "").args(arguments).output();
    let output = output.expect("the daemon starts");
    assert_eq!(output.status.code(), Some(INVALID_SETTING_CODE));
    let name = arguments[0].split('=').next().expect("a name");
    assert!(only_line(&output).contains(name));
}

#[rstest]
fn the_help_explains_every_setting(#[values("router", "agent")] role: &str) {
    let output = daemon(role).arg("--help").output();
    let output = output.expect("the daemon starts");
    assert!(output.status.success());
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    let shown: Vec<&str> = help
        .split_whitespace()
        .filter(|word| word.starts_with("--"))
        .map(|word| word.split('=').next().expect("a name"))
        .collect();
    for setting in settings(role) {
        assert!(shown.contains(&setting.flag), "{} is shown", setting.flag);
        assert!(help.contains(setting.variable), "{}", setting.variable);
    }
    let known: Vec<&str> = settings(role).map(|setting| setting.flag).collect();
    for flag in shown.iter().filter(|flag| **flag != "--help") {
        assert!(known.contains(flag), "{flag} is not covered by this test");
    }
    // The usage line also contains every setting, so the entry with the description is the last.
    let words = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for setting in settings(role) {
        let entry = words.split(&format!("{}=", setting.flag)).last();
        let entry = entry.expect("the setting is shown").split(" --").next();
        let entry = entry.expect("the setting has a description");
        let expected = if setting.required {
            "required"
        } else {
            "default"
        };
        assert!(
            entry.contains(expected),
            "{} says {expected}: {entry}",
            setting.flag
        );
    }
}

/// Starts a router whose graceful stop takes `grace_ms` and waits until it has started.
fn start_router(grace_ms: &str) -> std::process::Child {
    let mut child = daemon_without("router", "")
        .args(["--drain-grace-ms", grace_ms])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
    lines
        .find(|line| line.contains("event=started"))
        .expect("the router starts");
    // The pipe is read until it closes, so that writes of later log lines succeed.
    std::thread::spawn(move || lines.count());
    child
}

fn exit_code(mut child: std::process::Child) -> Option<i32> {
    let start = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the process can be waited for") {
            return status.code();
        }
        if start.elapsed() > EXIT_TIMEOUT {
            child.kill().expect("the process can be killed");
            panic!("the daemon did not exit");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[rstest]
fn a_signal_stops_the_daemon_gracefully(#[values(Signal::SIGTERM, Signal::SIGINT)] signal: Signal) {
    let child = start_router("50");
    kill(Pid::from_raw(child.id().cast_signed()), signal).expect("the process accepts signals");
    assert_eq!(exit_code(child), Some(0));
}

#[test]
fn a_second_signal_ends_the_process_immediately() {
    let child = start_router("86400000");
    let pid = Pid::from_raw(child.id().cast_signed());
    kill(pid, Signal::SIGTERM).expect("the process accepts signals");
    // Two pending signals of the same kind are delivered only once, so different ones are sent.
    kill(pid, Signal::SIGINT).expect("the process accepts signals");
    assert_eq!(exit_code(child), Some(FAILURE_CODE));
}
