//! Backend servers that freeze, platform services that fail, planned stops and faults together.

mod support;

use std::time::{Duration, Instant};

use bulrushward_clients::{TargetGroup, TargetLabels, VmState};
use bulrushward_fakes::completion_tokens;
use bulrushward_protocol::{BarRequest, Frame, Outcome, RefusalReason, decode, encode};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use support::{
    Fleet, Plan, action_chat, backend, chat_request, eventually, header, name_placed_on,
    opening_chat,
};

/// The engines of a test fleet.
const ENGINES: [&str; 2] = ["engine-0", "engine-1"];
/// Path of the action.
const PATH: &str = "/certificates";
/// Time after which a leaving backend server gets nothing new.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time within which a final refusal is given.
const AT_ONCE: Duration = Duration::from_secs(2);

fn own_answer(opening: &str, tokens: usize) -> String {
    completion_tokens(&format!("user: {opening}\n"), tokens).collect()
}

async fn whole_text(answer: reqwest::Response) -> String {
    let answer: Value = answer.json().await.expect("the answer is JSON");
    let text = answer["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_on_a_frozen_engine_is_answered_by_another() {
    let fleet = Fleet::start(1, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
    fleet.engines[0]
        .faults()
        .update(|faults| faults.freeze = true);
    let answer = fleet.chat(0, &chat_request(&opening, false, 8)).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(backend(&answer), "engine-1");
    assert_eq!(whole_text(answer).await, own_answer(&opening, 8));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_on_a_frozen_backend_server_is_unknown_and_never_run_twice() {
    let fleet = Fleet::start(2, 0, 2).await;
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_chat);
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
    eventually("the first run ends", async || fleet.executions(PATH) > 0).await;
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
    eventually("the repeat is answered", async || {
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
async fn refusals_in_an_outage_are_immediate_and_actions_go_on_after_it() {
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
        start.elapsed() < AT_ONCE,
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
async fn a_vm_that_leaves_gets_nothing_new_and_finishes_what_it_has() {
    let fleet = Fleet::start(2, 2, 0).await;
    let opening = name_placed_on("engine-0", &ENGINES, opening_chat);
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
    eventually("new chats go elsewhere", async || {
        let other = fleet.chat(1, &chat_request(&opening, false, 1)).await;
        backend(&other) == "engine-1"
    })
    .await;
    let elapsed = start.elapsed();
    assert!(elapsed < LEAVING_LIMIT, "got new work for {elapsed:?}");
    let body = running.text().await.expect("the stream is not cut");
    assert!(body.contains("data: [DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_router_cuts_no_stream() {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let running = fleet.chat(0, &chat_request("portfolio", true, 500)).await;
    fleet.routers[0].signal(Signal::SIGTERM);
    let ready = format!("http://{}/health/ready", fleet.routers[0].admin);
    eventually("the balancer sees the stop", async || {
        let answer = fleet.http.get(&ready).send().await;
        answer.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    let body = running.text().await.expect("the stream is not cut");
    assert!(body.contains("data: [DONE]"));
    assert!(fleet.routers[0].ended().await);
    let other = fleet.chat(1, &chat_request("portfolio", false, 2)).await;
    assert_eq!(other.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_fault_twice_is_survived_by_a_third_agent() {
    let kill = "agent-streaming=1*return(kill)";
    let plan = Plan {
        engines: vec![kill, kill, ""],
        ..Plan::new(1, 3, 0)
    };
    let fleet = Fleet::start_plan(plan).await;
    let answer = fleet.chat(0, &chat_request("portfolio", false, 8)).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(whole_text(answer).await, own_answer("portfolio", 8));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_action_survives_an_agent_fault_together_with_an_outage(
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
    let key = name_placed_on("plain-0", &["plain-0", "plain-1"], action_chat);
    let call = fleet.call(0, "POST", PATH, Some(&key), "technician 7");
    let outage = async {
        // The agent fails within the first round trips; the outage then hides its claim.
        eventually("the agent has failed", async || {
            let agent = fleet.agent("plain-0");
            agent.is_frozen() || fleet.http.get(live_url(agent.admin)).send().await.is_err()
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
async fn an_agent_refuses_what_routers_with_an_old_text_send_to_a_draining_server() {
    let fleet = Fleet::start(1, 0, 1).await;
    let drained = support::text("").replace(
        "protocol = \"plain\"",
        "protocol = \"plain\"\ndraining = [\"plain-0\"]",
    );
    let (status, answer) = fleet.submit(0, 1, &drained).await;
    assert_eq!(status, 200, "{answer}");
    fleet.wait_in_force(2).await;
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
async fn an_agent_refuses_an_attempt_that_was_meant_for_its_earlier_start() {
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
async fn an_attempt_that_is_barred_between_its_claim_and_its_start_never_starts() {
    let hold = "agent-claimed=1*sleep(2000)";
    let plan = Plan {
        plains: vec![hold],
        ..Plan::new(1, 0, 1)
    };
    let fleet = Fleet::start_plan(plan).await;
    let agent = fleet.agent("plain-0");
    let incarnation = fleet.incarnation("agent-plain-0");
    let attempt = support::run_attempt(&fleet, agent, incarnation, 5, Some(9));
    let bar = async {
        let running = format!("http://{}/metrics", agent.admin);
        eventually("the attempt is admitted", async || {
            let answer = fleet.http.get(&running).send().await.expect("metrics");
            answer
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
        .expect("encodes");
        let url = format!("http://{}/inner/bar", agent.data);
        let answer = fleet
            .http
            .post(url)
            .body(body)
            .send()
            .await
            .expect("the agent answers");
        decode::<Outcome>(&answer.bytes().await.expect("whole")).expect("decodes")
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
