//! Attempts never run an action twice, never report a false outcome and always end.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    attempt::{RequestProgress, RequestProperties, Step},
    retry_budget::RetryBudget,
};
use bulrushward_protocol::{Outcome, RefusalReason};
use proptest::{prelude::*, test_runner::RngSeed};

const DEADLINE: Duration = Duration::from_secs(10);
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn properties(now: Instant, candidates: usize, idempotent: bool) -> RequestProperties {
    RequestProperties {
        candidates,
        idempotent,
        suspect: false,
        deadline: now + DEADLINE,
    }
}

/// Returns an empty budget that requests do not refill.
fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(0.0);
    while budget.withdraw() {}
    budget
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(1.0);
    (0..10).for_each(|_| budget.deposit());
    budget
}

fn send(candidate: usize, suspect: bool) -> Step {
    Step::Send {
        candidate,
        attempt: candidate,
        hedge: false,
        suspect,
    }
}

fn refuse(reason: RefusalReason, outcome: Outcome, retry_after: Duration) -> Step {
    Step::Refuse {
        reason,
        outcome,
        retry_after,
    }
}

/// What happens to an attempt, and which events of it the router receives.
#[derive(Clone, Copy, Debug)]
enum AttemptEvent {
    Unreachable,
    Refused(RefusalReason),
    /// The agent or its connection does not respond; the attempt may still run later.
    TimesOut {
        runs: bool,
    },
    /// The attempt runs, then the connection times out before or after the start was received.
    StartsThenTimesOut {
        start_received: bool,
        head_sent: bool,
    },
    Crashes {
        start_received: bool,
        head_sent: bool,
    },
    Completes,
}

fn attempt_event() -> impl Strategy<Value = AttemptEvent> {
    prop_oneof![
        1 => Just(AttemptEvent::Unreachable),
        3 => prop_oneof![
            Just(RefusalReason::LoadBound),
            Just(RefusalReason::QueueFull),
            Just(RefusalReason::Draining),
            Just(RefusalReason::BackendDown),
            Just(RefusalReason::BadRequest),
            Just(RefusalReason::ClaimsUnavailable),
        ].prop_map(AttemptEvent::Refused),
        2 => any::<bool>().prop_map(|runs| AttemptEvent::TimesOut { runs }),
        2 => (any::<bool>(), any::<bool>())
            .prop_map(|(start_received, head_sent)| AttemptEvent::StartsThenTimesOut {
                start_received,
                head_sent: start_received && head_sent,
            }),
        3 => (any::<bool>(), any::<bool>())
            .prop_map(|(start_received, head_sent)| AttemptEvent::Crashes { start_received, head_sent }),
        1 => Just(AttemptEvent::Completes),
    ]
}

#[derive(Debug, Default)]
struct Simulation {
    runs: u32,
    crashes: u32,
    heads: u32,
    sends: u32,
}

impl Simulation {
    fn apply(&mut self, event: AttemptEvent, progress: &mut RequestProgress) {
        match event {
            AttemptEvent::Unreachable => progress.unreachable(),
            AttemptEvent::Refused(reason) => progress.refused(reason, Outcome::NotRun, RETRY_AFTER),
            AttemptEvent::TimesOut { runs } => {
                self.runs += u32::from(runs);
                progress.connection_lost();
            }
            AttemptEvent::StartsThenTimesOut {
                start_received,
                head_sent,
            } => {
                self.runs += 1;
                self.start(start_received, head_sent, progress);
                progress.connection_lost();
            }
            AttemptEvent::Crashes {
                start_received,
                head_sent,
            } => {
                self.runs += 1;
                self.crashes += 1;
                self.start(start_received, head_sent, progress);
                progress.backend_crashed();
            }
            AttemptEvent::Completes => {
                self.runs += 1;
                self.start(true, true, progress);
                progress.finished();
            }
        }
    }

    fn start(&mut self, started: bool, head_sent: bool, progress: &mut RequestProgress) {
        if started {
            progress.started();
        }
        if head_sent {
            self.heads += 1;
            progress.head_sent();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(44),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_any_events_of_the_attempts(
        events in proptest::collection::vec(attempt_event(), 6),
        resume_failures in proptest::collection::vec(any::<bool>(), 40),
        candidates in 0..6_usize,
        idempotent: bool,
        suspect: bool,
        deposits in 0..30_u32,
        step_ms in 1..2_000_u64,
    ) {
        let mut now = Instant::now();
        let mut progress = RequestProgress::new(RequestProperties {
            suspect,
            ..properties(now, candidates, idempotent)
        });
        let mut budget = RetryBudget::new(0.1);
        (0..deposits).for_each(|_| budget.deposit());
        let retries = budget.available();
        let mut simulation = Simulation::default();
        let mut resumes = resume_failures.into_iter();
        let mut end = None;
        // Each of the 40 resumes takes two steps, and each of the 6 candidates a few more.
        for _ in 0..120 {
            match progress.next(now, &mut budget) {
                Step::Send { candidate, attempt, .. } => {
                    prop_assert_eq!(candidate, simulation.sends as usize, "a candidate was repeated");
                    prop_assert!(progress.is_current(attempt));
                    simulation.sends += 1;
                    simulation.apply(events[candidate], &mut progress);
                }
                Step::Resume { .. } => match resumes.next() {
                    Some(true) => progress.connection_lost(),
                    Some(false) => progress.progressed(),
                    None => progress.attempt_forgotten(),
                },
                Step::Wait => progress.connection_lost(),
                last => {
                    end = Some(last);
                    break;
                }
            }
            now += Duration::from_millis(step_ms);
        }
        prop_assert!(end.is_some(), "the request did not end");
        prop_assert!(simulation.sends <= 1 + 2 + retries, "{} sends", simulation.sends);
        prop_assert!(simulation.heads <= 1, "two responses were sent to the caller");
        let crashes = simulation.crashes + u32::from(suspect);
        prop_assert!(crashes <= 2, "{crashes} crashes");
        if !idempotent {
            prop_assert!(simulation.runs <= 1, "the action ran {} times", simulation.runs);
        }
        if let Some(Step::Refuse { outcome, .. }) = end {
            prop_assert!(
                outcome != Outcome::NotRun || simulation.runs == 0,
                "the outcome is not-run, but the request ran"
            );
            prop_assert!(
                outcome != Outcome::Ran || simulation.runs > 0,
                "the outcome is ran, but the request did not run"
            );
        }
        prop_assert_eq!(Some(progress.next(now, &mut budget)), end, "the final step changed");
    }
}

#[test]
fn refusals_of_full_agents_fail_over_and_the_shortest_retry_delay_is_returned() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, false));
    let mut budget = empty_budget();
    for (candidate, wait) in [(0, 900), (1, 300), (2, 700)] {
        assert_eq!(progress.next(now, &mut budget), send(candidate, false));
        let wait = Duration::from_millis(wait);
        progress.refused(RefusalReason::LoadBound, Outcome::NotRun, wait);
    }
    let refused = refuse(RefusalReason::LoadBound, Outcome::NotRun, RETRY_AFTER);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn a_retry_beyond_the_budget_is_refused() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, true));
    let mut budget = empty_budget();
    progress.next(now, &mut budget);
    progress.refused(RefusalReason::BackendFailed, Outcome::Unknown, RETRY_AFTER);
    let refused = refuse(RefusalReason::RetryBudget, Outcome::Unknown, RETRY_AFTER);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn only_the_first_failovers_from_dead_backend_servers_are_free() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 5, true));
    let mut budget = empty_budget();
    for candidate in 0..3 {
        assert_eq!(progress.next(now, &mut budget), send(candidate, false));
        progress.refused(RefusalReason::BackendDown, Outcome::NotRun, RETRY_AFTER);
    }
    let refused = refuse(RefusalReason::RetryBudget, Outcome::NotRun, RETRY_AFTER);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn a_lost_connection_is_resumed_before_the_attempt_is_abandoned() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, true));
    let mut budget = full_budget();
    assert_eq!(progress.next(now, &mut budget), send(0, false));
    progress.started();
    let resume = Step::Resume {
        candidate: 0,
        attempt: 0,
    };
    for _ in 0..2 {
        progress.connection_lost();
        assert_eq!(progress.next(now, &mut budget), resume);
    }
    progress.progressed();
    for _ in 0..2 {
        progress.connection_lost();
        assert_eq!(progress.next(now, &mut budget), resume);
    }
    progress.connection_lost();
    assert_eq!(progress.next(now, &mut budget), send(1, false));
}

#[test]
fn a_started_action_is_unknown_and_never_sent_again() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, false));
    let mut budget = full_budget();
    progress.next(now, &mut budget);
    progress.started();
    progress.backend_crashed();
    let step = progress.next(now, &mut budget);
    assert!(
        matches!(
            step,
            Step::Refuse {
                outcome: Outcome::Unknown,
                ..
            }
        ),
        "{step:?}"
    );
}

#[test]
fn an_action_that_the_agent_did_not_run_is_sent_again() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, false));
    let mut budget = full_budget();
    progress.next(now, &mut budget);
    progress.started();
    progress.refused(RefusalReason::BackendFailed, Outcome::NotRun, RETRY_AFTER);
    assert_eq!(progress.next(now, &mut budget), send(1, false));
}

#[test]
fn a_request_that_crashed_its_backend_server_is_retried_once_as_suspect() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 5, true));
    let mut budget = full_budget();
    progress.next(now, &mut budget);
    progress.started();
    progress.backend_crashed();
    assert_eq!(progress.next(now, &mut budget), send(1, true));
    progress.backend_crashed();
    let step = progress.next(now, &mut budget);
    assert!(
        matches!(
            step,
            Step::Refuse {
                reason: RefusalReason::Quarantined,
                ..
            }
        ),
        "{step:?}"
    );
}

#[test]
fn a_response_whose_head_was_sent_is_never_restarted() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, true));
    let mut budget = full_budget();
    progress.next(now, &mut budget);
    progress.started();
    progress.head_sent();
    progress.connection_lost();
    assert!(matches!(
        progress.next(now, &mut budget),
        Step::Resume { .. }
    ));
    progress.attempt_forgotten();
    assert!(matches!(
        progress.next(now, &mut budget),
        Step::Refuse { .. }
    ));
}

#[test]
fn the_deadline_ends_a_wait_with_an_unknown_outcome() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(properties(now, 3, false));
    let mut budget = full_budget();
    progress.next(now, &mut budget);
    assert_eq!(progress.next(now, &mut budget), Step::Wait);
    let step = progress.next(now + DEADLINE, &mut budget);
    let refused = refuse(
        RefusalReason::Deadline,
        Outcome::Unknown,
        Duration::from_secs(1),
    );
    assert_eq!(step, refused);
}
