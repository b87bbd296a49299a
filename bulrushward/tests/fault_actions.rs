//! A non-idempotent action under a kill and a freeze at each step of its way.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{Fleet, Plan, Process, action_placement_key, eventually, header, name_placed_on};

/// Longest time that a caller waits for one answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time that a caller waits for a router that may be frozen.
const FROZEN_ROUTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Path of the action.
const PATH: &str = "/certificates";

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    Answer(String),
    NotRun,
    Ran,
    Unknown,
    Nothing,
}

async fn issue(fleet: &Fleet, router: usize, key: &str, timeout: Duration) -> Got {
    let url = format!("http://{}/svc/registry{PATH}", fleet.routers[router].data);
    let request = fleet
        .http
        .post(url)
        .bearer_auth(support::API_KEY)
        .header("idempotency-key", key)
        .timeout(timeout)
        .body("technician 7");
    let Ok(response) = request.send().await else {
        return Got::Nothing;
    };
    if response.status() == 200 {
        let body = response.text().await;
        return body.map_or(Got::Nothing, Got::Answer);
    }
    assert!(
        !header(&response, "retry-after").is_empty(),
        "a refusal says when to come back"
    );
    match header(&response, "x-bulrushward-outcome").as_str() {
        "not-run" => Got::NotRun,
        "ran" => Got::Ran,
        "unknown" => Got::Unknown,
        other => panic!("a refusal has an outcome, not {other:?}"),
    }
}

/// Checks what must hold after any fault: at most one execution, and no answer that lies.
fn check(first: &Got, second: &Got, executions: usize) {
    assert!(
        executions <= 1,
        "the action ran {executions} times: {first:?}, {second:?}"
    );
    for got in [first, second] {
        match got {
            Got::Answer(body) => {
                assert!(
                    body.contains("technician 7"),
                    "the answer is another's: {body}"
                );
                assert_eq!(executions, 1, "an answer without an execution");
            }
            Got::Ran => assert_eq!(executions, 1, "said to have run, but did not"),
            Got::NotRun | Got::Unknown | Got::Nothing => {}
        }
    }
    if *second == Got::NotRun && !matches!(first, Got::Answer(_) | Got::Ran) {
        assert_eq!(executions, 0, "said not to have run, but did");
    }
}

async fn thaw(process: &Process) {
    eventually("the process is frozen", async || process.is_frozen()).await;
    process.signal(Signal::SIGCONT);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_runs_at_most_once_when_its_agent_fails(
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
        plains: vec![fail_points, ""],
        ..Plan::new(2, 0, 2)
    };
    let fleet = Fleet::start_plan(plan).await;
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_placement_key);
    let first = issue(&fleet, 0, &key, CALLER_TIMEOUT).await;
    assert_ne!(
        first,
        Got::Nothing,
        "the router answers whatever its agent does"
    );
    if first == Got::NotRun {
        assert_eq!(fleet.executions(PATH), 0, "said not to have run, but did");
    }
    if fault == "freeze" {
        thaw(fleet.agent("plain-0")).await;
    }
    let second = issue(&fleet, 1, &key, CALLER_TIMEOUT).await;
    if fault == "freeze" {
        fleet.wait_idle(fleet.agent("plain-0")).await;
    }
    fleet.wait_idle(fleet.agent("plain-1")).await;
    check(&first, &second, fleet.executions(PATH));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_runs_at_most_once_when_its_router_fails(
    #[values("router-received", "router-placed", "router-sent", "router-head")] step: &'static str,
    #[values("kill", "freeze")] fault: &'static str,
) {
    let fail_points: &'static str = format!("{step}=1*return({fault})").leak();
    let plan = Plan {
        routers: vec![fail_points, ""],
        ..Plan::new(2, 0, 2)
    };
    let fleet = Fleet::start_plan(plan).await;
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_placement_key);
    let first = issue(&fleet, 0, &key, FROZEN_ROUTER_TIMEOUT).await;
    assert_eq!(first, Got::Nothing, "the router fails before it answers");
    let second = issue(&fleet, 1, &key, CALLER_TIMEOUT).await;
    assert!(
        matches!(second, Got::Answer(_)),
        "the repeat gets the answer: {second:?}"
    );
    if fault == "freeze" {
        thaw(&fleet.routers[0]).await;
    }
    for backend in ["plain-0", "plain-1"] {
        fleet.wait_idle(fleet.agent(backend)).await;
    }
    check(&first, &second, fleet.executions(PATH));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_on_two_routers_run_once() {
    let fleet = Fleet::start(2, 0, 2).await;
    let calls = (0..8).map(|n| issue(&fleet, n % 2, "same", CALLER_TIMEOUT));
    let responses = futures_util::future::join_all(calls).await;
    assert_eq!(fleet.executions(PATH), 1);
    for response in &responses {
        assert_eq!(response, &responses[0], "every copy gets the same answer");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn identical_actions_without_a_key_run_once() {
    let fleet = Fleet::start(2, 0, 2).await;
    for router in [0, 1, 0] {
        let response = fleet.call(router, "POST", PATH, None, "technician 7").await;
        assert_eq!(response.status(), 200);
    }
    assert_eq!(fleet.executions(PATH), 1);
    let other = fleet.call(0, "POST", PATH, None, "technician 8").await;
    assert_eq!(other.status(), 200);
    assert_eq!(fleet.executions(PATH), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_with_different_content_is_refused() {
    let fleet = Fleet::start(1, 0, 1).await;
    fleet
        .call(0, "POST", PATH, Some("key"), "technician 7")
        .await;
    let response = fleet
        .call(0, "POST", PATH, Some("key"), "technician 8")
        .await;
    assert_eq!(response.status(), 422);
    assert_eq!(header(&response, "x-bulrushward-outcome"), "not-run");
    assert_eq!(fleet.executions(PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_whose_claim_response_is_lost_runs_once() {
    let fleet = Fleet::start(2, 0, 2).await;
    fleet.kv.faults().update(|faults| faults.lose_answers = 1);
    let first = issue(&fleet, 0, "lost", CALLER_TIMEOUT).await;
    let second = issue(&fleet, 1, "lost", CALLER_TIMEOUT).await;
    check(&first, &second, fleet.executions(PATH));
    assert!(
        matches!(second, Got::Answer(_)),
        "the action is not blocked: {second:?}"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_runs_at_most_once_when_its_backend_server_fails(
    #[values("before_execution", "after_execution")] point: &str,
) {
    let fleet = Fleet::start(2, 0, 2).await;
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_placement_key);
    let crash = serde_json::from_value(serde_json::json!(point)).expect("a crash point");
    fleet.plains[0]
        .faults()
        .update(|faults| faults.crash = Some(crash));
    let first = issue(&fleet, 0, &key, CALLER_TIMEOUT).await;
    assert_eq!(first, Got::Unknown, "the fleet cannot know and says so");
    let second = issue(&fleet, 1, &key, CALLER_TIMEOUT).await;
    check(&first, &second, fleet.executions(PATH));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_barred_attempt_that_arrives_late_never_runs() {
    let fleet = Fleet::start(1, 0, 1).await;
    let agent = fleet.agent("plain-0");
    let snapshot = fleet.status(0).await;
    assert_eq!(snapshot["members"].as_array().map(Vec::len), Some(2));
    let bar = bulrushward_protocol::BarRequest {
        attempt: 77,
        action: Some(5),
    };
    let url = format!("http://{}/inner/bar", agent.data);
    let body = bulrushward_protocol::encode(&bar).expect("encodes");
    let response = fleet
        .http
        .post(url)
        .body(body)
        .send()
        .await
        .expect("the agent responds");
    let bytes = response.bytes().await.expect("the response is complete");
    let outcome: bulrushward_protocol::Outcome =
        bulrushward_protocol::decode(&bytes).expect("decodes");
    assert_eq!(outcome, bulrushward_protocol::Outcome::NotRun);
    let incarnation = fleet.incarnation("agent-plain-0");
    let frames = support::run_attempt(&fleet, agent, incarnation, 77, Some(5)).await;
    assert!(
        matches!(&frames[..], [bulrushward_protocol::Frame::Refused(refusal)]
            if refusal.outcome == bulrushward_protocol::Outcome::NotRun),
        "{frames:?}"
    );
    assert_eq!(fleet.executions(PATH), 0);
}
