//! Tests of the log: each decision is logged, and no line contains a secret.

mod support;

use std::{io::Write, sync::Arc, time::Duration};

use bulrushward_direct::ServerRecord;
use rstest::rstest;
use support::{
    CALLERS_PORT, HOST, KEY, TestRouter, caller, config, log,
    platform::MemoryStore,
    record, request, router_with_servers,
    server::{
        Received, Step, TestServer, broken_stream, chunk, complete_stream, event, ok_response,
        response, send_text, stream_head,
    },
    unique_loopback_ip, wait_until,
};

type Script = fn(&Received) -> Vec<Step>;

const SERVED: Script = |req| vec![ok_response(req, "served")];
const FULL: Script = |req| vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
const FAILS: Script = |req| vec![response(req, "500 Oops", "Signed: s\r\n", "oops")];
const CLOSES: Script = |_| vec![Step::Close];
const HANGS: Script = |_| vec![Step::Hang];
const PAUSES: Script = |req| {
    vec![
        stream_head(req),
        chunk(&event(1)),
        Step::Pause(Duration::from_millis(400)),
        chunk(&event(2)),
        send_text("0\r\n\r\n"),
    ]
};
const COMPLETE: Script = complete_stream;
const BROKEN: Script = broken_stream;
const HANGS_AFTER_FIRST_EVENT: Script = |req| vec![stream_head(req), chunk(&event(1)), Step::Hang];
const PAUSES_OR_HANGS: Script = |req| match req.header("last-event") {
    Some(_) => HANGS(req),
    None => vec![
        stream_head(req),
        chunk(&event(1)),
        Step::Pause(Duration::from_millis(1_300)),
        chunk(&event(2)),
        send_text("0\r\n\r\n"),
    ],
};
const BREAKS_ONCE: Script = |req| match req.header("last-event") {
    Some(_) => complete_stream(req),
    None => broken_stream(req),
};

fn get(route: &str) -> String {
    request("GET", route, "r-1", "")
}

fn request_with_headers(rest: &str) -> String {
    format!("GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\n{rest}\r\n")
}

#[rstest]
#[case::answered(vec![SERVED], get("lookup"), &[
    "event=answered request=r-1 route=lookup organisation=org-1 config=1 server=s-0 status=200 hops=1 load=0.0 least_load=0.0 usable=1 ms",
])]
#[case::sent_to_another_server(vec![FULL, SERVED], get("lookup"), &[
    "event=answered request=r-1 server=s-1 status=200",
])]
#[case::refused_by_a_server(vec![FULL], get("action"), &[
    "event=hop-failed request=r-1 server=s-0 failure=rejected config=1 ms",
    "event=refused request=r-1 route=action status=503 reason=no-server outcome=not-run retry_after_ms",
])]
#[case::server_error(vec![FAILS], get("action"), &[
    "event=hop-failed request=r-1 failure=server-error",
    "event=answered request=r-1 status=500",
])]
#[case::retried(vec![CLOSES, CLOSES], get("lookup"), &[
    "event=hop-failed request=r-1 server=s-0 failure=broken",
    "event=hop-failed request=r-1 server=s-1 failure=broken",
    "event=refused request=r-1 status=502 reason=server-broke outcome=unknown hops=2",
])]
#[case::not_retried(vec![CLOSES], request("POST", "action", "r-1", ""), &[
    "event=refused request=r-1 status=502 reason=server-broke outcome=unknown hops=1",
])]
#[case::server_hangs(vec![HANGS], request("POST", "action", "r-1", "").replace("2500", "300"), &[
    "event=hop-failed request=r-1 failure=silent",
    "event=refused request=r-1 status=504 reason=server-silent outcome=unknown",
])]
#[case::unknown_route(vec![SERVED], get("none"), &[
    "event=refused request=r-1 status=404 reason=unknown-route outcome=not-run",
])]
#[case::unknown_key(vec![SERVED], request_with_headers("Key: no\r\n"), &[
    "event=refused request=r-1 route=lookup config=1 status=401 reason=unknown-key",
])]
#[case::too_large(vec![SERVED], request_with_headers("Key: key-1\r\nContent-Length: 99999999\r\n"), &[
    "event=refused request=r-1 status=413 reason=body-too-large",
])]
#[case::stream_on_time(vec![COMPLETE], get("stream"), &[
    "event=answered request=r-1 route=stream has_prompt=false unread_tokens=0",
])]
#[case::stream_with_a_long_pause(vec![PAUSES], get("stream"), &[
    "event=stream-ended request=r-1 server=s-0 outcome=complete longest_pause_ms ms ended_by=chunked runs=s-0:1-2",
])]
#[case::stream_truncated(vec![BROKEN], get("stream"), &[
    "event=answered request=r-1",
    "event=hop-failed request=r-1 failure=broken",
    "event=stream-ended request=r-1 server=s-0 outcome=cut not_resumed=route detail",
])]
#[case::stream_resumed(vec![BREAKS_ONCE, BREAKS_ONCE], get("resumable"), &[
    "event=hop-failed request=r-1 failure=broken",
    "event=stream-resumed request=r-1 server load usable after_event=3",
    "event=stream-ended request=r-1 outcome=complete",
])]
#[case::silent_server_kept(vec![HANGS_AFTER_FIRST_EVENT], get("resumable"), &[
    "event=silent-server-kept request=r-1 server=s-0 reason=no-server ms",
    "event=hop-failed request=r-1 server=s-0 failure=silent",
    "event=stream-ended request=r-1 server=s-0 outcome=cut not_resumed=time-over",
])]
#[case::silent_server_went_on(vec![PAUSES_OR_HANGS, PAUSES_OR_HANGS], get("resumable"), &[
    "event=hop-failed request=r-1 failure=silent",
    "event=stream-resumed request=r-1 after_event=1",
    "event=silent-server-kept request=r-1 reason=went-on",
    "event=stream-ended request=r-1 outcome=complete longest_pause_ms",
])]
fn each_decision_on_a_request_is_logged(
    #[case] scripts: Vec<Script>,
    #[case] sent: String,
    #[case] lines: &[&str],
) {
    log::capture();
    let servers: Vec<_> = scripts
        .iter()
        .enumerate()
        .map(|(index, script)| TestServer::start(&format!("s-{index}"), *script))
        .collect();
    let is_stream = sent.contains("stream") || sent.contains("resumable");
    let service = if is_stream { "engines" } else { "plain" };
    let router = router_with_servers(service, &servers.iter().collect::<Vec<_>>());
    router.send(&sent);
    for fields in lines {
        log::wait_for_line(fields);
    }
}

#[rstest]
#[case::before_the_response("lookup", HANGS, "event=caller-left request=r-1 server=s-0 hops=1")]
#[case::in_a_stream(
    "stream",
    HANGS_AFTER_FIRST_EVENT,
    "event=stream-ended request=r-1 outcome=left"
)]
fn a_caller_that_leaves_is_logged(
    #[case] route: &str,
    #[case] script: Script,
    #[case] fields: &str,
) {
    log::capture();
    let server = TestServer::start("s-0", script);
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let router = router_with_servers(service, &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = get(route);
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("the request arrives", || !server.received().is_empty());
    if route == "stream" {
        log::wait_for_line("event=answered request=r-1");
    }
    drop(stream);
    log::wait_for_line(fields);
}

#[test]
fn a_refusal_without_configuration_or_servers_is_logged() {
    log::capture();
    let store: Arc<MemoryStore> = MemoryStore::default().into();
    let router = TestRouter::start_at(unique_loopback_ip(), &store, &[]);
    wait_until("the router listens", || router.readiness() == 503);
    router.send(&get("lookup"));
    log::wait_for_line("event=refused request=r-1 reason=no-configuration");
    store.set_config(config(1));
    router.wait_ready();
    router.send(&request("GET", "lookup", "r-2", ""));
    log::wait_for_line("event=refused request=r-2 reason=no-server usable=0");
}

#[test]
fn each_change_of_the_fleet_state_is_logged() {
    log::capture();
    let server = TestServer::echo("s-1");
    let store = MemoryStore::with(config(1));
    let ip = unique_loopback_ip();
    let mut router = TestRouter::start_at(ip, &store, &[]);
    log::wait_for_line("event=started node failure_domain=a listen version");
    log::wait_for_line("event=config-in-force version=1 routes=4 source=store");
    router.wait_ready();
    let entry = record("plain", server.address);
    store.put("s-1", entry.clone());
    log::wait_for_line("event=server-changed server=s-1 state=registered revision");
    store.put(
        "s-1",
        ServerRecord {
            is_leaving: true,
            ..entry
        },
    );
    log::wait_for_line("event=server-changed server=s-1 state=leaving");
    store.remove("s-1");
    log::wait_for_line("event=server-changed server=s-1 state=gone");
    store.discard_history();
    log::wait_for_line("event=store-history-gone");
    store.set_down(true);
    log::wait_for_line("event=store-lost error");
    store.set_down(false);
    log::wait_for_line("event=store-regained");
    let mut peer = TestRouter::start_at(unique_loopback_ip(), &store, &[ip]);
    log::wait_for_line("event=peer-known peer");
    peer.stop();
    peer.join();
    log::wait_for_line("event=peer-lost peer");
    router.stop();
    router.join();
    log::wait_for_line("event=stopping node in_progress=0");
    log::wait_for_line("event=stopped complete=true in_progress=0 ms");
}

#[rstest]
#[case::before_the_response(
    "action",
    HANGS,
    "event=refused request=r-1 server=s-0 hops=1 status=504 reason=stopping outcome=unknown"
)]
#[case::in_a_stream(
    "stream",
    HANGS_AFTER_FIRST_EVENT,
    "event=stream-ended request=r-1 outcome=abandoned"
)]
fn a_request_that_outlasts_the_grace_time_of_a_stop_is_logged(
    #[case] route: &str,
    #[case] script: Script,
    #[case] fields: &str,
) {
    log::capture();
    let server = TestServer::start("s-0", script);
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let store = MemoryStore::with(config(1));
    store.put(&server.id, record(service, server.address));
    let mut settings = support::settings(unique_loopback_ip(), &[]);
    settings.stop_grace = Duration::from_secs(1);
    let mut router = TestRouter::start_with(settings, &store);
    router.wait_ready();
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = get(route).replace("2500", "60000");
    stream
        .write_all(sent.as_bytes())
        .expect("the request can be sent");
    wait_until("the request arrives", || !server.received().is_empty());
    if route == "stream" {
        log::wait_for_line("event=answered request=r-1");
    }
    router.stop();
    router.join();
    log::wait_for_line("event=stopping in_progress=1");
    log::wait_for_line("event=stopped complete=false in_progress=1");
    log::wait_for_line(fields);
}

#[test]
fn a_stall_of_the_router_is_logged_and_counted() {
    log::capture();
    let server = TestServer::start("s-1", SERVED);
    let router = router_with_servers("plain", &[&server]);
    let sent = get("lookup").replace("Key:", "Stall-Ms: 900\r\nKey:");
    assert_eq!(router.send(&sent).status, 200);
    log::wait_for_line("event=traffic-stalled ms");
    let metrics = caller::get(router.address(7_341), "/metrics").expect("metrics are served");
    let stalls = metrics.text().lines().any(|line| {
        line.strip_prefix("bulrushward_direct_stalls_total ")
            .is_some_and(|count| count != "0")
    });
    assert!(stalls);
}

#[test]
fn a_request_that_crashes_servers_is_logged_without_its_body() {
    log::capture();
    let servers: Vec<_> = (0..8)
        .map(|index| {
            TestServer::start(&format!("s-{index}"), |req| {
                let is_bad = req.body == b"poison";
                vec![if is_bad {
                    Step::Crash
                } else {
                    ok_response(req, "")
                }]
            })
        })
        .collect();
    let router = router_with_servers("plain", &servers.iter().collect::<Vec<_>>());
    for index in 0..4 {
        router.send(&request("GET", "lookup", &format!("p-{index}"), "poison"));
        for other in 0..20 {
            router.send(&request("GET", "lookup", &format!("g-{index}-{other}"), ""));
        }
    }
    log::wait_for_line("event=crash-suspected server content");
    log::wait_for_line("event=refused status=503 reason=quarantined retry_after_ms");
    let lines = log::lines();
    assert!(!lines.iter().any(|line| line.contains("poison")));
}

#[test]
fn no_log_line_of_any_level_contains_a_key() {
    log::capture();
    let server = TestServer::start("s-1", |req| vec![ok_response(req, "served")]);
    let router = router_with_servers("plain", &[&server]);
    assert_eq!(router.send(&get("lookup")).status, 200);
    let unknown = request_with_headers("Key: unknown-secret\r\n");
    assert_eq!(router.send(&unknown).status, 401);
    let mut other = config(2);
    other.organisations[0].keys = vec!["newer-secret".to_owned()];
    router.store.set_config(other);
    log::wait_for_line("event=config-in-force version=2");
    assert_eq!(router.send(&get("lookup")).status, 401);
    log::wait_for_line("event=refused config=2 reason=unknown-key");
    let lines = log::lines();
    assert!(lines.len() > 5);
    for secret in [KEY, "unknown-secret", "newer-secret"] {
        let leaking: Vec<_> = lines.iter().filter(|line| line.contains(secret)).collect();
        assert!(leaking.is_empty(), "{leaking:?}");
    }
}
