//! Tests of servers that are cut off from a router.

mod support;

use std::{thread::sleep, time::Duration};

use rstest::rstest;
use support::{
    CALLERS_PORT, TestRouter, caller, config,
    platform::MemoryStore,
    record, request,
    server::{Step, TestServer, ok_response},
    wait_until,
};

/// Servers under which content must crash before it is barred.
const CRASHES: usize = 3;
/// Time in which a router notices that a server was cut off, and calls it once more.
const NOTICE_TIME: Duration = Duration::from_secs(5);

/// What a cut does to a request.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// Its server has received it and does not respond.
    Delivered,
    /// Its server receives nothing of it.
    Undelivered,
    /// Its connection is reset.
    Reset,
}

/// Guards against content that all routers refuse because servers that ran it, or were to run it, were cut off.
#[rstest]
fn content_that_cut_off_servers_had_is_served_by_others(
    #[values(Cut::Delivered, Cut::Undelivered, Cut::Reset)] cut: Cut,
) {
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout = 2 * NOTICE_TIME;
    }
    let store = MemoryStore::with(config);
    let router = TestRouter::start(&store);
    let mut waiting = Vec::new();
    let mut servers = Vec::new();
    for index in 0..CRASHES {
        let server = TestServer::start(&format!("s-{index}"), move |req| match cut {
            _ if req.body != b"sound" => vec![ok_response(req, "fine")],
            Cut::Reset => vec![Step::Pause(Duration::from_millis(50)), Step::Reset],
            Cut::Delivered | Cut::Undelivered => vec![Step::Hang],
        });
        store.put(&server.id, record("plain", server.address));
        wait_until("the router uses the server", || {
            let first = request("POST", "action", &format!("first-{index}"), "other");
            router.send(&first).status == 200 && !server.received().is_empty()
        });
        let before = server.received().len();
        if matches!(cut, Cut::Undelivered) {
            server.cut_off();
        }
        let text = request("POST", "action", &format!("sound-{index}"), "sound");
        let text = text.replace("Patience-Ms: 2500", "Patience-Ms: 9000");
        let address = router.address(CALLERS_PORT);
        waiting.push(std::thread::spawn(move || {
            caller::send(address, text.as_bytes())
        }));
        if matches!(cut, Cut::Undelivered) {
            sleep(Duration::from_millis(100));
        } else {
            wait_until("the server has the request", || {
                server.received().len() > before
            });
            server.cut_off();
        }
        store.remove(&server.id);
        servers.push(server);
    }
    for waiting in waiting {
        let response = waiting.join().expect("the caller does not panic");
        // A request that was delivered may be answered after the cut, so it waits until its deadline.
        let expected = if matches!(cut, Cut::Delivered) {
            504
        } else {
            502
        };
        assert_eq!(response.status, expected);
    }
    sleep(NOTICE_TIME / 10);
    let other = TestServer::echo("s-other");
    store.put(&other.id, record("plain", other.address));
    wait_until("the router uses the other server", || {
        router.send(&request("GET", "lookup", "probe", "")).status == 200
    });
    let response = router.send(&request("POST", "action", "again", "sound"));
    assert_eq!(
        (response.status, response.text().as_str()),
        (200, "s-other")
    );
}
