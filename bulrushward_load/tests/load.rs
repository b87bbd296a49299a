//! Sends a few requests to fakes and checks how the figures are calculated.

use std::time::Duration;

use bulrushward_fakes::{EngineSettings, FakeEngine, FakePlain, PlainSettings};
use bulrushward_load::{
    Arrival, ArrivalSettings, Client, ClientSettings, Comparison, Figure, Outcome, Pace, Results,
    Sample, Target, Work, compare, generate_arrivals, hold, run,
};

const TIME_LIMIT: Duration = Duration::from_secs(20);

fn few_arrivals() -> Vec<Arrival> {
    generate_arrivals(&ArrivalSettings {
        seed: 3,
        count: 12,
        rate: 1_000.0,
        pause: Duration::from_millis(5),
        return_chance: 0.5,
        organisations: 1,
    })
}

fn client() -> Client {
    let settings = ClientSettings {
        keys: vec!["key".to_owned()],
        model: "model".to_owned(),
        max_tokens: 4,
        seed: 3,
    };
    Client::new(settings).expect("the client is built")
}

async fn engine() -> (FakeEngine, Target) {
    let settings = EngineSettings {
        token_time: Duration::ZERO,
        prefill_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings)
        .await
        .expect("the fake engine starts");
    let target = format!("http://{}", engine.addresses().public);
    (
        engine,
        target.parse().expect("the URL has a loopback address"),
    )
}

fn sample(outcome: Outcome, first_byte_ms: u64, total_ms: u64) -> Sample {
    Sample {
        outcome,
        first_byte: Some(Duration::from_millis(first_byte_ms)),
        gaps: vec![Duration::from_millis(1)],
        total_time: Duration::from_millis(total_ms),
    }
}

fn value(figures: &[Figure], measure: &str, case: &str) -> f64 {
    let found = figures
        .iter()
        .find(|f| f.measure == measure && f.case == case);
    found
        .unwrap_or_else(|| panic!("{measure} of {case} is reported"))
        .value
}

#[tokio::test]
async fn chats_get_complete_responses_in_open_and_closed_loop() {
    let (_engine, target) = engine().await;
    for work in [Work::WholeChat, Work::StreamedChat] {
        for pace in [Pace::Open, Pace::Closed { concurrency: 3 }] {
            let results = run(&client(), &target, work, few_arrivals(), pace, TIME_LIMIT)
                .await
                .expect("the concurrency is within its limit");
            assert_eq!(
                results.complete_responses(),
                12,
                "{work} {:?}",
                results.outcomes
            );
        }
    }
}

#[tokio::test]
async fn each_call_and_action_reaches_a_plain_service_once() {
    let plain = FakePlain::start(PlainSettings::default())
        .await
        .expect("the fake service starts");
    let url = format!("http://{}", plain.addresses().public);
    let target: Target = url.parse().expect("the URL has a loopback address");
    let comparison = compare(
        &client(),
        &target,
        &target,
        Work::Action,
        &few_arrivals(),
        TIME_LIMIT,
    )
    .await;
    assert_eq!(comparison.direct.complete_responses(), 12);
    assert_eq!(comparison.routed.complete_responses(), 12);
    run(
        &client(),
        &target,
        Work::Call,
        few_arrivals(),
        Pace::Open,
        TIME_LIMIT,
    )
    .await
    .expect("the concurrency is within its limit");
    let executions = plain.executions();
    let runs = |method: &str| -> Vec<u64> {
        let of_method = executions.iter().filter(|e| e.action.method == method);
        of_method.map(|e| e.count).collect()
    };
    assert_eq!(runs("POST"), [1; 24]);
    assert_eq!(runs("GET"), [1; 12]);
}

#[tokio::test]
async fn held_streams_are_read_until_they_end() {
    let (_engine, target) = engine().await;
    let mut held = hold(&client(), &target, &few_arrivals(), TIME_LIMIT)
        .await
        .expect("the number of streams is within its limit");
    assert_eq!(held.open(), 12);
    while held.ended() < 12 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn requests_without_response_have_their_own_outcome() {
    // No process can listen on port 0.
    let target: Target = "http://127.0.0.1:0"
        .parse()
        .expect("the URL has a loopback address");
    let results = run(
        &client(),
        &target,
        Work::Call,
        few_arrivals(),
        Pace::Open,
        TIME_LIMIT,
    )
    .await
    .expect("the concurrency is within its limit");
    assert_eq!(results.outcomes.get(&Outcome::NoResponse), Some(&12));
}

#[test]
fn times_count_only_complete_responses() {
    let mut results = Results::default();
    for total_ms in 1..=100 {
        results.record(&sample(Outcome::Complete, 1, total_ms));
    }
    results.record(&sample(Outcome::NotRun, 500, 900));
    results.elapsed = Duration::from_secs(4);
    let figures = results.figures("one", "call");
    assert!((value(&figures, "whole-p50", "call") - 50.0).abs() < 0.1);
    assert!((value(&figures, "whole-p99", "call") - 99.0).abs() < 0.1);
    assert!((value(&figures, "rate", "call") - 25.0).abs() < f64::EPSILON);
    assert!((value(&figures, "outcome-not-run", "call") - 1.0).abs() < f64::EPSILON);
}

#[test]
fn added_time_is_the_difference_of_quantiles_compared_with_the_target() {
    let mut comparison = Comparison::default();
    for _ in 0..100 {
        comparison.direct.record(&sample(Outcome::Complete, 1, 10));
        comparison.routed.record(&sample(Outcome::Complete, 2, 15));
    }
    let target = Duration::from_millis(2);
    let figures = comparison.figures("one", Work::WholeChat, target);
    assert!((value(&figures, "added-whole-p99", "whole-chat") - 5.0).abs() < 0.05);
    let met = |measure: &str| {
        let figure = figures.iter().find(|f| f.measure == measure);
        figure.expect("the measure is reported").target_met
    };
    assert_eq!(met("added-first-byte-p99"), Some(true));
    assert_eq!(met("added-whole-p99"), Some(false));
    assert_eq!(met("added-whole-p50"), None);
    let line = figures
        .iter()
        .find(|f| f.measure == "added-whole-p99")
        .expect("the measure is reported");
    let line = line.to_string();
    assert!(line.starts_with("measure=added-whole-p99 size=one case=whole-chat value="));
    assert!(line.ends_with("unit=ms target=missed"), "{line}");
}
