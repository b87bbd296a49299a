//! Checks that routers heed what servers report about themselves in their responses.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_platform_stand_in::{Arrival, Report};

use crate::{
    callers::{Attempt, AttemptResult},
    harness::Harness,
};

/// Time after an announcement of leaving, read by a router, after which the router sends the server nothing.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Time after a rejection in which requests may still arrive, as they were in transit.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a server from one router in the rest of a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Time before a rejection in which nothing may be disturbed, so that the router has read it.
const CALM_TIME: Duration = Duration::from_secs(1);

/// Time after a server first named a limit from which it is checked.
const LIMIT_KNOWN_TIME: Duration = Duration::from_secs(3);
/// Span in which requests at a server with a limit are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests that it may get in a span: a multiple of its limit, and some more.
const LIMIT_OVERRUN: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Time after a response with a limit from which requests of the router that got it count.
const LIMIT_REACTION_TIME: Duration = Duration::from_millis(500);

/// Checks what reached servers that named limits, from routers that knew the limit and were not disturbed since.
pub(crate) fn check_limits(harness: &Harness, attempts: &[Attempt]) -> Vec<String> {
    let routers: HashMap<&str, usize> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt.router))
        .collect();
    let mut spells: Vec<LimitSpell> = Vec::new();
    for report in harness.execution_log.reports() {
        let (Some(limit), Some(router)) =
            (report.state.limit, routers.get(report.request.as_str()))
        else {
            continue;
        };
        let mut known = spells.iter_mut();
        // A response without the limit may lie between two with the same one, but not for long.
        let same = known.find(|spell| {
            spell.server == report.server
                && (spell.limit - limit).abs() < f64::EPSILON
                && report.at < spell.last + LIMIT_SPAN
        });
        if let Some(spell) = same {
            spell.last = report.at;
            spell.told.entry(*router).or_insert(report.at);
            continue;
        }
        spells.push(LimitSpell {
            server: report.server,
            limit,
            first: report.at,
            last: report.at,
            told: HashMap::from([(*router, report.at)]),
        });
    }
    let checked = spells.iter();
    checked
        .filter_map(|spell| spell.check(harness, &routers))
        .collect()
}

/// A time in which a server named the same limit.
struct LimitSpell {
    server: String,
    limit: f64,
    first: Instant,
    last: Instant,
    /// When each router first received the limit.
    told: HashMap<usize, Instant>,
}

impl LimitSpell {
    fn check(&self, harness: &Harness, routers: &HashMap<&str, usize>) -> Option<String> {
        let from = self.first + LIMIT_KNOWN_TIME;
        let counts = |arrival: &Arrival| {
            let router = routers.get(arrival.request.as_str())?;
            let told = self.told.get(router)?;
            let since = arrival.at.saturating_duration_since(*told);
            let is_told =
                since > LIMIT_REACTION_TIME && harness.was_undisturbed(*router, arrival.at, since);
            (is_told && (from..self.last).contains(&arrival.at)).then_some(arrival.at)
        };
        let arrivals = harness.execution_log.arrivals(&self.server);
        let counted: Vec<Instant> = arrivals.iter().filter_map(counts).collect();
        let in_span = |begin: &Instant| {
            let span = *begin..*begin + LIMIT_SPAN;
            counted.iter().filter(|at| span.contains(*at)).count()
        };
        let worst = counted.iter().map(in_span).max()?;
        let allowed = self.limit * LIMIT_OVERRUN * LIMIT_SPAN.as_secs_f64() + LIMIT_SLACK;
        (worst as f64 > allowed).then(|| {
            let (server, limit) = (&self.server, self.limit);
            format!("server={server} promise=limit-is-kept limit={limit:.1} requests={worst}")
        })
    }
}

/// Checks what reached servers that announced their leaving or asked for pauses.
pub(crate) fn check(harness: &Harness, attempts: &[Attempt]) -> Vec<String> {
    let attempts: HashMap<&str, &Attempt> = attempts
        .iter()
        .map(|attempt| (attempt.id.as_str(), attempt))
        .collect();
    let mut arrivals: HashMap<String, Vec<Arrival>> = HashMap::new();
    let mut violations = Vec::new();
    for report in harness.execution_log.reports() {
        let Some(attempt) = attempts.get(report.request.as_str()) else {
            continue;
        };
        let arrivals = arrivals
            .entry(report.server.clone())
            .or_insert_with(|| harness.execution_log.arrivals(&report.server));
        let from_router = arrivals.iter().filter_map(|arrival| {
            let later = attempts.get(arrival.request.as_str())?;
            (later.router == attempt.router).then_some((arrival, *later))
        });
        let from_router: Vec<_> = from_router.collect();
        let check = Check {
            harness,
            report: &report,
            router: attempt.router,
            arrivals: &from_router,
        };
        // Only a response that was passed on has surely been read.
        let is_passed_on = matches!(&attempt.result, AttemptResult::Complete(response)
            if response.status == 200);
        if report.state.is_leaving && is_passed_on {
            violations.extend(check.leaving());
        }
        violations.extend(report.state.pause.and_then(|pause| check.pause(pause)));
    }
    violations
}

/// A report with the requests that the router which got it sent to the server.
struct Check<'a> {
    harness: &'a Harness,
    report: &'a Report,
    router: usize,
    arrivals: &'a [(&'a Arrival, &'a Attempt)],
}

impl Check<'_> {
    fn leaving(&self) -> Option<String> {
        let known = self.report.at + LEAVING_LIMIT;
        let is_late = |(arrival, attempt): &&(&Arrival, &Attempt)| {
            let since = arrival.at.saturating_duration_since(self.report.at);
            let routers = self.harness.routers();
            attempt.sent > known && routers[self.router].was_undisturbed(arrival.at, since)
        };
        let (late, _) = self.arrivals.iter().find(is_late)?;
        Some(self.describe("announced-leaving-gets-nothing", &late.request))
    }

    fn pause(&self, pause: Duration) -> Option<String> {
        let end = self.report.at + pause;
        let is_in_pause = |at: Instant| at > self.report.at + REACTION_TIME && at < end;
        let in_pause = self.arrivals.iter();
        let in_pause: Vec<_> = in_pause.filter(|(a, _)| is_in_pause(a.at)).collect();
        let is_calm = self
            .harness
            .was_undisturbed(self.router, end, pause + CALM_TIME);
        let (first, _) = in_pause.first()?;
        (is_calm && in_pause.len() > MAX_REQUESTS_IN_PAUSE)
            .then(|| self.describe("pause-is-kept", &first.request))
    }

    fn describe(&self, invariant: &str, request: &str) -> String {
        let Report {
            server,
            request: told,
            ..
        } = self.report;
        let router = self.router;
        format!(
            "request={request} router={router} server={server} promise={invariant} told_by={told}"
        )
    }
}
