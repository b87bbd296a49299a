//! Tests of the program: arguments, ready line and shutdown.

use std::process::Stdio;

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use reqwest::Client;
use serde_json::json;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushward-fakes"));
    command
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// Starts the program and returns it with its public and admin URL.
async fn start(arguments: &[&str]) -> (Child, String, String) {
    let mut child = command(arguments).spawn().unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let addresses = line.strip_prefix("listening address=").unwrap();
    let (public, admin) = addresses.split_once(" admin=").unwrap();
    (child, format!("http://{public}"), format!("http://{admin}"))
}

fn terminate(child: &Child) {
    let pid = Pid::from_raw(child.id().unwrap().try_into().unwrap());
    kill(pid, Signal::SIGTERM).unwrap();
}

#[tokio::test]
async fn invalid_argument_is_reported_with_exit_code_2() {
    for (arguments, expected) in [
        (
            &["engine", "--token-ms", "x"][..],
            "--token-ms (or BULRUSHWARD_FAKES_TOKEN_MS) is \"x\"",
        ),
        (
            &["plain", "--address", "nowhere"],
            "\"nowhere\" and should be IP:PORT",
        ),
        (&["queue"], "queue"),
    ] {
        let output = command(arguments).output().await.unwrap();
        assert_eq!(output.status.code(), Some(2));
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            stderr.contains(expected) && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}

#[tokio::test]
async fn invalid_environment_variable_is_reported() {
    let mut command = command(&["engine"]);
    let output = command
        .env("BULRUSHWARD_FAKES_BATCH_SIZE", "-1")
        .output()
        .await
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("BULRUSHWARD_FAKES_BATCH_SIZE) is \"-1\""),
        "{stderr}"
    );
}

#[tokio::test]
async fn every_fake_starts_and_stops() {
    for name in ["key-value", "vm-list", "engine", "plain"] {
        let (mut child, public, _admin) = start(&[name]).await;
        Client::new()
            .get(format!("{public}/health"))
            .send()
            .await
            .unwrap();
        terminate(&child);
        assert!(child.wait().await.unwrap().success(), "{name}");
    }
}

#[tokio::test]
async fn stop_waits_for_a_running_stream() {
    let (mut child, public, _admin) = start(&["engine", "--token-ms", "20"]).await;
    let messages = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": "m", "stream": true, "max_tokens": 20, "messages": messages});
    let request = Client::new()
        .post(format!("{public}/v1/chat/completions"))
        .json(&body);
    let mut response = request.send().await.unwrap();
    let mut text = response.chunk().await.unwrap().unwrap().to_vec();
    terminate(&child);
    while let Some(chunk) = response.chunk().await.unwrap() {
        text.extend_from_slice(&chunk);
    }
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    assert!(child.wait().await.unwrap().success());
}

#[tokio::test]
async fn stop_ends_endless_streams() {
    let watch = json!({"create_request": {"key": "YQ==", "startRevision": "1"}});
    let client = Client::new();
    for (name, path) in [("key-value", "/v3/watch"), ("engine", "/cache-events")] {
        let (mut child, public, _admin) = start(&[name]).await;
        let url = format!("{public}{path}");
        let request = if name == "engine" {
            client.get(url)
        } else {
            client.post(url)
        };
        let mut response = request.json(&watch).send().await.unwrap();
        terminate(&child);
        while response.chunk().await.unwrap().is_some() {}
        assert!(child.wait().await.unwrap().success(), "{name}");
    }
}

#[tokio::test]
async fn stop_clears_faults() {
    let (mut child, public, admin) = start(&["plain"]).await;
    let client = Client::new();
    let fault_request = json!({"faults": {"delay_answer_ms": 3_600_000}});
    client
        .put(format!("{admin}/fault"))
        .json(&fault_request)
        .send()
        .await
        .unwrap();
    let response = tokio::spawn(client.post(format!("{public}/x")).send());
    let executions = client.get(format!("{admin}/executions"));
    while executions
        .try_clone()
        .unwrap()
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap()
        == "[]"
    {
        tokio::task::yield_now().await;
    }
    terminate(&child);
    assert!(response.await.unwrap().unwrap().status().is_success());
    assert!(child.wait().await.unwrap().success());
}

#[tokio::test]
async fn crash_aborts_the_process() {
    let (mut child, public, admin) = start(&["plain"]).await;
    let fault_request = json!({"faults": {"crash": "after_execution"}});
    let set = Client::new()
        .put(format!("{admin}/fault"))
        .json(&fault_request)
        .send()
        .await
        .unwrap();
    assert!(set.status().is_success());
    Client::new()
        .post(format!("{public}/x"))
        .send()
        .await
        .unwrap_err();
    assert!(!child.wait().await.unwrap().success());
}
