//! A change of the configuration under faults: in force everywhere in time, and never back.

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
use support::{Fleet, PATIENCE, Process, eventually, organisations, revision_of, text};

/// Time after which an accepted configuration is in force on every live process.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Organisations of a text that does not fit one message.
const MANY_ORGANISATIONS: usize = 32_000;
/// Key of the record that names the newest revision.
const HEAD_KEY: &str = "bulrushward/config/head";

/// The highest revision that was seen of each process.
#[derive(Debug, Default)]
struct Seen(HashMap<String, u64>);

impl Seen {
    /// Looks at a process and fails the test if it went back.
    async fn look(&mut self, process: &Process) -> u64 {
        let seen = self.0.entry(process.node.clone()).or_default();
        let revision = revision_of(process).await.unwrap_or(*seen);
        assert!(
            revision >= *seen,
            "{} went back from revision {seen} to {revision}",
            process.node
        );
        *seen = revision;
        revision
    }

    /// Waits until all processes have a revision, and checks that this was in time.
    async fn in_force(
        &mut self,
        what: &str,
        processes: &[&Process],
        revision: u64,
        start: Instant,
    ) {
        for process in processes {
            while self.look(process).await < revision {
                let elapsed = start.elapsed();
                assert!(elapsed < PATIENCE, "{what}: not at {}", process.node);
            }
        }
        let elapsed = start.elapsed();
        println!(
            "fact=in-force case={what:?} value={elapsed:?} processes={}",
            processes.len()
        );
        assert!(
            elapsed < IN_FORCE,
            "{what}: in force only after {elapsed:?}"
        );
    }
}

fn all(fleet: &Fleet) -> Vec<&Process> {
    fleet.routers.iter().chain(&fleet.agents).collect()
}

fn comment(number: u64) -> String {
    text(&format!("# change {number}\n"))
}

/// Submits under an id and returns the status and the answer, or `None` without an answer.
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
    let answer = fleet.http.post(url).json(&body).send().await.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.json().await.ok()?))
}

/// Submits the next revision through a router and returns when it was accepted.
async fn accept(fleet: &Fleet, router: usize, base: u64, text: &str) -> Instant {
    let (status, answer) = fleet.submit(router, base, text).await;
    assert_eq!(status, 200, "the text is accepted: {answer}");
    Instant::now()
}

/// Brings about an outage of the key-value service that refuses or takes and keeps every call.
async fn outage(fleet: &Fleet, fault: NetworkFault) {
    fleet.kv.network().set_fault(fault).await;
    fleet.kv.network().close_connections();
}

fn refuse() -> NetworkFault {
    NetworkFault {
        refuse: true,
        ..NetworkFault::default()
    }
}

fn hang() -> NetworkFault {
    NetworkFault {
        hang: true,
        ..NetworkFault::default()
    }
}

#[rstest]
#[case::small(0)]
#[case::large(MANY_ORGANISATIONS)]
#[tokio::test]
async fn a_change_is_in_force_everywhere_in_time(#[case] count: usize) {
    let fleet = Fleet::start(4, 2, 1).await;
    let mut seen = Seen::default();
    let large = format!("# first\n{}", organisations(count));
    let start = accept(&fleet, 0, 1, &text(&large)).await;
    seen.in_force("the whole text", &all(&fleet), 2, start)
        .await;
    let start = accept(&fleet, 1, 2, &text(&format!("# edited\n{large}"))).await;
    seen.in_force("an edit", &all(&fleet), 3, start).await;
}

#[rstest]
#[case::refused(refuse(), 0)]
#[case::silent(hang(), 0)]
#[case::large(refuse(), MANY_ORGANISATIONS)]
#[tokio::test]
async fn a_process_started_during_an_outage_has_the_newest(
    #[case] fault: NetworkFault,
    #[case] count: usize,
) {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let mut seen = Seen::default();
    let large = text(&format!("# first\n{}", organisations(count)));
    let start = accept(&fleet, 0, 1, &large).await;
    seen.in_force("before", &all(&fleet), 2, start).await;
    outage(&fleet, fault).await;
    let url = fleet.engines[0].url();
    let start = Instant::now();
    fleet.add_agent("late", "assess", &url, "");
    let router = fleet.spawn("router", "late", "", &[]);
    fleet.routers.push(router);
    fleet.list_vms();
    seen.in_force("started during an outage", &all(&fleet), 2, start)
        .await;
}

#[rstest]
#[case::down(false)]
#[case::stale(true)]
#[tokio::test]
async fn the_vm_list_may_be_down_or_stale(#[case] stale: bool) {
    let mut fleet = Fleet::start(2, 1, 0).await;
    if stale {
        // The list names processes that are gone and none that is new.
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
        fleet.vm_list.network().set_fault(refuse()).await;
    }
    outage(&fleet, refuse()).await;
    let known = fleet.routers[0].control.to_string();
    let start = Instant::now();
    let late = fleet.spawn("router", "late", "", &["--peers", &known]);
    fleet.routers.push(late);
    let mut seen = Seen::default();
    seen.in_force("started with one peer", &all(&fleet), 1, start)
        .await;
    fleet.kv.network().restore().await;
    let start = accept(&fleet, 1, 1, &comment(2)).await;
    seen.in_force("a change", &all(&fleet), 2, start).await;
}

#[tokio::test]
async fn a_process_frozen_during_a_change_adopts_it_when_it_wakes() {
    let fleet = Fleet::start(3, 1, 0).await;
    let mut seen = Seen::default();
    let frozen = &fleet.routers[2];
    frozen.signal(Signal::SIGSTOP);
    eventually("the router is frozen", async || frozen.is_frozen()).await;
    let others = [&fleet.routers[0], &fleet.routers[1], &fleet.agents[0]];
    for base in 1..4 {
        let start = accept(&fleet, 0, base, &comment(base)).await;
        seen.in_force("beside a frozen router", &others, base + 1, start)
            .await;
    }
    // What the router has from before it froze may not reach anyone as news.
    outage(&fleet, refuse()).await;
    let start = Instant::now();
    frozen.signal(Signal::SIGCONT);
    seen.in_force("woken during an outage", &all(&fleet), 4, start)
        .await;
}

#[tokio::test]
async fn one_of_two_racing_operators_wins_everywhere() {
    let fleet = Fleet::start(3, 1, 0).await;
    let mut seen = Seen::default();
    for base in 1..6 {
        let texts = [text("# first\n"), text("# second\n")].map(|text| format!("{text}# {base}\n"));
        let [one, two] = &fleet.routers[..2] else {
            panic!("there are two routers")
        };
        let (first, second) = tokio::join!(
            submit_as(&fleet, one, base, &texts[0], 0x100 + base),
            submit_as(&fleet, two, base, &texts[1], 0x200 + base),
        );
        let start = Instant::now();
        let statuses = [first, second].map(|answer| answer.expect("an answer").0);
        let mut sorted = statuses;
        sorted.sort_unstable();
        assert_eq!(sorted, [200, 409], "exactly one operator wins");
        seen.in_force("a race", &all(&fleet), base + 1, start).await;
        let winner = statuses.iter().position(|status| *status == 200);
        let won = &texts[winner.expect("one won")];
        for router in &fleet.routers {
            let url = format!("http://{}/admin/config", router.admin);
            let answer = fleet.http.get(url).send().await.expect("an answer");
            let answer: Value = answer.json().await.expect("JSON");
            assert_eq!(answer["text"].as_str(), Some(won.as_str()));
        }
    }
}

#[rstest]
#[tokio::test]
async fn a_submission_whose_answer_was_lost_is_accepted_once(
    #[values(1, 2, 3, 5)] lost: u32,
    #[values(false, true)] hang_lost_answers: bool,
) {
    let fleet = Fleet::start(2, 1, 0).await;
    fleet.kv.faults().set(KeyValueFaults {
        lose_answers: lost,
        hang_lost_answers,
        ..KeyValueFaults::default()
    });
    let next = comment(2);
    // The operator repeats the submission through another router until there is an answer.
    let mut answers = Vec::new();
    for attempt in 0..6 {
        let router = &fleet.routers[attempt % 2];
        let (status, answer) = submit_as(&fleet, router, 1, &next, 0x77)
            .await
            .expect("an answer");
        answers.push(status);
        if status == 200 {
            assert_eq!(answer["revision"], 2, "{answer}");
            break;
        }
    }
    assert_eq!(answers.last(), Some(&200), "{answers:?}");
    let mut seen = Seen::default();
    let start = Instant::now();
    seen.in_force("a lost answer", &all(&fleet), 2, start).await;
    for router in &fleet.routers {
        let repeated = submit_as(&fleet, router, 1, &next, 0x77).await;
        assert_eq!(repeated.expect("an answer").1["revision"], 2);
    }
    let url = format!("http://{}/admin/history", fleet.routers[0].admin);
    let history = fleet.http.get(url).send().await.expect("an answer");
    let history: Value = history.json().await.expect("JSON");
    assert_eq!(history["entries"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn a_slow_service_does_not_delay_what_it_accepted() {
    let mut fleet = Fleet::start(3, 1, 0).await;
    let patient = fleet.spawn("router", "patient", "", &["--platform-timeout-ms", "4000"]);
    fleet.routers.push(patient);
    fleet.list_vms();
    let mut seen = Seen::default();
    seen.in_force("before", &all(&fleet), 1, Instant::now())
        .await;
    fleet
        .kv
        .faults()
        .update(|faults| faults.slow = Duration::from_secs(1));
    let start = accept(&fleet, 3, 1, &comment(2)).await;
    seen.in_force("a slow service", &all(&fleet), 2, start)
        .await;
}

#[tokio::test]
async fn a_service_that_lost_revisions_takes_nothing_back() {
    let mut fleet = Fleet::start(2, 1, 0).await;
    let old = fleet.kv.stored(HEAD_KEY).expect("the head exists");
    let mut seen = Seen::default();
    for base in 1..3 {
        let start = accept(&fleet, 0, base, &comment(base)).await;
        seen.in_force("before the loss", &all(&fleet), base + 1, start)
            .await;
    }
    outage(&fleet, refuse()).await;
    fleet.kv.network().restore().await;
    let platform = EtcdKeyValue::new(&[fleet.kv.url()], PATIENCE);
    let newest = fleet.kv.stored(HEAD_KEY).expect("the head exists");
    let written = platform.compare_and_swap(HEAD_KEY, newest.version, old.value);
    let written = written.await.expect("the service answers");
    assert!(matches!(written, CasOutcome::Written(_)));
    // A new process reads the old head and hears of the newest revision from others.
    let start = Instant::now();
    let late = fleet.spawn("router", "late", "", &[]);
    fleet.routers.push(late);
    fleet.list_vms();
    seen.in_force("after the loss", &all(&fleet), 3, start)
        .await;
    // Each router reads the old head once more when an operator asks for it.
    for router in &fleet.routers {
        let url = format!("http://{}/admin/config", router.admin);
        let answer = fleet.http.get(url).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    let watches = fleet.kv.counters().watches;
    eventually("the old head was watched again", async || {
        fleet.kv.counters().watches >= watches.max(8)
    })
    .await;
    for process in all(&fleet) {
        assert_eq!(seen.look(process).await, 3, "{}", process.node);
    }
}

#[tokio::test]
async fn an_old_submission_that_is_repeated_takes_nothing_back() {
    let fleet = Fleet::start(2, 1, 0).await;
    let mut seen = Seen::default();
    for base in 1..4 {
        let answer = submit_as(&fleet, &fleet.routers[0], base, &comment(base), base).await;
        assert_eq!(answer.expect("an answer").0, 200);
        let start = Instant::now();
        seen.in_force("before the repeat", &all(&fleet), base + 1, start)
            .await;
    }
    for router in &fleet.routers {
        let answer = submit_as(&fleet, router, 1, &comment(1), 1).await;
        let (status, answer) = answer.expect("an answer");
        assert_eq!((status, &answer["revision"]), (200, &json!(2)), "{answer}");
    }
    for process in all(&fleet) {
        assert_eq!(seen.look(process).await, 4, "{}", process.node);
    }
    // A later revision is read after what the repeats brought.
    let start = accept(&fleet, 1, 4, &comment(4)).await;
    seen.in_force("after the repeat", &all(&fleet), 5, start)
        .await;
}

#[tokio::test]
async fn few_processes_of_a_large_fleet_watch_the_service() {
    let fleet = Fleet::start(20, 0, 0).await;
    eventually("16 processes watch", async || {
        fleet.kv.counters().watches_open == 16
    })
    .await;
    let mut seen = Seen::default();
    let before = fleet.kv.counters();
    let start = accept(&fleet, 0, 1, &comment(2)).await;
    seen.in_force("20 processes", &all(&fleet), 2, start).await;
    let reads = fleet.kv.counters().reads - before.reads;
    println!("fact=reads case=\"20 processes\" value={reads}");
}
