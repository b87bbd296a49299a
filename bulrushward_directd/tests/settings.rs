//! Settings of the daemon of direct routers, its start and the signal that stops it.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Command, Output, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rstest::rstest;

/// Exit code of a bad or missing setting.
const BAD_SETTING: i32 = 2;

/// Settings with addresses that no other test has.
fn settings() -> String {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = format!("127.{a}.{b}.{c}");
    format!(
        "node = \"n\"\nfailure_domain = \"a\"\ncallers_address = \"{ip}:8227\"\n\
         readiness_address = \"{ip}:8220\"\nknowledge_address = \"{ip}:8229\"\n\
         datagram_port = 7340\nmetrics_port = 7341\nstore_address = \"{ip}:1\"\n\
         stop_grace_ms = 8000.0\nleaving_known_ms = 2000.0\nconfig_known_ms = 2000.0\n\
         repeat_ratio = 0.2\nextra_repeats = 50.0\n"
    )
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("directd-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("it can be written");
    path
}

fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushward-directd"));
    command.env_remove("BULRUSHWARD_SETTINGS");
    command
}

/// Returns the one line with which the daemon refused its settings.
fn refusal(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(BAD_SETTING));
    assert!(output.stdout.is_empty());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

#[test]
fn without_a_settings_file_the_daemon_names_what_is_missing() {
    let output = daemon().output().expect("it starts");
    let error = refusal(&output);
    assert!(
        error.contains("--settings (BULRUSHWARD_SETTINGS)"),
        "{error}"
    );
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let output = daemon()
        .args(["--settings", "/nonexistent/settings.toml"])
        .output()
        .expect("it starts");
    let error = refusal(&output);
    assert!(error.contains("/nonexistent/settings.toml"), "{error}");
}

#[rstest]
#[case::node("node = \"n\"", "node = \"\"", "node")]
#[case::missing("datagram_port = 7340\n", "", "datagram_port")]
#[case::unknown("metrics_port", "metric_port", "metric_port")]
#[case::not_an_address(":8227", ":none", "callers_address")]
#[case::grace("8000.0", "10.0", "stop_grace_ms")]
#[case::leaving(
    "leaving_known_ms = 2000.0",
    "leaving_known_ms = 5.0",
    "leaving_known_ms"
)]
#[case::config("config_known_ms = 2000.0", "config_known_ms = 0.0", "config_known_ms")]
#[case::ratio("0.2", "1.5", "repeat_ratio")]
#[case::extra("50.0", "-1.0", "extra_repeats")]
#[case::ports("7341", "7340", "metrics_port")]
#[case::log("node =", "log = \"info=loud\"\nnode =", "log")]
fn a_wrong_setting_is_named(#[case] good: &str, #[case] bad: &str, #[case] name: &str) {
    let text = settings();
    assert!(text.contains(good), "the case changes something");
    let path = file(name, &text.replace(good, bad));
    let output = daemon().arg("--settings").arg(&path).output();
    let error = refusal(&output.expect("it starts"));
    assert!(error.contains(name), "{error}");
}

#[rstest]
#[case::by_flag(true)]
#[case::by_variable(false)]
fn the_daemon_starts_with_a_line_and_stops_when_it_is_told_to(#[case] by_flag: bool) {
    let path = file("good", &settings());
    let mut command = daemon();
    if by_flag {
        command.arg("--settings").arg(&path);
    } else {
        command.env("BULRUSHWARD_SETTINGS", &path);
    }
    let mut child = command
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let log = BufReader::new(child.stdout.take().expect("it is piped"));
    let mut lines = log.lines().map(|line| line.expect("it is text"));
    let mut line_of = |event: &str| {
        lines
            .find(|line| line.contains(&format!("event={event} ")))
            .unwrap_or_else(|| panic!("no line of {event}"))
    };
    assert!(line_of("started").contains("node=n failure_domain=a"));
    let pid = Pid::from_raw(child.id().cast_signed());
    kill(pid, Signal::SIGTERM).expect("it runs");
    line_of("stopping");
    assert!(line_of("stopped").contains("complete=true"));
    assert!(child.wait().expect("it ends").success());
}
