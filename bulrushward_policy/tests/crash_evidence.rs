//! Evidence of crashes adds up, is refuted by responses, stays bounded and expires.

use std::time::{Duration, Instant};

use bulrushward_policy::crash_evidence::{BarChange, BarPolicy, CrashEvidence, Verdict};
use bulrushward_protocol::{Content, ContentKind, CrashReport};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const POLICY: BarPolicy = BarPolicy {
    capacity: 8,
    ..BarPolicy::DIRECT
};
/// Content that crashes servers.
const POISON: Content = Content {
    kind: ContentKind::Part,
    hash: 7,
};
const ORGANISATION: u32 = 1;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns evidence of crashes of servers 1 to `crashes` by the content.
fn evidence_of(crashes: u32, now: Instant) -> CrashEvidence {
    let mut evidence = CrashEvidence::new(POLICY);
    for server in 1..=crashes {
        evidence.record_crash(POISON, ORGANISATION, server, now);
    }
    evidence
}

fn is_refused(evidence: &CrashEvidence, now: Instant) -> bool {
    evidence.refusal(POISON, || true, now).is_some()
}

#[test]
fn content_is_suspect_after_a_crash_and_barred_after_the_third() {
    let now = Instant::now();
    assert_eq!(evidence_of(0, now).verdict(POISON, now), Verdict::Clear);
    for crashes in 1..=2 {
        let evidence = evidence_of(crashes, now);
        assert_eq!(evidence.verdict(POISON, now), Verdict::Suspect);
        assert!(!is_refused(&evidence, now));
    }
    let mut evidence = evidence_of(2, now);
    assert_eq!(evidence.record_crash(POISON, ORGANISATION, 3, now), 3);
    assert_eq!(evidence.refusal(POISON, || true, now), Some(POLICY.period));
    let change = BarChange {
        content: POISON,
        crashes: 3,
        is_barred: true,
    };
    assert_eq!(evidence.take_changes(now), [change]);
    assert_eq!(evidence.take_changes(now), []);
}

#[test]
fn one_crash_that_several_requests_and_processes_report_counts_once() {
    let now = Instant::now();
    let mut evidence = evidence_of(2, now);
    let mut peer = evidence_of(2, now);
    evidence.record_crash(POISON, ORGANISATION, 2, now + seconds(1));
    evidence.merge(&peer.reports(now, 10), now + seconds(2));
    assert_eq!(evidence.crashes(POISON), 2);
}

// Guards against processes that keep the highest count of their peers instead of adding up the crashes that each has
// seen, so that content keeps crashing servers while every process counts one.
#[test]
fn crashes_seen_by_different_processes_add_up() {
    let now = Instant::now();
    let mut processes: Vec<_> = (0..3).map(|_| CrashEvidence::new(POLICY)).collect();
    let mut reports = Vec::new();
    for (server, process) in (1..).zip(&mut processes) {
        process.record_crash(POISON, ORGANISATION, server, now);
        reports.extend(process.reports(now, 10));
    }
    for process in &mut processes {
        process.merge(&reports, now);
        assert!(is_refused(process, now));
    }
}

// Guards against content that crashes as many servers anew when it returns after its record has lapsed.
#[test]
fn content_that_returns_costs_one_server_and_is_barred_for_longer() {
    let start = Instant::now();
    let mut evidence = evidence_of(3, start);
    let mut now = start;
    let mut barred_for = Vec::new();
    for server in 10..14 {
        let refusal = evidence
            .refusal(POISON, || true, now)
            .expect("it is barred");
        barred_for.push(refusal);
        now += refusal;
        assert_eq!(evidence.verdict(POISON, now), Verdict::HalfOpen);
        assert!(!is_refused(&evidence, now));
        evidence.record_sent(POISON, now);
        assert!(
            is_refused(&evidence, now),
            "one request at a time is a probe"
        );
        evidence.record_crash(POISON, ORGANISATION, server, now);
        assert!(is_refused(&evidence, now));
    }
    assert!(barred_for.is_sorted());
    assert!(now - start > seconds(15 * 60), "{barred_for:?}");
}

#[test]
fn a_probe_that_is_served_frees_the_content_everywhere() {
    let start = Instant::now();
    let mut evidence = evidence_of(3, start);
    let mut peer = evidence_of(3, start);
    let now = start + POLICY.period;
    evidence.record_sent(POISON, now);
    for process in [&mut evidence, &mut peer] {
        assert!(process.take_changes(now)[0].is_barred);
    }
    assert!(evidence.record_served(POISON, now));
    assert_eq!(evidence.verdict(POISON, now), Verdict::Clear);
    // The peer's outdated report changes nothing, and it learns the response.
    assert!(evidence.merge(&peer.reports(now, 10), now).is_empty());
    peer.merge(&evidence.reports(now, 10), now);
    for process in [&mut evidence, &mut peer] {
        assert!(!process.take_changes(now)[0].is_barred);
        assert!(!is_refused(process, now));
    }
}

#[test]
fn one_process_tries_the_content_and_others_follow_only_if_it_does_not() {
    let start = Instant::now();
    let mut prober = evidence_of(3, start);
    let mut other = evidence_of(3, start);
    let now = start + POLICY.period;
    assert_eq!(prober.refusal(POISON, || true, now), None);
    assert_eq!(other.refusal(POISON, || false, now), Some(POLICY.period));
    let later = now + POLICY.period;
    assert_eq!(other.refusal(POISON, || false, later), None);
    prober.record_sent(POISON, later);
    other.merge(&prober.reports(later, 10), later);
    assert!(
        other.refusal(POISON, || false, later).is_some(),
        "a probe is in progress"
    );
}

#[test]
fn a_response_refutes_only_earlier_crashes() {
    let now = Instant::now();
    let mut evidence = evidence_of(2, now);
    evidence.record_served(POISON, now);
    assert_eq!(evidence.verdict(POISON, now), Verdict::Clear);
    evidence.record_crash(POISON, ORGANISATION, 8, now + seconds(1));
    assert_eq!(evidence.crashes(POISON), 1);
    assert!(
        !evidence.record_served(Content::part(9), now),
        "nothing is known of other content"
    );
}

// Guards against barring what all requests of a route share before a router learns that it was served again.
#[test]
fn content_that_was_served_before_is_barred_only_if_it_is_not_served_again() {
    let start = Instant::now();
    let mut evidence = CrashEvidence::new(POLICY);
    evidence.record_served(POISON, start);
    let now = start + seconds(1);
    for server in 1..=3 {
        evidence.record_crash(POISON, ORGANISATION, server, now);
    }
    assert!(!is_refused(&evidence, now + POLICY.grace.mul_f64(0.99)));
    let later = now + POLICY.grace;
    assert!(is_refused(&evidence, later));
    evidence.record_served(POISON, later);
    assert!(!is_refused(&evidence, later));
}

// Guards against refusing a session that was served before because requests in it hold a part that crashes servers.
#[test]
fn content_that_was_served_is_not_blamed_for_crashes_that_other_content_explains() {
    let start = Instant::now();
    let session = Content::part(8);
    let mut evidence = CrashEvidence::new(POLICY);
    evidence.record_served(session, start);
    let mut now = start;
    for server in 1..=6 {
        now += seconds(1);
        for content in [session, POISON] {
            evidence.record_crash(content, ORGANISATION, server, now);
        }
    }
    now += POLICY.grace;
    assert!(is_refused(&evidence, now));
    assert_eq!(evidence.refusal(session, || true, now), None);
    // Its own crashes count.
    for server in 11..=13 {
        evidence.record_crash(session, ORGANISATION, server, now);
    }
    assert!(
        evidence
            .refusal(session, || true, now + POLICY.grace)
            .is_some()
    );
}

// Guards against refusing frequent requests for a minute after all servers of a service have failed together.
#[test]
fn content_that_was_served_before_is_probed_soon() {
    let start = Instant::now();
    let mut evidence = CrashEvidence::new(POLICY);
    evidence.record_served(POISON, start);
    for server in 1..=3 {
        evidence.record_crash(POISON, ORGANISATION, server, start + seconds(1));
    }
    let end = start + seconds(1) + POLICY.served_period;
    assert!(is_refused(
        &evidence,
        end.checked_sub(seconds(1))
            .expect("the time is later than the start")
    ));
    assert!(!is_refused(&evidence, end));
    evidence.record_sent(POISON, end);
    evidence.record_crash(POISON, ORGANISATION, 4, end);
    let refusal = evidence.refusal(POISON, || true, end);
    assert_eq!(
        refusal,
        Some(POLICY.served_period * 2),
        "it is not probed as often"
    );
}

// Guards against refusing what all requests have in common for a minute after all routers have restarted, when none of
// them has served it yet.
#[test]
fn content_that_shares_its_crashes_with_other_content_is_probed_at_once() {
    let now = Instant::now();
    let common = Content::part(9);
    let mut evidence = evidence_of(3, now);
    for server in 1..=3 {
        evidence.record_crash(common, ORGANISATION, server, now);
    }
    let end = now + POLICY.ambiguous_period;
    assert_eq!(evidence.refusal(common, || true, end), None);
    assert!(evidence.record_served(common, end));
    assert_eq!(evidence.refusal(common, || false, end), None);
    // Only the poison explains the crashes.
    assert!(is_refused(&evidence, end + seconds(5)));
}

#[test]
fn evidence_expires_after_the_bar_and_its_memory() {
    let now = Instant::now();
    let mut evidence = evidence_of(3, now);
    let end = now + POLICY.period + POLICY.memory;
    assert_eq!(evidence.reports(now + POLICY.memory, 10).len(), 1);
    assert!(evidence.reports(end, 10).is_empty());
    assert!(evidence.is_empty());
}

#[test]
fn passing_reports_back_and_forth_does_not_prolong_them() {
    let start = Instant::now();
    let (mut one, mut two) = (evidence_of(3, start), CrashEvidence::new(POLICY));
    for round in 0..60 {
        let sent = start + seconds(round);
        let received = sent + Duration::from_millis(900);
        two.merge(&one.reports(sent, 10), received);
        one.merge(
            &two.reports(received, 10),
            received + Duration::from_millis(900),
        );
    }
    let end = start + POLICY.period + seconds(2);
    assert_eq!(one.verdict(POISON, end), Verdict::HalfOpen);
    assert_eq!(two.verdict(POISON, end), Verdict::HalfOpen);
}

// Guards against a caller that evicts evidence against itself by filling the memory with other contents.
#[test]
fn many_contents_of_one_organisation_do_not_displace_others() {
    let now = Instant::now();
    let mut evidence = evidence_of(3, now);
    for content in 100..1_000 {
        for server in 1..=4 {
            evidence.record_crash(Content::part(content), 2, server, now + seconds(1));
        }
        assert!(evidence.len() <= POLICY.capacity);
    }
    assert!(is_refused(&evidence, now + seconds(1)));
}

#[test]
fn the_least_often_sent_reports_go_first_and_barred_content_is_always_sent() {
    let now = Instant::now();
    let mut evidence = CrashEvidence::new(BarPolicy {
        capacity: 100,
        ..POLICY
    });
    for content in 0..20 {
        evidence.record_crash(Content::part(content), ORGANISATION, 1, now);
    }
    assert!(evidence.has_unsent());
    let reports = (0..4).flat_map(|_| evidence.reports(now, 5));
    let mut seen: Vec<_> = reports.map(|report| report.content.hash).collect();
    seen.sort_unstable();
    assert_eq!(seen, (0..20).collect::<Vec<_>>());
    assert!(!evidence.has_unsent());
    for server in 2..=3 {
        evidence.record_crash(Content::part(5), ORGANISATION, server, now);
    }
    for _round in 0..100 {
        evidence.reports(now, 20);
    }
    let reports = evidence.reports(now, 20);
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].content, Content::part(5));
}

#[test]
fn full_evidence_evicts_suspect_before_barred_content() {
    let now = Instant::now();
    let mut evidence = evidence_of(3, now);
    for content in 100..200 {
        evidence.record_crash(
            Content::part(content),
            ORGANISATION,
            1,
            now + seconds(content as u64),
        );
    }
    assert_eq!(evidence.len(), POLICY.capacity);
    assert!(is_refused(&evidence, now + seconds(1)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(47),
        ..ProptestConfig::default()
    })]

    // Messages are lost, late, repeated and out of order; in the end every process has all reports.
    #[test]
    fn processes_that_have_heard_of_the_same_crashes_agree(
        crashes in proptest::collection::vec((0..4_usize, 1..7_u32, 0..2_000_u64), 1..20),
        exchanges in proptest::collection::vec((0..4_usize, 0..4_usize, any::<bool>()), 0..30),
    ) {
        let start = Instant::now();
        let mut processes: Vec<_> = (0..4).map(|_| CrashEvidence::new(POLICY)).collect();
        let mut servers = std::collections::BTreeSet::new();
        for (process, server, ms) in crashes {
            let at = start + Duration::from_millis(ms);
            processes[process].record_crash(POISON, ORGANISATION, server, at);
            servers.insert(server);
        }
        let now = start + seconds(3);
        let mut late: Vec<CrashReport> = Vec::new();
        for (from, to, is_late) in exchanges {
            let reports = processes[from].reports(now, 10);
            processes[to].merge(&reports, now);
            if is_late {
                late.extend(reports);
            }
        }
        for _round in 0..2 {
            for from in 0..4 {
                let reports = processes[from].reports(now, 10);
                for process in &mut processes {
                    process.merge(&reports, now);
                    process.merge(&late, now);
                }
            }
        }
        for process in &processes {
            prop_assert_eq!(process.crashes(POISON), servers.len());
            prop_assert_eq!(is_refused(process, now), servers.len() >= POLICY.crashes);
        }
    }
}

// Guards against a router that stands still at the crash of a server that ran many requests with long prompts.
#[test]
fn a_crash_with_many_long_prompts_takes_little_time() {
    const REQUESTS: u128 = 64;
    const PARTS: u128 = 1_650;
    /// Time after which a request that waits for this is late.
    const LIMIT: Duration = Duration::from_millis(500);
    let mut evidence = CrashEvidence::new(BarPolicy::DIRECT);
    let now = Instant::now();
    // Half of the parts are shared by all requests.
    let parts = |request: u128| {
        (0..PARTS).map(move |part| {
            let owner = if part % 2 == 0 { 0 } else { request };
            (Content::part(owner * PARTS + part), ORGANISATION)
        })
    };
    let begun = Instant::now();
    for server in 1..=3 {
        evidence.record_crashes((0..REQUESTS).flat_map(parts), server, now);
    }
    let took = begun.elapsed() / 3;
    assert!(took < LIMIT, "{took:?}");
    assert!(evidence.len() <= BarPolicy::DIRECT.capacity);
    let begun = Instant::now();
    evidence.record_all_served(parts(0).map(|(content, _)| content), now + seconds(1));
    let took = begun.elapsed();
    assert!(took < LIMIT, "{took:?}");
}

proptest! {
    /// Guards against another verdict on contents that crash a server together than on each of them.
    #[test]
    fn crashes_of_several_contents_count_as_those_of_each(
        crashes in vec((vec(0_u128..12, 1..8), 1_u32..6, 0_u64..4_000), 1..12),
        served in vec((0_u128..12, 0_usize..12), 0..8),
    ) {
        let start = Instant::now();
        let mut together = CrashEvidence::new(BarPolicy::DIRECT);
        let mut single = CrashEvidence::new(BarPolicy::DIRECT);
        let mut now = start;
        for (index, (contents, server, gap_ms)) in crashes.into_iter().enumerate() {
            now += Duration::from_millis(gap_ms);
            let contents = || contents.iter().map(|content| (Content::part(*content), ORGANISATION));
            together.record_crashes(contents(), server, now);
            for (content, organisation) in contents() {
                single.record_crash(content, organisation, server, now);
            }
            for (content, _) in served.iter().filter(|(_, after)| *after == index) {
                together.record_all_served([Content::part(*content)], now);
                single.record_served(Content::part(*content), now);
            }
            for content in (0..12).map(Content::part) {
                prop_assert_eq!(together.verdict(content, now), single.verdict(content, now));
                prop_assert_eq!(together.crashes(content), single.crashes(content));
            }
        }
    }
}
