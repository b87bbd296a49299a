//! Tests of the log: each decision leaves its line, and no line holds a secret.

mod support;

use std::{io::Write, sync::Arc, time::Duration};

use bulrushward_direct::ServerRecord;
use rstest::rstest;
use support::{
    CALLERS_PORT, HOST, KEY, TestRouter, caller, config, log, own_ip,
    platform::MemoryStore,
    record, request, router_before,
    server::{
        Received, Step, TestServer, broken, chunk, event, ok, response, stream_head, text, whole,
    },
    wait_until,
};

type Script = fn(&Received) -> Vec<Step>;

const SERVED: Script = |req| vec![ok(req, "served")];
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
        text("0\r\n\r\n"),
    ]
};
const WHOLE: Script = whole;
const BROKEN: Script = broken;
const GOES_SILENT: Script = |req| vec![stream_head(req), chunk(&event(1)), Step::Hang];
const BREAKS_ONCE: Script = |req| match req.header("last-event") {
    Some(_) => whole(req),
    None => broken(req),
};

fn get(route: &str) -> String {
    request("GET", route, "r-1", "")
}

fn stranger(rest: &str) -> String {
    format!("GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nRequest: r-1\r\n{rest}\r\n")
}

#[rstest]
#[case::answered(vec![SERVED], get("lookup"), &[
    "event=answered request=r-1 route=lookup organisation=org-1 config=1 server=s-0 status=200 hops=1 load=0.0 least_load=0.0 usable=1 ms",
])]
#[case::sent_elsewhere(vec![FULL, SERVED], get("lookup"), &[
    "event=answered request=r-1 server=s-1 status=200",
])]
#[case::refused_by_a_server(vec![FULL], get("action"), &[
    "event=hop-failed request=r-1 server=s-0 failure=rejected config=1 ms",
    "event=refused request=r-1 route=action status=503 reason=no-server outcome=not-run retry_after_ms",
])]
#[case::servers_error(vec![FAILS], get("action"), &[
    "event=hop-failed request=r-1 failure=server-error",
    "event=answered request=r-1 status=500",
])]
#[case::repeated(vec![CLOSES, CLOSES], get("lookup"), &[
    "event=hop-failed request=r-1 server=s-0 failure=broken",
    "event=hop-failed request=r-1 server=s-1 failure=broken",
    "event=refused request=r-1 status=502 reason=server-broke outcome=unknown hops=2",
])]
#[case::not_repeated(vec![CLOSES], request("POST", "action", "r-1", ""), &[
    "event=refused request=r-1 status=502 reason=server-broke outcome=unknown hops=1",
])]
#[case::silent(vec![HANGS], request("POST", "action", "r-1", "").replace("2500", "300"), &[
    "event=hop-failed request=r-1 failure=silent",
    "event=refused request=r-1 status=504 reason=server-silent outcome=unknown",
])]
#[case::unknown_route(vec![SERVED], get("none"), &[
    "event=refused request=r-1 status=404 reason=unknown-route outcome=not-run",
])]
#[case::unknown_key(vec![SERVED], stranger("Key: no\r\n"), &[
    "event=refused request=r-1 route=lookup config=1 status=401 reason=unknown-key",
])]
#[case::too_large(vec![SERVED], stranger("Key: key-1\r\nContent-Length: 99999999\r\n"), &[
    "event=refused request=r-1 status=413 reason=body-too-large",
])]
#[case::stream_on_time(vec![WHOLE], get("stream"), &[
    "event=answered request=r-1 route=stream has_prompt=false unread_tokens=0",
])]
#[case::stream_with_a_long_pause(vec![PAUSES], get("stream"), &[
    "event=stream-ended request=r-1 server=s-0 outcome=complete longest_pause_ms ms",
])]
#[case::stream_cut(vec![BROKEN], get("stream"), &[
    "event=answered request=r-1",
    "event=hop-failed request=r-1 failure=broken",
    "event=stream-ended request=r-1 server=s-0 outcome=cut detail",
])]
#[case::stream_resumed(vec![BREAKS_ONCE, BREAKS_ONCE], get("resumable"), &[
    "event=hop-failed request=r-1 failure=broken",
    "event=stream-resumed request=r-1 server load usable after_event=3",
    "event=stream-ended request=r-1 outcome=complete",
])]
fn a_decision_on_a_request_leaves_its_line(
    #[case] scripts: Vec<Script>,
    #[case] sent: String,
    #[case] lines: &[&str],
) {
    log::keep();
    let servers: Vec<_> = scripts
        .iter()
        .enumerate()
        .map(|(index, script)| TestServer::start(&format!("s-{index}"), *script))
        .collect();
    let is_stream = sent.contains("stream") || sent.contains("resumable");
    let service = if is_stream { "engines" } else { "plain" };
    let router = router_before(service, &servers.iter().collect::<Vec<_>>());
    router.ask(&sent);
    for fields in lines {
        log::wait_line(fields);
    }
}

#[rstest]
#[case::before_the_answer("lookup", HANGS, "event=caller-left request=r-1 server=s-0 hops=1")]
#[case::in_a_stream("stream", GOES_SILENT, "event=stream-ended request=r-1 outcome=left")]
fn a_caller_that_leaves_is_noted(
    #[case] route: &str,
    #[case] script: Script,
    #[case] fields: &str,
) {
    log::keep();
    let server = TestServer::start("s-0", script);
    let service = if route == "stream" {
        "engines"
    } else {
        "plain"
    };
    let router = router_before(service, &[&server]);
    let mut stream = caller::connect(router.address(CALLERS_PORT));
    let sent = get(route);
    stream.write_all(sent.as_bytes()).expect("the router reads");
    wait_until("it arrives", || !server.received().is_empty());
    if route == "stream" {
        log::wait_line("event=answered request=r-1");
    }
    drop(stream);
    log::wait_line(fields);
}

#[test]
fn a_request_without_configuration_or_servers_is_refused_in_a_line() {
    log::keep();
    let store: Arc<MemoryStore> = MemoryStore::default().into();
    let router = TestRouter::start_at(own_ip(), &store, &[]);
    wait_until("it listens", || router.readiness() == 503);
    router.ask(&get("lookup"));
    log::wait_line("event=refused request=r-1 reason=no-configuration");
    store.set_config(config(1));
    router.wait_ready();
    router.ask(&request("GET", "lookup", "r-2", ""));
    log::wait_line("event=refused request=r-2 reason=no-server usable=0");
}

#[test]
fn a_change_of_what_a_router_believes_leaves_its_line() {
    log::keep();
    let server = TestServer::echo("s-1");
    let store = MemoryStore::with(config(1));
    let ip = own_ip();
    let mut router = TestRouter::start_at(ip, &store, &[]);
    log::wait_line("event=started node failure_domain=a listen version");
    log::wait_line("event=config-in-force version=1 routes=4 source=store");
    router.wait_ready();
    let entry = record("plain", server.address);
    store.put("s-1", entry.clone());
    log::wait_line("event=server-changed server=s-1 state=registered revision");
    store.put(
        "s-1",
        ServerRecord {
            is_leaving: true,
            ..entry
        },
    );
    log::wait_line("event=server-changed server=s-1 state=leaving");
    store.remove("s-1");
    log::wait_line("event=server-changed server=s-1 state=gone");
    store.drop_history();
    log::wait_line("event=store-history-gone");
    store.set_down(true);
    log::wait_line("event=store-lost error");
    store.set_down(false);
    log::wait_line("event=store-regained");
    let mut peer = TestRouter::start_at(own_ip(), &store, &[ip]);
    log::wait_line("event=peer-known peer");
    peer.stop();
    peer.ended();
    log::wait_line("event=peer-lost peer");
    router.stop();
    router.ended();
    log::wait_line("event=stopping node");
    log::wait_line("event=stopped complete=true ms");
}

#[test]
fn a_content_that_crashes_servers_is_named_without_its_bytes() {
    log::keep();
    let servers: Vec<_> = (0..8)
        .map(|index| {
            TestServer::start(&format!("s-{index}"), |req| {
                let is_bad = req.body == b"poison";
                vec![if is_bad { Step::Crash } else { ok(req, "") }]
            })
        })
        .collect();
    let router = router_before("plain", &servers.iter().collect::<Vec<_>>());
    for index in 0..4 {
        router.ask(&request("GET", "lookup", &format!("p-{index}"), "poison"));
        for other in 0..20 {
            router.ask(&request("GET", "lookup", &format!("g-{index}-{other}"), ""));
        }
    }
    log::wait_line("event=crash-suspected server content");
    log::wait_line("event=refused status=503 reason=quarantined retry_after_ms");
    let lines = log::lines();
    assert!(!lines.iter().any(|line| line.contains("poison")));
}

#[test]
fn no_line_of_any_level_holds_a_key() {
    log::keep();
    let server = TestServer::start("s-1", |req| vec![ok(req, "served")]);
    let router = router_before("plain", &[&server]);
    assert_eq!(router.ask(&get("lookup")).status, 200);
    let unknown = stranger("Key: unknown-secret\r\n");
    assert_eq!(router.ask(&unknown).status, 401);
    let mut other = config(2);
    other.organisations[0].keys = vec!["newer-secret".to_owned()];
    router.store.set_config(other);
    log::wait_line("event=config-in-force version=2");
    assert_eq!(router.ask(&get("lookup")).status, 401);
    log::wait_line("event=refused config=2 reason=unknown-key");
    let lines = log::lines();
    assert!(lines.len() > 5);
    for secret in [KEY, "unknown-secret", "newer-secret"] {
        let telling: Vec<_> = lines.iter().filter(|line| line.contains(secret)).collect();
        assert!(telling.is_empty(), "{telling:?}");
    }
}
