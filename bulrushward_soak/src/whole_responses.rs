//! Checks that responses that look complete are whole, and that those that are whole look complete.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{
    Completion, ERROR_BODY, Execution, event_count, plain_body, stream_text,
};

use crate::{
    callers::{Attempt, AttemptResult, ReceivedResponse, events},
    fault_log::time_of_day,
    harness::Harness,
};

/// Time before an attempt in which nothing may be disturbed, without which the loss of a whole response is not judged.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time before the limit of an attempt in which it counts as timed out.
const LIMIT_MARGIN: Duration = Duration::from_millis(500);

/// Returns what a caller received, if it looks complete and is not all of a server's response.
#[must_use]
pub fn incomplete(attempt: &Attempt) -> Option<String> {
    let AttemptResult::Complete(response) = &attempt.result else {
        return None;
    };
    let server = response.signature.as_ref().map(|(server, _)| server);
    let is_whole = match response.status {
        200 if attempt.kind.is_stream() => is_whole_stream(attempt, response),
        200 => server.is_some_and(|server| response.body == plain_body(&attempt.id, server)),
        500 if response.is_signed => response.body == ERROR_BODY,
        _ => true,
    };
    if is_whole {
        return None;
    }
    if !attempt.kind.is_stream() {
        return Some(format!("got={:?}", response.body));
    }
    let received = events(&response.body);
    let (first, last) = (received.first(), received.last());
    Some(format!(
        "first={} last={} events={} after={} of={}",
        first.map_or(0, |event| event.id),
        last.map_or(0, |event| event.id),
        received.len(),
        attempt.after(),
        event_count(attempt.began_as())
    ))
}

/// Returns whether a body has all bytes of the stream after what the caller had, each once and in order.
fn is_whole_stream(attempt: &Attempt, response: &ReceivedResponse) -> bool {
    let events = events(&response.body);
    let version = events.first().map_or("", |first| first.version.as_str());
    let last = event_count(attempt.began_as());
    !events.is_empty() && response.body == stream_text(attempt.after(), last, version)
}

/// Checks all attempts; returns one line for each response that looks complete and is not.
pub(crate) fn check(attempts: &[Attempt]) -> Vec<String> {
    let violations = attempts.iter().filter_map(|attempt| {
        let incomplete = incomplete(attempt)?;
        let Attempt {
            id, kind, router, ..
        } = attempt;
        let (version, ended) = (attempt.version, time_of_day(attempt.ended));
        Some(format!(
            "request={id} kind={kind} router={router} promise=answers-are-whole {incomplete} version={version:?} \
             ended={ended}"
        ))
    });
    violations.collect()
}

/// Returns whether a response that a living server ended with its connection was lost or repeated.
///
/// `attempt` is the request that it responds to, and `executions` are all of that request.
#[must_use]
pub fn is_lost(attempt: &Attempt, executions: &[Execution], whole_at: Instant) -> bool {
    let is_timed_out = attempt.ended - attempt.sent + LIMIT_MARGIN >= attempt.time_limit;
    let is_cut = matches!(
        attempt.result,
        AttemptResult::Truncated(_) | AttemptResult::NoResponse
    );
    let is_repeated = executions
        .iter()
        .any(|execution| execution.started > whole_at);
    is_repeated || (is_cut && !is_timed_out && executions.len() == 1)
}

/// Checks what became of responses that servers ended with their connections, where nothing was disturbed.
pub(crate) fn check_completions(
    harness: &Harness,
    attempts: &[Attempt],
    execution_log: &[(String, Vec<Execution>)],
) -> Vec<String> {
    let attempts: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let executions: HashMap<&str, &[Execution]> = execution_log
        .iter()
        .map(|(id, executions)| (id.as_str(), executions.as_slice()))
        .collect();
    let violation = |completion: Completion| {
        let Completion {
            request,
            server,
            at,
        } = completion;
        let attempt = attempts.get(request.as_str())?;
        let end = attempt.ended.max(at);
        let time = end - attempt.sent + CALM_TIME;
        let executions = executions.get(request.as_str())?;
        let is_violated =
            is_lost(attempt, executions, at) && harness.was_undisturbed(attempt.router, end, time);
        is_violated.then(|| {
            format!(
                "request={request} kind={} router={} server={server} promise=whole-answers-arrive result={} \
                 executions={} whole={} ended={}",
                attempt.kind,
                attempt.router,
                attempt.result,
                executions.len(),
                time_of_day(at),
                time_of_day(attempt.ended),
            )
        })
    };
    let completions = harness.execution_log.completions().into_iter();
    completions.filter_map(violation).collect()
}
