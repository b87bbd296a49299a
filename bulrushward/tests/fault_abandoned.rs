//! Attempts at an agent whose readers leave and, in some cases, return.

mod support;

use std::time::Duration;

use bulrushward_fakes::EngineSettings;
use bulrushward_protocol::{
    AttemptId, Frame, FrameDecoder, Header, RefusalReason, RunRequest, encode,
};
use support::{Fleet, Plan, chat_request};

/// Id of the attempt.
const ATTEMPT: AttemptId = 0x5;
/// Number of tokens of a response that takes longer than an attempt continues without readers.
const LONG_RESPONSE_TOKENS: u64 = 150;
/// Number of tokens of a response that does not end within the time limit of a test.
const ENDLESS_RESPONSE_TOKENS: u64 = 2_000;
/// Time for which a reader stays, much shorter than the time between two readers.
const READING_TIME: Duration = Duration::from_millis(50);
/// Difference between one absence of readers and the next. Absences of one length could recur in
/// step with the agent's checks, so that every check finds a reader.
const ABSENCE_STEP: Duration = Duration::from_millis(50);

async fn start_fleet() -> Fleet {
    let plan = Plan {
        engine_settings: EngineSettings {
            token_time: Duration::from_millis(100),
            ..EngineSettings::default()
        },
        ..Plan::new(1, 1, 0)
    };
    Fleet::start_plan(plan).await
}

/// Sends an attempt of a streamed chat to the agent as a router does.
async fn run_chat(fleet: &Fleet, tokens: u64) -> reqwest::Response {
    let agent = fleet.agent("engine-0");
    let req = RunRequest {
        request: 1,
        attempt: ATTEMPT,
        agent: fleet.incarnation(&agent.node),
        service: "assess".to_owned(),
        organisation: "examiners".to_owned(),
        kind: "review".to_owned(),
        chat: 1,
        work: 1,
        deadline_ms: 60_000,
        action: None,
        fingerprint: 1,
        suspect: false,
        revision: 1,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: chat_request("portfolio", true, tokens).to_string().into(),
    };
    let url = format!("http://{}/inner/run", agent.data);
    let body = encode(&req).expect("the request encodes");
    let sent = fleet.http.post(url).body(body).send().await;
    sent.expect("the agent responds")
}

/// Resumes the response from its beginning.
async fn resume(fleet: &Fleet) -> reqwest::Response {
    let address = fleet.agent("engine-0").data;
    let url = format!("http://{address}/inner/attempts/{ATTEMPT:x}?from=0");
    let sent = fleet.http.get(url).send().await;
    sent.expect("the agent responds")
}

/// Reads until the frame that ends the attempt.
async fn read_last_frame(mut response: reqwest::Response) -> Frame {
    let mut decoder = FrameDecoder::default();
    loop {
        while let Some(frame) = decoder.next_frame().expect("the frames decode") {
            if matches!(frame, Frame::End { .. } | Frame::Refused(_)) {
                return frame;
            }
        }
        let chunk = response.chunk().await.expect("the response is readable");
        decoder.push(&chunk.expect("the response has a last frame"));
    }
}

// An attempt must not be cancelled right after its reader left because an earlier one left long ago.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_whose_readers_return_in_time_is_completed() {
    let fleet = start_fleet().await;
    let mut response = run_chat(&fleet, LONG_RESPONSE_TOKENS).await;
    let mut absence = Duration::from_millis(200);
    let last_frame = loop {
        let reading = tokio::time::timeout(READING_TIME, read_last_frame(response));
        if let Ok(frame) = reading.await {
            break frame;
        }
        tokio::time::sleep(absence).await;
        absence += ABSENCE_STEP;
        response = resume(&fleet).await;
    };
    assert!(matches!(last_frame, Frame::End { .. }), "{last_frame:?}");
}

// An attempt whose last reader never returns must free its backend server, even if it was resumed.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_whose_readers_do_not_return_is_cancelled() {
    let fleet = start_fleet().await;
    drop(run_chat(&fleet, ENDLESS_RESPONSE_TOKENS).await);
    drop(resume(&fleet).await);
    fleet.wait_idle(fleet.agent("engine-0")).await;
    let last_frame = read_last_frame(resume(&fleet).await).await;
    assert!(
        matches!(&last_frame, Frame::Refused(refusal) if refusal.reason == RefusalReason::Cancelled),
        "{last_frame:?}"
    );
}
