//! Tests of streams while servers of several software versions stand side by side.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_direct::ServerRecord;
use rstest::rstest;
use support::{
    TestRouter,
    caller::Response,
    config, metric,
    platform::{MemoryStore, Trouble},
    record, request,
    server::{Received, Step, TestServer, chunk, complete_stream, events, response, stream_head},
    settings, unique_loopback_ip, wait_until,
};

/// Number of servers of the version that did not begin the stream, so that a choice at random would find one.
const OTHERS: usize = 8;
/// Time in which a stream that cannot go on is refused; its callers wait for 2.5 s.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// Sends three events and the beginning of another one.
fn breaks(req: &Received) -> Vec<Step> {
    if req.header("last-event").is_some() {
        return complete_stream(req);
    }
    vec![
        stream_head(req),
        chunk(&events(1, 3)),
        chunk("id: 4\ndata: wo"),
        Step::Pause(Duration::from_millis(30)),
        Step::Reset,
    ]
}

/// Sends two events and then nothing.
fn falls_silent(req: &Received) -> Vec<Step> {
    if req.header("last-event").is_some() {
        return complete_stream(req);
    }
    vec![stream_head(req), chunk(&events(1, 2)), Step::Hang]
}

/// Rejects a stream that goes on and breaks a new one.
fn breaks_and_rejects(req: &Received) -> Vec<Step> {
    if req.header("last-event").is_some() {
        return vec![response(req, "503 Full", "Not-Run: 1\r\n", "")];
    }
    breaks(req)
}

fn of_version(version: &str, address: SocketAddr) -> ServerRecord {
    ServerRecord {
        version: (!version.is_empty()).then(|| version.to_owned()),
        ..record("engines", address)
    }
}

/// A server of another version; it would complete any stream.
fn others() -> Vec<TestServer> {
    let start = |index| TestServer::start(&format!("other-{index}"), complete_stream);
    (0..OTHERS).map(start).collect()
}

/// Registers servers of a version.
fn register<'a>(
    store: &MemoryStore,
    version: &str,
    servers: impl IntoIterator<Item = &'a TestServer>,
) {
    for server in servers {
        store.put(&server.id, of_version(version, server.address));
    }
}

fn requests(servers: &[TestServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}

/// Starts routers that know each other and the servers, as those of a fleet that ran before.
fn routers<const N: usize>(store: &Arc<MemoryStore>, servers: usize) -> [TestRouter; N] {
    routers_with(false, store, servers)
}

/// Starts the routers of a fleet that starts for the first time.
fn first_routers<const N: usize>(store: &Arc<MemoryStore>, servers: usize) -> [TestRouter; N] {
    routers_with(true, store, servers)
}

fn routers_with<const N: usize>(
    first_start: bool,
    store: &Arc<MemoryStore>,
    servers: usize,
) -> [TestRouter; N] {
    let ips = [(); N].map(|()| unique_loopback_ip());
    let routers = ips.map(|ip| {
        let mut settings = settings(ip, &ips);
        settings.places_port = Some(7_342);
        settings.first_start = first_start;
        TestRouter::start_with(settings, store)
    });
    for router in &routers {
        router.wait_ready();
        wait_until("the routers know each other and the servers", || {
            metric(router, "routers") == Some(N as u32)
                && metric(router, "servers") == Some(servers as u32)
        });
    }
    routers
}

/// Returns the text of a request that goes on with the stream that began as `began_as`.
fn resumed(id: &str, began_as: &str, after: u32) -> String {
    let headers = format!("Resumes: {began_as}\r\nLast-Event: {after}\r\nKey:");
    request("POST", "resumable", id, "").replace("Key:", &headers)
}

fn assert_refused(response: &Response, sent: Instant) {
    assert_eq!(response.status, 503);
    assert_eq!(response.header("x-bulrushward-outcome"), Some("not-run"));
    assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
}

/// Starts a stream that breaks at the only server of its version, and returns the routers and the other servers.
fn broken_stream_among_others<const N: usize>() -> ([TestRouter; N], Vec<TestServer>, TestServer) {
    let store = MemoryStore::with(config(1));
    let first = TestServer::start("first", breaks);
    register(&store, "v1", [&first]);
    let routers = routers(&store, 1);
    let others = others();
    let begun = std::thread::scope(|scope| {
        let begun = scope.spawn(|| routers[0].send(&request("POST", "resumable", "r-1", "")));
        wait_until("the stream has begun", || !first.received().is_empty());
        register(&store, "v2", &others);
        begun.join().expect("the caller does not panic")
    });
    assert_eq!(begun.text(), events(1, 3));
    assert!(!begun.is_complete);
    for router in &routers {
        wait_until("the router knows the servers", || {
            metric(router, "servers") == Some(1 + OTHERS as u32)
        });
    }
    (routers, others, first)
}

/// Streams went on at servers of another version, as no choice of a server took the version into account.
#[rstest]
#[case::failed(breaks, 3)]
#[case::silent(falls_silent, 2)]
fn a_stream_goes_on_only_at_the_version_that_began_it(
    #[case] script: fn(&Received) -> Vec<Step>,
    #[case] last_event: u32,
) {
    let store = MemoryStore::with(config(1));
    let same = [0, 1].map(|index| TestServer::start(&format!("same-{index}"), script));
    register(&store, "v1", &same);
    let [router] = routers(&store, 2);
    let others = others();
    let response = std::thread::scope(|scope| {
        let response = scope.spawn(|| router.send(&request("POST", "resumable", "r-1", "")));
        wait_until("the stream has begun", || requests(&same) == 1);
        register(&store, "v2", &others);
        response.join().expect("the caller does not panic")
    });
    assert!(response.is_complete);
    assert_eq!(response.text(), events(1, 6));
    let received: Vec<_> = same.iter().flat_map(TestServer::received).collect();
    let resumed: Vec<_> = received
        .iter()
        .filter_map(|req| req.header("last-event"))
        .collect();
    assert_eq!(resumed, [last_event.to_string()]);
    assert_eq!(requests(&others), 0);
}

/// Streams went on at another version when the servers of their own were gone.
#[test]
fn a_stream_is_cut_if_no_server_of_its_version_is_left() {
    let (_routers, others, _first) = broken_stream_among_others::<1>();
    assert_eq!(requests(&others), 0);
}

/// Streams that callers resumed went to servers of any version, at the router that began them and at others.
#[rstest]
#[case::same_router(0)]
#[case::another_router(1)]
fn a_stream_that_its_caller_resumes_goes_on_at_the_version_that_began_it(#[case] router: usize) {
    let (routers, others, first) = broken_stream_among_others::<2>();
    let knows = |servers: usize| {
        wait_until("the router knows the servers", || {
            metric(&routers[router], "servers") == Some(servers as u32)
        });
    };
    routers[0].store.remove(&first.id);
    knows(OTHERS);
    let sent = Instant::now();
    let refused = routers[router].send(&resumed("r-2", "r-1", 3));
    assert_refused(&refused, sent);
    assert_eq!(requests(&others), 0);
    let same = TestServer::start("same", complete_stream);
    register(&routers[0].store, "v1", [&same]);
    knows(OTHERS + 1);
    for id in ["r-3", "r-4"] {
        let response = routers[router].send(&resumed(id, "r-1", 3));
        assert_eq!((response.status, response.text()), (200, events(4, 6)));
    }
    assert_eq!(requests(&others), 0);
}

/// Streams whose router had died went to servers of any version.
#[test]
fn a_stream_goes_on_at_its_version_after_its_router_has_died() {
    let ([mut first_router, second, third], others, first) = broken_stream_among_others::<3>();
    first_router.stop();
    first_router.join();
    for router in [&second, &third] {
        let response = router.send(&resumed("r-2", "r-1", 3));
        assert_eq!((response.status, response.text()), (200, events(4, 6)));
    }
    assert_eq!(requests(&others), 0);
    assert_eq!(first.received().len(), 3);
}

/// A stream that no router knew went to a server at random.
#[rstest]
#[case::unknown("r-9")]
#[case::not_named("")]
fn a_stream_of_unknown_version_does_not_go_on(#[case] began_as: &str) {
    let (routers, others, first) = broken_stream_among_others::<2>();
    let sent = Instant::now();
    let refused = routers[1].send(&resumed("r-2", began_as, 3));
    assert_refused(&refused, sent);
    assert_eq!((requests(&others), first.received().len()), (0, 1));
}

/// A caller could learn the version of another organisation's stream, and go on with it.
#[test]
fn a_stream_of_another_organisation_does_not_go_on() {
    let mut config = config(1);
    let mut organisation = config.organisations[0].clone();
    "org-2".clone_into(&mut organisation.name);
    organisation.keys = vec!["key-2".to_owned()];
    config.organisations.push(organisation);
    let store = MemoryStore::with(config);
    let first = TestServer::start("first", breaks);
    register(&store, "v1", [&first]);
    let [router] = routers(&store, 1);
    let begun = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(begun.text(), events(1, 3));
    let others = others();
    register(&store, "v2", &others);
    wait_until("the router knows the servers", || {
        metric(&router, "servers") == Some(1 + OTHERS as u32)
    });
    let sent = Instant::now();
    let refused = router.send(&resumed("r-2", "r-1", 3).replace(support::KEY, "key-2"));
    assert_refused(&refused, sent);
    assert_eq!(router.send(&resumed("r-3", "r-1", 3)).text(), events(4, 6));
}

/// A resumed stream went to another version after the server of its own version had rejected it.
#[test]
fn a_retry_of_a_resumed_stream_stays_at_the_version_that_began_it() {
    let store = MemoryStore::with(config(1));
    let first = TestServer::start("first", breaks_and_rejects);
    register(&store, "v1", [&first]);
    let [router] = routers(&store, 1);
    assert_eq!(
        router.send(&request("POST", "resumable", "r-1", "")).text(),
        events(1, 3)
    );
    let others = others();
    register(&store, "v2", &others);
    wait_until("the router knows the servers", || {
        metric(&router, "servers") == Some(1 + OTHERS as u32)
    });
    let sent = Instant::now();
    let refused = router.send(&resumed("r-2", "r-1", 3));
    assert_refused(&refused, sent);
    assert_eq!((requests(&others), first.received().len()), (0, 2));
}

/// Servers without a version were taken to have the same one.
#[test]
fn a_stream_of_a_server_without_a_version_does_not_go_on() {
    let store = MemoryStore::with(config(1));
    let servers = [0, 1].map(|index| TestServer::start(&format!("s-{index}"), breaks));
    register(&store, "", &servers);
    let [router] = routers(&store, 2);
    let begun = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!((begun.is_complete, begun.text()), (false, events(1, 3)));
    let sent = Instant::now();
    assert_refused(&router.send(&resumed("r-2", "r-1", 3)), sent);
    assert_eq!(requests(&servers), 1);
}

/// A server that restarts under its id with another version would have gone on with a stream of the earlier one.
#[test]
fn a_server_that_returns_with_another_version_does_not_go_on() {
    let store = MemoryStore::with(config(1));
    let server = TestServer::start("first", breaks);
    register(&store, "v1", [&server]);
    let [router] = routers(&store, 1);
    assert_eq!(
        router.send(&request("POST", "resumable", "r-1", "")).text(),
        events(1, 3)
    );
    let restarted = ServerRecord {
        started_ms: 2,
        ..of_version("v2", server.address)
    };
    store.put("first", restarted);
    let is_served = |id: &str| router.send(&request("POST", "resumable", id, "")).status == 200;
    wait_until("the new version serves", || is_served("r-2"));
    let arrived = server.received().len();
    std::thread::sleep(Duration::from_millis(300));
    let sent = Instant::now();
    assert_refused(&router.send(&resumed("r-3", "r-1", 3)), sent);
    assert_eq!(server.received().len(), arrived);
}

/// Callers that do not say as which request their stream began were refused though there had been one version only.
#[rstest]
#[case::not_named("")]
#[case::unknown("r-9")]
fn a_stream_of_a_service_that_has_one_version_only_goes_on(#[case] began_as: &str) {
    let store = MemoryStore::with(config(1));
    let server = TestServer::start("first", complete_stream);
    register(&store, "v1", [&server]);
    let [router] = first_routers(&store, 1);
    wait_until("the router knows that the fleet starts", || {
        let response = router.send(&resumed("r-2", began_as, 3));
        (response.status, response.text()) == (200, events(4, 6))
    });
}

/// Streams that resumed after the loss of all routers were refused though there had been one version only.
#[rstest]
#[case::one_version(false)]
#[case::another_version_meanwhile(true)]
fn a_stream_goes_on_after_the_loss_of_all_routers_if_there_was_one_version_only(
    #[case] had_another_version: bool,
) {
    let store = MemoryStore::with(config(1));
    let server = TestServer::start("first", complete_stream);
    register(&store, "v1", [&server]);
    let [mut lost] = first_routers(&store, 1);
    let in_session =
        request("POST", "stream", "r-1", "").replace("Key:", "Prompt: 7:500,8:20\r\nKey:");
    assert_eq!(lost.send(&in_session).status, 200);
    wait_until("the router saves what it knows", || {
        store.saved_bytes().is_some()
    });
    lost.stop();
    lost.join();
    if had_another_version {
        let other = TestServer::start("other", complete_stream);
        register(&store, "v2", [&other]);
        store.remove(&other.id);
    }
    let [router] = routers(&store, 1);
    std::thread::sleep(Duration::from_millis(300));
    let response = router.send(&resumed("r-2", "r-1", 3));
    let expected = if had_another_version { 503 } else { 200 };
    assert_eq!(response.status, expected);
}

/// A router without saved data took its fleet for one that starts for the first time, though all routers had been lost.
#[rstest]
#[case::nothing_was_saved(false)]
#[case::what_was_saved_cannot_be_read(true)]
fn a_fleet_without_saved_data_does_not_claim_that_it_starts_for_the_first_time(
    #[case] is_spoiled: bool,
) {
    let store = MemoryStore::with(config(1));
    let first = TestServer::start("first", breaks);
    register(&store, "v1", [&first]);
    let [mut lost] = first_routers(&store, 1);
    let begun = lost.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!((begun.text(), begun.is_complete), (events(1, 3), false));
    lost.stop();
    lost.join();
    store.set_saved(is_spoiled.then(|| "not saved by a router".into()));
    store.remove(&first.id);
    let other = TestServer::start("other", complete_stream);
    register(&store, "v2", [&other]);
    let [router] = routers(&store, 1);
    std::thread::sleep(Duration::from_millis(300));
    for (id, began_as) in [("r-2", "r-1"), ("r-3", "r-1"), ("r-4", ""), ("r-5", "r-9")] {
        let sent = Instant::now();
        assert_refused(&router.send(&resumed(id, began_as, 3)), sent);
    }
    assert_eq!(other.received().len(), 0);
}

/// A router that heard late of a second version took the first one for the only one, and did not ask who began the stream.
#[test]
fn a_router_whose_view_is_late_goes_on_with_streams_where_they_began() {
    // More routers than those that keep the origin of a stream.
    const ROUTERS: usize = 6;
    let stores = [(); 2].map(|()| MemoryStore::with(config(1)));
    let old = TestServer::start("old", complete_stream);
    for store in &stores {
        register(store, "v1", [&old]);
    }
    let ips = [(); ROUTERS].map(|()| unique_loopback_ip());
    let routers = ips.map(|ip| {
        let mut settings = settings(ip, &ips);
        settings.places_port = Some(7_342);
        settings.first_start = true;
        TestRouter::start_with(settings, &stores[usize::from(ip == ips[0])])
    });
    for (index, router) in routers.iter().enumerate() {
        router.wait_ready();
        wait_until("the routers know each other", || {
            metric(router, "routers") == Some(ROUTERS as u32)
        });
        wait_until("the router knows that the fleet starts", || {
            let resumed = resumed("r-0", &format!("unknown-{index}"), 3);
            router.send(&resumed).status == 200
        });
    }
    let [late, others @ ..] = routers;
    let new = TestServer::start("new", breaks);
    register(&stores[0], "v2", [&new]);
    stores[0].remove(&old.id);
    let mut begun = 0;
    wait_until("streams begin at the new version", || {
        begun += 1;
        let began_as = format!("n-{begun}");
        others[0].send(&request("POST", "resumable", &began_as, ""));
        let response = late.send(&resumed(&format!("r-{begun}"), &began_as, 3));
        let text = response.text();
        assert!(response.status == 503 || text == events(4, 6), "{text}");
        began_at(&new).len() >= 8
    });
    // Until the new version is the only one that the other routers know, streams begin at the old one too.
    for (server, other) in [(&old, &new), (&new, &old)] {
        let gone_on = server.received();
        let gone_on = gone_on.iter().filter_map(|req| req.header("resumes"));
        let elsewhere = began_at(other);
        for began_as in gone_on {
            assert!(
                !elsewhere.iter().any(|id| id == began_as),
                "{began_as} began at {} and went on at {}",
                other.id,
                server.id
            );
        }
    }
}

/// Returns the ids of the streams that began at a server.
fn began_at(server: &TestServer) -> Vec<String> {
    let received = server.received();
    let new = received
        .iter()
        .filter(|req| req.header("resumes").is_none());
    let ids = new.filter_map(|req| req.header("request"));
    ids.map(str::to_owned).collect()
}

/// Guards against streams of a new version that go on at the old one, as a router that can ask no other one takes the only
/// version that it has heard of for the only one that there is.
#[rstest]
#[case::changes_are_gathered(false)]
#[case::the_store_has_just_fallen_silent(true)]
fn a_router_that_can_ask_nobody_does_not_take_an_old_view_for_the_present(
    #[case] falls_silent: bool,
) {
    let store = MemoryStore::with(config(1));
    let old = TestServer::start("old", complete_stream);
    register(&store, "v1", [&old]);
    let [router] = first_routers(&store, 1);
    wait_until("the router knows that the fleet starts", || {
        router.send(&resumed("r-0", "unknown", 3)).status == 200
    });
    // The router gathers further changes from now on.
    let same = TestServer::start("same", complete_stream);
    register(&store, "v1", [&same]);
    wait_until("the router knows the servers", || {
        metric(&router, "servers") == Some(2)
    });
    if falls_silent {
        store.set_trouble(Trouble::Silent);
    }
    let new = TestServer::start("new", breaks);
    register(&store, "v2", [&new]);
    let sent = Instant::now();
    assert_refused(&router.send(&resumed("r-1", "begun-at-new", 3)), sent);
}

/// A router that the store had turned away took the only version that it knew for the only one of the service.
#[test]
fn a_router_that_cannot_read_the_store_does_not_know_that_there_is_one_version_only() {
    let store = MemoryStore::with(config(1));
    let server = TestServer::start("first", complete_stream);
    register(&store, "v1", [&server]);
    let [router] = first_routers(&store, 1);
    let begun = router.send(&request("POST", "resumable", "r-1", ""));
    assert_eq!(begun.text(), events(1, 6));
    let mut ids = 0..;
    let mut resume_unknown = || {
        // A stream that went on is known from then on.
        let began_as = format!("unknown-{}", ids.next().expect("the numbers do not end"));
        router.send(&resumed("r-2", &began_as, 3)).status
    };
    wait_until("the router knows that the fleet starts", || {
        resume_unknown() == 200
    });
    store.set_down(true);
    let other = TestServer::start("other", complete_stream);
    register(&store, "v2", [&other]);
    wait_until("a stream that no router knows is refused", || {
        resume_unknown() == 503
    });
    let known = router.send(&resumed("r-3", "r-1", 3));
    assert_eq!((known.status, known.text()), (200, events(4, 6)));
}
