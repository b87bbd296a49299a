//! Tests of router processes whose links to the store are thin while the configuration is as large as the store allows.

mod support;

use std::time::{Duration, Instant};

use bulrushward_platform_stand_in::{
    ExecutionLog, FakeServer, FakeStore, LARGE_ROUTE_BYTES, LinkQueue, ServerEntry, TestConfig,
    ThinLink,
};
use rstest::rstest;
use tokio::time::sleep;

use support::{Router, send};

/// Largest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Rate of the thinnest links, 10 Mbit/s, in bytes per second.
const LINK_RATE: f64 = 1.25e6;
/// Part of a link that other traffic takes.
const OTHER_TRAFFIC: f64 = 0.2;
const OTHER_TRAFFIC_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the loss of all routers in which requests are served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Time in which a changed configuration is in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

struct Fleet {
    store: FakeStore,
    link: ThinLink,
    _server: FakeServer,
}

impl Fleet {
    async fn start(queue: LinkQueue) -> Self {
        let store = FakeStore::start().await.expect("the store starts");
        let server = FakeServer::start("plain-1", &ExecutionLog::default())
            .await
            .expect("the server starts");
        let entry = ServerEntry {
            service: "plain".to_owned(),
            address: server.address(),
            failure_domain: "b".to_owned(),
            is_leaving: false,
            started_ms: 1,
            cold_for: Duration::ZERO,
            version: "v1".to_owned(),
        };
        store.set_server("plain-1", Some(&entry));
        let link = ThinLink::start(store.address(), LINK_RATE, queue).await;
        Self {
            store,
            link: link.expect("the link starts"),
            _server: server,
        }
    }

    /// Writes the largest configuration that the store takes.
    fn set_config(&self, version: u64, key: &str) {
        let config = TestConfig {
            version,
            keys: vec![key.to_owned()],
            marker_prefix: "/mark/".to_owned(),
            cold_start: None,
        };
        let len = MAX_VALUE_BYTES - LARGE_ROUTE_BYTES;
        self.store.set_large_config(&config, len);
    }

    /// Keeps the link busy with other traffic until cancelled.
    async fn pass_other_traffic(&self) {
        let bytes = LINK_RATE * OTHER_TRAFFIC * OTHER_TRAFFIC_INTERVAL.as_secs_f64();
        loop {
            self.link.pass_other_traffic(bytes as usize);
            sleep(OTHER_TRAFFIC_INTERVAL).await;
        }
    }
}

/// Sends requests until a condition on the status line holds; returns the time that took, up to `limit`.
async fn time_until(
    router: &Router,
    limit: Duration,
    is_met: impl Fn(&str) -> bool,
) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if is_met(&send(router.callers, "/lookup/x", "probe").await) {
            return Some(start.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
    None
}

fn is_served(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200")
}

// Guards against routers that never become ready, as no call has the time to read the configuration.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_without_a_running_router_reads_a_large_configuration_over_a_thin_link(
    #[values(LinkQueue::Fair, LinkQueue::InOrder)] queue: LinkQueue,
) {
    let fleet = Fleet::start(queue).await;
    fleet.set_config(1, "key");
    let router = Router::start(fleet.link.address(), "");
    let served = tokio::select! {
        served = time_until(&router, RECOVERY_LIMIT, is_served) => served,
        () = fleet.pass_other_traffic() => None,
    };
    assert!(
        served.is_some(),
        "nothing is served within {RECOVERY_LIMIT:?}"
    );
}

// Guards against waiting calls that are taken for lost, and against repeated transfers, while a large configuration arrives.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_of_a_large_configuration_are_in_force_in_time(
    #[values(LinkQueue::Fair, LinkQueue::InOrder)] queue: LinkQueue,
) {
    let fleet = Fleet::start(queue).await;
    fleet.set_config(1, "key");
    let router = Router::start(fleet.link.address(), "");
    time_until(&router, RECOVERY_LIMIT, is_served).await;
    for version in 2..8 {
        let is_key_valid = version % 2 == 1;
        fleet.set_config(version, if is_key_valid { "key" } else { "other" });
        let is_in_force = |response: &str| is_served(response) == is_key_valid;
        let known = time_until(&router, CONFIG_LIMIT, is_in_force).await;
        assert!(
            known.is_some(),
            "version {version} is not in force within {CONFIG_LIMIT:?}"
        );
    }
}
