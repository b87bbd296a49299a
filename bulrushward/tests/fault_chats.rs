//! Chats while processes are killed or frozen, connections become unresponsive and engines crash.

mod support;

use std::time::Duration;

use bulrushward_fakes::{Direction, EngineSettings, FakeEngine, FaultyProxy, completion_tokens};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use support::{
    Fleet, Plan, backend, chat_placement_key, chat_request, config_text, eventually, header,
    name_placed_on,
    raw::{RawBackend, RawResponse},
};

/// Number of tokens of a response.
const TOKENS: usize = 12;
/// Names of the engines of a fleet with two of them.
const ENGINES: [&str; 2] = ["engine-0", "engine-1"];

/// Returns the text that an engine generates for a first message; it differs for every message.
fn expected_text(opening: &str, tokens: usize) -> String {
    completion_tokens(&format!("user: {opening}\n"), tokens).collect()
}

/// Returns the text of a streamed response, or `None` if it is not complete.
fn streamed_text(body: &str) -> Option<String> {
    let events = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let mut text = String::new();
    for event in events {
        if event == "[DONE]" {
            return Some(text);
        }
        let event: Value = serde_json::from_str(event).expect("an event is JSON");
        text += event["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
    }
    None
}

async fn response_text(response: reqwest::Response) -> String {
    let response: Value = response.json().await.expect("the response is JSON");
    response["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_is_retried_when_its_agent_fails(
    #[values(
        "agent-received",
        "agent-admitted",
        "agent-dequeued",
        "agent-claimed",
        "agent-started",
        "agent-first-byte",
        "agent-streaming",
        "agent-finished",
        "agent-recorded"
    )]
    step: &'static str,
    #[values("kill", "freeze")] fault: &'static str,
) {
    let fail_points: &'static str = format!("{step}=1*return({fault})").leak();
    let plan = Plan {
        engines: vec![fail_points, ""],
        ..Plan::new(1, 2, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    let response = fleet
        .chat(0, &chat_request(&opening, false, TOKENS as u64))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(backend(&response), "engine-1");
    assert_eq!(
        response_text(response).await,
        expected_text(&opening, TOKENS)
    );
    if fault == "freeze" {
        fleet.agent("engine-0").signal(Signal::SIGCONT);
        fleet.wait_idle(fleet.agent("engine-0")).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_response_is_complete_or_visibly_truncated_when_its_agent_fails(
    #[values(
        "agent-first-byte",
        "agent-streaming",
        "agent-finished",
        "agent-recorded"
    )]
    step: &'static str,
    #[values("kill", "freeze")] fault: &'static str,
) {
    let third_hit: &'static str = format!("{step}=2*off->1*return({fault})->off").leak();
    let first_hit: &'static str = format!("{step}=1*return({fault})").leak();
    let fail_points = if step == "agent-streaming" {
        third_hit
    } else {
        first_hit
    };
    let plan = Plan {
        engines: vec![fail_points, ""],
        ..Plan::new(1, 2, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    let request = chat_request(&opening, true, TOKENS as u64);
    let response = fleet.chat(0, &request).await;
    assert_eq!(response.status(), 200);
    let mut body = String::new();
    let mut response = response;
    let truncated = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body += &String::from_utf8_lossy(&chunk),
            Ok(None) => break false,
            Err(_broken) => break true,
        }
    };
    if truncated {
        assert_eq!(
            streamed_text(&body),
            None,
            "a truncated response does not look complete"
        );
        assert!(
            body.contains("answer-cut"),
            "the response reports the truncation: {body}"
        );
    } else {
        assert_eq!(
            streamed_text(&body).as_deref(),
            Some(&*expected_text(&opening, TOKENS))
        );
    }
    let again = fleet.chat(0, &request).await;
    let again = again.text().await.expect("the response is complete");
    assert_eq!(
        streamed_text(&again).as_deref(),
        Some(&*expected_text(&opening, TOKENS))
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_succeeds_through_another_router_when_its_router_fails(
    #[values(
        "router-received",
        "router-placed",
        "router-sent",
        "router-head",
        "router-streaming"
    )]
    step: &'static str,
    #[values("kill", "freeze")] fault: &'static str,
) {
    let fail_points: &'static str = format!("{step}=1*return({fault})").leak();
    let plan = Plan {
        routers: vec![fail_points, ""],
        ..Plan::new(2, 2, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let request = chat_request("portfolio", true, TOKENS as u64);
    let first = async {
        let response = fleet.try_chat(0, &request).await.ok()?;
        response.text().await.ok()
    };
    let first = tokio::time::timeout(Duration::from_secs(2), first)
        .await
        .ok()
        .flatten();
    assert_eq!(first, None, "the caller notices that its router failed");
    let second = fleet.chat(1, &request).await;
    let second = second
        .text()
        .await
        .expect("the other router sends a complete response");
    assert_eq!(
        streamed_text(&second).as_deref(),
        Some(&*expected_text("portfolio", TOKENS))
    );
    if fault == "freeze" {
        fleet.routers[0].signal(Signal::SIGCONT);
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_resumed_when_the_connection_to_its_agent_becomes_unresponsive(
    #[values(Direction::FromTarget, Direction::ToTarget)] direction: Direction,
) {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let settings = EngineSettings {
        token_time: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let engine = bulrushward_fakes::FakeEngine::start(settings)
        .await
        .expect("the engine starts");
    let proxy = fleet.add_proxied_agent("engine-0", &engine.url()).await;
    fleet.wait_until_active(1).await;
    let request = chat_request("portfolio", true, 100);
    let mut response = fleet.chat(0, &request).await;
    let mut body = String::from_utf8_lossy(
        &response
            .chunk()
            .await
            .expect("the stream is readable")
            .expect("a chunk"),
    )
    .into_owned();
    stall_direction(&proxy, direction);
    while let Some(chunk) = response.chunk().await.expect("the response continues") {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert_eq!(
        streamed_text(&body).as_deref(),
        Some(&*expected_text("portfolio", 100))
    );
    let next = fleet.chat(0, &chat_request("portfolio", false, 4)).await;
    assert_eq!(response_text(next).await, expected_text("portfolio", 4));
}

fn stall_direction(proxy: &FaultyProxy, direction: Direction) {
    proxy.stall(direction);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_on_an_unresponsive_idle_connection_runs_once() {
    let mut fleet = Fleet::start(1, 0, 1).await;
    let plain = bulrushward_fakes::FakePlain::start(bulrushward_fakes::PlainSettings::default())
        .await
        .expect("the plain service starts");
    let proxy = fleet
        .add_proxied_agent_for("registry", "plain-9", &plain.url())
        .await;
    fleet.wait_until_active(1).await;
    let key = name_placed_on(
        "plain-9",
        &["plain-0", "plain-9"],
        support::action_placement_key,
    );
    let first = fleet
        .call(0, "POST", "/certificates", Some(&key), "one")
        .await;
    assert_eq!(first.status(), 200);
    proxy.stall(Direction::ToTarget);
    proxy.stall(Direction::FromTarget);
    let placement_key = |name: &str| support::action_placement_key(&format!("{name}-second"));
    let second = name_placed_on("plain-9", &["plain-0", "plain-9"], placement_key) + "-second";
    let response = fleet.call(0, "POST", "/wipes", Some(&second), "two").await;
    assert_eq!(response.status(), 200);
    let count: u64 = plain
        .executions()
        .iter()
        .filter(|execution| execution.action.path == "/wipes")
        .map(|execution| execution.count)
        .sum();
    assert_eq!(
        count, 1,
        "it ran once, on the backend server behind the proxy"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_crashes_at_most_two_engines_and_others_complete() {
    let mut plan = Plan::new(2, 4, 0);
    plan.engine_settings.token_time = Duration::from_millis(20);
    let fleet = Fleet::start_plan(plan).await;
    for engine in &fleet.engines {
        engine.faults().update(|faults| {
            faults.crash_on = "poison".to_owned();
            faults.crash_after_tokens = 3;
        });
    }
    let openings: Vec<String> = (0..8).map(|n| format!("innocent {n}")).collect();
    let requests: Vec<Value> = openings
        .iter()
        .map(|opening| chat_request(opening, false, 60))
        .collect();
    let other_chats = requests.iter().map(|request| fleet.chat(0, request));
    let poison = chat_request("poison", false, 60);
    let (responses, poisoned) = tokio::join!(
        futures_util::future::join_all(other_chats),
        fleet.chat(0, &poison)
    );
    assert_ne!(poisoned.status(), 200);
    for retry in 0..4 {
        let again = fleet.chat(retry % 2, &poison).await;
        assert_ne!(again.status(), 200);
        assert!(!header(&again, "retry-after").is_empty());
    }
    let crashes: u64 = fleet.engines.iter().map(FakeEngine::crashes).sum();
    assert!(crashes <= 2, "the request crashed {crashes} engines");
    for (opening, response) in openings.iter().zip(responses) {
        assert_eq!(response.status(), 200, "{opening} succeeds");
        assert_eq!(response_text(response).await, expected_text(opening, 60));
    }
}

/// Guards against a stream that crashes an engine after its first events and is sent on, as its response has begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_request_crashes_at_most_two_engines() {
    let fleet = Fleet::start(2, 4, 0).await;
    for engine in &fleet.engines {
        engine.faults().update(|faults| {
            faults.crash_on = "poison".to_owned();
            faults.crash_after_tokens = 3;
        });
    }
    let poison = chat_request("poison", true, 60);
    for retry in 0..5 {
        let mut response = fleet.chat(retry % 2, &poison).await;
        let mut body = String::new();
        while let Ok(Some(chunk)) = response.chunk().await {
            body += &String::from_utf8_lossy(&chunk);
        }
        assert_eq!(streamed_text(&body), None, "it never looks complete");
    }
    let crashes: u64 = fleet.engines.iter().map(FakeEngine::crashes).sum();
    assert!(
        (1..=2).contains(&crashes),
        "the request crashed {crashes} engines"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_truncated_by_its_engine_never_looks_complete() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.engines[0]
        .faults()
        .update(|faults| faults.cut_after_tokens = Some(3));
    let mut response = fleet.chat(0, &chat_request("portfolio", true, 50)).await;
    let mut body = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert_eq!(streamed_text(&body), None);
    assert!(
        body.contains("answer-cut"),
        "the response reports the truncation: {body}"
    );
    let unstreamed = fleet.chat(0, &chat_request("portfolio", false, 50)).await;
    assert_eq!(unstreamed.status(), 502);
    assert_eq!(header(&unstreamed, "x-bulrushward-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_return_to_an_engine_that_recovers() {
    let fleet = Fleet::start(1, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    let request = chat_request(&opening, false, 4);
    for _ in 0..2 {
        fleet.engines[0].network().take_down().await;
        let response = fleet.chat(0, &request).await;
        assert_eq!(backend(&response), "engine-1");
        fleet.engines[0].restart().await;
        eventually("the chat returns", async || {
            backend(&fleet.chat(0, &request).await) == "engine-0"
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_no_new_requests_and_finishes_running_ones() {
    let fleet = Fleet::start(2, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    let running = fleet.chat(0, &chat_request(&opening, true, 300)).await;
    assert_eq!(backend(&running), "engine-0");
    let drained = config_text("").replace(
        "protocol = \"chat\"",
        "protocol = \"chat\"\ndraining = [\"engine-0\"]",
    );
    let (status, response) = fleet.submit(0, 1, &drained).await;
    assert_eq!(status, 200, "{response}");
    fleet.wait_until_active(2).await;
    for router in [0, 1] {
        let other = fleet.chat(router, &chat_request(&opening, false, 1)).await;
        assert_eq!(backend(&other), "engine-1");
    }
    let body = running.text().await.expect("the stream is complete");
    assert_eq!(
        streamed_text(&body).as_deref(),
        Some(&*expected_text(&opening, 300))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_its_last_event_is_truncated_visibly() {
    let event = "data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n";
    let length = event.len();
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{event}"
    );
    let mut fleet = Fleet::start(1, 0, 0).await;
    let engine = RawBackend::start(RawResponse::Bytes(response)).await;
    fleet.add_raw_agent("assess", &engine).await;
    let mut response = fleet.chat(0, &chat_request("portfolio", true, 4)).await;
    let mut body = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert!(
        body.contains("half"),
        "the received part is forwarded: {body}"
    );
    assert!(
        body.contains("answer-cut"),
        "the response reports the truncation: {body}"
    );
}
