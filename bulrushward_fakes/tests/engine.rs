//! Tests of the fake engine and its faults.

use std::time::Duration;

use bulrushward_fakes::{
    CacheEvent, ChatMessage, EngineFaults, EngineLoad, EngineOrder, EngineRole, EngineSettings,
    FakeEngine, OrderRequest, completion_tokens, render_prompt,
};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

fn settings() -> EngineSettings {
    EngineSettings {
        token_time: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        cache_event_delay: Duration::ZERO,
        ..EngineSettings::default()
    }
}

async fn start() -> FakeEngine {
    FakeEngine::start(settings()).await.unwrap()
}

fn messages(content: &str) -> Vec<ChatMessage> {
    vec![ChatMessage {
        role: "user".to_owned(),
        content: content.to_owned(),
    }]
}

async fn send(
    engine: &FakeEngine,
    messages: &[ChatMessage],
    more: Value,
) -> reqwest::Result<Response> {
    let mut body = json!({"model": "m", "messages": messages, "max_tokens": 4});
    body.as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
    let url = format!("{}/v1/chat/completions", engine.url());
    Client::new().post(url).json(&body).send().await
}

async fn complete(engine: &FakeEngine, messages: &[ChatMessage]) -> reqwest::Result<Value> {
    send(engine, messages, json!({})).await?.json().await
}

/// Returns the events of a stream and whether it ended without an error.
async fn read_events(mut response: Response) -> (Vec<String>, bool) {
    let mut text = String::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    (events.map(str::to_owned).collect(), is_complete)
}

fn token(event: &str) -> String {
    let event: Value = serde_json::from_str(event).unwrap();
    event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap()
        .to_owned()
}

async fn wait_for_load(engine: &FakeEngine, running: usize, waiting: usize) {
    while engine.load() != (EngineLoad { running, waiting }) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn complete_and_streamed_responses_have_the_same_tokens() {
    let engine = start().await;
    let messages = messages("hello");
    let expected: Vec<String> = completion_tokens(&render_prompt(&messages), 4).collect();
    let response = complete(&engine, &messages).await.unwrap();
    assert_eq!(
        response["choices"][0]["message"]["content"],
        expected.concat()
    );

    let response = send(&engine, &messages, json!({"stream": true}))
        .await
        .unwrap();
    let (events, is_complete) = read_events(response).await;
    assert!(is_complete);
    assert_eq!(events.len(), 6);
    assert_eq!(
        events[..4]
            .iter()
            .map(|event| token(event))
            .collect::<Vec<_>>(),
        expected
    );
    assert!(events[4].contains(r#""finish_reason":"stop""#));
    assert_eq!(events[5], "[DONE]");
}

#[tokio::test]
async fn next_turn_of_a_chat_finds_its_prompt_and_response_cached() {
    let engine = start().await;
    let mut messages = messages(&"long prompt ".repeat(100));
    let first = complete(&engine, &messages).await.unwrap();
    assert_eq!(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0);

    let response = first["choices"][0]["message"]["content"].as_str().unwrap();
    let response = ChatMessage {
        role: "assistant".to_owned(),
        content: response.to_owned(),
    };
    messages.push(response);
    // All complete blocks, of 16 tokens with 4 bytes each, are cached.
    let cached_tokens = render_prompt(&messages).len() / 64 * 16;
    messages.push(ChatMessage {
        role: "user".to_owned(),
        content: "go on".to_owned(),
    });
    let second = complete(&engine, &messages).await.unwrap();
    assert_eq!(
        second["usage"]["prompt_tokens_details"]["cached_tokens"],
        cached_tokens
    );
}

#[tokio::test]
async fn full_cache_evicts_the_least_recently_used_blocks() {
    let settings = EngineSettings {
        cache_blocks: 8,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let cached = async |content: char| {
        // The prompt and its response fill four blocks.
        let response = complete(&engine, &messages(&content.to_string().repeat(170)))
            .await
            .unwrap();
        response["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    assert_eq!((cached('a').await, cached('b').await), (0, 0));
    assert!(cached('a').await > 0);
    assert_eq!(cached('c').await, 0);
    assert!(cached('a').await > 0);
    assert_eq!(cached('b').await, 0);
}

#[tokio::test]
async fn full_cache_keeps_the_start_of_a_prompt() {
    let settings = EngineSettings {
        cache_blocks: 4,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let messages = messages(&"x".repeat(1000));
    complete(&engine, &messages).await.unwrap();
    let second = complete(&engine, &messages).await.unwrap();
    assert_eq!(
        second["usage"]["prompt_tokens_details"]["cached_tokens"],
        4 * 16
    );
}

#[tokio::test]
async fn uncached_prompt_tokens_delay_the_first_token() {
    let settings = EngineSettings {
        prefill_time: Duration::from_millis(2),
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let started = std::time::Instant::now();
    complete(&engine, &messages(&"x".repeat(400)))
        .await
        .unwrap();
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn full_batch_queues_requests_by_priority() {
    let settings = EngineSettings {
        batch_size: 1,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    engine.faults().set(EngineFaults {
        delay: Duration::from_hours(1),
        ..Default::default()
    });
    let order = std::sync::Mutex::new(Vec::new());
    let request = async |name: &'static str, priority: i64| {
        let response = send(&engine, &messages(name), json!({"priority": priority})).await;
        response.unwrap().bytes().await.unwrap();
        order.lock().unwrap().push(name);
    };
    let start = async {
        wait_for_load(&engine, 1, 3).await;
        engine.faults().set(EngineFaults::default());
    };
    let late = async {
        wait_for_load(&engine, 1, 0).await;
        tokio::join!(
            request("third", 9),
            request("first", -1),
            request("second", 0)
        );
    };
    tokio::join!(request("running", 0), late, start);
    assert_eq!(
        *order.lock().unwrap(),
        ["running", "first", "second", "third"]
    );
}

#[tokio::test]
async fn disconnected_caller_frees_its_slot() {
    let engine = start().await;
    engine
        .faults()
        .update(|faults| faults.delay = Duration::from_hours(1));
    let messages = messages("hello");
    tokio::select! {
        _ = complete(&engine, &messages) => unreachable!("the response takes an hour"),
        () = wait_for_load(&engine, 1, 0) => {}
    }
    wait_for_load(&engine, 0, 0).await;
}

#[tokio::test]
async fn reported_load_is_delayed() {
    let settings = EngineSettings {
        load_lag: Duration::from_hours(1),
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    engine
        .faults()
        .update(|faults| faults.delay = Duration::from_hours(1));
    let check = async {
        wait_for_load(&engine, 1, 0).await;
        let load = Client::new()
            .get(format!("{}/load", engine.url()))
            .send()
            .await
            .unwrap();
        assert_eq!(
            load.json::<EngineLoad>().await.unwrap(),
            EngineLoad::default()
        );
    };
    let messages = messages("hello");
    tokio::select! {
        _ = complete(&engine, &messages) => unreachable!("the response takes an hour"),
        () = check => {}
    }
}

#[tokio::test]
async fn cache_events_are_delayed_and_have_gaps() {
    let delay = Duration::from_millis(100);
    let settings = EngineSettings {
        cache_event_delay: delay,
        cache_event_gap: 2,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let mut response = Client::new()
        .get(format!("{}/cache-events", engine.url()))
        .send()
        .await
        .unwrap();
    let started = std::time::Instant::now();
    for content in ["a", "b", "c"] {
        complete(&engine, &messages(&content.repeat(200)))
            .await
            .unwrap();
    }
    let mut numbers = Vec::new();
    let mut text = String::new();
    while numbers.len() < 3 {
        let chunk = response.chunk().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
        while let Some((event, rest)) = text.split_once("\n\n") {
            let event = event.strip_prefix("data: ").unwrap();
            let event: CacheEvent = serde_json::from_str(event).unwrap();
            assert!(!event.stored.is_empty());
            numbers.push(event.number);
            text = rest.to_owned();
        }
    }
    assert_eq!(numbers, [1, 3, 5]);
    assert!(started.elapsed() >= delay);
}

#[tokio::test]
async fn crashing_prompt_ends_all_running_requests() {
    let engine = start().await;
    let long = messages(&"innocent ".repeat(50));
    complete(&engine, &long).await.unwrap();
    engine.faults().set(EngineFaults {
        crash_on: "poison".to_owned(),
        crash_after_tokens: 2,
        ..EngineFaults::default()
    });
    let innocent = async {
        send(&engine, &long, json!({"max_tokens": 1_000_000}))
            .await?
            .bytes()
            .await
    };
    let poison = async {
        wait_for_load(&engine, 1, 0).await;
        let response = send(&engine, &messages("poison"), json!({"stream": true}))
            .await
            .unwrap();
        read_events(response).await
    };
    let (innocent, (tokens, is_complete)) = tokio::join!(innocent, poison);
    innocent.unwrap_err();
    // Tokens still in transit may be lost in the crash.
    assert!(tokens.len() <= 2 && !is_complete, "{tokens:?}");
    while engine.crashes() == 0 {
        tokio::task::yield_now().await;
    }
    assert!(complete(&engine, &long).await.unwrap_err().is_connect());

    engine.restart().await;
    let response = complete(&engine, &long).await.unwrap();
    assert_eq!(
        response["usage"]["prompt_tokens_details"]["cached_tokens"],
        0
    );
}

#[tokio::test]
async fn frozen_engine_responds_after_the_freeze_ends() {
    let engine = start().await;
    engine.faults().update(|faults| faults.freeze = true);
    let messages = messages("hello");
    let mut response = Box::pin(complete(&engine, &messages));
    let frozen = tokio::time::timeout(Duration::from_millis(300), &mut response).await;
    assert!(frozen.is_err());
    engine.faults().set(EngineFaults::default());
    response.await.unwrap();
}

#[tokio::test]
async fn streams_can_be_truncated_or_have_duplicate_events() {
    let engine = start().await;
    engine
        .faults()
        .update(|faults| faults.cut_after_tokens = Some(2));
    let response = send(&engine, &messages("hello"), json!({"stream": true}))
        .await
        .unwrap();
    let (truncated, is_complete) = read_events(response).await;
    assert_eq!((truncated.len(), is_complete), (2, false));
    complete(&engine, &messages("hello")).await.unwrap_err();

    engine.faults().set(EngineFaults {
        duplicate_events: true,
        ..EngineFaults::default()
    });
    let response = send(&engine, &messages("hello"), json!({"stream": true}))
        .await
        .unwrap();
    let (duplicated, is_complete) = read_events(response).await;
    assert!(is_complete);
    assert_eq!(duplicated.len(), 2 * 4 + 2);
    assert_eq!(duplicated[0], duplicated[1]);
}

#[tokio::test]
async fn outdated_fencing_token_is_rejected_if_checked() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            ..settings()
        };
        let engine = FakeEngine::start(settings).await.unwrap();
        let send_order = async |fencing: u64, order: EngineOrder| {
            let url = format!("{}/orders", engine.url());
            let request = OrderRequest { fencing, order };
            Client::new()
                .post(url)
                .json(&request)
                .send()
                .await
                .unwrap()
                .status()
        };
        let load = send_order(7, EngineOrder::LoadModel("m1".to_owned())).await;
        assert_eq!(load, StatusCode::OK);
        let old = send_order(6, EngineOrder::ChangeRole(EngineRole::Decode)).await;
        let expected = if checks_fencing {
            StatusCode::CONFLICT
        } else {
            StatusCode::OK
        };
        assert_eq!(old, expected);
        let role = if checks_fencing {
            EngineRole::Whole
        } else {
            EngineRole::Decode
        };
        let state = engine.orders();
        assert_eq!((state.fencing, state.role), (7, role));
        assert!(state.models.contains("m1"));
    }
}
