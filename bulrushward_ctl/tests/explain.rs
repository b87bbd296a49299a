//! Tests of `bulrushctl explain` with log files of routers.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

const FIRST: &str = "\
ts=2026-01-03T10:00:00.000000Z level=info target=x event=config-in-force version=2 routes=4
ts=2026-01-03T10:00:07.000000Z level=warn target=x event=store-lost error=\"no answer\"
not a line of a log
ts=never level=info event=answered request=abc
ts=2026-01-03T10:00:09.000000Z level=info target=x event=answered request=other server=s-9
prefix ts=2026-01-03T10:00:10.500000Z level=info target=x event=hop-failed request=abc server=s-1
ts=2026-01-03T10:00:11.000000Z level=info target=x event=answered request=abc server=s-2 status=200
ts=2026-01-03T10:00:12.000000Z level=info target=x event=store-regained
";
const SECOND: &str = "\
ts=2026-01-03T10:00:10.000000Z level=warn target=x event=refused request=abc reason=no-server
";

fn log(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("explain-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("the log file is writable");
    path
}

fn explain(request: &str, logs: &[&PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bulrushctl"))
        .arg("explain")
        .arg(request)
        .args(logs)
        .output()
        .expect("the tool starts")
}

#[test]
fn lines_are_ordered_by_time_and_followed_by_state_changes() {
    let (first, second) = (log("first", FIRST), log("second", SECOND));
    let output = explain("abc", &[&first, &second]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    let position = |part: &str| {
        text.find(part)
            .unwrap_or_else(|| panic!("{part} in {text}"))
    };
    assert!(position("reason=no-server") < position("event=hop-failed"));
    assert!(position("event=hop-failed") < position("server=s-2"));
    assert!(position("server=s-2") < position("event=store-lost"));
    for other in ["server=s-9", "config-in-force", "store-regained"] {
        assert!(!text.contains(other), "{other} in {text}");
    }
    assert!(text.contains("2 unreadable lines skipped"), "{text}");
}

#[test]
fn a_restart_after_the_last_line_is_reported() {
    let restarted = "\
ts=2026-01-03T10:00:00.000000Z level=info event=started node=r-1
ts=2026-01-03T10:00:09.000000Z level=info event=answered request=abc server=s-1 status=200
ts=2026-01-03T10:00:09.500000Z level=info event=answered request=def server=s-1 status=200
ts=2026-01-03T10:00:12.000000Z level=info event=started node=r-1
ts=2026-01-03T10:01:09.000000Z level=info event=answered request=ghi server=s-1 status=200
";
    let path = log("restarted", restarted);
    let report = |request: &str| {
        let output = explain(request, &[&path]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let text = report("abc");
    assert!(
        text.contains("started again at 2026-01-03T10:00:12Z"),
        "{text}"
    );
    assert!(!report("ghi").contains("started again"));
}

#[test]
fn an_unknown_request_or_file_is_an_error() {
    let first = log("third", FIRST);
    let output = explain("ab", &[&first]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("no log line for request \"ab\""), "{error}");
    let missing = PathBuf::from("/nonexistent/log");
    let output = explain("abc", &[&missing]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("/nonexistent/log"), "{error}");
}

#[test]
fn lines_that_are_not_text_are_skipped() {
    let path = log("bytes", "");
    let mut bytes = vec![0xff; 200_000];
    bytes.push(b'\n');
    bytes.extend_from_slice(SECOND.as_bytes());
    fs::write(&path, bytes).expect("the log file is writable");
    let output = explain("abc", &[&path]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("reason=no-server"));
}
