//! Requests through separate processes: from callers through routers and agents to fake backend
//! servers.

mod support;

use nix::sys::signal::Signal;
use support::{Fleet, backend, chat_request, config_text, eventually, header};

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_is_sent_to_the_same_engine_by_every_router() {
    let fleet = Fleet::start(2, 3, 0).await;
    for chat in 0..6 {
        let request = chat_request(&format!("portfolio {chat}"), true, 8);
        let first = fleet.chat(0, &request).await;
        assert_eq!(first.status(), 200);
        let first_backend = backend(&first);
        let body = first.text().await.expect("the response is complete");
        assert!(
            body.contains("data: [DONE]"),
            "the stream has its last event: {body}"
        );
        let second = fleet.chat(1, &request).await;
        assert_eq!(backend(&second), first_backend);
        second.text().await.expect("the response is complete");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_runs_once_and_a_retry_gets_the_first_response() {
    let fleet = Fleet::start(2, 0, 2).await;
    let first = fleet
        .call(0, "POST", "/certificates", Some("key-1"), "technician 7")
        .await;
    assert_eq!(first.status(), 200);
    let first = first.text().await.expect("the response is complete");
    let second = fleet
        .call(1, "POST", "/certificates", Some("key-1"), "technician 7")
        .await;
    assert_eq!(second.status(), 200);
    assert_eq!(
        second.text().await.expect("the response is complete"),
        first
    );
    let executions: usize = fleet
        .plains
        .iter()
        .map(|plain| plain.executions().len())
        .sum();
    assert_eq!(executions, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_action_is_refused_as_not_run_while_the_key_value_service_is_down() {
    let mut fleet = Fleet::start(1, 1, 1).await;
    let kv = std::mem::replace(
        &mut fleet.kv,
        bulrushward_fakes::FakeKeyValue::start()
            .await
            .expect("a second key-value service starts"),
    );
    kv.stop().await;
    let refused = fleet
        .call(0, "POST", "/certificates", Some("key-1"), "technician 7")
        .await;
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "x-bulrushward-outcome"), "not-run");
    assert!(!header(&refused, "retry-after").is_empty());
    let chat = fleet.chat(0, &chat_request("portfolio", false, 8)).await;
    assert_eq!(chat.status(), 200);
    let read = fleet.call(0, "GET", "/certificates/7", None, "").await;
    assert_eq!(read.status(), 200);
    assert!(
        fleet.plains[0]
            .executions()
            .iter()
            .all(|e| e.action.method == "GET")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_agent_completes_streams_and_accepts_no_new_requests() {
    let mut fleet = Fleet::start(1, 2, 0).await;
    let request = chat_request("portfolio", true, 400);
    let running = fleet.chat(0, &request).await;
    let first_backend = backend(&running);
    let index = fleet
        .agents
        .iter()
        .position(|agent| agent.node == format!("agent-{first_backend}"))
        .expect("the agent is known");
    fleet.agents[index].signal(Signal::SIGTERM);
    let fleet_ref = &fleet;
    eventually("new requests go to another agent", async || {
        let other = fleet_ref.chat(0, &chat_request("portfolio", true, 1)).await;
        let other_backend = backend(&other);
        other.text().await.expect("the response is complete");
        other_backend != first_backend
    })
    .await;
    let body = running.text().await.expect("the stream is complete");
    assert!(body.contains("data: [DONE]"));
    assert!(fleet.agents[index].wait_for_exit().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_conflicting_submissions_is_accepted() {
    let fleet = Fleet::start(2, 1, 0).await;
    let (first, _) = fleet
        .submit(0, 1, &config_text("requests_per_second = 100.0\n"))
        .await;
    assert_eq!(first, 200);
    let other = config_text("requests_per_second = 50.0\n");
    let body = serde_json::json!({
        "base": 1, "text": other, "author": "other", "why": "race", "submission": "abc",
    });
    let url = format!("http://{}/admin/config", fleet.routers[1].admin);
    let response = fleet
        .http
        .post(url)
        .json(&body)
        .send()
        .await
        .expect("the router responds");
    assert_eq!(response.status(), 409);
    let conflict: serde_json::Value = response.json().await.expect("the response is JSON");
    assert_eq!(conflict["current"]["revision"], 2);
    assert!(
        conflict["diff"]
            .as_str()
            .expect("a diff")
            .contains("requests_per_second")
    );
    fleet.wait_until_active(2).await;
}
