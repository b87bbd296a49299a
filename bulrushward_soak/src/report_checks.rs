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
/// Time after a rejection in which requests may still arrive, as they were on their way.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that may reach a server from one router in the rest of a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Time before a rejection in which nothing may be disturbed, so that the router has read it.
const CALM_TIME: Duration = Duration::from_secs(1);

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
