//! Runs one attempt from its admission to its last frame.

use std::{sync::Arc, time::Instant};

use bulrushward_claims::ClaimOutcome;
use bulrushward_protocol::{ActionKey, Outcome, RefusalReason, format_id};
use tracing::info;

use super::{Agent, attempts::Attempt, backend::BackendError, refusals};
use crate::failpoint;

/// How an attempt ended, as written to logs and metrics.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Ending {
    #[strum(serialize = "whole")]
    Completed,
    Refused,
    Failed,
    Cancelled,
}

/// Runs an admitted attempt: waits for a slot, claims its action and writes its response.
pub(crate) async fn run(agent: Arc<Agent>, attempt: Arc<Attempt>) {
    failpoint::hit("agent-admitted");
    let ending = wait_and_run(&agent, &attempt).await;
    let now = Instant::now();
    agent.remove_from_queue(
        attempt.req.attempt,
        matches!(ending, Ending::Completed),
        now,
    );
    agent.attempts.record_end(attempt.req.attempt, now);
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
        () = attempt.cancelled.cancelled() => return cancel_waiting(attempt),
    }
    failpoint::hit("agent-dequeued");
    // Suspects run one at a time, so that a crash can be attributed to one request.
    let _permit = if attempt.req.suspect {
        let Ok(permit) = agent.suspect_permit.acquire().await else {
            return cancel_waiting(attempt);
        };
        Some(permit)
    } else {
        None
    };
    let claimed = claim_key(attempt);
    if let Some(action) = claimed
        && let Some(ending) = claim(agent, attempt, action).await
    {
        return ending;
    }
    failpoint::hit("agent-claimed");
    if attempt.cancelled.is_cancelled() || !attempt.buffer.mark_started() {
        release_claim(agent, attempt, claimed);
        return cancel_waiting(attempt);
    }
    failpoint::hit("agent-started");
    run_backend(agent, attempt, claimed).await
}

/// Returns the key that must be claimed before the attempt starts, if any.
///
/// The retry of a suspect request is claimed like an action, so that it runs only once in the whole
/// fleet.
fn claim_key(attempt: &Attempt) -> Option<ActionKey> {
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
    let outcome = agent.claims.claim(action, attempt.req.attempt).await;
    let refusal = match outcome {
        ClaimOutcome::Won => return None,
        ClaimOutcome::Held { .. } if attempt.req.action.is_none() => refusals::unknown(
            RefusalReason::Quarantined,
            "the request crashed a backend server and its one retry was used",
        ),
        ClaimOutcome::Held { .. } => refusals::unknown(
            RefusalReason::Duplicate,
            "another attempt of this action started; its outcome is unknown to this agent",
        ),
        ClaimOutcome::Ran { .. } => refusals::ran(
            RefusalReason::Duplicate,
            "the action ran; this agent does not have its response",
        ),
        ClaimOutcome::Barred => refusals::not_run(
            RefusalReason::Barred,
            "the attempt was abandoned before it started",
        ),
        ClaimOutcome::Full => refusals::not_run(
            RefusalReason::ClaimsFull,
            "the claims record is full; older claims must expire first",
        ),
        ClaimOutcome::Unavailable => refusals::not_run(
            RefusalReason::ClaimsUnavailable,
            "the key-value service does not respond, so the action cannot be claimed",
        ),
    };
    attempt.buffer.refuse(refusal);
    Some(Ending::Refused)
}

async fn run_backend(
    agent: &Arc<Agent>,
    attempt: &Arc<Attempt>,
    claimed: Option<ActionKey>,
) -> Ending {
    let req = &attempt.req;
    let on_chunk = || agent.record_progress(req.attempt);
    let result = tokio::select! {
        result = agent.backend.run(req, &attempt.buffer, &on_chunk) => result,
        () = attempt.cancelled.cancelled(), if req.action.is_none() => {
            release_claim(agent, attempt, claimed);
            let message = "the caller or the router abandoned the request";
            attempt.buffer.refuse(refusals::unknown(RefusalReason::Cancelled, message));
            return Ending::Cancelled;
        }
    };
    match result {
        Ok(()) => {
            failpoint::hit("agent-finished");
            record_completion(agent, attempt, claimed);
            failpoint::hit("agent-recorded");
            attempt.buffer.push_end();
            Ending::Completed
        }
        Err(BackendError::NotSent { detail }) => {
            release_claim(agent, attempt, claimed);
            let refusal = refusals::not_run(RefusalReason::BackendDown, detail);
            attempt.buffer.refuse(refusal);
            Ending::Refused
        }
        Err(error) => {
            let reason = attribute_crash(agent, attempt).await;
            attempt
                .buffer
                .refuse(refusals::unknown(reason, error.to_string()));
            Ending::Failed
        }
    }
}

/// Updates the claim after a complete response: an action is recorded as run, the claim of a
/// suspect is released.
fn record_completion(agent: &Agent, attempt: &Attempt, claimed: Option<ActionKey>) {
    let Some(key) = claimed else {
        return;
    };
    if attempt.req.action.is_some() {
        agent.claims.finish(key, attempt.req.attempt);
    } else {
        agent.claims.release(key, attempt.req.attempt);
    }
}

/// Checks whether the backend server crashed and, if the crash is attributed to this attempt,
/// records it.
///
/// While a suspect runs, a crash is attributed to it alone. Otherwise it is attributed to all
/// running requests, which become suspects.
async fn attribute_crash(agent: &Agent, attempt: &Attempt) -> RefusalReason {
    if !agent.backend.has_crashed().await {
        return RefusalReason::BackendFailed;
    }
    let suspect_runs = agent.suspect_permit.available_permits() == 0;
    if suspect_runs && !attempt.req.suspect {
        return RefusalReason::BackendFailed;
    }
    agent
        .control
        .record_crash(attempt.req.fingerprint, &attempt.req.organisation);
    if attempt.req.suspect {
        // The other requests that failed in the crash must still see the suspect as running, so that
        // it is not attributed to them.
        tokio::time::sleep(super::CRASH_SETTLE_TIME).await;
    }
    RefusalReason::BackendCrashed
}

fn release_claim(agent: &Agent, attempt: &Attempt, claimed: Option<ActionKey>) {
    if let Some(key) = claimed {
        agent.claims.release(key, attempt.req.attempt);
    }
}

fn cancel_waiting(attempt: &Attempt) -> Ending {
    let message = "the caller or the router abandoned the request";
    let refusal = refusals::not_run(RefusalReason::Cancelled, message);
    debug_assert_eq!(refusal.outcome, Outcome::NotRun);
    attempt.buffer.refuse(refusal);
    Ending::Cancelled
}
