//! Non-idempotent actions while a process is killed or frozen at each step of the request.

mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{Fleet, Plan, Process, action_placement_key, eventually, header, name_placed_on};

/// Longest time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time that a caller waits for a router that is killed or frozen.
const FROZEN_ROUTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Path of the action.
const PATH: &str = "/certificates";

/// Result that a caller received.
#[derive(Debug, PartialEq, Eq)]
enum CallerResult {
    Response(String),
    NotRun,
    Ran,
    Unknown,
    NoResponse,
}

async fn send_action(fleet: &Fleet, router: usize, key: &str, timeout: Duration) -> CallerResult {
    let url = format!("http://{}/svc/registry{PATH}", fleet.routers[router].data);
    let request = fleet
        .http
        .post(url)
        .bearer_auth(support::API_KEY)
        .header("idempotency-key", key)
        .timeout(timeout)
        .body("technician 7");
    let Ok(response) = request.send().await else {
        return CallerResult::NoResponse;
    };
    if response.status() == 200 {
        let body = response.text().await;
        return body.map_or(CallerResult::NoResponse, CallerResult::Response);
    }
    assert!(
        !header(&response, "retry-after").is_empty(),
        "a refusal has a retry-after header"
    );
    match header(&response, "x-bulrushward-outcome").as_str() {
        "not-run" => CallerResult::NotRun,
        "ran" => CallerResult::Ran,
        "unknown" => CallerResult::Unknown,
        other => panic!("a refusal has unexpected outcome {other:?}"),
    }
}

/// Checks the invariants after any fault: at most one execution, and results that agree with it.
fn check_invariants(first: &CallerResult, second: &CallerResult, executions: usize) {
    assert!(
        executions <= 1,
        "the action ran {executions} times: {first:?}, {second:?}"
    );
    for result in [first, second] {
        match result {
            CallerResult::Response(body) => {
                assert!(
                    body.contains("technician 7"),
                    "the response belongs to another request: {body}"
                );
                assert_eq!(executions, 1, "a response without an execution");
            }
            CallerResult::Ran => assert_eq!(executions, 1, "reported as run, but did not run"),
            CallerResult::NotRun | CallerResult::Unknown | CallerResult::NoResponse => {}
        }
    }
    if *second == CallerResult::NotRun
        && !matches!(first, CallerResult::Response(_) | CallerResult::Ran)
    {
        assert_eq!(executions, 0, "reported as not run, but ran");
    }
}

async fn unfreeze(process: &Process) {
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
    let first = send_action(&fleet, 0, &key, CALLER_TIMEOUT).await;
    assert_ne!(
        first,
        CallerResult::NoResponse,
        "the router responds even if its agent fails"
    );
    if first == CallerResult::NotRun {
        assert_eq!(fleet.executions(PATH), 0, "reported as not run, but ran");
    }
    if fault == "freeze" {
        unfreeze(fleet.agent("plain-0")).await;
    }
    let second = send_action(&fleet, 1, &key, CALLER_TIMEOUT).await;
    if fault == "freeze" {
        fleet.wait_idle(fleet.agent("plain-0")).await;
    }
    fleet.wait_idle(fleet.agent("plain-1")).await;
    check_invariants(&first, &second, fleet.executions(PATH));
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
    let first = send_action(&fleet, 0, &key, FROZEN_ROUTER_TIMEOUT).await;
    assert_eq!(
        first,
        CallerResult::NoResponse,
        "the router fails before it responds"
    );
    let second = send_action(&fleet, 1, &key, CALLER_TIMEOUT).await;
    assert!(
        matches!(second, CallerResult::Response(_)),
        "the retry gets the response: {second:?}"
    );
    if fault == "freeze" {
        unfreeze(&fleet.routers[0]).await;
    }
    for backend in ["plain-0", "plain-1"] {
        fleet.wait_idle(fleet.agent(backend)).await;
    }
    check_invariants(&first, &second, fleet.executions(PATH));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_on_two_routers_run_once() {
    let fleet = Fleet::start(2, 0, 2).await;
    let calls = (0..8).map(|n| send_action(&fleet, n % 2, "same", CALLER_TIMEOUT));
    let responses = futures_util::future::join_all(calls).await;
    assert_eq!(fleet.executions(PATH), 1);
    for response in &responses {
        assert_eq!(
            response, &responses[0],
            "every retry gets the same response"
        );
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
    let first = send_action(&fleet, 0, "lost", CALLER_TIMEOUT).await;
    let second = send_action(&fleet, 1, "lost", CALLER_TIMEOUT).await;
    check_invariants(&first, &second, fleet.executions(PATH));
    assert!(
        matches!(second, CallerResult::Response(_)),
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
    let first = send_action(&fleet, 0, &key, CALLER_TIMEOUT).await;
    assert_eq!(
        first,
        CallerResult::Unknown,
        "the outcome is reported as unknown"
    );
    let second = send_action(&fleet, 1, &key, CALLER_TIMEOUT).await;
    check_invariants(&first, &second, fleet.executions(PATH));
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
    let body = bulrushward_protocol::encode(&bar).expect("the request encodes");
    let response = fleet
        .http
        .post(url)
        .body(body)
        .send()
        .await
        .expect("the agent responds");
    let bytes = response.bytes().await.expect("the response is complete");
    let outcome: bulrushward_protocol::Outcome =
        bulrushward_protocol::decode(&bytes).expect("the outcome decodes");
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
