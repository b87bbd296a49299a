//! Configuration changes under faults: active on all processes in time, and never reverted.

mod support;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_clients::{CasOutcome, EtcdKeyValue, KeyValue, TargetGroup, TargetLabels, VmState};
use bulrushward_fakes::{KeyValueFaults, NetworkFault};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Fleet, Process, TEST_TIMEOUT, config_text, eventually, organisations, revision_of};

/// Longest time until an accepted configuration is active on every live process.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(6);
/// Number of organisations in a configuration that does not fit into one message.
const MANY_ORGANISATIONS: usize = 32_000;
/// Key of the record of the newest revision.
const HEAD_KEY: &str = "bulrushward/config/head";

/// Highest revision observed on each process.
#[derive(Debug, Default)]
struct HighestRevisions(HashMap<String, u64>);

impl HighestRevisions {
    /// Returns the revision of a process and fails the test if it is lower than before.
    async fn observe(&mut self, process: &Process) -> u64 {
        let highest = self.0.entry(process.node.clone()).or_default();
        let revision = revision_of(process).await.unwrap_or(*highest);
        assert!(
            revision >= *highest,
            "{} reverted from revision {highest} to {revision}",
            process.node
        );
        *highest = revision;
        revision
    }

    /// Waits until a revision is active on all processes and checks that it took at most
    /// [`ACTIVATION_LIMIT`].
    async fn expect_active(
        &mut self,
        what: &str,
        processes: &[&Process],
        revision: u64,
        start: Instant,
    ) {
        for process in processes {
            while self.observe(process).await < revision {
                let elapsed = start.elapsed();
                assert!(
                    elapsed < TEST_TIMEOUT,
                    "{what}: not active on {}",
                    process.node
                );
            }
        }
        let elapsed = start.elapsed();
        println!(
            "fact=in-force case={what:?} value={elapsed:?} processes={}",
            processes.len()
        );
        assert!(
            elapsed < ACTIVATION_LIMIT,
            "{what}: active only after {elapsed:?}"
        );
    }
}

fn all_processes(fleet: &Fleet) -> Vec<&Process> {
    fleet.routers.iter().chain(&fleet.agents).collect()
}

fn edited_text(number: u64) -> String {
    config_text(&format!("# change {number}\n"))
}

/// Submits with a submission id and returns the status and the response, or `None` without a
/// response.
async fn submit_as(
    fleet: &Fleet,
    router: &Process,
    base: u64,
    text: &str,
    id: u64,
) -> Option<(u16, Value)> {
    let body = json!({
        "base": base, "text": text, "author": "tester", "why": "test",
        "submission": format!("{id:x}"),
    });
    let url = format!("http://{}/admin/config", router.admin);
    let response = fleet.http.post(url).json(&body).send().await.ok()?;
    let status = response.status().as_u16();
    Some((status, response.json().await.ok()?))
}

/// Submits the next revision through a router and returns the time at which it was accepted.
async fn submit_accepted(fleet: &Fleet, router: usize, base: u64, text: &str) -> Instant {
    let (status, response) = fleet.submit(router, base, text).await;
    assert_eq!(status, 200, "the configuration is rejected: {response}");
    Instant::now()
}

/// Makes the key-value service unreachable: applies a fault to new connections and closes the
/// existing ones.
async fn start_outage(fleet: &Fleet, fault: NetworkFault) {
    fleet.kv.network().set_fault(fault).await;
    fleet.kv.network().close_connections();
}

fn refuse_connections() -> NetworkFault {
    NetworkFault {
        refuse: true,
        ..NetworkFault::default()
    }
}

fn hang_connections() -> NetworkFault {
    NetworkFault {
        hang: true,
        ..NetworkFault::default()
    }
}

#[rstest]
#[case::small(0)]
#[case::large(MANY_ORGANISATIONS)]
#[tokio::test]
async fn a_change_becomes_active_on_all_processes_in_time(#[case] count: usize) {
    let fleet = Fleet::start(4, 2, 1).await;
    let mut revisions = HighestRevisions::default();
    let large = format!("# first\n{}", organisations(count));
    let start = submit_accepted(&fleet, 0, 1, &config_text(&large)).await;
    revisions
        .expect_active("the whole text", &all_processes(&fleet), 2, start)
        .await;
    let start = submit_accepted(&fleet, 1, 2, &config_text(&format!("# edited\n{large}"))).await;
    revisions
        .expect_active("an edit", &all_processes(&fleet), 3, start)
        .await;
}

#[rstest]
#[case::refused(refuse_connections(), 0)]
#[case::unresponsive(hang_connections(), 0)]
#[case::large(refuse_connections(), MANY_ORGANISATIONS)]
#[tokio::test]
async fn a_process_started_during_an_outage_gets_the_newest_revision(
    #[case] fault: NetworkFault,
    #[case] count: usize,
) {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let mut revisions = HighestRevisions::default();
    let large = config_text(&format!("# first\n{}", organisations(count)));
    let start = submit_accepted(&fleet, 0, 1, &large).await;
    revisions
        .expect_active("before", &all_processes(&fleet), 2, start)
        .await;
    start_outage(&fleet, fault).await;
    let url = fleet.engines[0].url();
    let start = Instant::now();
    fleet.add_agent("late", "assess", &url, "");
    let router = fleet.spawn("router", "late", "", &[]);
    fleet.routers.push(router);
    fleet.update_vm_list();
    revisions
        .expect_active("started during an outage", &all_processes(&fleet), 2, start)
        .await;
}

#[rstest]
#[case::down(false)]
#[case::stale(true)]
#[tokio::test]
async fn a_change_becomes_active_while_the_vm_list_is_down_or_stale(#[case] stale: bool) {
    let mut fleet = Fleet::start(2, 1, 0).await;
    if stale {
        // The list contains only processes that no longer exist.
        let gone = ["127.0.0.1:9", "127.0.0.1:10", "127.0.0.1:11"];
        let groups = gone.iter().map(|address| TargetGroup {
            targets: vec![address.parse().expect("an address")],
            labels: TargetLabels {
                node: format!("gone-{address}"),
                state: VmState::Live,
                failure_domain: String::new(),
            },
        });
        fleet.vm_list.set(groups.collect());
    } else {
        fleet
            .vm_list
            .network()
            .set_fault(refuse_connections())
            .await;
    }
    start_outage(&fleet, refuse_connections()).await;
    let known = fleet.routers[0].control.to_string();
    let start = Instant::now();
    let late = fleet.spawn("router", "late", "", &["--peers", &known]);
    fleet.routers.push(late);
    let mut revisions = HighestRevisions::default();
    revisions
        .expect_active("started with one peer", &all_processes(&fleet), 1, start)
        .await;
    fleet.kv.network().restore().await;
    let start = submit_accepted(&fleet, 1, 1, &edited_text(2)).await;
    revisions
        .expect_active("a change", &all_processes(&fleet), 2, start)
        .await;
}

#[tokio::test]
async fn a_process_frozen_during_a_change_applies_it_when_it_continues() {
    let fleet = Fleet::start(3, 1, 0).await;
    let mut revisions = HighestRevisions::default();
    let frozen = &fleet.routers[2];
    frozen.signal(Signal::SIGSTOP);
    eventually("the router is frozen", async || frozen.is_frozen()).await;
    let others = [&fleet.routers[0], &fleet.routers[1], &fleet.agents[0]];
    for base in 1..4 {
        let start = submit_accepted(&fleet, 0, base, &edited_text(base)).await;
        revisions
            .expect_active("beside a frozen router", &others, base + 1, start)
            .await;
    }
    // The old revision of the router must not replace the newer one on other processes.
    start_outage(&fleet, refuse_connections()).await;
    let start = Instant::now();
    frozen.signal(Signal::SIGCONT);
    revisions
        .expect_active("woken during an outage", &all_processes(&fleet), 4, start)
        .await;
}

#[tokio::test]
async fn one_of_two_concurrent_submissions_becomes_active_everywhere() {
    let fleet = Fleet::start(3, 1, 0).await;
    let mut revisions = HighestRevisions::default();
    for base in 1..6 {
        let texts = [config_text("# first\n"), config_text("# second\n")]
            .map(|text| format!("{text}# {base}\n"));
        let [one, two] = &fleet.routers[..2] else {
            panic!("expected two routers")
        };
        let (first, second) = tokio::join!(
            submit_as(&fleet, one, base, &texts[0], 0x100 + base),
            submit_as(&fleet, two, base, &texts[1], 0x200 + base),
        );
        let start = Instant::now();
        let statuses = [first, second].map(|response| response.expect("a response").0);
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "exactly one submission is accepted");
        revisions
            .expect_active("a race", &all_processes(&fleet), base + 1, start)
            .await;
        let winner = statuses.iter().position(|status| *status == 200);
        let winning_text = &texts[winner.expect("one submission is accepted")];
        for router in &fleet.routers {
            let url = format!("http://{}/admin/config", router.admin);
            let response = fleet.http.get(url).send().await.expect("a response");
            let response: Value = response.json().await.expect("JSON");
            assert_eq!(response["text"].as_str(), Some(winning_text.as_str()));
        }
    }
}

#[rstest]
#[tokio::test]
async fn a_submission_whose_response_was_lost_is_accepted_once(
    #[values(1, 2, 3, 5)] lost: u32,
    #[values(false, true)] hang_lost_answers: bool,
) {
    let fleet = Fleet::start(2, 1, 0).await;
    fleet.kv.faults().set(KeyValueFaults {
        lose_answers: lost,
        hang_lost_answers,
        ..KeyValueFaults::default()
    });
    let next = edited_text(2);
    // The operator resends the submission, alternating between routers, until it succeeds.
    let mut responses = Vec::new();
    for attempt in 0..6 {
        let router = &fleet.routers[attempt % 2];
        let (status, response) = submit_as(&fleet, router, 1, &next, 0x77)
            .await
            .expect("a response");
        responses.push(status);
        if status == 200 {
            assert_eq!(response["revision"], 2, "{response}");
            break;
        }
    }
    assert_eq!(responses.last(), Some(&200), "{responses:?}");
    let mut revisions = HighestRevisions::default();
    let start = Instant::now();
    revisions
        .expect_active("a lost answer", &all_processes(&fleet), 2, start)
        .await;
    for router in &fleet.routers {
        let resent = submit_as(&fleet, router, 1, &next, 0x77).await;
        assert_eq!(resent.expect("a response").1["revision"], 2);
    }
    let url = format!("http://{}/admin/history", fleet.routers[0].admin);
    let history = fleet.http.get(url).send().await.expect("a response");
    let history: Value = history.json().await.expect("JSON");
    assert_eq!(history["entries"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn a_slow_key_value_service_does_not_delay_an_accepted_change() {
    let mut fleet = Fleet::start(3, 1, 0).await;
    let router = fleet.spawn(
        "router",
        "long-timeout",
        "",
        &["--platform-timeout-ms", "4000"],
    );
    fleet.routers.push(router);
    fleet.update_vm_list();
    let mut revisions = HighestRevisions::default();
    revisions
        .expect_active("before", &all_processes(&fleet), 1, Instant::now())
        .await;
    fleet
        .kv
        .faults()
        .update(|faults| faults.slow = Duration::from_secs(1));
    let start = submit_accepted(&fleet, 3, 1, &edited_text(2)).await;
    revisions
        .expect_active("a slow service", &all_processes(&fleet), 2, start)
        .await;
}

#[tokio::test]
async fn a_key_value_service_that_lost_revisions_reverts_no_process() {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let old = fleet.kv.stored(HEAD_KEY).expect("the head exists");
    let mut revisions = HighestRevisions::default();
    for base in 1..3 {
        let start = submit_accepted(&fleet, 0, base, &edited_text(base)).await;
        revisions
            .expect_active("before the loss", &all_processes(&fleet), base + 1, start)
            .await;
    }
    start_outage(&fleet, refuse_connections()).await;
    fleet.kv.network().restore().await;
    let platform = EtcdKeyValue::new(&[fleet.kv.url()], TEST_TIMEOUT);
    let newest = fleet.kv.stored(HEAD_KEY).expect("the head exists");
    let written = platform.compare_and_swap(HEAD_KEY, newest.version, old.value);
    let written = written.await.expect("the service responds");
    assert!(matches!(written, CasOutcome::Written(_)));
    // A new process reads the old head and receives the newest revision from its peers.
    let start = Instant::now();
    let late = fleet.spawn("router", "late", "", &[]);
    fleet.routers.push(late);
    fleet.update_vm_list();
    revisions
        .expect_active("after the loss", &all_processes(&fleet), 3, start)
        .await;
    // Each router reads the old head again when an operator requests the configuration.
    for router in &fleet.routers {
        let url = format!("http://{}/admin/config", router.admin);
        let response = fleet.http.get(url).send().await.expect("a response");
        assert_eq!(response.status(), 200);
    }
    let watches = fleet.kv.counters().watches;
    eventually("the old head was watched again", async || {
        fleet.kv.counters().watches >= watches.max(8)
    })
    .await;
    for process in all_processes(&fleet) {
        assert_eq!(revisions.observe(process).await, 3, "{}", process.node);
    }
}

#[tokio::test]
async fn a_resent_old_submission_reverts_no_process() {
    let fleet = Fleet::start(2, 1, 0).await;
    let mut revisions = HighestRevisions::default();
    for base in 1..4 {
        let response = submit_as(&fleet, &fleet.routers[0], base, &edited_text(base), base).await;
        assert_eq!(response.expect("a response").0, 200);
        let start = Instant::now();
        revisions
            .expect_active("before the repeat", &all_processes(&fleet), base + 1, start)
            .await;
    }
    for router in &fleet.routers {
        let response = submit_as(&fleet, router, 1, &edited_text(1), 1).await;
        let (status, response) = response.expect("a response");
        assert_eq!(
            (status, &response["revision"]),
            (200, &json!(2)),
            "{response}"
        );
    }
    for process in all_processes(&fleet) {
        assert_eq!(revisions.observe(process).await, 4, "{}", process.node);
    }
    // Revisions are processed in order, so the effects of the resent submissions come first.
    let start = submit_accepted(&fleet, 1, 4, &edited_text(4)).await;
    revisions
        .expect_active("after the repeat", &all_processes(&fleet), 5, start)
        .await;
}

#[tokio::test]
async fn few_processes_of_a_large_fleet_watch_the_key_value_service() {
    let fleet = Fleet::start(20, 0, 0).await;
    eventually("16 processes watch", async || {
        fleet.kv.counters().watches_open == 16
    })
    .await;
    let mut revisions = HighestRevisions::default();
    let before = fleet.kv.counters();
    let start = submit_accepted(&fleet, 0, 1, &edited_text(2)).await;
    revisions
        .expect_active("20 processes", &all_processes(&fleet), 2, start)
        .await;
    let reads = fleet.kv.counters().reads - before.reads;
    println!("fact=reads case=\"20 processes\" value={reads}");
}
