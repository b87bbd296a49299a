//! Cycles among the dependencies of services.

use std::{borrow::Cow, collections::HashMap};

use crate::{links::Owned, report::Report};

/// Services of a cycle that are named in its error.
const MAX_NAMED: usize = 16;

/// How far the search has come with a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Visit {
    /// It stands at this place on the path that is being followed.
    OnPath(usize),
    /// Everything that it depends on was followed.
    Done,
}

/// A service on the current path and how many of its dependencies were followed.
#[derive(Debug)]
struct Step<'a> {
    service: &'a str,
    followed: usize,
}

/// Reports each dependency that closes a cycle and names the cycle.
pub(crate) fn report_cycles(report: &mut Report<'_>, dependencies: &[Owned<'_, Cow<'_, str>>]) {
    let mut edges: HashMap<&str, Vec<(&str, usize)>> = HashMap::new();
    for Owned { owner, item } in dependencies {
        let edge = (item.get_ref().as_ref(), item.span().start);
        edges.entry(owner.as_ref()).or_default().push(edge);
    }
    let mut visits = HashMap::new();
    for Owned { owner, .. } in dependencies {
        if !visits.contains_key(owner.as_ref()) {
            follow(report, &edges, owner, &mut visits);
        }
    }
}

/// Follows all dependencies of a service, without recursion since chains may be long.
fn follow<'a>(
    report: &mut Report<'_>,
    edges: &HashMap<&'a str, Vec<(&'a str, usize)>>,
    start: &'a str,
    visits: &mut HashMap<&'a str, Visit>,
) {
    let mut path = vec![Step {
        service: start,
        followed: 0,
    }];
    visits.insert(start, Visit::OnPath(0));
    while let Some(step) = path.last_mut() {
        let next = edges
            .get(step.service)
            .and_then(|edges| edges.get(step.followed));
        let Some((service, offset)) = next.copied() else {
            visits.insert(step.service, Visit::Done);
            path.pop();
            continue;
        };
        step.followed += 1;
        match visits.get(service) {
            Some(Visit::OnPath(place)) => {
                let message = describe(&path[*place..]);
                report.error(offset, message);
            }
            Some(Visit::Done) => {}
            None => {
                visits.insert(service, Visit::OnPath(path.len()));
                path.push(Step {
                    service,
                    followed: 0,
                });
            }
        }
    }
}

/// Names the services of a cycle.
fn describe(cycle: &[Step<'_>]) -> String {
    let mut names: Vec<_> = cycle
        .iter()
        .take(MAX_NAMED)
        .map(|step| format!("{:?}", step.service))
        .collect();
    if cycle.len() > MAX_NAMED {
        names.push(format!("{} more", cycle.len() - MAX_NAMED));
    }
    names.extend(names.first().cloned());
    format!(
        "services depend on each other in a cycle: {}",
        names.join(" -> ")
    )
}
