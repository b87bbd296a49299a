//! A request that crashes servers is barred wherever in the response they crash, and a sound one is not.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    TestRouter, request, router_with_servers,
    server::{Received, Step, TestServer, chunk, event, ok_response, send_text, stream_head},
};

/// Time in which a router finds out that a server has crashed.
const CHECK_TIME: Duration = Duration::from_millis(250);
/// Crashes after which content is barred.
const CRASHES: usize = 3;

type Script = fn(&Received) -> Vec<Step>;

fn pause(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn is_poison(req: &Received) -> bool {
    req.body == b"poison"
}

/// Starts a router with servers that run `script` for poison, and respond to all other requests.
fn start(service: &str, script: Script) -> (TestRouter, Vec<TestServer>) {
    let servers: Vec<_> = (0..12)
        .map(|index| {
            TestServer::start(&format!("s-{index}"), move |req| {
                if is_poison(req) {
                    script(req)
                } else {
                    vec![ok_response(req, "fine")]
                }
            })
        })
        .collect();
    let router = router_with_servers(service, &servers.iter().collect::<Vec<_>>());
    (router, servers)
}

fn poisoned(servers: &[TestServer]) -> usize {
    let received = servers.iter().flat_map(TestServer::received);
    received.filter(is_poison).count()
}

/// Sends poison `count` times and returns the statuses.
fn send_poison(router: &TestRouter, route: &str, count: usize) -> Vec<u16> {
    let send = |index| {
        let response = router.send(&request("POST", route, &format!("p-{index}"), "poison"));
        std::thread::sleep(CHECK_TIME);
        response.status
    };
    (0..count).map(send).collect()
}

const AFTER_FIRST_EVENT: Script =
    |req| vec![stream_head(req), chunk(&event(1)), pause(20), Step::Crash];
const AFTER_FIRST_EVENT_IN_ORDER: Script = |req| {
    vec![
        stream_head(req),
        chunk(&event(1)),
        pause(20),
        Step::CrashQuietly,
    ]
};
const WITHIN_AN_EVENT: Script = |req| {
    vec![
        stream_head(req),
        chunk(&event(1)),
        pause(20),
        chunk("id: 2\nda"),
        pause(20),
        Step::CrashQuietly,
    ]
};
const AFTER_MANY_EVENTS: Script = |req| {
    let mut steps = vec![stream_head(req)];
    for id in 1..=10 {
        steps.extend([chunk(&event(id)), pause(20)]);
    }
    steps.push(Step::Crash);
    steps
};
const WITH_A_LATE_LISTENER: Script = |_| vec![Step::CrashSlowly(Duration::from_millis(60))];
const AFTER_THE_HEAD: Script = |req| vec![stream_head(req), pause(20), Step::CrashQuietly];
const BEFORE_THE_HEAD: Script = |_| vec![pause(20), Step::Crash];
const WITHIN_A_BODY_WITH_LENGTH: Script = |req| {
    let id = req.header("request").unwrap_or_default();
    let head =
        format!("HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Length: 9\r\n\r\nhalf");
    vec![send_text(&head), pause(20), Step::CrashQuietly]
};
const WITHIN_A_CHUNKED_BODY: Script = |req| {
    let id = req.header("request").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
    );
    vec![send_text(&head), pause(20), Step::CrashQuietly]
};

/// Returns a response without a length and without chunks that begins with `text`.
fn unframed(req: &Received, content_type: &str, text: &str) -> Step {
    let id = req.header("request").unwrap_or_default();
    send_text(&format!(
        "HTTP/1.1 200 OK\r\nRequest: {id}\r\nSigned: s\r\nContent-Type: {content_type}\r\n\r\n{text}"
    ))
}

const WITHIN_AN_UNFRAMED_BODY: Script = |req| {
    vec![
        unframed(req, "text/plain", "half"),
        pause(20),
        Step::CrashQuietly,
    ]
};
const BETWEEN_UNFRAMED_EVENTS: Script = |req| {
    vec![
        unframed(req, "text/event-stream", &event(1)),
        pause(20),
        Step::CrashQuietly,
    ]
};

// Guards against a request that crashes servers at a moment of the response at which the router does not look for a crash.
#[rstest]
#[case::before_the_head("engines", "stream", BEFORE_THE_HEAD)]
#[case::after_the_head("engines", "stream", AFTER_THE_HEAD)]
#[case::with_a_listener_that_closes_late("plain", "action", WITH_A_LATE_LISTENER)]
#[case::after_the_first_event("engines", "stream", AFTER_FIRST_EVENT)]
#[case::after_the_first_event_in_order("engines", "stream", AFTER_FIRST_EVENT_IN_ORDER)]
#[case::within_an_event("engines", "stream", WITHIN_AN_EVENT)]
#[case::after_many_events("engines", "stream", AFTER_MANY_EVENTS)]
#[case::within_a_body_with_length("plain", "action", WITHIN_A_BODY_WITH_LENGTH)]
#[case::within_a_chunked_body("plain", "action", WITHIN_A_CHUNKED_BODY)]
#[case::within_an_unframed_body("plain", "action", WITHIN_AN_UNFRAMED_BODY)]
#[case::between_unframed_events("engines", "stream", BETWEEN_UNFRAMED_EVENTS)]
fn a_request_that_crashes_servers_is_barred(
    #[case] service: &str,
    #[case] route: &str,
    #[case] script: Script,
) {
    let (router, servers) = start(service, script);
    let statuses = send_poison(&router, route, 5);
    assert_eq!(
        (poisoned(&servers), statuses[CRASHES]),
        (CRASHES, 503),
        "{statuses:?}"
    );
}

// Guards against counting only the first server of a resumable stream, and not those that crash under its continuation.
#[test]
fn a_resumable_stream_whose_servers_all_crash_is_barred() {
    let (router, servers) = start("engines", |req| {
        let after: u32 = req
            .header("last-event")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        vec![
            stream_head(req),
            chunk(&event(after + 1)),
            pause(20),
            Step::Crash,
        ]
    });
    let statuses = send_poison(&router, "resumable", 5);
    // The third crash may be noticed only after the stream was resumed once more.
    assert!(poisoned(&servers) <= CRASHES + 1, "{statuses:?}");
    assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
}

// Guards against a crash that is not noticed as the server was called a moment before, for another connection that broke.
#[test]
fn a_crash_soon_after_another_broken_connection_is_noticed() {
    let (router, servers) = start("plain", |req| match req.header("request") {
        Some(id) if id.starts_with("reset") => vec![Step::Reset],
        _ => vec![Step::Crash],
    });
    for round in 0..CRASHES {
        let crashed = poisoned(&servers);
        // All servers that are left have been called by then.
        for index in 0..60 {
            router.send(&request(
                "POST",
                "action",
                &format!("reset-{round}-{index}"),
                "poison",
            ));
        }
        std::thread::sleep(CHECK_TIME);
        let resets = poisoned(&servers) - crashed;
        assert!(resets > 0);
        router.send(&request("POST", "action", &format!("p-{round}"), "poison"));
        std::thread::sleep(CHECK_TIME);
    }
    let refused = router.send(&request("POST", "action", "p-3", "poison"));
    assert_eq!(refused.status, 503);
}

// Guards against a request of which each repetition crashes two servers within a response that has no length.
#[test]
fn a_repeated_request_that_crashes_servers_in_unframed_bodies_is_barred() {
    let (router, servers) = start("plain", WITHIN_AN_UNFRAMED_BODY);
    let statuses = send_poison(&router, "lookup", 4);
    assert_eq!(
        (poisoned(&servers), statuses[3]),
        (CRASHES, 503),
        "{statuses:?}"
    );
}

// Guards against barring sound content whose servers die for another reason under streams that have gone on for long.
#[test]
fn a_stream_that_went_on_for_long_is_no_evidence_against_its_content() {
    let (router, servers) = start("engines", |req| {
        let mut steps = vec![stream_head(req)];
        for id in 1..=9 {
            steps.extend([chunk(&event(id)), pause(260)]);
        }
        steps.push(Step::Crash);
        steps
    });
    assert_eq!(send_poison(&router, "stream", 4), [200; 4]);
    assert_eq!(poisoned(&servers), 4);
}

// Guards against barring content for streams that were cut by servers that go on running.
#[test]
fn a_stream_that_is_cut_by_a_living_server_is_no_evidence_against_its_content() {
    let (router, servers) = start("engines", |req| {
        vec![stream_head(req), chunk(&event(1)), pause(20), Step::Reset]
    });
    assert_eq!(send_poison(&router, "stream", 5), [200; 5]);
    assert_eq!(poisoned(&servers), 5);
}

// Guards against sound content that stays barred until a stream of many seconds is complete.
#[test]
fn a_stream_that_goes_on_refutes_the_crashes_before() {
    // The servers that the first requests reach crash, and those of the last one do not.
    let (router, servers) = start("engines", |req| {
        let mut steps = vec![stream_head(req), chunk(&event(1)), pause(20)];
        if req.header("request") != Some("p-2") {
            steps.push(Step::Crash);
            return steps;
        }
        for id in 2..=10 {
            steps.extend([chunk(&event(id)), pause(260)]);
        }
        steps.push(Step::Crash);
        steps
    });
    assert_eq!(send_poison(&router, "stream", 5), [200; 5]);
    assert_eq!(poisoned(&servers), 5);
}
