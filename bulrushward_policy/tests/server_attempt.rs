//! Retries after failed attempts at backend servers.

use bulrushward_policy::server_attempt::{AttemptFailure, AttemptHistory, NextAttempt};
use proptest::prelude::*;

const ALL: [AttemptFailure; 13] = [
    AttemptFailure::NotSent,
    AttemptFailure::Crowded,
    AttemptFailure::DomainEmptied,
    AttemptFailure::Withheld,
    AttemptFailure::ContentBarred,
    AttemptFailure::Stopping,
    AttemptFailure::Unconfirmed,
    AttemptFailure::ServerGone,
    AttemptFailure::Rejected,
    AttemptFailure::Misdirected,
    AttemptFailure::ServerError,
    AttemptFailure::Broken,
    AttemptFailure::Silent,
];

#[test]
fn a_request_that_was_not_run_is_retried_up_to_its_maximum_of_servers() {
    let mut history = AttemptHistory::new(false, 2);
    assert_eq!(
        history.record_failure(AttemptFailure::Rejected),
        NextAttempt::Send { retry: true }
    );
    assert_eq!(
        history.record_failure(AttemptFailure::Rejected),
        NextAttempt::NotRun
    );
}

#[test]
fn a_failed_connection_does_not_count_towards_the_maximum_of_servers() {
    let mut history = AttemptHistory::new(false, 1);
    assert_eq!(
        history.record_failure(AttemptFailure::NotSent),
        NextAttempt::Send { retry: false }
    );
    assert_eq!(
        history.record_failure(AttemptFailure::NotSent),
        NextAttempt::Send { retry: false }
    );
    assert_eq!(
        history.record_failure(AttemptFailure::Rejected),
        NextAttempt::NotRun
    );
}

#[test]
fn a_request_ends_after_four_failed_connections() {
    let mut history = AttemptHistory::new(true, 9);
    let steps: Vec<_> = (0..4)
        .map(|_| history.record_failure(AttemptFailure::NotSent))
        .collect();
    assert_eq!(steps.last(), Some(&NextAttempt::NotRun));
}

#[test]
fn an_idempotent_request_is_retried_after_any_failure_unless_its_content_is_barred() {
    for failure in ALL {
        if failure == AttemptFailure::ContentBarred {
            let mut history = AttemptHistory::new(true, 2);
            assert_eq!(history.record_failure(failure), NextAttempt::NotRun);
            continue;
        }
        let mut history = AttemptHistory::new(true, 2);
        let retry = failure.reached_server();
        assert_eq!(
            history.record_failure(failure),
            NextAttempt::Send { retry },
            "{failure}"
        );
    }
}

#[test]
fn a_later_rejection_does_not_turn_a_possible_run_into_not_run() {
    let mut history = AttemptHistory::new(true, 2);
    history.record_failure(AttemptFailure::Broken);
    assert_eq!(
        history.record_failure(AttemptFailure::Rejected),
        NextAttempt::Unknown
    );
}

proptest! {
    /// No attempt follows one in which a non-idempotent request may have run.
    #[test]
    fn a_non_idempotent_request_never_runs_twice(
        failures in prop::collection::vec(prop::sample::select(ALL.as_slice()), 1..12),
        max_servers in 1_u32..6,
    ) {
        let mut history = AttemptHistory::new(false, max_servers);
        let mut may_have_run = false;
        for failure in failures {
            let next = history.record_failure(failure);
            may_have_run |= !failure.is_not_run();
            if may_have_run {
                prop_assert_eq!(next, NextAttempt::Unknown);
            }
            if !matches!(next, NextAttempt::Send { .. }) {
                break;
            }
        }
    }

    /// A request reaches no more servers than its route allows.
    #[test]
    fn no_more_servers_are_reached_than_the_maximum(
        failures in prop::collection::vec(prop::sample::select(ALL.as_slice()), 1..30),
        max_servers in 1_u32..6,
        idempotent in any::<bool>(),
    ) {
        let mut history = AttemptHistory::new(idempotent, max_servers);
        let mut reached = 0;
        for failure in failures {
            reached += u32::from(failure.reached_server());
            prop_assert!(reached <= max_servers);
            if !matches!(history.record_failure(failure), NextAttempt::Send { .. }) {
                break;
            }
        }
    }
}
