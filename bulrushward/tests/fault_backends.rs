//! Frozen backend servers, failing platform services, planned stops and combinations of faults.

mod support;

use std::time::{Duration, Instant};

use bulrushward_clients::{TargetGroup, TargetLabels, VmState};
use bulrushward_fakes::completion_tokens;
use bulrushward_protocol::{BarRequest, Frame, Outcome, RefusalReason, decode, encode};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use support::{
    Fleet, Plan, action_placement_key, backend, chat_placement_key, chat_request, eventually,
    header, name_placed_on,
};

/// Names of the engines of a fleet with two of them.
const ENGINES: [&str; 2] = ["engine-0", "engine-1"];
/// Path of the action.
const PATH: &str = "/certificates";
/// Longest time for which a leaving backend server may still get new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Longest time until a refusal that needs no waiting.
const IMMEDIATE_LIMIT: Duration = Duration::from_secs(2);

fn expected_text(opening: &str, tokens: usize) -> String {
    completion_tokens(&format!("user: {opening}\n"), tokens).collect()
}

async fn response_text(response: reqwest::Response) -> String {
    let response: Value = response.json().await.expect("the response is JSON");
    let text = response["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_on_a_frozen_engine_is_retried_on_another() {
    let fleet = Fleet::start(1, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    fleet.engines[0]
        .faults()
        .update(|faults| faults.freeze = true);
    let response = fleet.chat(0, &chat_request(&opening, false, 8)).await;
    assert_eq!(response.status(), 200);
    assert_eq!(backend(&response), "engine-1");
    assert_eq!(response_text(response).await, expected_text(&opening, 8));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_on_a_frozen_backend_server_has_an_unknown_outcome_and_never_runs_twice() {
    let fleet = Fleet::start(2, 0, 2).await;
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_placement_key);
    fleet.plains[0]
        .faults()
        .update(|faults| faults.delay_execution = Duration::from_secs(10));
    let first = fleet
        .call(0, "POST", PATH, Some(&key), "technician 7")
        .await;
    assert_eq!(header(&first, "x-bulrushward-outcome"), "unknown");
    let second = fleet
        .call(1, "POST", PATH, Some(&key), "technician 7")
        .await;
    assert_ne!(second.status(), 200);
    fleet.plains[0]
        .faults()
        .update(|faults| faults.delay_execution = Duration::ZERO);
    eventually("the first execution ends", async || {
        fleet.executions(PATH) > 0
    })
    .await;
    fleet
        .call(1, "POST", PATH, Some(&key), "technician 7")
        .await;
    assert_eq!(fleet.executions(PATH), 1);
}

#[rstest]
#[case::a_little(200, true)]
#[case::too_slow(5_000, false)]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_waits_for_a_slow_key_value_service_or_is_refused_as_not_run(
    #[case] slow_ms: u64,
    #[case] runs: bool,
) {
    let fleet = Fleet::start(2, 0, 2).await;
    fleet
        .kv
        .faults()
        .update(|faults| faults.slow = Duration::from_millis(slow_ms));
    let first = fleet
        .call(0, "POST", PATH, Some("slow"), "technician 7")
        .await;
    if runs {
        assert_eq!(first.status(), 200);
    } else {
        assert_eq!(header(&first, "x-bulrushward-outcome"), "not-run");
        assert_eq!(fleet.executions(PATH), 0);
    }
    fleet
        .kv
        .faults()
        .update(|faults| faults.slow = Duration::ZERO);
    eventually("the retry succeeds", async || {
        fleet
            .call(1, "POST", PATH, Some("slow"), "technician 7")
            .await
            .status()
            == 200
    })
    .await;
    assert_eq!(fleet.executions(PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn actions_are_refused_immediately_during_an_outage_and_run_after_it() {
    let fleet = Fleet::start(2, 1, 2).await;
    fleet.kv.network().take_down().await;
    let first = fleet
        .call(0, "POST", PATH, Some("outage"), "technician 7")
        .await;
    assert_eq!(header(&first, "x-bulrushward-outcome"), "not-run");
    let start = Instant::now();
    let second = fleet
        .call(1, "POST", PATH, Some("outage"), "technician 7")
        .await;
    assert_eq!(header(&second, "x-bulrushward-outcome"), "not-run");
    assert!(
        start.elapsed() < IMMEDIATE_LIMIT,
        "refused only after {:?}",
        start.elapsed()
    );
    let chat = fleet.chat(0, &chat_request("portfolio", false, 4)).await;
    assert_eq!(chat.status(), 200);
    fleet.kv.network().restore().await;
    eventually("actions run again", async || {
        fleet
            .call(0, "POST", PATH, Some("outage"), "technician 7")
            .await
            .status()
            == 200
    })
    .await;
    assert_eq!(fleet.executions(PATH), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_gets_no_new_requests_and_finishes_running_ones() {
    let fleet = Fleet::start(2, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, chat_placement_key);
    let running = fleet.chat(0, &chat_request(&opening, true, 800)).await;
    assert_eq!(backend(&running), "engine-0");
    let groups = fleet.routers.iter().chain(&fleet.agents).map(|process| {
        let is_leaving = process.node == "agent-engine-0";
        TargetGroup {
            targets: vec![process.control],
            labels: TargetLabels {
                node: process.node.clone(),
                state: if is_leaving {
                    VmState::Leaving
                } else {
                    VmState::Live
                },
                failure_domain: String::new(),
            },
        }
    });
    fleet.vm_list.set(groups.collect());
    let start = Instant::now();
    eventually("new chats go to another engine", async || {
        let other = fleet.chat(1, &chat_request(&opening, false, 1)).await;
        backend(&other) == "engine-1"
    })
    .await;
    let elapsed = start.elapsed();
    assert!(elapsed < LEAVING_LIMIT, "got new requests for {elapsed:?}");
    let body = running.text().await.expect("the stream is complete");
    assert!(body.contains("data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_router_completes_streams() {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let running = fleet.chat(0, &chat_request("portfolio", true, 500)).await;
    fleet.routers[0].signal(Signal::SIGTERM);
    let ready_url = format!("http://{}/health/ready", fleet.routers[0].admin);
    eventually("the router is not ready", async || {
        let response = fleet.http.get(&ready_url).send().await;
        response.is_ok_and(|response| response.status() == 503)
    })
    .await;
    let body = running.text().await.expect("the stream is complete");
    assert!(body.contains("data: [DONE]"));
    assert!(fleet.routers[0].wait_for_exit().await);
    let other = fleet.chat(1, &chat_request("portfolio", false, 2)).await;
    assert_eq!(other.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_succeeds_after_two_agents_fail() {
    let kill = "agent-streaming=1*return(kill)";
    let plan = Plan {
        engines: vec![kill, kill, ""],
        ..Plan::new(1, 3, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let response = fleet.chat(0, &chat_request("portfolio", false, 8)).await;
    assert_eq!(response.status(), 200);
    assert_eq!(response_text(response).await, expected_text("portfolio", 8));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_runs_at_most_once_when_its_agent_fails_before_an_outage(
    #[values("agent-dequeued", "agent-claimed", "agent-started", "agent-finished")]
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
    let call = fleet.call(0, "POST", PATH, Some(&key), "technician 7");
    let outage = async {
        // The agent fails within the first round trips. The outage then prevents others from reading
        // its claim.
        eventually("the agent has failed", async || {
            let agent = fleet.agent("plain-0");
            match fault {
                // A frozen process accepts connections and never answers, so it is not asked.
                "freeze" => agent.is_frozen(),
                _ => fleet.http.get(live_url(agent.admin)).send().await.is_err(),
            }
        })
        .await;
        fleet.kv.network().take_down().await;
    };
    let (first, ()) = tokio::join!(call, outage);
    assert_ne!(first.status(), 200);
    if header(&first, "x-bulrushward-outcome") == "not-run" {
        assert_eq!(fleet.executions(PATH), 0);
    }
    if fault == "freeze" {
        fleet.agent("plain-0").signal(Signal::SIGCONT);
    }
    fleet.kv.network().restore().await;
    let second = fleet
        .call(1, "POST", PATH, Some(&key), "technician 7")
        .await;
    if second.status() == 200 {
        assert_eq!(fleet.executions(PATH), 1);
    }
    fleet.wait_idle(fleet.agent("plain-1")).await;
    if fault == "freeze" {
        fleet.wait_idle(fleet.agent("plain-0")).await;
    }
    assert!(fleet.executions(PATH) <= 1);
}

fn live_url(admin: std::net::SocketAddr) -> String {
    format!("http://{admin}/health/live")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_refuses_attempts_for_its_draining_backend_server() {
    let fleet = Fleet::start(1, 0, 1).await;
    let drained = support::config_text("").replace(
        "protocol = \"plain\"",
        "protocol = \"plain\"\ndraining = [\"plain-0\"]",
    );
    let (status, response) = fleet.submit(0, 1, &drained).await;
    assert_eq!(status, 200, "{response}");
    fleet.wait_until_active(2).await;
    let agent = fleet.agent("plain-0");
    let incarnation = fleet.incarnation("agent-plain-0");
    let frames = support::run_attempt(&fleet, agent, incarnation, 5, None).await;
    assert!(
        matches!(&frames[..], [Frame::Refused(refusal)]
            if refusal.reason == RefusalReason::Draining && refusal.outcome == Outcome::NotRun),
        "{frames:?}"
    );
    assert_eq!(fleet.executions(PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_refuses_an_attempt_sent_to_its_earlier_start() {
    let fleet = Fleet::start(1, 0, 1).await;
    let agent = fleet.agent("plain-0");
    let earlier = fleet.incarnation("agent-plain-0") - 1;
    let frames = support::run_attempt(&fleet, agent, earlier, 5, Some(9)).await;
    assert!(
        matches!(&frames[..], [Frame::Refused(refusal)]
            if refusal.reason == RefusalReason::Restarted && refusal.outcome == Outcome::NotRun),
        "{frames:?}"
    );
    assert_eq!(fleet.executions(PATH), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_barred_between_claim_and_start_never_starts() {
    let pause = "agent-claimed=1*sleep(2000)";
    let plan = Plan {
        plains: vec![pause],
        ..Plan::new(1, 0, 1)
    };
    let fleet = Fleet::start_plan(plan).await;
    let agent = fleet.agent("plain-0");
    let incarnation = fleet.incarnation("agent-plain-0");
    let attempt = support::run_attempt(&fleet, agent, incarnation, 5, Some(9));
    let bar = async {
        let metrics_url = format!("http://{}/metrics", agent.admin);
        eventually("the attempt is admitted", async || {
            let response = fleet
                .http
                .get(&metrics_url)
                .send()
                .await
                .expect("the metrics listener responds");
            response
                .text()
                .await
                .unwrap_or_default()
                .contains("agent_running 1")
        })
        .await;
        let body = encode(&BarRequest {
            attempt: 5,
            action: Some(9),
        })
        .expect("the request encodes");
        let url = format!("http://{}/inner/bar", agent.data);
        let response = fleet
            .http
            .post(url)
            .body(body)
            .send()
            .await
            .expect("the agent responds");
        decode::<Outcome>(&response.bytes().await.expect("the response is complete"))
            .expect("the outcome decodes")
    };
    let (frames, outcome) = tokio::join!(attempt, bar);
    assert_eq!(outcome, Outcome::NotRun);
    assert!(
        matches!(frames.last(), Some(Frame::Refused(_))),
        "{frames:?}"
    );
    fleet.wait_idle(agent).await;
    assert_eq!(fleet.executions(PATH), 0);
}
