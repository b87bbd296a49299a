//! Detects cycles among the dependencies of services.

use std::{borrow::Cow, collections::HashMap};

use crate::{report::ErrorReport, symbol_table::OwnedItem};

/// Maximum number of services of a cycle that its error names.
const MAX_NAMED_SERVICES: usize = 16;

/// State of a service in the depth-first search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VisitState {
    /// The service is on the current path, at this index.
    OnPath(usize),
    /// All dependencies of the service have been searched.
    Done,
}

/// A service on the current path and the index of its next dependency to search.
#[derive(Debug)]
struct PathEntry<'a> {
    service: &'a str,
    next_edge: usize,
}

/// Reports each dependency that closes a cycle, with the services of the cycle.
pub(crate) fn report_cycles(
    report: &mut ErrorReport<'_>,
    dependencies: &[OwnedItem<'_, Cow<'_, str>>],
) {
    let mut edges: HashMap<&str, Vec<(&str, usize)>> = HashMap::new();
    for OwnedItem { owner, item } in dependencies {
        let edge = (item.get_ref().as_ref(), item.span().start);
        edges.entry(owner.as_ref()).or_default().push(edge);
    }
    let mut states = HashMap::new();
    for OwnedItem { owner, .. } in dependencies {
        if !states.contains_key(owner.as_ref()) {
            search_from(report, &edges, owner, &mut states);
        }
    }
}

/// Searches the dependencies of a service depth first; iterative because chains may be long.
fn search_from<'a>(
    report: &mut ErrorReport<'_>,
    edges: &HashMap<&'a str, Vec<(&'a str, usize)>>,
    start: &'a str,
    states: &mut HashMap<&'a str, VisitState>,
) {
    let mut path = vec![PathEntry {
        service: start,
        next_edge: 0,
    }];
    states.insert(start, VisitState::OnPath(0));
    while let Some(entry) = path.last_mut() {
        let next = edges
            .get(entry.service)
            .and_then(|edges| edges.get(entry.next_edge));
        let Some((service, offset)) = next.copied() else {
            states.insert(entry.service, VisitState::Done);
            path.pop();
            continue;
        };
        entry.next_edge += 1;
        match states.get(service) {
            Some(VisitState::OnPath(index)) => {
                let message = cycle_message(&path[*index..]);
                report.add_error(offset, message);
            }
            Some(VisitState::Done) => {}
            None => {
                states.insert(service, VisitState::OnPath(path.len()));
                path.push(PathEntry {
                    service,
                    next_edge: 0,
                });
            }
        }
    }
}

/// Returns the error message for a cycle.
fn cycle_message(cycle: &[PathEntry<'_>]) -> String {
    let mut names: Vec<_> = cycle
        .iter()
        .take(MAX_NAMED_SERVICES)
        .map(|entry| format!("{:?}", entry.service))
        .collect();
    if cycle.len() > MAX_NAMED_SERVICES {
        names.push(format!("{} more", cycle.len() - MAX_NAMED_SERVICES));
    }
    names.extend(names.first().cloned());
    format!(
        "services depend on each other in a cycle: {}",
        names.join(" -> ")
    )
}
