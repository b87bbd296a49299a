//! What must hold, from what callers and servers saw.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{EVENTS_PER_STREAM, Execution, plain_body};

use crate::{
    callers::{Attempt, Kind, Seen, SeenAnswer, events},
    world::World,
};

/// Time in which a server's work for a caller that left must have ended.
const CANCEL_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a leaving server gets nothing.
const LEAVING_KNOWN: Duration = Duration::from_secs(2);
/// Time without disturbance after which a router is held to times.
const CALM: Duration = Duration::from_secs(3);

/// Checks that calm routers sent nothing to servers that left.
pub(crate) fn check_leaving(
    world: &World,
    attempts: &[Attempt],
    ledger: &[(String, Vec<Execution>)],
) -> Vec<String> {
    let routers: HashMap<&str, usize> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt.router))
        .collect();
    let left: HashMap<String, Instant> = world.left().into_iter().collect();
    let mut broken = Vec::new();
    for (id, runs) in ledger {
        let Some(router) = routers.get(id.as_str()) else {
            continue;
        };
        for run in runs {
            let is_late = left
                .get(&run.server)
                .is_some_and(|left| run.started > *left + LEAVING_KNOWN);
            if is_late && world.was_calm(*router, run.started, LEAVING_KNOWN + CALM) {
                let server = &run.server;
                broken.push(format!(
                    "request={id} router={router} server={server} promise=leaving-gets-nothing"
                ));
            }
        }
    }
    broken
}

/// Checks all attempts against what the servers ran; returns one line for each broken promise.
pub(crate) fn check(attempts: &[Attempt], ledger: &[(String, Vec<Execution>)]) -> Vec<String> {
    let runs: HashMap<&str, &[Execution]> = ledger
        .iter()
        .map(|(id, runs)| (id.as_str(), runs.as_slice()))
        .collect();
    let sent: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let mut broken = Vec::new();
    for attempt in attempts {
        let of_attempt = runs.get(attempt.id.as_str()).copied().unwrap_or_default();
        for fault in check_attempt(attempt, of_attempt) {
            broken.push(format!(
                "request={} kind={} router={} promise={fault}",
                attempt.id, attempt.kind, attempt.router
            ));
        }
    }
    for (id, of_request) in ledger {
        let is_known = sent.contains_key(id.as_str()) || id.starts_with("probe");
        let about = |run: &Execution| {
            let named = run.expected_server.as_deref().unwrap_or("none");
            format!("target={:?} named_server={named}", run.method_and_path)
        };
        if !is_known {
            let first = of_request.first().map(about).unwrap_or_default();
            broken.push(format!(
                "request={id} promise=runs-only-what-was-sent {first}"
            ));
        }
        let other = of_request
            .iter()
            .find(|run| run.organisation.as_deref() != Some("org-1"));
        if let Some(run) = other {
            let run = about(run);
            broken.push(format!("request={id} promise=names-the-organisation {run}"));
        }
    }
    broken
}

fn check_attempt(attempt: &Attempt, runs: &[Execution]) -> Vec<&'static str> {
    let mut broken = Vec::new();
    let is_idempotent = matches!(attempt.kind, Kind::Lookup | Kind::Resumable);
    if !is_idempotent && runs.len() > 1 {
        broken.push("runs-once-at-most");
    }
    match &attempt.seen {
        Seen::Whole(answer) => broken.extend(check_whole(attempt, answer, runs)),
        Seen::Cut(answer) if attempt.kind.is_stream() => {
            let (ids, _) = events(&answer.body);
            if !is_series(&ids) {
                broken.push("each-event-once-in-order");
            }
        }
        Seen::Left => {
            let late = runs.iter().any(|run| {
                run.ended
                    .is_none_or(|ended| ended > attempt.ended + CANCEL_TIME)
            });
            if late {
                broken.push("work-ends-when-the-caller-leaves");
            }
        }
        Seen::Cut(_) | Seen::Nothing => {}
    }
    broken
}

fn check_whole(attempt: &Attempt, answer: &SeenAnswer, runs: &[Execution]) -> Vec<&'static str> {
    let mut broken = Vec::new();
    let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
    let is_idempotent = matches!(attempt.kind, Kind::Lookup | Kind::Resumable);
    if is_promise && !is_idempotent && !runs.is_empty() {
        broken.push("not-run-is-true");
    }
    if answer.status == 200 {
        let signed_for = answer
            .signature
            .as_ref()
            .map(|(_, request)| request.as_str());
        if !answer.is_signed || signed_for != Some(attempt.id.as_str()) {
            broken.push("answers-are-ones-own");
        }
        let is_whole = if attempt.kind.is_stream() {
            let (ids, has_last) = events(&answer.body);
            is_series(&ids) && has_last && ids.len() == EVENTS_PER_STREAM as usize
        } else {
            let server = answer.signature.as_ref().map(|(server, _)| server.as_str());
            server.is_some_and(|server| answer.body == plain_body(&attempt.id, server))
        };
        if !is_whole {
            broken.push("answers-are-whole");
        }
    } else if answer.is_signed && answer.status != 500 {
        broken.push("failures-are-as-the-server-gave-them");
    }
    broken
}

/// Returns whether ids count up from one.
fn is_series(ids: &[u32]) -> bool {
    ids.iter().zip(1..).all(|(id, expected)| *id == expected)
}
