//! Chats under a kill, a freeze, a silent connection and a crash.

mod support;

use std::time::Duration;

use bulrushward_fakes::{Direction, EngineSettings, FakeEngine, FaultyProxy, completion_tokens};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use support::{
    Fleet, Plan, backend, chat_request, eventually, header, name_placed_on, opening_chat,
    raw::{RawAnswer, RawBackend},
    text,
};

/// Tokens of a test answer.
const TOKENS: usize = 12;
/// The engines of a test fleet.
const ENGINES: [&str; 2] = ["engine-0", "engine-1"];

/// Returns the answer that an engine gives to an opening and to no other.
fn own_answer(opening: &str, tokens: usize) -> String {
    completion_tokens(&format!("user: {opening}\n"), tokens).collect()
}

/// Returns the text of a streamed answer, or `None` if it does not end as a whole one does.
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

async fn whole_text(answer: reqwest::Response) -> String {
    let answer: Value = answer.json().await.expect("the answer is JSON");
    answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_survives_a_fault_of_its_agent(
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
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
    let answer = fleet
        .chat(0, &chat_request(&opening, false, TOKENS as u64))
        .await;
    assert_eq!(answer.status(), 200);
    assert_eq!(backend(&answer), "engine-1");
    assert_eq!(whole_text(answer).await, own_answer(&opening, TOKENS));
    if fault == "freeze" {
        fleet.agent("engine-0").signal(Signal::SIGCONT);
        fleet.wait_idle(fleet.agent("engine-0")).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_whole_or_visibly_cut_after_a_fault_of_its_agent(
    #[values(
        "agent-first-byte",
        "agent-streaming",
        "agent-finished",
        "agent-recorded"
    )]
    step: &'static str,
    #[values("kill", "freeze")] fault: &'static str,
) {
    let fail_points: &'static str = format!("{step}=2*off->1*return({fault})->off").leak();
    let once: &'static str = format!("{step}=1*return({fault})").leak();
    let points = if step == "agent-streaming" {
        fail_points
    } else {
        once
    };
    let plan = Plan {
        engines: vec![points, ""],
        ..Plan::new(1, 2, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
    let request = chat_request(&opening, true, TOKENS as u64);
    let answer = fleet.chat(0, &request).await;
    assert_eq!(answer.status(), 200);
    let mut body = String::new();
    let mut answer = answer;
    let cut = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body += &String::from_utf8_lossy(&chunk),
            Ok(None) => break false,
            Err(_broken) => break true,
        }
    };
    if cut {
        assert_eq!(
            streamed_text(&body),
            None,
            "a cut answer does not look whole"
        );
        assert!(body.contains("answer-cut"), "the caller is told: {body}");
    } else {
        assert_eq!(
            streamed_text(&body).as_deref(),
            Some(&*own_answer(&opening, TOKENS))
        );
    }
    let again = fleet.chat(0, &request).await;
    let again = again.text().await.expect("the repeat is whole");
    assert_eq!(
        streamed_text(&again).as_deref(),
        Some(&*own_answer(&opening, TOKENS))
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_chat_survives_a_fault_of_its_router(
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
        let answer = fleet.try_chat(0, &request).await.ok()?;
        answer.text().await.ok()
    };
    let first = tokio::time::timeout(Duration::from_secs(2), first)
        .await
        .ok()
        .flatten();
    assert_eq!(first, None, "the caller sees that its router failed");
    let second = fleet.chat(1, &request).await;
    let second = second
        .text()
        .await
        .expect("the other router answers in whole");
    assert_eq!(
        streamed_text(&second).as_deref(),
        Some(&*own_answer("portfolio", TOKENS))
    );
    if fault == "freeze" {
        fleet.routers[0].signal(Signal::SIGCONT);
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_resumed_when_the_connection_to_its_agent_goes_silent(
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
    let relay = fleet.add_relayed_agent("engine-0", &engine.url()).await;
    fleet.wait_in_force(1).await;
    let request = chat_request("portfolio", true, 100);
    let mut answer = fleet.chat(0, &request).await;
    let mut body =
        String::from_utf8_lossy(&answer.chunk().await.expect("a piece").expect("one")).into_owned();
    silence(&relay, direction);
    while let Some(chunk) = answer.chunk().await.expect("the answer goes on") {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert_eq!(
        streamed_text(&body).as_deref(),
        Some(&*own_answer("portfolio", 100))
    );
    let next = fleet.chat(0, &chat_request("portfolio", false, 4)).await;
    assert_eq!(whole_text(next).await, own_answer("portfolio", 4));
}

fn silence(relay: &FaultyProxy, direction: Direction) {
    relay.stall(direction);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_that_went_silent_delays_but_loses_nothing() {
    let mut fleet = Fleet::start(1, 0, 1).await;
    let plain = bulrushward_fakes::FakePlain::start(bulrushward_fakes::PlainSettings::default())
        .await
        .expect("the plain service starts");
    let relay = fleet
        .add_relayed_agent_for("registry", "plain-9", &plain.url())
        .await;
    fleet.wait_in_force(1).await;
    let key = name_placed_on("plain-9", &["plain-0", "plain-9"], support::action_chat);
    let first = fleet
        .call(0, "POST", "/certificates", Some(&key), "one")
        .await;
    assert_eq!(first.status(), 200);
    relay.stall(Direction::ToTarget);
    relay.stall(Direction::FromTarget);
    let skip = |name: &str| support::action_chat(&format!("{name}-second"));
    let second = name_placed_on("plain-9", &["plain-0", "plain-9"], skip) + "-second";
    let answer = fleet.call(0, "POST", "/wipes", Some(&second), "two").await;
    assert_eq!(answer.status(), 200);
    let count: u64 = plain
        .executions()
        .iter()
        .filter(|execution| execution.action.path == "/wipes")
        .map(|execution| execution.count)
        .sum();
    assert_eq!(count, 1, "it ran once, behind the relay");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_takes_down_two_and_the_innocent_survive() {
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
    let innocents = requests.iter().map(|request| fleet.chat(0, request));
    let poison = chat_request("poison", false, 60);
    let (answers, poisoned) = tokio::join!(
        futures_util::future::join_all(innocents),
        fleet.chat(0, &poison)
    );
    assert_ne!(poisoned.status(), 200);
    for repeat in 0..4 {
        let again = fleet.chat(repeat % 2, &poison).await;
        assert_ne!(again.status(), 200);
        assert!(!header(&again, "retry-after").is_empty());
    }
    let crashes: u64 = fleet.engines.iter().map(FakeEngine::crashes).sum();
    assert!(crashes <= 2, "the request took down {crashes} engines");
    for (opening, answer) in openings.iter().zip(answers) {
        assert_eq!(answer.status(), 200, "{opening} survives");
        assert_eq!(whole_text(answer).await, own_answer(opening, 60));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_cuts_a_stream_never_makes_it_look_whole() {
    let fleet = Fleet::start(1, 1, 0).await;
    fleet.engines[0]
        .faults()
        .update(|faults| faults.cut_after_tokens = Some(3));
    let mut answer = fleet.chat(0, &chat_request("portfolio", true, 50)).await;
    let mut body = String::new();
    while let Ok(Some(chunk)) = answer.chunk().await {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert_eq!(streamed_text(&body), None);
    assert!(body.contains("answer-cut"), "the caller is told: {body}");
    let whole = fleet.chat(0, &chat_request("portfolio", false, 50)).await;
    assert_eq!(whole.status(), 502);
    assert_eq!(header(&whole, "x-bulrushward-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_flaps_gets_its_chats_back() {
    let fleet = Fleet::start(1, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
    let request = chat_request(&opening, false, 4);
    for _ in 0..2 {
        fleet.engines[0].network().take_down().await;
        let away = fleet.chat(0, &request).await;
        assert_eq!(backend(&away), "engine-1");
        fleet.engines[0].restart().await;
        eventually("the chat returns", async || {
            backend(&fleet.chat(0, &request).await) == "engine-0"
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_nothing_new_and_finishes_what_it_has() {
    let fleet = Fleet::start(2, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
    let running = fleet.chat(0, &chat_request(&opening, true, 300)).await;
    assert_eq!(backend(&running), "engine-0");
    let drained = text("").replace(
        "protocol = \"chat\"",
        "protocol = \"chat\"\ndraining = [\"engine-0\"]",
    );
    let (status, answer) = fleet.submit(0, 1, &drained).await;
    assert_eq!(status, 200, "{answer}");
    fleet.wait_in_force(2).await;
    for router in [0, 1] {
        let other = fleet.chat(router, &chat_request(&opening, false, 1)).await;
        assert_eq!(backend(&other), "engine-1");
    }
    let body = running.text().await.expect("the stream is not cut");
    assert_eq!(
        streamed_text(&body).as_deref(),
        Some(&*own_answer(&opening, 300))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_without_its_last_event_is_not_whole() {
    let event = "data: {\"choices\":[{\"delta\":{\"content\":\"half\"}}]}\n\n";
    let length = event.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n\r\n{event}"
    );
    let mut fleet = Fleet::start(1, 0, 0).await;
    let engine = RawBackend::start(RawAnswer::Bytes(answer)).await;
    fleet.add_raw_agent("assess", &engine).await;
    let mut answer = fleet.chat(0, &chat_request("portfolio", true, 4)).await;
    let mut body = String::new();
    while let Ok(Some(chunk)) = answer.chunk().await {
        body += &String::from_utf8_lossy(&chunk);
    }
    assert!(body.contains("half"), "what came is passed on: {body}");
    assert!(body.contains("answer-cut"), "the caller is told: {body}");
}
