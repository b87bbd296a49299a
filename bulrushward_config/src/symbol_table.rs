//! Checks declared names and the references to them.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet},
    hash::Hash,
};

use toml::Spanned;

use crate::{
    cycles::report_cycles, report::ErrorReport, rule::KeyHash, table_reader::closest_match,
};

/// A name and its position in the text.
pub(crate) type Name<'a> = Spanned<Cow<'a, str>>;

/// A value that belongs to one service or organisation.
#[derive(Debug)]
pub(crate) struct OwnedItem<'a, T> {
    /// Name of the service or organisation.
    pub(crate) owner: Cow<'a, str>,
    /// The value and its position in the text.
    pub(crate) item: Spanned<T>,
}

/// Draining backend servers of one service.
#[derive(Debug)]
pub(crate) struct DrainingServers<'a> {
    /// All backend servers of the service; empty if any agent may announce the service.
    pub(crate) servers: Vec<Name<'a>>,
    /// The draining backend servers.
    pub(crate) names: Vec<Name<'a>>,
}

/// All declared names and references of a text.
#[derive(Debug, Default)]
pub(crate) struct SymbolTable<'a> {
    pub(crate) kinds: Vec<Name<'a>>,
    pub(crate) services: Vec<Name<'a>>,
    pub(crate) organisations: Vec<Name<'a>>,
    pub(crate) models: Vec<OwnedItem<'a, Cow<'a, str>>>,
    pub(crate) servers: Vec<OwnedItem<'a, Cow<'a, str>>>,
    pub(crate) keys: Vec<OwnedItem<'a, KeyHash>>,
    pub(crate) kinds_of_services: Vec<OwnedItem<'a, Cow<'a, str>>>,
    pub(crate) dependencies: Vec<OwnedItem<'a, Cow<'a, str>>>,
    pub(crate) draining: Vec<DrainingServers<'a>>,
}

impl<'a> SymbolTable<'a> {
    /// Reports duplicate names, values with two owners, unknown names and dependency cycles.
    pub(crate) fn check(&self, report: &mut ErrorReport<'a>) {
        check_duplicates(report, "kind", &self.kinds);
        check_duplicates(report, "service", &self.services);
        check_duplicates(report, "organisation", &self.organisations);
        check_single_owner(report, &self.models, &|model| {
            format!("model {model:?} is already served by service")
        });
        check_single_owner(report, &self.servers, &|server| {
            format!("backend server {server:?} already belongs to service")
        });
        check_single_owner(report, &self.keys, &|_| {
            "this key already belongs to organisation".to_owned()
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
        for DrainingServers { servers, names } in &self.draining {
            if !servers.is_empty() {
                check_known(report, servers, names.iter(), &|name| {
                    format!("backend server {name:?} is not in the servers of this service")
                });
            }
        }
        report_cycles(report, &self.dependencies);
    }
}

fn check_duplicates(report: &mut ErrorReport<'_>, what: &str, names: &[Name<'_>]) {
    let mut first = HashMap::with_capacity(names.len());
    for name in names {
        let offset = name.span().start;
        let first = *first.entry(name.get_ref().as_ref()).or_insert(offset);
        if first != offset {
            let line = report.line(first);
            let name = name.get_ref();
            let message = format!("{what} {name:?} is declared twice, first on line {line}");
            report.add_error(offset, message);
        }
    }
}

/// Reports items that already have an owner.
///
/// `describe_ownership` returns the start of the error message, which the owner's name completes.
fn check_single_owner<T: Eq + Hash>(
    report: &mut ErrorReport<'_>,
    items: &[OwnedItem<'_, T>],
    describe_ownership: &dyn Fn(&T) -> String,
) {
    let mut first = HashMap::with_capacity(items.len());
    for OwnedItem { owner, item } in items {
        let offset = item.span().start;
        let (first, first_owner) = *first.entry(item.get_ref()).or_insert((offset, owner));
        if first != offset {
            let line = report.line(first);
            let ownership = describe_ownership(item.get_ref());
            report.add_error(
                offset,
                format!("{ownership} {first_owner:?} on line {line}"),
            );
        }
    }
}

/// Reports references to undeclared names.
///
/// `unknown_message` returns the error message for a name.
fn check_known<'l, 'a: 'l>(
    report: &mut ErrorReport<'_>,
    known: &[Name<'_>],
    references: impl Iterator<Item = &'l Name<'a>>,
    unknown_message: &dyn Fn(&str) -> String,
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
            closest_match(name, known.iter().map(|name| name.get_ref().as_ref()))
        };
        let hint = hint.map_or_else(String::new, |closest| format!(", expected {closest:?}?"));
        let message = format!("{}{hint}", unknown_message(name));
        report.add_error(reference.span().start, message);
    }
}

fn items<'l, 'a>(owned: &'l [OwnedItem<'a, Cow<'a, str>>]) -> impl Iterator<Item = &'l Name<'a>> {
    owned.iter().map(|owned| &owned.item)
}
