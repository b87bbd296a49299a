//! Names that the text declares and the places that refer to them.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet},
    hash::Hash,
};

use toml::Spanned;

use crate::{cycles::report_cycles, report::Report, rule::KeyHash, table_reader::nearest};

/// A name where it stands in the text.
pub(crate) type Name<'a> = Spanned<Cow<'a, str>>;

/// A name and the service or organisation that has it.
#[derive(Debug)]
pub(crate) struct Owned<'a, T> {
    /// Name of the owner.
    pub(crate) owner: Cow<'a, str>,
    /// What it has.
    pub(crate) item: Spanned<T>,
}

/// Backend servers of one service that are being taken out of use.
#[derive(Debug)]
pub(crate) struct Draining<'a> {
    /// All that the service lists; empty if any agent may announce the service.
    pub(crate) servers: Vec<Name<'a>>,
    /// Those that are draining.
    pub(crate) names: Vec<Name<'a>>,
}

/// All names and references of a text.
#[derive(Debug, Default)]
pub(crate) struct Links<'a> {
    pub(crate) kinds: Vec<Name<'a>>,
    pub(crate) services: Vec<Name<'a>>,
    pub(crate) organisations: Vec<Name<'a>>,
    pub(crate) models: Vec<Owned<'a, Cow<'a, str>>>,
    pub(crate) servers: Vec<Owned<'a, Cow<'a, str>>>,
    pub(crate) keys: Vec<Owned<'a, KeyHash>>,
    pub(crate) kinds_of_services: Vec<Owned<'a, Cow<'a, str>>>,
    pub(crate) dependencies: Vec<Owned<'a, Cow<'a, str>>>,
    pub(crate) draining: Vec<Draining<'a>>,
}

impl<'a> Links<'a> {
    /// Reports duplicate names, unknown names and cycles.
    pub(crate) fn check(&self, report: &mut Report<'a>) {
        check_duplicates(report, "kind", &self.kinds);
        check_duplicates(report, "service", &self.services);
        check_duplicates(report, "organisation", &self.organisations);
        check_single_owner(report, &self.models, &|model| {
            format!("model {model:?} is served by service")
        });
        check_single_owner(report, &self.servers, &|server| {
            format!("backend server {server:?} belongs to service")
        });
        check_single_owner(report, &self.keys, &|_| {
            "this key belongs to organisation".to_owned()
        });
        check_known(
            report,
            &self.kinds,
            items(&self.kinds_of_services),
            &|name| format!("kind {name:?} is not declared"),
        );
        check_known(report, &self.services, items(&self.dependencies), &|name| {
            format!("service {name:?} is not declared")
        });
        for Draining { servers, names } in &self.draining {
            if !servers.is_empty() {
                check_known(report, servers, names.iter(), &|name| {
                    format!("backend server {name:?} is not in the servers of this service")
                });
            }
        }
        report_cycles(report, &self.dependencies);
    }
}

fn check_duplicates(report: &mut Report<'_>, what: &str, names: &[Name<'_>]) {
    let mut first = HashMap::with_capacity(names.len());
    for name in names {
        let offset = name.span().start;
        let first = *first.entry(name.get_ref().as_ref()).or_insert(offset);
        if first != offset {
            let line = report.line(first);
            let name = name.get_ref();
            let message = format!("{what} {name:?} is declared twice, first on line {line}");
            report.error(offset, message);
        }
    }
}

/// Reports items that have an owner already; `claim` says of an item what the owner does with it.
fn check_single_owner<T: Eq + Hash>(
    report: &mut Report<'_>,
    items: &[Owned<'_, T>],
    claim: &dyn Fn(&T) -> String,
) {
    let mut first = HashMap::with_capacity(items.len());
    for Owned { owner, item } in items {
        let offset = item.span().start;
        let (first, first_owner) = *first.entry(item.get_ref()).or_insert((offset, owner));
        if first != offset {
            let line = report.line(first);
            let claim = claim(item.get_ref());
            report.error(
                offset,
                format!("{claim} {first_owner:?} on line {line} already"),
            );
        }
    }
}

/// Reports references to names that are not known.
fn check_known<'l, 'a: 'l>(
    report: &mut Report<'_>,
    known: &[Name<'_>],
    references: impl Iterator<Item = &'l Name<'a>>,
    complaint: &dyn Fn(&str) -> String,
) {
    let names: HashSet<_> = known.iter().map(|name| name.get_ref().as_ref()).collect();
    for reference in references {
        let name = reference.get_ref().as_ref();
        if names.contains(name) {
            continue;
        }
        let hint = if report.is_full() {
            None
        } else {
            nearest(name, known.iter().map(|name| name.get_ref().as_ref()))
        };
        let hint = hint.map_or_else(String::new, |nearest| format!(", expected {nearest:?}?"));
        let message = format!("{}{hint}", complaint(name));
        report.error(reference.span().start, message);
    }
}

fn items<'l, 'a>(owned: &'l [Owned<'a, Cow<'a, str>>]) -> impl Iterator<Item = &'l Name<'a>> {
    owned.iter().map(|owned| &owned.item)
}
