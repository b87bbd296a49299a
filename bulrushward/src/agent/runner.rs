//! One attempt from its admission to its last frame.

use std::{sync::Arc, time::Instant};

use bulrushward_claims::ClaimOutcome;
use bulrushward_protocol::{ActionKey, Outcome, RefusalReason, format_id};
use tracing::info;

use super::{Agent, attempts::Attempt, backend::BackendError, refusals};
use crate::failpoint;

/// How an attempt ended, for logs and metrics.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Ending {
    Whole,
    Refused,
    Failed,
    Cancelled,
}

/// Runs an attempt that was admitted, from its wait for a place to its last frame.
pub(crate) async fn run(agent: Arc<Agent>, attempt: Arc<Attempt>) {
    failpoint::hit("agent-admitted");
    let ending = wait_and_run(&agent, &attempt).await;
    let now = Instant::now();
    agent.leave_queue(attempt.req.attempt, matches!(ending, Ending::Whole), now);
    agent.attempts.finished(attempt.req.attempt, now);
    agent.metrics.attempt_ended(ending);
    info!(
        event = "attempt-ended",
        request = format_id(attempt.req.request),
        attempt = format_id(attempt.req.attempt),
        organisation = attempt.req.organisation,
        kind = attempt.req.kind,
        backend = agent.settings.backend,
        ending = %ending,
        milliseconds = attempt.received.elapsed().as_millis() as u64,
    );
}

async fn wait_and_run(agent: &Arc<Agent>, attempt: &Arc<Attempt>) -> Ending {
    tokio::select! {
        () = attempt.start.notified() => {}
        () = attempt.cancelled.cancelled() => return give_up(attempt),
    }
    failpoint::hit("agent-dequeued");
    // Suspects run one at a time, so that a crash has one culprit.
    let _alone = if attempt.req.suspect {
        let Ok(permit) = agent.suspects.acquire().await else {
            return give_up(attempt);
        };
        Some(permit)
    } else {
        None
    };
    let claimed = claimed_key(attempt);
    if let Some(action) = claimed
        && let Some(ending) = claim(agent, attempt, action).await
    {
        return ending;
    }
    failpoint::hit("agent-claimed");
    if attempt.cancelled.is_cancelled() || !attempt.transcript.begin() {
        release(agent, attempt, claimed);
        return give_up(attempt);
    }
    failpoint::hit("agent-started");
    run_backend(agent, attempt, claimed).await
}

/// Returns the key that must be claimed before the attempt starts, if any.
///
/// The second run of a suspect is claimed like an action, so that the whole fleet tries it once.
fn claimed_key(attempt: &Attempt) -> Option<ActionKey> {
    let req = &attempt.req;
    if req.suspect && req.action.is_none() {
        return Some(suspect_key(req.fingerprint));
    }
    req.action
}

fn suspect_key(fingerprint: u128) -> ActionKey {
    let mut bytes = b"suspect".to_vec();
    bytes.extend_from_slice(&fingerprint.to_be_bytes());
    xxhash_rust::xxh3::xxh3_128(&bytes)
}

async fn claim(agent: &Agent, attempt: &Attempt, action: ActionKey) -> Option<Ending> {
    let verdict = agent.claims.claim(action, attempt.req.attempt).await;
    let refusal = match verdict {
        ClaimOutcome::Won => return None,
        ClaimOutcome::Held { .. } if attempt.req.action.is_none() => refusals::unknown(
            RefusalReason::Quarantined,
            "the request crashed a backend server and its one retry was used",
        ),
        ClaimOutcome::Held { .. } => refusals::unknown(
            RefusalReason::Duplicate,
            "another attempt of this action started; its outcome is not known here",
        ),
        ClaimOutcome::Ran { .. } => refusals::ran(
            RefusalReason::Duplicate,
            "the action ran; its answer is not kept here",
        ),
        ClaimOutcome::Barred => refusals::not_run(
            RefusalReason::Barred,
            "the attempt was given up before it started",
        ),
        ClaimOutcome::Full => refusals::not_run(
            RefusalReason::ClaimsFull,
            "the record of claims is full; older claims must expire first",
        ),
        ClaimOutcome::Unavailable => refusals::not_run(
            RefusalReason::ClaimsUnavailable,
            "the key-value service does not answer, so the action cannot be claimed",
        ),
    };
    attempt.transcript.refuse(refusal);
    Some(Ending::Refused)
}

async fn run_backend(
    agent: &Arc<Agent>,
    attempt: &Arc<Attempt>,
    claimed: Option<ActionKey>,
) -> Ending {
    let req = &attempt.req;
    let progress = || agent.progress(req.attempt);
    let result = tokio::select! {
        result = agent.backend.run(req, &attempt.transcript, &progress) => result,
        () = attempt.cancelled.cancelled(), if req.action.is_none() => {
            release(agent, attempt, claimed);
            let message = "the caller or the router gave the request up";
            attempt.transcript.refuse(refusals::unknown(RefusalReason::Cancelled, message));
            return Ending::Cancelled;
        }
    };
    match result {
        Ok(()) => {
            failpoint::hit("agent-finished");
            settle(agent, attempt, claimed);
            failpoint::hit("agent-recorded");
            attempt.transcript.end();
            Ending::Whole
        }
        Err(BackendError::NotSent { detail }) => {
            release(agent, attempt, claimed);
            let refusal = refusals::not_run(RefusalReason::BackendDown, detail);
            attempt.transcript.refuse(refusal);
            Ending::Refused
        }
        Err(error) => {
            let reason = attribute_crash(agent, attempt).await;
            attempt
                .transcript
                .refuse(refusals::unknown(reason, error.to_string()));
            Ending::Failed
        }
    }
}

/// Records a whole answer: an action ran, and a suspect is clear.
fn settle(agent: &Agent, attempt: &Attempt, claimed: Option<ActionKey>) {
    let Some(key) = claimed else {
        return;
    };
    if attempt.req.action.is_some() {
        agent.claims.finish(key, attempt.req.attempt);
    } else {
        agent.claims.release(key, attempt.req.attempt);
    }
}

/// Finds out whether the backend server crashed and notes who is to blame.
///
/// While a suspect runs, a crash is the suspect's; otherwise all running requests become suspect.
async fn attribute_crash(agent: &Agent, attempt: &Attempt) -> RefusalReason {
    if !agent.backend.has_crashed().await {
        return RefusalReason::BackendFailed;
    }
    let suspect_runs = agent.suspects.available_permits() == 0;
    if suspect_runs && !attempt.req.suspect {
        return RefusalReason::BackendFailed;
    }
    agent.control.record_crash(attempt.req.fingerprint);
    if attempt.req.suspect {
        // The other requests that the crash broke must see the suspect still running.
        tokio::time::sleep(super::CRASH_SETTLE_TIME).await;
    }
    RefusalReason::BackendCrashed
}

fn release(agent: &Agent, attempt: &Attempt, claimed: Option<ActionKey>) {
    if let Some(key) = claimed {
        agent.claims.release(key, attempt.req.attempt);
    }
}

fn give_up(attempt: &Attempt) -> Ending {
    let message = "the caller or the router gave the request up";
    let refusal = refusals::not_run(RefusalReason::Cancelled, message);
    debug_assert_eq!(refusal.outcome, Outcome::NotRun);
    attempt.transcript.refuse(refusal);
    Ending::Cancelled
}
