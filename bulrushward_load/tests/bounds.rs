//! Tests the allowed targets, the limits of a load and the messages for invalid arguments.

use std::{process::Command, time::Duration};

use bulrushward_load::{BoundError, Bounds, Target, TargetError, check_rate};

#[test]
fn only_loopback_ip_addresses_are_accepted_as_targets() {
    for text in [
        "http://127.0.0.1:80",
        "http://127.9.9.9:8080/svc/a",
        "http://[::1]:8080",
    ] {
        assert!(text.parse::<Target>().is_ok(), "{text} is accepted");
    }
    for (text, host) in [
        ("http://10.0.0.1:80", "10.0.0.1"),
        ("http://localhost:80", "localhost"),
        ("http://0.0.0.0:80", "0.0.0.0"),
        ("http://[::2]:80", "[::2]"),
        ("http://127.0.0.1@example.com/", "example.com"),
    ] {
        let expected = TargetError::NotLoopback {
            text: text.to_owned(),
            host: host.to_owned(),
        };
        assert_eq!(text.parse::<Target>(), Err(expected));
    }
    for text in [
        "",
        "127.0.0.1:80",
        "https://127.0.0.1",
        "http://127.0.0.1/?a=b",
    ] {
        assert!(
            matches!(text.parse::<Target>(), Err(TargetError::NotUrl { .. })),
            "{text}"
        );
    }
}

#[test]
fn target_path_precedes_request_paths() {
    let target: Target = "http://127.0.0.1:8080/svc/registry/"
        .parse()
        .expect("the URL is a valid target");
    assert_eq!(
        target.url("/records/7"),
        "http://127.0.0.1:8080/svc/registry/records/7"
    );
}

#[test]
fn count_time_and_rate_are_limited() {
    let second = Duration::from_secs(1);
    assert!(Bounds::new(200_000, Duration::from_mins(2)).is_ok());
    for count in [0, 200_001] {
        assert_eq!(Bounds::new(count, second), Err(BoundError::Count { count }));
    }
    for time in [Duration::ZERO, Duration::from_millis(120_001)] {
        assert_eq!(Bounds::new(1, time), Err(BoundError::Time { time }));
    }
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 50_001.0] {
        assert!(check_rate(rate).is_err(), "{rate}");
    }
}

#[test]
fn invalid_arguments_print_one_line_and_exit_with_code_2() {
    let cases: [(&[&str], &str); 6] = [
        (
            &["run", "--target", "http://10.0.0.1:80"],
            "load is sent only to loopback IP addresses",
        ),
        (
            &["run", "--target", "http://127.0.0.1:1", "--count", "many"],
            "--count (or BULRUSHWARD_LOAD_COUNT)",
        ),
        (
            &["run", "--target", "http://127.0.0.1:1", "--seconds", "500"],
            "time is 500 s",
        ),
        (
            &[
                "run",
                "--target",
                "http://127.0.0.1:1",
                "--concurrency",
                "2001",
            ],
            "concurrency is 2001",
        ),
        (
            &["run", "--target", "http://127.0.0.1:1", "--work", "all"],
            "--work (or BULRUSHWARD_LOAD_WORK)",
        ),
        (&["compare", "--direct", "http://127.0.0.1:1"], "--routed"),
    ];
    for (arguments, expected) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_bulrushward-load"))
            .args(arguments)
            .output()
            .expect("the program can be started");
        let message = String::from_utf8(output.stderr).expect("the message is valid UTF-8");
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.contains(expected), "{message}");
        assert!(output.stdout.is_empty());
    }
}
