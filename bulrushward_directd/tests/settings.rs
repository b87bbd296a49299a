//! Tests of the daemon's settings, its startup and its shutdown on SIGTERM.

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

/// Exit code if a setting is missing or invalid.
const INVALID_SETTINGS_EXIT_CODE: i32 = 2;

/// Returns valid settings; the IP address is made from the process id, so that test processes do not collide.
fn settings() -> String {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = format!("127.{a}.{b}.{c}");
    format!(
        "node = \"n\"\nfailure_domain = \"a\"\ncallers_address = \"{ip}:8227\"\n\
         readiness_address = \"{ip}:8220\"\nknowledge_address = \"{ip}:8229\"\n\
         datagram_port = 7340\nmetrics_port = 7341\nstore_address = \"{ip}:1\"\n\
         stop_grace_s = 8\nleaving_known_ms = 2000\nconfig_known_ms = 2000.5\n\
         repeat_ratio = 0.2\nextra_repeats = 50\nrepeat_window_s = 10\n"
    )
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("directd-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("the file can be written");
    path
}

fn daemon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushward-directd"));
    command.env_remove("BULRUSHWARD_SETTINGS");
    command
}

/// Returns the one line on standard error with which the daemon rejected its settings.
fn error_line(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(INVALID_SETTINGS_EXIT_CODE));
    assert!(output.stdout.is_empty());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

#[test]
fn a_missing_settings_argument_is_named() {
    let output = daemon().output().expect("the daemon starts");
    let error = error_line(&output);
    assert!(
        error.contains("--settings (BULRUSHWARD_SETTINGS)"),
        "{error}"
    );
}

#[test]
fn a_missing_settings_file_is_named() {
    let output = daemon()
        .args(["--settings", "/nonexistent/settings.toml"])
        .output()
        .expect("the daemon starts");
    let error = error_line(&output);
    assert!(error.contains("/nonexistent/settings.toml"), "{error}");
}

#[rstest]
#[case::node(
    "node = \"n\"",
    "node = \"\"",
    "line 1: node has value , expected a name"
)]
#[case::missing("datagram_port = 7340\n", "", "missing field `datagram_port`")]
#[case::unknown("metrics_port", "metric_port", "line 7: unknown field `metric_port`")]
#[case::not_an_address(":8227", ":none", "line 3: invalid socket address syntax")]
#[case::grace(
    "stop_grace_s = 8",
    "stop_grace_s = 0.5",
    "line 9: stop_grace_s has value 0.5"
)]
#[case::negative_grace("stop_grace_s = 8", "stop_grace_s = -8", "line 9: ")]
#[case::no_number(
    "stop_grace_s = 8",
    "stop_grace_s = \"8\"",
    "in `stop_grace_s = \"8\"`"
)]
#[case::leaving(
    "leaving_known_ms = 2000",
    "leaving_known_ms = 5.25",
    "line 10: leaving_known_ms has value 5.25, expected at least 100"
)]
#[case::config(
    "config_known_ms = 2000.5",
    "config_known_ms = 0",
    "line 11: config_known_ms has value 0, expected at least 100"
)]
#[case::ratio(
    "repeat_ratio = 0.2",
    "repeat_ratio = 1.5",
    "line 12: repeat_ratio has value 1.5, expected 0 to 1"
)]
#[case::extra(
    "= 50",
    "= -1",
    "line 13: extra_repeats has value -1, expected 0 to 1000000"
)]
#[case::no_memory(
    "extra_repeats = 50",
    "extra_repeats = 50\nmemory_mb = 0",
    "line 14: memory_mb has value 0, expected 1 to 1000000"
)]
#[case::endless_extra("= 50", "= inf", "line 13: extra_repeats has value inf")]
#[case::window(
    "repeat_window_s = 10",
    "repeat_window_s = 0.5",
    "line 14: repeat_window_s has value 0.5, expected at least 1"
)]
#[case::ports("7341", "7340", "line 7: metrics_port has value 7340")]
#[case::log("node =", "log = \"info=loud\"\nnode =", "log")]
fn an_invalid_setting_is_named_with_its_file_and_line(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] expected: &str,
) {
    let text = settings();
    assert!(text.contains(valid), "the case changes something");
    let path = write_file("invalid", &text.replace(valid, invalid));
    let output = daemon().arg("--settings").arg(&path).output();
    let error = error_line(&output.expect("the daemon starts"));
    assert!(error.contains(expected), "{error}");
    if expected != "log" {
        assert!(error.contains(&path.display().to_string()), "{error}");
    }
}

#[rstest]
#[case::by_flag(true)]
#[case::by_variable(false)]
fn the_daemon_logs_its_start_and_stops_on_sigterm(#[case] by_flag: bool) {
    let path = write_file("good", &settings());
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
    let log = BufReader::new(child.stdout.take().expect("standard output is piped"));
    let mut lines = log.lines().map(|line| line.expect("the log is text"));
    let mut next_line_of = |event: &str| {
        lines
            .find(|line| line.contains(&format!("event={event} ")))
            .unwrap_or_else(|| panic!("no log line of event {event}"))
    };
    assert!(next_line_of("started").contains("node=n failure_domain=a"));
    let pid = Pid::from_raw(child.id().cast_signed());
    kill(pid, Signal::SIGTERM).expect("the daemon is running");
    next_line_of("stopping");
    assert!(next_line_of("stopped").contains("complete=true"));
    assert!(child.wait().expect("the daemon exits").success());
}
