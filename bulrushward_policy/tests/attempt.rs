//! Attempts never repeat an action, never tell a falsehood and always end.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    attempt::{RequestProgress, RequestProperties, Step},
    retry_budget::RetryBudget,
};
use bulrushward_protocol::{Outcome, RefusalReason};
use proptest::{prelude::*, test_runner::RngSeed};

const DEADLINE: Duration = Duration::from_secs(10);
const RETRY: Duration = Duration::from_millis(300);

fn facts(now: Instant, candidates: usize, idempotent: bool) -> RequestProperties {
    RequestProperties {
        candidates,
        idempotent,
        suspect: false,
        deadline: now + DEADLINE,
    }
}

/// Returns a budget that is spent and stays so.
fn spent() -> RetryBudget {
    let mut budget = RetryBudget::new(0.0);
    while budget.withdraw() {}
    budget
}

fn rich() -> RetryBudget {
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

/// What really happens to an attempt, and what the router hears of it.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Unreachable,
    Refused(RefusalReason),
    /// The agent is frozen or its connection silent; the copy runs in the end or not.
    Silent {
        runs: bool,
    },
    /// It runs; then the connection goes silent, `Started` heard or not.
    StartedThenSilent {
        heard: bool,
        head: bool,
    },
    Crashes {
        heard_started: bool,
        head: bool,
    },
    Answers,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        1 => Just(Fate::Unreachable),
        3 => prop_oneof![
            Just(RefusalReason::LoadBound),
            Just(RefusalReason::QueueFull),
            Just(RefusalReason::Draining),
            Just(RefusalReason::BackendDown),
            Just(RefusalReason::BadRequest),
            Just(RefusalReason::ClaimsUnavailable),
        ].prop_map(Fate::Refused),
        2 => any::<bool>().prop_map(|runs| Fate::Silent { runs }),
        2 => (any::<bool>(), any::<bool>())
            .prop_map(|(heard, head)| Fate::StartedThenSilent { heard, head: heard && head }),
        3 => (any::<bool>(), any::<bool>())
            .prop_map(|(heard_started, head)| Fate::Crashes { heard_started, head }),
        1 => Just(Fate::Answers),
    ]
}

#[derive(Debug, Default)]
struct World {
    runs: u32,
    crashes: u32,
    heads: u32,
    sends: u32,
}

impl World {
    fn play(&mut self, fate: Fate, progress: &mut RequestProgress) {
        match fate {
            Fate::Unreachable => progress.unreachable(),
            Fate::Refused(reason) => progress.refused(reason, Outcome::NotRun, RETRY),
            Fate::Silent { runs } => {
                self.runs += u32::from(runs);
                progress.connection_lost();
            }
            Fate::StartedThenSilent { heard, head } => {
                self.runs += 1;
                self.start(heard, head, progress);
                progress.connection_lost();
            }
            Fate::Crashes {
                heard_started,
                head,
            } => {
                self.runs += 1;
                self.crashes += 1;
                self.start(heard_started, head, progress);
                progress.backend_crashed();
            }
            Fate::Answers => {
                self.runs += 1;
                self.start(true, true, progress);
                progress.finished();
            }
        }
    }

    fn start(&mut self, started: bool, head: bool, progress: &mut RequestProgress) {
        if started {
            progress.started();
        }
        if head {
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
    fn promises_hold_whatever_happens_to_the_attempts(
        fates in proptest::collection::vec(fate(), 6),
        resumes_break in proptest::collection::vec(any::<bool>(), 40),
        candidates in 0..6_usize,
        idempotent: bool,
        suspect: bool,
        deposits in 0..30_u32,
        step_ms in 1..2_000_u64,
    ) {
        let mut now = Instant::now();
        let mut progress =
            RequestProgress::new(RequestProperties { suspect, ..facts(now, candidates, idempotent) });
        let mut budget = RetryBudget::new(0.1);
        (0..deposits).for_each(|_| budget.deposit());
        let retries = budget.available();
        let mut world = World::default();
        let mut resumes = resumes_break.into_iter();
        let mut end = None;
        // Each of the 40 resumes takes two steps, and each of the 6 candidates a few more.
        for _ in 0..120 {
            match progress.next(now, &mut budget) {
                Step::Send { candidate, attempt, .. } => {
                    prop_assert_eq!(candidate, world.sends as usize, "a candidate was repeated");
                    prop_assert!(progress.is_current(attempt));
                    world.sends += 1;
                    world.play(fates[candidate], &mut progress);
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
        prop_assert!(end.is_some(), "the request never ended");
        prop_assert!(world.sends <= 1 + 2 + retries, "{} sends", world.sends);
        prop_assert!(world.heads <= 1, "two answers were passed to the caller");
        let crashes = world.crashes + u32::from(suspect);
        prop_assert!(crashes <= 2, "{crashes} crashes");
        if !idempotent {
            prop_assert!(world.runs <= 1, "the action ran {} times", world.runs);
        }
        if let Some(Step::Refuse { outcome, .. }) = end {
            prop_assert!(outcome != Outcome::NotRun || world.runs == 0, "a false not-run");
            prop_assert!(outcome != Outcome::Ran || world.runs > 0, "a false ran");
        }
        prop_assert_eq!(Some(progress.next(now, &mut budget)), end, "the final answer changed");
    }
}

#[test]
fn full_agents_are_left_for_the_next_and_the_shortest_wait_is_told() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, false));
    let mut budget = spent();
    for (candidate, wait) in [(0, 900), (1, 300), (2, 700)] {
        assert_eq!(progress.next(now, &mut budget), send(candidate, false));
        let wait = Duration::from_millis(wait);
        progress.refused(RefusalReason::LoadBound, Outcome::NotRun, wait);
    }
    let refused = refuse(RefusalReason::LoadBound, Outcome::NotRun, RETRY);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn a_retry_beyond_the_budget_is_refused() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, true));
    let mut budget = spent();
    progress.next(now, &mut budget);
    progress.refused(RefusalReason::BackendFailed, Outcome::Unknown, RETRY);
    let refused = refuse(RefusalReason::RetryBudget, Outcome::Unknown, RETRY);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn only_the_first_moves_away_from_dead_backend_servers_are_free() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 5, true));
    let mut budget = spent();
    for candidate in 0..3 {
        assert_eq!(progress.next(now, &mut budget), send(candidate, false));
        progress.refused(RefusalReason::BackendDown, Outcome::NotRun, RETRY);
    }
    let refused = refuse(RefusalReason::RetryBudget, Outcome::NotRun, RETRY);
    assert_eq!(progress.next(now, &mut budget), refused);
}

#[test]
fn a_broken_connection_is_resumed_before_the_attempt_is_given_up() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, true));
    let mut budget = rich();
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
    let mut progress = RequestProgress::new(facts(now, 3, false));
    let mut budget = rich();
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
fn an_action_that_the_agent_calls_not_run_is_sent_again() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, false));
    let mut budget = rich();
    progress.next(now, &mut budget);
    progress.started();
    progress.refused(RefusalReason::BackendFailed, Outcome::NotRun, RETRY);
    assert_eq!(progress.next(now, &mut budget), send(1, false));
}

#[test]
fn a_request_that_crashed_its_backend_server_is_tried_once_more_as_suspect() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 5, true));
    let mut budget = rich();
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
fn an_answer_whose_head_was_passed_on_is_never_started_anew() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, true));
    let mut budget = rich();
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
fn the_deadline_ends_a_wait_with_the_truth() {
    let now = Instant::now();
    let mut progress = RequestProgress::new(facts(now, 3, false));
    let mut budget = rich();
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
