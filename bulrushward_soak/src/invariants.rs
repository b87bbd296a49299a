//! Checks the invariants of requests from what callers and servers observed.
//!
//! The printed lines call an invariant a promise.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{Crash, Execution, StreamEvent};

use crate::{
    callers::{Attempt, AttemptResult, Kind, ReceivedResponse, events},
    fault_log::time_of_day,
    harness::{COLD_REQUESTS_PER_SECOND, COLD_TIME, Harness, failure_domain},
};

/// Time in which a server's work must end after its caller has disconnected.
const CANCEL_TIME: Duration = Duration::from_millis(1_500);
/// Time after a request was given up in which it may still be received, as it was in transit.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Time after which a server marked as leaving must receive no requests.
const LEAVING_PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time after which an order to empty a failure domain must be in force.
const ORDER_PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Number of servers that may crash under a prompt part before it is barred.
const BARRING_CRASHES: usize = 3;
/// Time after which all routers must refuse it.
const BAR_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a router must have been undisturbed to know of crashes.
const KNOWN_TIME: Duration = Duration::from_secs(5);
/// Number of crashes that are allowed after that.
const MAX_LATE_CRASHES: usize = 3;
/// Interval at which it is checked whether a router was informed.
const INFORMED_STEP: Duration = Duration::from_millis(20);
/// Requests that a cold server may get in a second: a multiple of its limit, and some more.
const COLD_OVERRUN: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const SECOND: Duration = Duration::from_secs(1);
/// Time without disturbance after which the time limits of a router are checked.
const UNDISTURBED_TIME: Duration = Duration::from_secs(3);

/// Where an outage holds back disconnects of callers or changes in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutagePlace {
    /// A router or its link to the callers.
    Router(usize),
    /// The link of the server with this id.
    Server(String),
    /// The store, for all routers.
    Store,
    /// The link between a router and the store.
    StoreLink(usize),
    /// The process of a router, which was stopping or absent.
    RouterProcess(usize),
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

/// Returns whether a router could learn of changes in the store at `moment`, by itself or from another router.
fn is_informed(outages: &[Outage], router: usize, routers: usize, moment: Instant) -> bool {
    let is_out = |place: &OutagePlace| {
        outages.iter().any(|outage| {
            outage.place == *place
                && outage.from <= moment
                && outage.until.is_some_and(|until| moment <= until)
        })
    };
    let can_talk = |router| {
        !is_out(&OutagePlace::Router(router)) && !is_out(&OutagePlace::RouterProcess(router))
    };
    let can_read = |router| can_talk(router) && !is_out(&OutagePlace::StoreLink(router));
    !is_out(&OutagePlace::Store)
        && !is_out(&OutagePlace::Router(router))
        && (0..routers).any(can_read)
}

/// Returns whether a router has to know a change that the store acknowledged at `changed`, at `moment`.
///
/// A router that was informed for long enough knows it; one that starts after that learns it before it serves.
#[must_use]
pub fn has_to_know(
    outages: &[Outage],
    router: usize,
    routers: usize,
    changed: Instant,
    moment: Instant,
) -> bool {
    let mut informed_since = None;
    let mut time = changed;
    while time <= moment {
        if is_informed(outages, router, routers, time) {
            let since = *informed_since.get_or_insert(time);
            if time > since + ORDER_PROPAGATION_LIMIT {
                return true;
            }
        } else {
            informed_since = None;
        }
        time += INFORMED_STEP;
    }
    false
}

/// Checks that routers that had to know of an emptied failure domain sent nothing to its servers.
pub(crate) fn check_emptied(
    harness: &Harness,
    attempts: &[Attempt],
    execution_log: &[(String, Vec<Execution>)],
) -> Vec<String> {
    let senders: HashMap<&str, usize> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt.router))
        .collect();
    let outages = harness.outages();
    let orders = harness.emptied_domains();
    let routers = harness.caller_links.len();
    let mut violations = Vec::new();
    for (id, executions) in execution_log {
        let Some(router) = senders.get(id.as_str()) else {
            continue;
        };
        for execution in executions {
            let Execution {
                server, started, ..
            } = execution;
            let order = orders.iter().find(|order| {
                order.domain == failure_domain(server)
                    && *started > order.from + ORDER_PROPAGATION_LIMIT
                    && order.until.is_none_or(|until| *started < until)
            });
            if let Some(order) = order
                && has_to_know(&outages, *router, routers, order.from, *started)
            {
                violations.push(format!(
                    "request={id} router={router} server={server} promise=emptied-gets-nothing ordered={} started={}",
                    time_of_day(order.from),
                    time_of_day(*started),
                ));
            }
        }
    }
    violations
}

/// Checks that routers do not go on sending prompts under which servers crash.
///
/// A router has to know of crashes under requests of routers that were undisturbed, and that are older than the time limit.
pub(crate) fn check_poison(harness: &Harness, attempts: &[Attempt]) -> Vec<String> {
    let senders: HashMap<&str, usize> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt.router))
        .collect();
    let was_undisturbed = |crash: &Crash, moment: Instant, time: Duration| {
        senders
            .get(crash.request.as_str())
            .is_some_and(|router| harness.routers()[*router].was_undisturbed(moment, time))
    };
    let crashes = harness.execution_log.crashes();
    let is_known = |crash: &Crash, moment: Instant| {
        let age = moment.saturating_duration_since(crash.at);
        (BAR_PROPAGATION_LIMIT..KNOWN_TIME).contains(&age)
            && was_undisturbed(crash, crash.at + SECOND, SECOND)
    };
    let is_late = |late: &&Crash| {
        let known: HashSet<_> = crashes
            .iter()
            .filter(|crash| is_known(crash, late.at))
            .map(|crash| &crash.server)
            .collect();
        known.len() >= BARRING_CRASHES && was_undisturbed(late, late.at, KNOWN_TIME)
    };
    let late: Vec<_> = crashes.iter().filter(is_late).collect();
    if late.len() <= MAX_LATE_CRASHES {
        return Vec::new();
    }
    let late = late.iter().map(|crash| {
        let Crash {
            request,
            server,
            at,
        } = crash;
        let at = time_of_day(*at);
        format!("request={request} server={server} promise=poison-is-barred at={at}")
    });
    late.collect()
}

/// Checks that no cold server got more requests in any second than its limit allows, from all routers together.
pub(crate) fn check_cold(harness: &Harness) -> Vec<String> {
    let outages = harness.outages();
    let mut violations = Vec::new();
    let cold_since = harness.cold_since();
    for (server, since) in &cold_since {
        // A server that crashes again is another one after that.
        let restarts = cold_since
            .iter()
            .filter(|(id, at)| id == server && at > since);
        let restart = restarts.map(|(_, at)| *at).min();
        let until = restart.map_or(*since + COLD_TIME, |at| at.min(*since + COLD_TIME));
        // Requests that a link held back arrive together.
        let is_held_back = |from: Instant| {
            outages.iter().any(|outage| {
                outage.place == OutagePlace::Server(server.clone())
                    && outage.from <= from + SECOND
                    && outage.until.is_some_and(|until| from <= until + SECOND)
            })
        };
        let arrivals = harness.execution_log.arrivals(server);
        let mut arrivals: Vec<_> = arrivals.iter().map(|arrival| arrival.at).collect();
        arrivals.retain(|at| (*since..until).contains(at));
        let most = (0..arrivals.len())
            .filter(|first| !is_held_back(arrivals[*first]))
            .map(|first| {
                let second = arrivals[first..].iter();
                let count = second.take_while(|at| **at < arrivals[first] + SECOND);
                (count.count(), arrivals[first])
            })
            .max();
        if let Some((count, from)) = most
            && count as f64 > COLD_REQUESTS_PER_SECOND * COLD_OVERRUN + COLD_SLACK
        {
            violations.push(format!(
                "server={server} promise=cold-gets-few requests={count} registered={} second_from={}",
                time_of_day(*since),
                time_of_day(from),
            ));
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
            OutagePlace::Store | OutagePlace::StoreLink(_) | OutagePlace::RouterProcess(_) => {
                continue;
            }
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

/// Returns whether a server received an attempt after its caller had a complete response or had left.
#[must_use]
pub fn is_delivered_late(attempt: &Attempt, executions: &[Execution], outages: &[Outage]) -> bool {
    let mut given_up = attempt.ended;
    let has_response = matches!(attempt.result, AttemptResult::Complete(_));
    let of_router = outages.iter().filter(|outage| {
        // A router that has responded knows that the attempt is over; otherwise it has to learn that the caller left.
        !has_response
            && outage.place == OutagePlace::Router(attempt.router)
            && outage.from <= attempt.ended + DELIVERY_TIME
    });
    for outage in of_router {
        let Some(until) = outage.until else {
            return false;
        };
        given_up = given_up.max(until);
    }
    executions
        .iter()
        .any(|execution| execution.started > given_up + DELIVERY_TIME)
}

/// Checks that each stream has events of servers of one version only, over all requests of its caller.
pub(crate) fn check_versions(attempts: &[Attempt]) -> Vec<String> {
    let mut versions: HashMap<&str, HashSet<String>> = HashMap::new();
    for attempt in attempts {
        if let AttemptResult::Complete(response) | AttemptResult::Truncated(response) =
            &attempt.result
        {
            let of_stream = versions.entry(attempt.began_as()).or_default();
            of_stream.extend(
                events(&response.body)
                    .into_iter()
                    .map(|event| event.version),
            );
        }
    }
    let mixed = versions.iter().filter(|(_, versions)| versions.len() > 1);
    mixed
        .map(|(id, versions)| format!("request={id} promise=one-version versions={versions:?}"))
        .collect()
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
    if is_delivered_late(attempt, executions, outages) {
        violations.push("given-up-is-not-delivered");
    }
    match &attempt.result {
        AttemptResult::Complete(response) => {
            violations.extend(check_complete_response(attempt, response, executions));
        }
        AttemptResult::Truncated(response) if attempt.kind.is_stream() => {
            if !is_consecutive(&events(&response.body), attempt.after()) {
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
    } else if response.is_signed && response.status != 500 {
        violations.push("failures-are-as-the-server-gave-them");
    }
    violations
}

/// Returns whether the events are those that follow `after`, without a gap.
fn is_consecutive(events: &[StreamEvent], after: u32) -> bool {
    events
        .iter()
        .zip(after + 1..)
        .all(|(event, expected)| event.id == expected)
}
