//! Differences between two configurations, by declaration.

use std::{
    collections::{HashMap, HashSet},
    fmt::{self, Display, Formatter},
};

use strum::Display;

use crate::Config;

/// A section of the configuration text.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Section {
    /// The `[fleet]` table.
    Fleet,
    /// The `[[kind]]` tables.
    Kind,
    /// The `[[service]]` tables.
    Service,
    /// The `[[organisation]]` tables.
    Organisation,
}

/// How a declaration differs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the newer configuration has the declaration.
    Added,
    /// The declarations have different values.
    Changed,
    /// Only the older configuration has the declaration.
    Removed,
}

/// A declaration that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Section of the declaration.
    pub section: Section,
    /// Name of the declaration; empty for `[fleet]`.
    pub name: String,
    /// How the declaration differs.
    pub kind: ChangeKind,
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.section {
            Section::Fleet => write!(f, "fleet {}", self.kind),
            section => write!(f, "{section} {:?} {}", self.name, self.kind),
        }
    }
}

impl Config {
    /// Returns the declarations that differ in `newer`, grouped by section.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.fleet != newer.fleet {
            changes.push(Change {
                section: Section::Fleet,
                name: String::new(),
                kind: ChangeKind::Changed,
            });
        }
        let (old, new) = (&self.kinds, &newer.kinds);
        compare(&mut changes, Section::Kind, old, new, |kind| &kind.name);
        let (old, new) = (&self.services, &newer.services);
        compare(&mut changes, Section::Service, old, new, |service| {
            &service.name
        });
        let (old, new) = (&self.organisations, &newer.organisations);
        compare(
            &mut changes,
            Section::Organisation,
            old,
            new,
            |organisation| &organisation.name,
        );
        changes
    }
}

fn compare<T: PartialEq>(
    changes: &mut Vec<Change>,
    section: Section,
    old: &[T],
    new: &[T],
    name: fn(&T) -> &String,
) {
    let mut push = |item: &T, kind| {
        let name = name(item).clone();
        changes.push(Change {
            section,
            name,
            kind,
        });
    };
    let known: HashMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
    let kept: HashSet<_> = new.iter().map(name).collect();
    for item in new {
        match known.get(name(item)) {
            None => push(item, ChangeKind::Added),
            Some(before) if *before != item => push(item, ChangeKind::Changed),
            Some(_) => {}
        }
    }
    for item in old.iter().filter(|item| !kept.contains(name(item))) {
        push(item, ChangeKind::Removed);
    }
}
