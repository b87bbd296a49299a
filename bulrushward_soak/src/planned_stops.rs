//! Checks that planned stops of routers cut no responses.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::Execution;

use crate::{
    callers::{Attempt, AttemptResult},
    fault_log::time_of_day,
    harness::Harness,
    router::STOP_GRACE,
};

/// Time after the grace period during which attempts still count as sent around a stop.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Time without unplanned disturbance before an attempt, without which the attempt is not judged.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);
/// Time after SIGTERM until which attempts may be sent that the end of the grace period may cut.
const CUT_IF_SENT_WITHIN: Duration = Duration::from_secs(3);

/// Planned stops and unplanned disturbances that concern a router, each in order.
#[derive(Clone, Debug, Default)]
pub struct RouterHistory {
    /// When its processes received SIGTERM.
    pub stops: Vec<Instant>,
    /// When the router, the store, a link or a server was disturbed without a plan.
    pub unplanned: Vec<Instant>,
}

/// Returns the planned stop around which an executed attempt ended without a complete response and without an
/// excuse.
#[must_use]
pub fn violated_stop(
    attempt: &Attempt,
    executions: &[Execution],
    history: &RouterHistory,
) -> Option<Instant> {
    let is_incomplete = matches!(
        attempt.result,
        AttemptResult::Truncated(_) | AttemptResult::NoResponse
    );
    let is_timed_out = attempt.ended - attempt.sent >= attempt.time_limit;
    let last_execution = executions
        .iter()
        .max_by_key(|execution| execution.started)?;
    let is_disturbed = history
        .unplanned
        .iter()
        .any(|at| *at + UNDISTURBED_TIME >= attempt.sent && *at <= attempt.ended);
    if !is_incomplete || is_timed_out || last_execution.is_broken_off || is_disturbed {
        return None;
    }
    let around = |stop: &&Instant| {
        **stop <= attempt.ended && attempt.sent <= **stop + STOP_GRACE + AFTER_GRACE
    };
    let mut stops = history.stops.iter().filter(around);
    let is_cut_by_grace_period = stops.clone().any(|stop| {
        attempt.sent <= *stop + CUT_IF_SENT_WITHIN && is_executed_at_end(executions, *stop)
    });
    if is_cut_by_grace_period {
        return None;
    }
    stops.next().copied()
}

/// Returns whether a server was executing a request in the last sixth of the grace period of a stop.
fn is_executed_at_end(executions: &[Execution], stop: Instant) -> bool {
    let end = stop + STOP_GRACE;
    executions.iter().any(|execution| {
        execution.started <= end
            && execution
                .ended
                .is_none_or(|ended| ended + STOP_GRACE / 6 >= end)
    })
}

/// Checks all attempts; returns one line for each violation.
pub(crate) fn check(
    harness: &Harness,
    attempts: &[Attempt],
    execution_log: &[(String, Vec<Execution>)],
) -> Vec<String> {
    let executions: HashMap<&str, &[Execution]> = execution_log
        .iter()
        .map(|(id, executions)| (id.as_str(), executions.as_slice()))
        .collect();
    let histories: Vec<_> = (0..harness.caller_links.len())
        .map(|router| harness.history(router))
        .collect();
    let violations = attempts.iter().filter_map(|attempt| {
        let executions = executions.get(attempt.id.as_str())?;
        let stop = violated_stop(attempt, executions, &histories[attempt.router])?;
        let servers: Vec<_> = executions.iter().map(describe).collect();
        Some(format!(
            "request={} kind={} router={} promise=planned-stop-loses-nothing result={} sent={} ended={} stop={} \
             executions=\"{}\"",
            attempt.id,
            attempt.kind,
            attempt.router,
            attempt.result,
            time_of_day(attempt.sent),
            time_of_day(attempt.ended),
            time_of_day(stop),
            servers.join(", "),
        ))
    });
    violations.collect()
}

fn describe(execution: &Execution) -> String {
    let ended = execution.ended.map(time_of_day);
    format!(
        "{} from {} to {}",
        execution.server,
        time_of_day(execution.started),
        ended.as_deref().unwrap_or("now")
    )
}
