//! Attempts whose connections between router and agent are lost again and again.

mod support;

use std::time::Duration;

use bulrushward_fakes::{Direction, EngineSettings, FakeEngine, FaultyProxy, NetworkFault};
use bulrushward_protocol::{Frame, Header, Outcome, Refusal, RefusalReason};
use rstest::rstest;
use support::{
    Fleet, Plan, TEST_TIMEOUT, chat_request, config_text, counter, header,
    scripted_agent::{Answer, ScriptedAgent},
};

/// Time after which a router has given up an attempt at an agent that does not respond, in every way.
const BAR_TIME: Duration = Duration::from_millis(2_500);
/// Time in which a proxy delivers what it has held back.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Name of the counter of resumed responses.
const RESUMES: &str = "bulrushward_router_resumes_total";
/// Lost connections of one response, more than a router accepts without progress.
const LOST_CONNECTIONS: u64 = 8;
/// Chunks that arrive between two lost connections.
const CHUNKS_BETWEEN: usize = 3;
/// Connections of an attempt that makes no progress after the first: it and three resumes.
const CONNECTIONS_WITHOUT_PROGRESS: usize = 4;
/// Event that a scripted agent sends first.
const FIRST_EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"first\"}}]}\n\n";
/// Event that a scripted agent sends last.
const LAST_EVENT: &str = "data: [DONE]\n\n";

fn silence_connections(proxy: &FaultyProxy) {
    proxy.stall(Direction::FromTarget);
}

// A stream must not be cut after a number of lost connections in its whole life.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_any_number_of_lost_connections_with_progress_between_them(
    #[values(FaultyProxy::close_connections, silence_connections)] fault: fn(&FaultyProxy),
) {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let settings = EngineSettings {
        token_time: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings).await;
    let engine = engine.expect("the engine starts");
    let proxy = fleet.add_proxied_agent("engine-0", &engine.url()).await;
    fleet.wait_until_active(1).await;
    let mut response = fleet.chat(0, &chat_request("portfolio", true, 600)).await;
    let mut body = String::new();
    let (mut lost, mut chunks) = (0, 0);
    while let Some(chunk) = response.chunk().await.expect("the response continues") {
        body += &String::from_utf8_lossy(&chunk);
        if lost == LOST_CONNECTIONS || counter(&fleet, &fleet.routers[0], RESUMES).await < lost {
            continue;
        }
        chunks += 1;
        if chunks == CHUNKS_BETWEEN {
            fault(&proxy);
            (lost, chunks) = (lost + 1, 0);
        }
    }
    assert!(body.contains("data: [DONE]"), "{body}");
    assert!(!body.contains("answer-cut"), "{body}");
    assert!(counter(&fleet, &fleet.routers[0], RESUMES).await >= LOST_CONNECTIONS);
}

/// Returns the frames of a started response up to its first event.
fn first_frames() -> Vec<Frame> {
    vec![
        Frame::Started,
        Frame::Head {
            status: 200,
            headers: vec![Header {
                name: "content-type".to_owned(),
                value: "text/event-stream".to_owned(),
            }],
        },
        Frame::Data {
            offset: 0,
            bytes: FIRST_EVENT.into(),
        },
    ]
}

/// Returns the first frames and a heartbeat.
fn frames_and_heartbeat() -> Vec<Frame> {
    let mut frames = first_frames();
    frames.push(Frame::Heartbeat);
    frames
}

/// Reads a streamed response until it ends or breaks off.
async fn read_all(mut response: reqwest::Response) -> String {
    let mut body = String::new();
    let read = async {
        while let Ok(Some(chunk)) = response.chunk().await {
            body += &String::from_utf8_lossy(&chunk);
        }
    };
    let in_time = tokio::time::timeout(TEST_TIMEOUT, read).await;
    in_time.expect("the response ends in time");
    body
}

// A pause of the server must not end a response whose agent is heard on every new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_any_number_of_lost_connections_with_heartbeats_between_them() {
    let mut script = vec![frames_and_heartbeat(); LOST_CONNECTIONS as usize];
    script.push(complete_frames());
    let mut fleet = Fleet::start(1, 0, 0).await;
    let agent = fleet.add_scripted_agent("engine-0", script).await;
    fleet.wait_until_active(1).await;
    let body = read_all(fleet.chat(0, &chat_request("portfolio", true, 8)).await).await;
    assert_eq!(body, format!("{FIRST_EVENT}{LAST_EVENT}"));
    assert_eq!(agent.connections(), LOST_CONNECTIONS as usize + 1);
}

// An agent that only repeats what it sent before must not hold its caller for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_progress_on_new_connections_is_cut() {
    let mut fleet = Fleet::start(1, 0, 0).await;
    let agent = fleet
        .add_scripted_agent("engine-0", vec![first_frames()])
        .await;
    fleet.wait_until_active(1).await;
    let body = read_all(fleet.chat(0, &chat_request("portfolio", true, 8)).await).await;
    assert!(body.starts_with(FIRST_EVENT), "{body}");
    assert!(body.contains("answer-cut"), "{body}");
    assert_eq!(agent.connections(), CONNECTIONS_WITHOUT_PROGRESS);
}

/// Starts a fleet whose agent sends the beginning of a response and a heartbeat on every
/// connection, with a deadline of one second for short responses.
async fn start_with_heartbeats_only() -> (Fleet, ScriptedAgent) {
    let plan = Plan {
        text: config_text("").replace("deadline_seconds = 20", "deadline_seconds = 1"),
        ..Plan::new(1, 0, 0)
    };
    let mut fleet = Fleet::start_plan(plan).await;
    let agent = fleet
        .add_scripted_agent("engine-0", vec![frames_and_heartbeat()])
        .await;
    fleet.wait_until_active(1).await;
    (fleet, agent)
}

// Heartbeats on new connections must not hold a stream beyond the deadline of its request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_only_heartbeats_on_new_connections_is_cut_after_its_deadline() {
    let (fleet, agent) = start_with_heartbeats_only().await;
    let body = read_all(fleet.chat(0, &chat_request("portfolio", true, 8)).await).await;
    assert!(body.starts_with(FIRST_EVENT), "{body}");
    assert!(body.contains("answer-cut"), "{body}");
    assert!(agent.connections() > CONNECTIONS_WITHOUT_PROGRESS);
}

// Heartbeats on new connections must not hold a response that is not streamed beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_only_heartbeats_on_new_connections_is_refused_at_its_deadline() {
    let (fleet, agent) = start_with_heartbeats_only().await;
    let request = chat_request("portfolio", false, 8);
    let response = tokio::time::timeout(TEST_TIMEOUT, fleet.chat(0, &request)).await;
    let response = response.expect("the request is refused in time");
    assert_eq!(header(&response, "x-bulrushward-outcome"), "unknown");
    let body = response.text().await.expect("the refusal is complete");
    assert!(body.contains("\"deadline\""), "{body}");
    assert!(agent.connections() > CONNECTIONS_WITHOUT_PROGRESS);
}

/// Returns the frames of a complete response.
fn complete_frames() -> Vec<Frame> {
    let mut frames = first_frames();
    frames.push(Frame::Data {
        offset: FIRST_EVENT.len() as u64,
        bytes: LAST_EVENT.into(),
    });
    let length = (FIRST_EVENT.len() + LAST_EVENT.len()) as u64;
    frames.push(Frame::End { length });
    frames
}

// A refusal that names no attempt, which may be a copy of an earlier one, must not count as that of this attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_names_no_attempt_is_none_of_a_pooled_connection() {
    let copy = Refusal {
        reason: RefusalReason::QueueFull,
        outcome: Outcome::NotRun,
        retry_after_ms: 500,
        message: "a copy".to_owned(),
    };
    let script = vec![
        Answer::Unnamed(Frame::Refused(copy)),
        Answer::Frames(complete_frames()),
    ];
    let mut fleet = Fleet::start(1, 0, 0).await;
    let agent = fleet.add_scripted_agent("engine-0", script).await;
    fleet.wait_until_active(1).await;
    let body = read_all(fleet.chat(0, &chat_request("portfolio", true, 8)).await).await;
    assert_eq!(body, format!("{FIRST_EVENT}{LAST_EVENT}"));
    assert_eq!(agent.connections(), 2);
}

// An error of an agent on a new connection must not be read as the rest of a response.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_after_an_error_on_a_new_connection() {
    let script = vec![
        Answer::Frames(first_frames()),
        Answer::Error,
        Answer::Frames(complete_frames()),
    ];
    let mut fleet = Fleet::start(1, 0, 0).await;
    let agent = fleet.add_scripted_agent("engine-0", script).await;
    fleet.wait_until_active(1).await;
    let body = read_all(fleet.chat(0, &chat_request("portfolio", true, 8)).await).await;
    assert_eq!(body, format!("{FIRST_EVENT}{LAST_EVENT}"));
    assert_eq!(agent.connections(), 3);
}

/// Guards against attempts that reach an agent after their router has given them up, as the network held them back.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_that_was_given_up_is_not_delivered_later() {
    let plan = Plan {
        text: config_text("").replace("deadline_seconds = 20", "deadline_seconds = 1"),
        ..Plan::new(1, 0, 0)
    };
    let mut fleet = Fleet::start_plan(plan).await;
    let script = vec![Answer::Frames(frames_and_heartbeat())];
    let (agent, proxy) = fleet.add_proxied_scripted_agent("engine-0", script).await;
    fleet.wait_until_active(1).await;
    proxy
        .set_fault(NetworkFault {
            hold: Some(Direction::ToTarget),
            ..NetworkFault::default()
        })
        .await;
    let response = fleet.chat(0, &chat_request("portfolio", false, 8)).await;
    assert!(response.status().is_server_error(), "{}", response.status());
    // The router asks the agent to bar the attempt, and gives that up as well.
    tokio::time::sleep(BAR_TIME).await;
    proxy.restore().await;
    tokio::time::sleep(DELIVERY_TIME).await;
    assert_eq!(agent.connections(), 0);
}
