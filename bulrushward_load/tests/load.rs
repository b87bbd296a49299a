//! A few requests against stand-ins, and the arithmetic of the figures.

use std::time::Duration;

use bulrushward_fakes::{EngineSettings, FakeEngine, FakePlain, PlainSettings};
use bulrushward_load::{
    Arrival, ArrivalSettings, Client, ClientSettings, Comparison, Figure, Outcome, Pace, Results,
    Sample, Target, Work, compare, generate_arrivals, hold, run,
};

const TIME: Duration = Duration::from_secs(20);

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
        .expect("the engine starts");
    let target = format!("http://{}", engine.addresses().public);
    (engine, target.parse().expect("a loopback address"))
}

fn sample(outcome: Outcome, first_byte_ms: u64, whole_ms: u64) -> Sample {
    Sample {
        outcome,
        first_byte: Some(Duration::from_millis(first_byte_ms)),
        gaps: vec![Duration::from_millis(1)],
        total_time: Duration::from_millis(whole_ms),
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
async fn chats_are_answered_in_open_and_closed_loop() {
    let (_engine, target) = engine().await;
    for work in [Work::WholeChat, Work::StreamedChat] {
        for pace in [Pace::Open, Pace::Closed { concurrency: 3 }] {
            let results = run(&client(), &target, work, few_arrivals(), pace, TIME)
                .await
                .expect("the concurrency is small");
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
async fn calls_and_actions_reach_a_plain_service_once() {
    let plain = FakePlain::start(PlainSettings::default())
        .await
        .expect("the service starts");
    let url = format!("http://{}", plain.addresses().public);
    let target: Target = url.parse().expect("a loopback address");
    let comparison = compare(
        &client(),
        &target,
        &target,
        Work::Action,
        &few_arrivals(),
        TIME,
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
        TIME,
    )
    .await
    .expect("it runs");
    let executions = plain.executions();
    let runs = |method: &str| -> Vec<u64> {
        let of_method = executions.iter().filter(|e| e.action.method == method);
        of_method.map(|e| e.count).collect()
    };
    assert_eq!(runs("POST"), [1; 24]);
    assert_eq!(runs("GET"), [1; 12]);
}

#[tokio::test]
async fn held_streams_stay_open_until_their_end() {
    let (_engine, target) = engine().await;
    let mut held = hold(&client(), &target, &few_arrivals(), TIME)
        .await
        .expect("they are few");
    assert_eq!(held.open(), 12);
    while held.ended() < 12 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_target_that_does_not_answer_is_counted_apart() {
    // Port 0 is never listened on.
    let target: Target = "http://127.0.0.1:0".parse().expect("a loopback address");
    let results = run(
        &client(),
        &target,
        Work::Call,
        few_arrivals(),
        Pace::Open,
        TIME,
    )
    .await
    .expect("it runs");
    assert_eq!(results.outcomes.get(&Outcome::NoResponse), Some(&12));
}

#[test]
fn times_are_those_of_whole_answers() {
    let mut results = Results::default();
    for whole_ms in 1..=100 {
        results.record(&sample(Outcome::Complete, 1, whole_ms));
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
fn added_time_is_the_difference_of_quantiles_held_against_the_target() {
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
        figure.expect("it is reported").target_met
    };
    assert_eq!(met("added-first-byte-p99"), Some(true));
    assert_eq!(met("added-whole-p99"), Some(false));
    assert_eq!(met("added-whole-p50"), None);
    let line = figures
        .iter()
        .find(|f| f.measure == "added-whole-p99")
        .expect("reported");
    let line = line.to_string();
    assert!(line.starts_with("measure=added-whole-p99 size=one case=whole-chat value="));
    assert!(line.ends_with("unit=ms target=missed"), "{line}");
}
