//! Checks the invariants of requests from what callers and servers observed.
//!
//! The printed lines call an invariant a promise.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{Execution, event_count, plain_body};

use crate::{
    callers::{Attempt, AttemptResult, Kind, ReceivedResponse, events},
    harness::Harness,
};

/// Time in which a server's work must end after its caller has disconnected.
const CANCEL_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a server marked as leaving must receive no requests.
const LEAVING_PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time without disturbance after which the time limits of a router are checked.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);

/// Where an outage holds back the disconnects of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutagePlace {
    /// A router or its link to the callers.
    Router(usize),
    /// The link of the server with this id.
    Server(String),
}

/// A time in which a router or a link passed nothing on.
#[derive(Clone, Debug)]
pub struct Outage {
    /// What passed nothing on.
    pub place: OutagePlace,
    /// When the outage began.
    pub from: Instant,
    /// When it ended; `None` if the connections that were open at its start stalled permanently.
    pub until: Option<Instant>,
}

/// Checks that undisturbed routers sent no requests to leaving servers.
pub(crate) fn check_leaving(
    harness: &Harness,
    attempts: &[Attempt],
    execution_log: &[(String, Vec<Execution>)],
) -> Vec<String> {
    let routers: HashMap<&str, usize> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt.router))
        .collect();
    let leaving_since: HashMap<String, Instant> = harness.leaving_since().into_iter().collect();
    let mut violations = Vec::new();
    for (id, executions) in execution_log {
        let Some(router) = routers.get(id.as_str()) else {
            continue;
        };
        for execution in executions {
            let is_late = leaving_since
                .get(&execution.server)
                .is_some_and(|leaving_since| {
                    execution.started > *leaving_since + LEAVING_PROPAGATION_LIMIT
                });
            if is_late
                && harness.was_undisturbed(
                    *router,
                    execution.started,
                    LEAVING_PROPAGATION_LIMIT + UNDISTURBED_TIME,
                )
            {
                let server = &execution.server;
                violations.push(format!(
                    "request={id} router={router} server={server} promise=leaving-gets-nothing"
                ));
            }
        }
    }
    violations
}

/// Checks all attempts against the servers' executions; returns one line for each violation.
pub(crate) fn check(
    attempts: &[Attempt],
    execution_log: &[(String, Vec<Execution>)],
    outages: &[Outage],
) -> Vec<String> {
    let executions: HashMap<&str, &[Execution]> = execution_log
        .iter()
        .map(|(id, executions)| (id.as_str(), executions.as_slice()))
        .collect();
    let sent: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let mut violations = Vec::new();
    for attempt in attempts {
        let attempt_executions = executions
            .get(attempt.id.as_str())
            .copied()
            .unwrap_or_default();
        for invariant in check_attempt(attempt, attempt_executions, outages) {
            violations.push(format!(
                "request={} kind={} router={} promise={invariant}",
                attempt.id, attempt.kind, attempt.router
            ));
        }
    }
    for (id, request_executions) in execution_log {
        let is_known = sent.contains_key(id.as_str()) || id.starts_with("probe");
        let describe = |execution: &Execution| {
            let expected_server = execution.expected_server.as_deref().unwrap_or("none");
            format!(
                "target={:?} named_server={expected_server}",
                execution.method_and_path
            )
        };
        if !is_known {
            let first = request_executions.first().map(describe).unwrap_or_default();
            violations.push(format!(
                "request={id} promise=runs-only-what-was-sent {first}"
            ));
        }
        let other = request_executions
            .iter()
            .find(|execution| execution.organisation.as_deref() != Some("org-1"));
        if let Some(execution) = other {
            let execution = describe(execution);
            violations.push(format!(
                "request={id} promise=names-the-organisation {execution}"
            ));
        }
    }
    violations
}

/// Returns whether a server goes on with an abandoned attempt too long after the disconnect reached it.
#[must_use]
pub fn is_cancelled_late(attempt: &Attempt, executions: &[Execution], outages: &[Outage]) -> bool {
    executions.iter().any(|execution| {
        let Some(disconnected) = disconnect_time(attempt, execution, outages) else {
            return false;
        };
        execution
            .ended
            .is_none_or(|ended| ended > disconnected + CANCEL_TIME)
    })
}

/// Returns when the disconnect of a caller can reach a server; `None` if a stalled connection never carries it.
fn disconnect_time(
    attempt: &Attempt,
    execution: &Execution,
    outages: &[Outage],
) -> Option<Instant> {
    let mut time = attempt.ended;
    for outage in outages {
        let (is_on_path, started) = match &outage.place {
            OutagePlace::Router(router) => (*router == attempt.router, attempt.sent),
            OutagePlace::Server(server) => (*server == execution.server, execution.started),
        };
        if !is_on_path || outage.from > attempt.ended + CANCEL_TIME {
            continue;
        }
        match outage.until {
            Some(until) => time = time.max(until),
            None if started <= outage.from => return None,
            None => {}
        }
    }
    Some(time)
}

fn check_attempt(
    attempt: &Attempt,
    executions: &[Execution],
    outages: &[Outage],
) -> Vec<&'static str> {
    let mut violations = Vec::new();
    let is_idempotent = matches!(attempt.kind, Kind::Lookup | Kind::Resumable);
    if !is_idempotent && executions.len() > 1 {
        violations.push("runs-once-at-most");
    }
    match &attempt.result {
        AttemptResult::Complete(response) => {
            violations.extend(check_complete_response(attempt, response, executions));
        }
        AttemptResult::Truncated(response) if attempt.kind.is_stream() => {
            let (ids, _) = events(&response.body);
            if !is_consecutive(&ids) {
                violations.push("each-event-once-in-order");
            }
        }
        AttemptResult::Abandoned => {
            if is_cancelled_late(attempt, executions, outages) {
                violations.push("work-ends-when-the-caller-leaves");
            }
        }
        AttemptResult::Truncated(_) | AttemptResult::NoResponse => {}
    }
    violations
}

fn check_complete_response(
    attempt: &Attempt,
    response: &ReceivedResponse,
    executions: &[Execution],
) -> Vec<&'static str> {
    let mut violations = Vec::new();
    let says_not_run = matches!(response.status, 408 | 421 | 429 | 503);
    let is_idempotent = matches!(attempt.kind, Kind::Lookup | Kind::Resumable);
    if says_not_run && !is_idempotent && !executions.is_empty() {
        violations.push("not-run-is-true");
    }
    if response.status == 200 {
        let signed_for = response
            .signature
            .as_ref()
            .map(|(_, request)| request.as_str());
        if !response.is_signed || signed_for != Some(attempt.id.as_str()) {
            violations.push("answers-are-ones-own");
        }
        let is_complete = if attempt.kind.is_stream() {
            let (ids, has_last) = events(&response.body);
            is_consecutive(&ids) && has_last && ids.len() == event_count(&attempt.id) as usize
        } else {
            let server = response
                .signature
                .as_ref()
                .map(|(server, _)| server.as_str());
            server.is_some_and(|server| response.body == plain_body(&attempt.id, server))
        };
        if !is_complete {
            violations.push("answers-are-whole");
        }
    } else if response.is_signed && response.status != 500 {
        violations.push("failures-are-as-the-server-gave-them");
    }
    violations
}

/// Returns whether the ids are 1, 2, 3 and so on.
fn is_consecutive(ids: &[u32]) -> bool {
    ids.iter().zip(1..).all(|(id, expected)| *id == expected)
}
