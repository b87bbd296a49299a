//! The engine and its faults.

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

async fn ask(engine: &FakeEngine, messages: &[ChatMessage]) -> reqwest::Result<Value> {
    send(engine, messages, json!({})).await?.json().await
}

/// Returns the events of a stream and whether it ended as it should.
async fn events(mut answer: Response) -> (Vec<String>, bool) {
    let mut text = String::new();
    let whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => text.push_str(std::str::from_utf8(&chunk).unwrap()),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    (events.map(str::to_owned).collect(), whole)
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
async fn whole_and_streamed_answers_have_the_same_tokens() {
    let engine = start().await;
    let messages = messages("hello");
    let expected: Vec<String> = completion_tokens(&render_prompt(&messages), 4).collect();
    let whole = ask(&engine, &messages).await.unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], expected.concat());

    let answer = send(&engine, &messages, json!({"stream": true}))
        .await
        .unwrap();
    let (events, whole) = events(answer).await;
    assert!(whole);
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
async fn returning_chat_finds_its_prompt_and_answer_cached() {
    let engine = start().await;
    let mut messages = messages(&"long prompt ".repeat(100));
    let first = ask(&engine, &messages).await.unwrap();
    assert_eq!(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0);

    let answer = first["choices"][0]["message"]["content"].as_str().unwrap();
    let answer = ChatMessage {
        role: "assistant".to_owned(),
        content: answer.to_owned(),
    };
    messages.push(answer);
    // All whole blocks of 16 tokens of 4 bytes were seen before.
    let seen = render_prompt(&messages).len() / 64 * 16;
    messages.push(ChatMessage {
        role: "user".to_owned(),
        content: "go on".to_owned(),
    });
    let second = ask(&engine, &messages).await.unwrap();
    assert_eq!(
        second["usage"]["prompt_tokens_details"]["cached_tokens"],
        seen
    );
}

#[tokio::test]
async fn least_recently_used_blocks_leave_a_full_cache() {
    let settings = EngineSettings {
        cache_blocks: 8,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let cached = async |content: char| {
        // Four blocks of prompt, the answer included.
        let answer = ask(&engine, &messages(&content.to_string().repeat(170)))
            .await
            .unwrap();
        answer["usage"]["prompt_tokens_details"]["cached_tokens"]
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
    ask(&engine, &messages).await.unwrap();
    let second = ask(&engine, &messages).await.unwrap();
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
    let began = std::time::Instant::now();
    ask(&engine, &messages(&"x".repeat(400))).await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn full_batch_lets_others_wait_by_priority() {
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
        let answer = send(&engine, &messages(name), json!({"priority": priority})).await;
        answer.unwrap().bytes().await.unwrap();
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
async fn caller_that_goes_frees_its_place() {
    let engine = start().await;
    engine
        .faults()
        .update(|faults| faults.delay = Duration::from_hours(1));
    let messages = messages("hello");
    tokio::select! {
        _ = ask(&engine, &messages) => unreachable!("the answer takes an hour"),
        () = wait_for_load(&engine, 1, 0) => {}
    }
    wait_for_load(&engine, 0, 0).await;
}

#[tokio::test]
async fn reported_load_lags() {
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
        _ = ask(&engine, &messages) => unreachable!("the answer takes an hour"),
        () = check => {}
    }
}

#[tokio::test]
async fn cache_events_come_late_and_with_gaps() {
    let delay = Duration::from_millis(100);
    let settings = EngineSettings {
        cache_event_delay: delay,
        cache_event_gap: 2,
        ..settings()
    };
    let engine = FakeEngine::start(settings).await.unwrap();
    let mut answer = Client::new()
        .get(format!("{}/cache-events", engine.url()))
        .send()
        .await
        .unwrap();
    let began = std::time::Instant::now();
    for content in ["a", "b", "c"] {
        ask(&engine, &messages(&content.repeat(200))).await.unwrap();
    }
    let mut numbers = Vec::new();
    let mut text = String::new();
    while numbers.len() < 3 {
        let chunk = answer.chunk().await.unwrap().unwrap();
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
    assert!(began.elapsed() >= delay);
}

#[tokio::test]
async fn poisonous_prompt_crashes_the_engine_with_all_that_runs() {
    let engine = start().await;
    let long = messages(&"innocent ".repeat(50));
    ask(&engine, &long).await.unwrap();
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
        let answer = send(&engine, &messages("poison"), json!({"stream": true}))
            .await
            .unwrap();
        events(answer).await
    };
    let (innocent, (tokens, whole)) = tokio::join!(innocent, poison);
    innocent.unwrap_err();
    // Tokens that were on their way may be lost in the crash.
    assert!(tokens.len() <= 2 && !whole, "{tokens:?}");
    while engine.crashes() == 0 {
        tokio::task::yield_now().await;
    }
    assert!(ask(&engine, &long).await.unwrap_err().is_connect());

    engine.restart().await;
    let answer = ask(&engine, &long).await.unwrap();
    assert_eq!(answer["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
}

#[tokio::test]
async fn frozen_engine_answers_after_it_thaws() {
    let engine = start().await;
    engine.faults().update(|faults| faults.freeze = true);
    let messages = messages("hello");
    let mut answer = Box::pin(ask(&engine, &messages));
    let frozen = tokio::time::timeout(Duration::from_millis(300), &mut answer).await;
    assert!(frozen.is_err());
    engine.faults().set(EngineFaults::default());
    answer.await.unwrap();
}

#[tokio::test]
async fn cut_and_doubled_streams_show_as_such() {
    let engine = start().await;
    engine
        .faults()
        .update(|faults| faults.cut_after_tokens = Some(2));
    let answer = send(&engine, &messages("hello"), json!({"stream": true}))
        .await
        .unwrap();
    let (cut, whole) = events(answer).await;
    assert_eq!((cut.len(), whole), (2, false));
    ask(&engine, &messages("hello")).await.unwrap_err();

    engine.faults().set(EngineFaults {
        duplicate_events: true,
        ..EngineFaults::default()
    });
    let answer = send(&engine, &messages("hello"), json!({"stream": true}))
        .await
        .unwrap();
    let (doubled, whole) = events(answer).await;
    assert!(whole);
    assert_eq!(doubled.len(), 2 * 4 + 2);
    assert_eq!(doubled[0], doubled[1]);
}

#[tokio::test]
async fn old_fencing_number_is_refused_where_it_is_checked() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            ..settings()
        };
        let engine = FakeEngine::start(settings).await.unwrap();
        let give = async |fencing: u64, order: EngineOrder| {
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
        let load = give(7, EngineOrder::LoadModel("m1".to_owned())).await;
        assert_eq!(load, StatusCode::OK);
        let old = give(6, EngineOrder::ChangeRole(EngineRole::Decode)).await;
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
